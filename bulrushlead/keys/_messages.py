"""Commands of idempotency keys and their replies."""

from enum import Enum

from bulrushlead.wire import message


class ClaimState(Enum):
    """What a claim or a read found."""

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
    """Ask to be the only one who runs the request of a key.

    Resending the same claim is safe: the reply is the same while the attempt
    lasts.

    Parameters
    ----------
    key, service : str
        The key, and the service within which it is unique.
    digest : bytes
        Digest of method, path and body.
    host, incarnation : str
        Entry host that will run the request, and its run.
    attempt_id : str
        Unique over all hosts and runs.
    """

    key: str
    service: str
    digest: bytes
    host: str
    incarnation: str
    attempt_id: str


@message("keys.finish")
class FinishKey:
    """Record the end of an attempt.

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
        Whether status, headers and body are given; False if too large to keep.
    note : str
        For an unknown outcome: which server was tried and what was seen.
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
    """Mark the outcome of an attempt as unknown, as its holder seems gone.

    Parameters
    ----------
    key, service, attempt_id : str
        As in the claim; another attempt at the key is not touched.
    note : str
        Why the holder is taken to be gone.
    """

    key: str
    service: str
    attempt_id: str
    note: str = ""


@message("keys.abandon_host")
class AbandonHost:
    """Mark all attempts of a host's former runs as unknown.

    Parameters
    ----------
    host : str
        Name of the entry host.
    live_incarnation : str
        The run that goes on; empty if the host is gone altogether.
    """

    host: str
    live_incarnation: str = ""


@message("keys.resolve")
class ResolveKey:
    """Decide an unknown outcome after looking at the backend server.

    Parameters
    ----------
    key, service, attempt_id : str
        As listed by `ListUnknownKeys`.
    ran : bool
        Whether the request ran.
    note : str
        Who decided, and on what evidence.
    """

    key: str
    service: str
    attempt_id: str
    ran: bool
    note: str = ""


@message("keys.forget")
class ForgetKeys:
    """Forget the oldest spent keys of a service.

    Parameters
    ----------
    service : str
        Name of the service.
    keep : int
        Number of spent keys that must remain.
    """

    service: str
    keep: int


@message("keys.read")
class ReadKey:
    """Ask for the state of a key; changes nothing.

    Parameters
    ----------
    key, service : str
        As in the claim.
    digest : bytes
        Digest of the reader's own request.
    """

    key: str
    service: str
    digest: bytes


@message("keys.list_unknown")
class ListUnknownKeys:
    """Ask for the keys whose outcome is unknown; changes nothing.

    Parameters
    ----------
    service : str
        Name of the service; empty for all.
    limit : int
        Most keys in the reply.
    """

    service: str = ""
    limit: int = 1_000


@message("keys.claim_reply")
class ClaimReply:
    """Reply to a claim or a read.

    Parameters
    ----------
    state : ClaimState
        What was found.
    host, incarnation, attempt_id : str
        Holder of the attempt in progress or of unknown outcome.
    status : int
        HTTP status of the recorded answer.
    headers : tuple of AnswerHeader
        Its headers.
    body : bytes
        Its body.
    note : str
        What is known about an unknown outcome.
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
    """Reply to a command that records or decides something.

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
        What `ResolveKey` needs.
    host, incarnation : str
        Who ran the attempt.
    claimed_index : int
        Position of the claim in the replicated log.
    note : str
        What is known, for example which server was tried.
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
        Number of such keys, also beyond the limit of the reply.
    """

    keys: tuple[UnknownKey, ...] = ()
    total: int = 0
