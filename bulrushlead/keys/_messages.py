"""Commands of idempotency keys and their replies."""

from enum import Enum

from bulrushlead.wire import message


class ClaimState(Enum):
    """State of a key, as replied to a claim or a read."""

    CLAIMED = "claimed"
    IN_PROGRESS = "in_progress"
    FINISHED = "finished"
    ANSWER_NOT_KEPT = "answer_not_kept"
    UNKNOWN = "unknown"
    FREE = "free"
    REUSED = "reused"
    ATTEMPT_OVER = "attempt_over"
    FULL = "full"


class KeyOutcome(Enum):
    """How an attempt ended."""

    ANSWERED = "answered"
    NOT_RUN = "not_run"
    UNKNOWN = "unknown"


@message("keys.answer_header")
class AnswerHeader:
    """One header of a recorded answer.

    Parameters
    ----------
    name, value : str
        As the backend server sent them.
    """

    name: str
    value: str


@message("keys.claim")
class ClaimKey:
    """Claim the exclusive right to run the request of a key.

    Resending the same claim is safe: the reply is the same while the attempt is
    in progress.

    Parameters
    ----------
    key, service : str
        The key, and the service within which it is unique.
    digest : bytes
        Digest of method, path and body.
    host, incarnation : str
        Entry host that will run the request, and its incarnation.
    attempt_id : str
        Identifier, unique over all hosts and incarnations.
    """

    key: str
    service: str
    digest: bytes
    host: str
    incarnation: str
    attempt_id: str


@message("keys.finish")
class FinishKey:
    """Record the outcome of an attempt.

    Parameters
    ----------
    key, service, attempt_id : str
        As in the claim.
    outcome : KeyOutcome
        How the attempt ended.
    status : int
        HTTP status of the answer.
    headers : tuple of AnswerHeader
        Headers of the answer.
    body : bytes
        Body of the answer.
    kept : bool
        Whether status, headers and body are recorded; False if they are too large.
    note : str
        Server and error of an attempt without an answer, or the note of the
        operator who resolved the key.
    """

    key: str
    service: str
    attempt_id: str
    outcome: KeyOutcome
    status: int = 0
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b""
    kept: bool = True
    note: str = ""


@message("keys.abandon")
class AbandonKey:
    """Mark the outcome of an attempt as unknown because its holder seems down.

    Parameters
    ----------
    key, service, attempt_id : str
        As in the claim; other attempts at the key are not changed.
    note : str
        Why the holder is assumed to be down.
    """

    key: str
    service: str
    attempt_id: str
    note: str = ""


@message("keys.abandon_host")
class AbandonHost:
    """Mark attempts in progress of a host's former incarnations as unknown.

    Parameters
    ----------
    host : str
        Name of the entry host.
    live_incarnation : str
        Incarnation that still runs; empty if the host is down.
    """

    host: str
    live_incarnation: str = ""


@message("keys.resolve")
class ResolveKey:
    """Resolve an unknown outcome after checking the backend server.

    Parameters
    ----------
    key, service, attempt_id : str
        As listed by `ListUnknownKeys`.
    ran : bool
        Whether the request ran.
    note : str
        Who decided, on what evidence.
    """

    key: str
    service: str
    attempt_id: str
    ran: bool
    note: str = ""


@message("keys.forget")
class ForgetKeys:
    """Forget the oldest spent keys of a service.

    A spent key is one that ran and whose answer is no longer stored.

    Parameters
    ----------
    service : str
        Name of the service.
    keep : int
        Minimum number of spent keys that remain.
    """

    service: str
    keep: int


@message("keys.read")
class ReadKey:
    """Query the state of a key; changes nothing.

    Parameters
    ----------
    key, service : str
        As in the claim.
    digest : bytes
        Digest of the reader's request with this key.
    """

    key: str
    service: str
    digest: bytes


@message("keys.list_unknown")
class ListUnknownKeys:
    """Query the keys whose outcome is unknown; changes nothing.

    Parameters
    ----------
    service : str
        Name of the service; empty for all.
    limit : int
        Maximum number of keys in the reply.
    """

    service: str = ""
    limit: int = 1_000


@message("keys.claim_reply")
class ClaimReply:
    """Reply to a claim or a read.

    Parameters
    ----------
    state : ClaimState
        State of the key.
    host, incarnation, attempt_id : str
        Holder and identifier of an attempt in progress or of unknown outcome.
    status : int
        HTTP status of the recorded answer.
    headers : tuple of AnswerHeader
        Headers of the recorded answer.
    body : bytes
        Body of the recorded answer.
    note : str
        Details of an unknown outcome, or the note of the operator who resolved the
        key as run.
    """

    state: ClaimState
    host: str = ""
    incarnation: str = ""
    attempt_id: str = ""
    status: int = 0
    headers: tuple[AnswerHeader, ...] = ()
    body: bytes = b""
    note: str = ""


@message("keys.change_reply")
class ChangeReply:
    """Reply to a command that changes the state of keys.

    Parameters
    ----------
    applied : bool
        Whether the command changed or confirmed the state.
    count : int
        Number of keys changed.
    """

    applied: bool
    count: int = 0


@message("keys.unknown_key")
class UnknownKey:
    """A key whose outcome is unknown.

    Parameters
    ----------
    key, service, attempt_id : str
        Arguments of `ResolveKey`.
    host, incarnation : str
        Entry host that made the attempt, and its incarnation.
    claimed_index : int
        Position of the claim in the replicated log.
    note : str
        Details of the attempt, for example its server.
    """

    key: str
    service: str
    attempt_id: str
    host: str
    incarnation: str
    claimed_index: int
    note: str = ""


@message("keys.unknown_list")
class UnknownKeyList:
    """Reply to `ListUnknownKeys`.

    Parameters
    ----------
    keys : tuple of UnknownKey
        In order of their claims.
    total : int
        Number of all keys of unknown outcome, including those over the limit of the
        query.
    """

    keys: tuple[UnknownKey, ...] = ()
    total: int = 0
