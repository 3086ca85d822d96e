"""What is recorded of each key, and how a snapshot holds it."""

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
        Whether status, headers and body are given.
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
        Digest of its request; empty if the claim was never seen.
    host, incarnation, attempt_id : str
        The latest attempt.
    status : KeyStatus
        State of the key.
    claimed_index : int
        Position of the claim in the replicated log.
    note : str
        What is known about an unknown outcome.
    answer : RecordedAnswer or None
        The answer, when finished.
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
        Keys in progress or unknown, in order.
    answered_keys : dict of str to bytes
        Encoded records of finished keys, oldest end first.
    released_keys : tuple of KeyRecord
        Keys whose request did not run, oldest end first.
    spent_prints : bytes
        Fingerprints of spent keys, 8 bytes each, oldest first.
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
        In order of their first claim.
    """

    services: tuple[ServiceSnapshot, ...] = ()
