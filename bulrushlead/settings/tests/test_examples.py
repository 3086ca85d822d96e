"""Guards against example settings that contradict the example declaration."""

from pathlib import Path

import pytest

from bulrushlead.declaration import HostRole, load_declaration
from bulrushlead.settings import ControlSettings, EntrySettings, load_settings

EXAMPLES = Path(__file__).parents[3] / "examples"


@pytest.mark.parametrize("name", ["araza", "alaf"])
def test_settings_match_the_declaration_of_every_host(name):
    declaration = load_declaration(str(EXAMPLES / name / "declaration.toml"))
    region_by_zone = {zone.name: zone.region for zone in declaration.availability_zones}
    peer_lists = set()
    for host in declaration.hosts:
        path = str(EXAMPLES / name / f"{host.name}.toml")
        if host.role is HostRole.CONTROL:
            settings = load_settings(path, ControlSettings)
            assert settings.peer_address in settings.peers
            peer_lists.add(settings.peers)
            continue
        settings = load_settings(path, EntrySettings)
        assert settings.name == host.name
        assert settings.address == host.address
        assert settings.availability_zone == host.availability_zone
        assert settings.region == region_by_zone[host.availability_zone]
        peer_lists.add(settings.control_addresses)
    assert len(peer_lists) == 1
