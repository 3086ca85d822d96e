import errno
import os

import attrs
import pytest

from bulrushlead.coordinator import _cache
from bulrushlead.coordinator._cache import FILE_NAME, MAX_AGE_MS, FleetCache
from bulrushlead.fleet import ServerRecord, ServerState

RECORD = ServerRecord(
    "b1", 1_000, "stock", "10.0.0.1:80", "casa-a", 4, ServerState.READY
)
SERVERS = [attrs.evolve(RECORD, server_id=f"b{n}") for n in range(200)]


@pytest.fixture
def wall_clock(monkeypatch):
    now = {"ms": 1_000_000}
    monkeypatch.setattr(_cache, "_wall_ms", lambda: now["ms"])
    return now


@pytest.fixture
def cache(tmp_path, wall_clock):
    return FleetCache(str(tmp_path / "fleet"))


async def test_saved_servers_are_loaded_after_a_restart(cache, wall_clock):
    await cache.save(SERVERS)
    wall_clock["ms"] += 4_000
    assert FleetCache(cache.folder).load() == tuple(SERVERS)


def test_a_missing_file_loads_no_servers(cache):
    assert cache.load() == ()


@pytest.mark.parametrize("moved_ms", [MAX_AGE_MS + 1, -1])
async def test_an_expired_or_future_list_is_not_used(cache, wall_clock, moved_ms):
    await cache.save(SERVERS)
    wall_clock["ms"] += moved_ms
    assert cache.load() == ()


@pytest.mark.parametrize("length", [0, 4, 8, 500, -1])
async def test_a_truncated_file_is_not_used(cache, tmp_path, length):
    await cache.save(SERVERS)
    path = tmp_path / "fleet" / FILE_NAME
    path.write_bytes(path.read_bytes()[:length])
    assert cache.load() == ()


async def test_a_file_with_a_flipped_bit_is_not_used(cache, tmp_path):
    await cache.save(SERVERS)
    path = tmp_path / "fleet" / FILE_NAME
    data = bytearray(path.read_bytes())
    data[len(data) // 2] ^= 1
    path.write_bytes(bytes(data))
    assert cache.load() == ()


async def test_a_failed_write_raises_no_error(tmp_path, wall_clock):
    (tmp_path / "fleet").write_text("not a folder")
    cache = FleetCache(str(tmp_path / "fleet"))
    await cache.save(SERVERS)
    assert cache.load() == ()


async def test_a_list_without_room_leaves_no_part_on_the_disk(cache, monkeypatch):
    """Guards against a full disk whose last room the list keeps from the journal."""
    await cache.save(SERVERS[:1])

    def fail(descriptor):
        raise OSError(errno.ENOSPC, "No space left on device")

    monkeypatch.setattr(os, "fsync", fail)
    await cache.save(SERVERS)
    assert os.listdir(cache.folder) == [FILE_NAME]
    assert cache.load() == tuple(SERVERS[:1])
