"""The replicated log: election, storage, snapshots and membership."""

from bulrushlead.replication._interfaces import (
    LeadershipCallback,
    LinkFactory,
    StateMachine,
)
from bulrushlead.replication._log import MAX_COMMAND_BYTES, ReplicatedLog
from bulrushlead.replication._memory_storage import MemoryStorage
from bulrushlead.replication._messages import Member, MemberRole
from bulrushlead.replication._settings import ReplicaSettings
from bulrushlead.replication._storage import FileStorage, Storage, set_files_aside

__all__ = [
    "MAX_COMMAND_BYTES",
    "FileStorage",
    "LeadershipCallback",
    "LinkFactory",
    "Member",
    "MemberRole",
    "MemoryStorage",
    "ReplicaSettings",
    "ReplicatedLog",
    "StateMachine",
    "Storage",
    "set_files_aside",
]
