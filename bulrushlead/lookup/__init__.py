"""Look-ups: map a caller's address to an ordered list of entry hosts."""

from bulrushlead.lookup._blocks import (
    NO_TARGET,
    BlockArrays,
    FamilyBlocks,
    LongBlock,
)
from bulrushlead.lookup._order import (
    EntryHostOrder,
    EntryHostView,
    HostState,
    LookupAnswer,
)
from bulrushlead.lookup._table import BlockDelta, BlockTable

__all__ = [
    "NO_TARGET",
    "BlockArrays",
    "BlockDelta",
    "BlockTable",
    "EntryHostOrder",
    "EntryHostView",
    "FamilyBlocks",
    "HostState",
    "LongBlock",
    "LookupAnswer",
]
