"""Table of the servers that own objects, kept by the leader.

A host of a large fleet meets each server too rarely to know its queue, and hashing
gives some servers twice as many objects as others and moves objects with every server
that joins. The leader sees the demand of all hosts, so it can move few objects, and
only where that relieves a server. The approach follows consistent hashing with bounded
loads (Mirrokni, Thorup, Zadimoghaddam 2016), with measured work as the load.
"""

import math
from collections import Counter
from collections.abc import Iterable
from enum import Enum

import attrs

from bulrushlead.clock import Clock, decayed

DEMAND_HALF_LIFE_MS = 5_000  # some requests of each frequently requested object
# An object without a request for this time leaves the table; hashing places it again.
OBJECT_TTL_MS = 60_000
MAX_OBJECTS = 6_000  # of all groups; bounds the table that every host receives
# Share of a server's slots that its objects may fill although other servers have less.
# Queues are short below it, so a move would cost more than it gains.
UNDISTURBED_UTILISATION = 0.6
MAX_LOAD_RATIO = 1.3  # highest load of a server beyond that, by the mean of its group
# Objects that a group moves in one update for balance: each one is not cached at its
# new server.
MAX_MOVES = 2
# Load that a cold server counts with in addition, by the mean of its group: it is slow
# and accepts a limited rate.
COLD_LOAD_RATIO = 0.5


class MoveReason(Enum):
    """Why an object got another owner."""

    OWNER_LOST = "owner_lost"
    OWNER_LOADED = "owner_loaded"
    SERVER_IDLE = "server_idle"


@attrs.frozen
class PlacementServer:
    """A server that may own objects.

    Parameters
    ----------
    server_id : str
        Identity of the server.
    group : str
        Region and service of the server; objects move within one group only.
    slots : int
        Number of requests that the server runs at the same time.
    cold : bool
        Whether the server has just started.
    """

    server_id: str
    group: str
    slots: int
    cold: bool = False


@attrs.define(eq=False)
class _Object:
    owner: str
    revision: int = 0
    work_ms: float = 0.0  # decayed sum
    updated_ms: float = 0.0
    last_server: str = ""  # last server that got a request for the object

    def load_at(self, now_ms: float) -> float:
        """Return the mean number of slots that the requests for the object fill."""
        work_ms = decayed(self.work_ms, now_ms - self.updated_ms, DEMAND_HALF_LIFE_MS)
        return work_ms * math.log(2) / DEMAND_HALF_LIFE_MS

    def add(self, work_ms: float, now_ms: float) -> None:
        self.work_ms = work_ms + decayed(
            self.work_ms, now_ms - self.updated_ms, DEMAND_HALF_LIFE_MS
        )
        self.updated_ms = now_ms


class OwnerTable:
    """Owners of the objects that callers requested recently.

    An object belongs to the first server that got a request for it, until that server
    is not usable any more or is loaded far above the mean of its group.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    revision : int
        Revision of the newest changes; those between two updates share one, so that
        hosts at the same position get the same answer.
    """

    def __init__(self, clock: Clock):
        self.clock = clock
        self.revision = 0
        self._groups: dict[str, dict[int, _Object]] = {}
        self._removed: dict[tuple[str, int], int] = {}
        self._servers: dict[str, PlacementServer] = {}
        self._has_changed = False

    def restore(self, owners: dict[str, dict[int, str]]) -> None:
        """Take over the owners that a previous leader published."""
        now_ms = self.clock.now_ms()
        for group, objects in owners.items():
            for digest, owner in objects.items():
                self._insert(group, digest, owner, now_ms)

    def record_demand(self, demand: dict[str, dict[int, float]]) -> None:
        """Add the demand that a host reports.

        Parameters
        ----------
        demand : dict of str to dict of int to float
            Work in milliseconds, by server and object digest.
        """
        now_ms = self.clock.now_ms()
        for server_id, work_by_digest in demand.items():
            server = self._servers.get(server_id)
            if server is None:
                continue
            objects = self._groups.setdefault(server.group, {})
            for digest, work_ms in work_by_digest.items():
                known = objects.get(digest) or self._insert(
                    server.group, digest, server_id, now_ms
                )
                if known is not None and math.isfinite(work_ms) and work_ms > 0:
                    known.add(work_ms, now_ms)
                    known.last_server = server_id

    @property
    def object_count(self) -> int:
        """Number of objects with an owner."""
        return sum(len(objects) for objects in self._groups.values())

    def update(self, servers: Iterable[PlacementServer]) -> Counter[MoveReason]:
        """Move objects after a change of the usable servers or of the demand.

        Parameters
        ----------
        servers : iterable of PlacementServer
            Every server that may own objects now.

        Returns
        -------
        Counter of MoveReason
            Number of objects that got another owner.
        """
        moves: Counter[MoveReason] = Counter()
        self._servers = {server.server_id: server for server in servers}
        members: dict[str, list[PlacementServer]] = {}
        for server in self._servers.values():
            members.setdefault(server.group, []).append(server)
        for group, objects in self._groups.items():
            self._expire(group, objects)
            if group in members and objects:
                moves += _GroupBalance(self, members[group], objects).run()
        if self._has_changed:
            self.revision += 1
            self._has_changed = False
        return moves

    def owners_since(self, revision: int) -> dict[str, dict[int, str]]:
        """Return the owners changed after a revision; empty for a removed object."""
        if revision >= self.revision:
            return {}
        changed: dict[str, dict[int, str]] = {}
        for (group, digest), removed_revision in self._removed.items():
            if removed_revision > revision:
                changed.setdefault(group, {})[digest] = ""
        for group, objects in self._groups.items():
            for digest, known in objects.items():
                if known.revision > revision:
                    changed.setdefault(group, {})[digest] = known.owner
        return changed

    def move(self, known: _Object, owner: str) -> None:
        """Give an object to another server; ``update`` publishes the change."""
        known.owner, known.revision = owner, self._next_revision()

    def _next_revision(self) -> int:
        self._has_changed = True
        return self.revision + 1

    def _insert(
        self, group: str, digest: int, owner: str, now_ms: float
    ) -> _Object | None:
        if self.object_count >= MAX_OBJECTS:
            return None
        known = _Object(owner, updated_ms=now_ms)
        self._groups.setdefault(group, {})[digest] = known
        self._removed.pop((group, digest), None)
        self.move(known, owner)
        return known

    def _expire(self, group: str, objects: dict[int, _Object]) -> None:
        oldest_ms = self.clock.now_ms() - OBJECT_TTL_MS
        expired = [
            digest
            for digest, known in objects.items()
            if known.updated_ms < oldest_ms
            # Without a known demand, hashing places an object better than a guess.
            or (known.owner not in self._servers and not known.work_ms)
        ]
        for digest in expired:
            del objects[digest]
            self._removed[(group, digest)] = self._next_revision()
            while len(self._removed) > MAX_OBJECTS:
                del self._removed[next(iter(self._removed))]


