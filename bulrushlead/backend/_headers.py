"""Names of the headers that entry hosts and backend servers exchange."""

TIMEOUT_MS_HEADER = "Bulrushlead-Timeout-Ms"
RAN_HEADER = "Bulrushlead-Ran"
ATTEMPT_ID_HEADER = "Bulrushlead-Attempt-Id"
IDEMPOTENCY_KEY_HEADER = "Idempotency-Key"
ANNOUNCE_PATH = "/v1/announce"
