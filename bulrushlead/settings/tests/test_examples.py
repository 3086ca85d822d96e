from pathlib import Path

import pytest

from bulrushlead.declaration import HostRole, load_declaration
from bulrushlead.settings import ControlSettings, EntrySettings, load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["araza", "alaf"])
def test_every_declared_host_has_settings_that_agree(name):
    declaration = load_declaration(str(EXAMPLES / name / "declaration.toml"))
    zones = {zone.name: zone.region for zone in declaration.availability_zones}
    peers = set()
    for host in declaration.hosts:
        path = str(EXAMPLES / name / f"{host.name}.toml")
        if host.role is HostRole.CONTROL:
            settings = load_settings(path, ControlSettings)
            assert settings.peer_address in settings.peers
            peers.add(settings.peers)
            continue
        settings = load_settings(path, EntrySettings)
        assert settings.name == host.name
        assert settings.address == host.address
        assert settings.availability_zone == host.availability_zone
        assert settings.region == zones[host.availability_zone]
        peers.add(settings.control_addresses)
    assert len(peers) == 1
