"""Names of the header fields that callers and backend servers use."""

import attrs


@attrs.frozen
class Dialect:
    """Lower-case names of header fields.

    Parameters
    ----------
    request_id : bytes
        Identifier of one try of a caller, echoed by the backend server.
    deadline_ms : bytes
        Time that the caller still waits, in milliseconds.
    affinity_key : bytes
        Object that the request is about.
    expected_server : bytes
        Identity of the backend server that alone may run the request.
    not_run : bytes
        Present in the answer of a backend server that did not run the request.
    load : bytes
        Running requests, waiting requests and slots, separated by commas.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_key: bytes
    expected_server: bytes
    not_run: bytes
    load: bytes
