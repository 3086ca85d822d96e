"""Records of keys, and their snapshots."""

from enum import Enum

import attrs

from bulrushlead.keys._messages import AnswerHeader
from bulrushlead.wire import message


class KeyStatus(Enum):
    """State of a recorded key."""

    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    UNKNOWN = "unknown"
    FREE = "free"


@message("keys.recorded_answer")
class RecordedAnswer:
    """Answer of a finished key.

    Parameters
    ----------
    status : int
        HTTP status.
    headers : tuple of AnswerHeader
        Headers.
    body : bytes
        Body.
    kept : bool
        Whether status, headers and body are recorded.
    note : str
        Who decided that the request ran, if an operator did.
    """

    status: int = 0
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b""
    kept: bool = True
    note: str = ""


@message("keys.record")
class KeyRecord:
    """State of one key.

    Parameters
    ----------
    key, service : str
        The key, and the service within which it is unique.
    digest : bytes
        Digest of the request; empty if the claim was never applied.
    host, incarnation, attempt_id : str
        Entry host, its incarnation, and identifier of the latest attempt.
    status : KeyStatus
        State of the key.
    claimed_index : int
        Position of the claim in the replicated log.
    note : str
        Details of an unknown outcome, or why the request did not run.
    answer : RecordedAnswer or None
        The answer of a finished key.
    """

    key: str
    service: str
    digest: bytes
    host: str
    incarnation: str
    attempt_id: str
    status: KeyStatus
    claimed_index: int
    note: str = ""
    answer: RecordedAnswer | None = None


@message("keys.service_snapshot")
class ServiceSnapshot:
    """State of all keys of one service.

    Parameters
    ----------
    service : str
        Name of the service.
    open_keys : tuple of KeyRecord
        Keys in progress or of unknown outcome, in the order of their claims.
    answered_keys : dict of str to bytes
        Encoded records of finished keys, in the order in which they finished.
    released_keys : tuple of KeyRecord
        Keys whose request did not run, in the order of their release.
    spent_prints : bytes
        Fingerprints of spent keys (ran, answer no longer stored), 8 bytes each,
        oldest block first.
    """

    service: str
    open_keys: tuple[KeyRecord, ...] = ()
    answered_keys: dict[str, bytes] = attrs.Factory(dict)
    released_keys: tuple[KeyRecord, ...] = ()
    spent_prints: bytes = b""


@message("keys.snapshot")
class KeySnapshot:
    """State of all keys.

    Parameters
    ----------
    services : tuple of ServiceSnapshot
        Services in the order of their first command.
    """

    services: tuple[ServiceSnapshot, ...] = ()
