"""Names of the header fields that callers and backend servers use."""

import attrs


@attrs.frozen
class Dialect:
    """Lower-case names of header fields; each attribute holds the name of one field.

    Parameters
    ----------
    request_id : bytes
        Identifier of one request of a caller, echoed by the backend server.
    deadline_ms : bytes
        Name of the field with the time until the caller's deadline, in milliseconds.
    affinity_key : bytes
        Key of the object that the request concerns.
    expected_server : bytes
        Identity of the only backend server that may run the request.
    not_run : bytes
        Present in the answer of a backend server that did not run the request.
    load : bytes
        Running requests, queued requests and slots, separated by commas.
    draining : bytes
        Present with the value 1 in every answer of a backend server that is draining.
    limit : bytes
        In every answer of a backend server that limits its load: the requests per
        second that it accepts from all hosts together.
    retry_after : bytes
        In a refusal of a backend server: seconds for which it wants no request of this
        host.
    credential : bytes
        Key of the caller's organisation; never sent to a backend server.
    organisation : bytes
        Name of that organisation, set by this host.
    """

    request_id: bytes
    deadline_ms: bytes
    affinity_key: bytes
    expected_server: bytes
    not_run: bytes
    load: bytes
    draining: bytes
    limit: bytes
    retry_after: bytes = b"retry-after"
    credential: bytes = b"api-key"
    organisation: bytes = b"organisation"
