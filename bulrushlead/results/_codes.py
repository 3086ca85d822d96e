"""Result codes of every package, with the statuses and meaning of each."""

from enum import Enum, IntEnum

import attrs


class Ran(Enum):
    """Whether a request may have run on a backend server."""

    NO = "no"
    UNKNOWN = "unknown"
    YES = "yes"


class ResultCode(IntEnum):
    """Numbered result codes; a released number never changes its meaning."""

    OK = 0

    # Settings and command line.
    SETTINGS_UNREADABLE = 1001
    SETTINGS_INVALID = 1002
    USAGE = 1003
    INTERNAL = 1004

    # Declarations.
    DECLARATION_UNREADABLE = 1101
    DECLARATION_INVALID = 1102

    # Operators' calls.
    REVISION_CONFLICT = 1201
    REQUEST_ID_REUSED = 1202
    NEEDS_FORCE = 1203
    NOT_AUTHORISED = 1204
    NOT_FOUND = 1205
    CONTROL_UNREACHABLE = 1206
    CHANGE_OUTCOME_UNKNOWN = 1207

    # Replicated log.
    NOT_LEADER = 2001
    NO_QUORUM = 2002
    MEMBERSHIP_REFUSED = 2003

    # Storage.
    STORAGE_DAMAGED = 2101
    STORAGE_FAILED = 2102

    # Look-up and routing.
    UNKNOWN_SERVICE = 3001
    NO_CONFIGURATION = 3002
    NO_ENTRY_HOST = 3003
    NO_BACKEND_SERVER = 3004

    # Limits and leases.
    OVERLOADED = 3101
    NO_LEASE = 3102
    REGION_LIMIT = 3103
    LINK_LIMIT = 3104
    DEADLINE_TOO_SHORT = 3105

    # Forwarding.
    BAD_REQUEST = 3201
    DEADLINE_EXPIRED = 3202
    CONNECT_FAILED = 3203
    ANSWER_LOST = 3204
    ANSWER_TRUNCATED = 3205
    BACKEND_REFUSED = 3206
    STOPPING = 3207
    BODY_TOO_LARGE = 3208
    ANSWER_TOO_LARGE = 3209
    ANSWER_MALFORMED = 3210
    REQUEST_QUARANTINED = 3211

    # Idempotency keys.
    KEY_REUSED = 3301
    KEY_OUTCOME_UNKNOWN = 3302
    KEY_CLAIM_FAILED = 3303
    KEY_ANSWER_NOT_KEPT = 3304

    # Organisations.
    UNKNOWN_KEY = 3401
    KEYS_UNCONFIRMED = 3402
    QUOTA_EXCEEDED = 3403
    NO_COMMON_REGION = 3404

    # Connections between processes.
    MESSAGE_MALFORMED = 4001
    MESSAGE_TOO_LARGE = 4002
    PEER_UNREACHABLE = 4003
    PEER_TIMEOUT = 4004


@attrs.frozen
class CodeInfo:
    """Meaning of a result code for its receiver.

    Parameters
    ----------
    summary : str
        One sentence for the reference table.
    http_status : int
        Status of the HTTP answer that carries the code.
    exit_code : int
        Exit code of the command line.
    ran : Ran
        Whether the request may have run.
    """

    summary: str
    http_status: int = 500
    exit_code: int = 1
    ran: Ran = Ran.NO


_C = ResultCode

