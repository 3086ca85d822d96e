"""Control host: replicated state, operators' calls and leases."""

from bulrushlead.control._drains import DrainState, StartDrain, StartedDrain
from bulrushlead.control._program import ControlHost
from bulrushlead.control._state import ControlSnapshot, ControlState

__all__ = [
    "ControlHost",
    "ControlSnapshot",
    "ControlState",
    "DrainState",
    "StartDrain",
    "StartedDrain",
]
