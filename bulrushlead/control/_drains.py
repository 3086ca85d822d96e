"""Replicated state of the planned drains that have started."""

import datetime

from bulrushlead.declaration import Declaration, Drain
from bulrushlead.wire import message


@message("control.start_drain")
class StartDrain:
    """Command of the replicated log: start a planned drain.

    Parameters
    ----------
    name : str
        Name of the drain.
    start_at : str
        Its declared start time; if the declaration has a different time by then,
        the drain is not started.
    """

    name: str
    start_at: str


@message("control.started_drain")
class StartedDrain:
    """Reply to ``StartDrain`` and record of a drain that has started.

    Parameters
    ----------
    name : str
        Name of the drain.
    start_at : str
        Its declared start time.
    """

    name: str
    start_at: str


class DrainState:
    """Started drains, as a part of the replicated state.

    Notes
    -----
    The start of a drain is a command in the log, so that a new leader whose wall
    clock is behind cannot revert a drain that an earlier leader has started.
    """

    def __init__(self):
        self._started: dict[str, StartedDrain] = {}

    def apply(self, command: StartDrain) -> StartedDrain:
        """Record that a drain has started."""
        started = StartedDrain(command.name, command.start_at)
        self._started[command.name] = started
        return started

    def prune(self, declaration: Declaration) -> None:
        """Remove drains that are no longer declared with the same start time."""
        declared = {drain.name: drain.start_at for drain in declaration.drains}
        self._started = {
            name: started
            for name, started in self._started.items()
            if declared.get(name) == started.start_at
        }

    def active(self, declaration: Declaration) -> tuple[Drain, ...]:
        """Return the declared drains that have started."""
        return tuple(
            drain
            for drain in declaration.drains
            if not drain.start_at or self._is_started(drain)
        )

    def due(self, declaration: Declaration, now: datetime.datetime) -> tuple[Drain]:
        """Return the declared drains that are past their start time but not started.

        Parameters
        ----------
        declaration : Declaration
            Configuration in force.
        now : datetime.datetime
            Wall-clock time with a time zone.
        """
        return tuple(
            drain
            for drain in declaration.drains
            if drain.start_at
            and not self._is_started(drain)
            and parse_start(drain.start_at) <= now
        )

    def snapshot(self) -> tuple[StartedDrain, ...]:
        """Return the drains that have started."""
        return tuple(self._started.values())

    def restore(self, started: tuple[StartedDrain, ...]) -> None:
        """Replace the state by a snapshot."""
        self._started = {item.name: item for item in started}

    def _is_started(self, drain: Drain) -> bool:
        started = self._started.get(drain.name)
        return started is not None and started.start_at == drain.start_at


def parse_start(start_at: str) -> datetime.datetime:
    """Return the declared start time; a time without a time zone is in UTC."""
    parsed = datetime.datetime.fromisoformat(start_at)
    if parsed.tzinfo is None:
        return parsed.replace(tzinfo=datetime.UTC)
    return parsed