CODES: dict[ResultCode, CodeInfo] = {
    _C.OK: CodeInfo("The call succeeded.", 200, 0, Ran.YES),
    # Settings and command line.
    _C.SETTINGS_UNREADABLE: CodeInfo("The settings file cannot be read.", 500, 3),
    _C.SETTINGS_INVALID: CodeInfo("The settings contain one or more faults.", 500, 3),
    _C.USAGE: CodeInfo("The command line is wrong.", 400, 2),
    _C.INTERNAL: CodeInfo("An unexpected error; see the log.", 500, 1, Ran.UNKNOWN),
    # Declarations.
    _C.DECLARATION_UNREADABLE: CodeInfo("The declaration cannot be read.", 400, 4),
    _C.DECLARATION_INVALID: CodeInfo("The declaration contains faults.", 400, 4),
    # Operators' calls.
    _C.REVISION_CONFLICT: CodeInfo("Another change was accepted first.", 409, 5),
    _C.REQUEST_ID_REUSED: CodeInfo(
        "The request identifier was used for another change.", 409, 5
    ),
    _C.NEEDS_FORCE: CodeInfo("The change is risky and was not forced.", 409, 6),
    _C.NOT_AUTHORISED: CodeInfo("The operator may not make this call.", 403, 7),
    _C.NOT_FOUND: CodeInfo("No such object.", 404, 8),
    _C.CONTROL_UNREACHABLE: CodeInfo("No control host answers as leader.", 503, 9),
    _C.CHANGE_OUTCOME_UNKNOWN: CodeInfo(
        "The change may or may not have been accepted; resend it.",
        503,
        10,
        Ran.UNKNOWN,
    ),
    # Replicated log.
    _C.NOT_LEADER: CodeInfo("This replica is not the leader.", 503, 9),
    _C.NO_QUORUM: CodeInfo("The leader cannot reach a quorum.", 503, 9),
    _C.MEMBERSHIP_REFUSED: CodeInfo("The membership change is not safe.", 409, 6),
    # Storage.
    _C.STORAGE_DAMAGED: CodeInfo("A stored file is damaged.", 500, 11),
    _C.STORAGE_FAILED: CodeInfo("A write or sync to the disk failed.", 500, 11),
    # Look-up and routing.
    _C.UNKNOWN_SERVICE: CodeInfo("No service has this name.", 404, 8),
    _C.NO_CONFIGURATION: CodeInfo("The entry host has no valid configuration.", 503),
    _C.NO_ENTRY_HOST: CodeInfo("No entry host accepts callers.", 503),
    _C.NO_BACKEND_SERVER: CodeInfo("No backend server accepts the request.", 503),
    # Limits and leases.
    _C.OVERLOADED: CodeInfo("The wait would be too long, or the queue is full.", 503),
    _C.NO_LEASE: CodeInfo("The entry host holds no valid lease.", 503),
    _C.REGION_LIMIT: CodeInfo("The region's capacity is used up.", 503),
    _C.LINK_LIMIT: CodeInfo("The link's capacity is used up.", 503),
    _C.DEADLINE_TOO_SHORT: CodeInfo("The remaining time is too short.", 504),
    # Forwarding.
    _C.BAD_REQUEST: CodeInfo("The request is malformed.", 400),
    _C.DEADLINE_EXPIRED: CodeInfo(
        "The deadline passed, and the request may have run.", 504, 1, Ran.UNKNOWN
    ),
    _C.CONNECT_FAILED: CodeInfo(
        "No connection to a backend server could be opened.", 503
    ),
    _C.ANSWER_LOST: CodeInfo(
        "The connection broke before the answer arrived.", 502, 1, Ran.UNKNOWN
    ),
    _C.ANSWER_TRUNCATED: CodeInfo(
        "The answer ended before it was complete.", 502, 1, Ran.UNKNOWN
    ),
    _C.BACKEND_REFUSED: CodeInfo(
        "The backend server refused the request before running it.", 503
    ),
    _C.STOPPING: CodeInfo("The entry host is stopping.", 503),
    _C.BODY_TOO_LARGE: CodeInfo("The request body exceeds the limit.", 413),
    _C.ANSWER_TOO_LARGE: CodeInfo(
        "The answer exceeds the size limit.", 502, 1, Ran.UNKNOWN
    ),
    _C.ANSWER_MALFORMED: CodeInfo(
        "The answer is not valid HTTP or belongs to another request.",
        502,
        1,
        Ran.UNKNOWN,
    ),
    _C.REQUEST_QUARANTINED: CodeInfo(
        "Backend servers ended under the same request before.", 503
    ),
    # Idempotency keys.
    _C.KEY_REUSED: CodeInfo("The key was used for another request.", 422),
    _C.KEY_OUTCOME_UNKNOWN: CodeInfo(
        "The first request with this key has an unknown outcome.",
        409,
        1,
        Ran.UNKNOWN,
    ),
    _C.KEY_CLAIM_FAILED: CodeInfo(
        "The key could not be claimed; resend the request with the same key.",
        503,
        1,
        Ran.UNKNOWN,
    ),
    _C.KEY_ANSWER_NOT_KEPT: CodeInfo(
        "The request ran; its answer was too large to store.", 409, 1, Ran.YES
    ),
    # Organisations.
    _C.UNKNOWN_KEY: CodeInfo("No organisation holds the key of the request.", 401),
    _C.KEYS_UNCONFIRMED: CodeInfo(
        "The entry host cannot tell whether the key was withdrawn.", 503
    ),
    _C.QUOTA_EXCEEDED: CodeInfo("The organisation sends more than its quota.", 429),
    _C.NO_COMMON_REGION: CodeInfo(
        "No region may run requests of this route and organisation.", 503
    ),
    # Connections between processes.
    _C.MESSAGE_MALFORMED: CodeInfo("A message cannot be decoded.", 400),
    _C.MESSAGE_TOO_LARGE: CodeInfo("A message exceeds the size limit.", 413),
    _C.PEER_UNREACHABLE: CodeInfo("The other process cannot be reached.", 503, 9),
    _C.PEER_TIMEOUT: CodeInfo(
        "The other process did not answer in time.", 504, 9, Ran.UNKNOWN
    ),
}