class _GroupBalance:
    """One update of the owners within a group of servers."""

    def __init__(
        self,
        table: OwnerTable,
        servers: list[PlacementServer],
        objects: dict[int, _Object],
    ):
        now_ms = table.clock.now_ms()
        self.table = table
        self.servers = {server.server_id: server for server in servers}
        self.objects = list(objects.values())
        self.load_of = {id(known): known.load_at(now_ms) for known in self.objects}
        self.loads = dict.fromkeys(self.servers, 0.0)
        self.owned: dict[str, list[_Object]] = {name: [] for name in self.servers}
        slots = sum(server.slots for server in servers)
        self.mean = sum(self.load_of.values()) / slots
        self.limit = max(UNDISTURBED_UTILISATION, MAX_LOAD_RATIO * self.mean)

    def run(self) -> Counter[MoveReason]:
        """Replace lost owners, relieve loaded ones, then use idle servers."""
        orphans = []
        for known in self.objects:
            if known.owner in self.servers:
                self._own(known)
            else:
                orphans.append(known)
        for known in sorted(orphans, key=lambda o: -self.load_of[id(o)]):
            self.table.move(known, self._new_owner(known))
            self._own(known)
        relieved = self._relieve(MAX_MOVES)
        filled = self._fill_idle_servers(MAX_MOVES - relieved)
        return Counter(
            {
                MoveReason.OWNER_LOST: len(orphans),
                MoveReason.OWNER_LOADED: relieved,
                MoveReason.SERVER_IDLE: filled,
            }
        )

    def _own(self, known: _Object) -> None:
        self.loads[known.owner] += self.load_of[id(known)]
        self.owned[known.owner].append(known)

    def _hand_over(self, known: _Object, owner: str) -> None:
        self.loads[known.owner] -= self.load_of[id(known)]
        self.owned[known.owner].remove(known)
        self.table.move(known, owner)
        self._own(known)

    def _new_owner(self, known: _Object) -> str:
        """Return the server that has probably cached the object, or an idle one."""
        server = self.servers.get(known.last_server)
        if server is not None and not server.cold:
            load = self.loads[server.server_id] + self.load_of[id(known)]
            if load <= self.limit * server.slots:
                return server.server_id
        return self._least_loaded()

    def _least_loaded(self) -> str:
        return min(
            self.servers,
            key=lambda name: (self._utilisation(name), len(self.owned[name]), name),
        )

    def _utilisation(self, server_id: str) -> float:
        server = self.servers[server_id]
        penalty = COLD_LOAD_RATIO * self.mean if server.cold else 0.0
        return self.loads[server_id] / server.slots + penalty

    def _has_room(self, server_id: str, load: float) -> bool:
        room = UNDISTURBED_UTILISATION * self.servers[server_id].slots
        return self.loads[server_id] + load <= room

    def _relieve(self, max_moves: int) -> int:
        """Move objects away from the most loaded servers; return how many."""
        moves = 0
        by_load = sorted(
            self.servers, key=lambda n: -self.loads[n] / self.servers[n].slots
        )
        for name in by_load:
            limit = self.limit * self.servers[name].slots
            for known in sorted(self.owned[name], key=lambda o: self.load_of[id(o)]):
                load = self.load_of[id(known)]
                if self.loads[name] <= limit or moves >= max_moves:
                    break
                target = self._least_loaded()
                # When all servers are full, moves only add work that is not cached.
                if not load or not self._has_room(target, load):
                    continue
                self._hand_over(known, target)
                moves += 1
        return moves

    def _fill_idle_servers(self, max_moves: int) -> int:
        """Give one object to warm servers without any; return how many got one."""
        moves = 0
        idle = [
            name
            for name, owned in self.owned.items()
            if not owned and not self.servers[name].cold
        ]
        for name in idle[: max(0, max_moves)]:
            donor = max(self.owned, key=lambda n: (len(self.owned[n]), n))
            if len(self.owned[donor]) < 2:
                break
            known = min(self.owned[donor], key=lambda o: self.load_of[id(o)])
            self._hand_over(known, name)
            moves += 1
        return moves
