"""Names of the header fields that the platform defines."""

from bulrushlead.gateway import Dialect

DIALECT = Dialect(
    request_id=b"request-id",
    deadline_ms=b"deadline-ms",
    affinity_key=b"affinity-key",
    expected_server=b"expect-instance",
    not_run=b"not-executed",
    load=b"server-load",
    draining=b"server-leaving",
    limit=b"server-limit",
    credential=b"api-key",
    organisation=b"tenant",
)
