"""Header names and the announcement path shared by entry hosts and backend servers."""

TIMEOUT_MS_HEADER = "Bulrushlead-Timeout-Ms"
RAN_HEADER = "Bulrushlead-Ran"
ATTEMPT_ID_HEADER = "Bulrushlead-Attempt-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
ANNOUNCE_PATH = "/v1/announce"
