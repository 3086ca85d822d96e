"""Guards against example declarations that are invalid or do not match the brief."""

from pathlib import Path

import pytest

from bulrushlead.declaration import HostRole, diff, find_risks, load_declaration

EXAMPLES = Path(__file__).parents[3] / "examples"

# Name, link limit in bytes/s, one-way latency in ms, services.
DEPLOYMENTS = [
    ("araza", 500_000_000, 20.0, {"batch-records", "certificates"}),
    ("alaf", 35_000_000, 35.0, {"ordering", "delivery"}),
]


@pytest.mark.parametrize(("name", "bytes_per_s", "latency_ms", "services"), DEPLOYMENTS)
def test_example_has_the_sizes_of_the_brief(name, bytes_per_s, latency_ms, services):
    declaration = load_declaration(EXAMPLES / name / "declaration.toml")
    roles = [host.role for host in declaration.hosts]
    assert len(declaration.regions) == 3
    assert len(declaration.availability_zones) == 6
    assert 9 <= roles.count(HostRole.ENTRY) <= 11
    assert roles.count(HostRole.CONTROL) == 3
    assert {service.name for service in declaration.services} == services
    assert len(declaration.links) == 6
    assert {link.bytes_per_s for link in declaration.links} == {bytes_per_s}
    assert {link.latency_ms for link in declaration.links} == {latency_ms}
    assert declaration.client_blocks
    assert not declaration.shifts


@pytest.mark.parametrize("name", ["araza", "alaf"])
@pytest.mark.parametrize("change", ["shift", "drain"])
def test_example_change_affects_one_item_without_risk(name, change):
    old = load_declaration(EXAMPLES / name / "declaration.toml")
    new = load_declaration(EXAMPLES / name / f"declaration-{change}.toml")
    (item,) = diff(old, new).changes
    assert item.section == f"{change}s"
    assert find_risks(old, new) == []
