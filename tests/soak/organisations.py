"""Organisations in the soak: keys that come and go, a quota, and what must hold.

Each version of the configuration gives every organisation a new key and withdraws its
oldest one, so that the keys follow from the version; ``labs`` has one more that stays.
``mills`` asks for more than its quota all the time.
"""

import collections
import math

REVOKE_S = 5.0
APPLY_S = 2.5
KEYS = 3  # of each organisation in one configuration
LASTING = math.inf  # stands for the version of the key that stays
WITHDRAWN_SHARE, UNKNOWN_SHARE = 0.05, 0.02
LASTING_SHARE = 0.7
LIMITED_SHARE = 0.3  # of all requests; several times the quota of ``mills``
RATE_PER_S, BURST = 6, 3
WINDOW_S, OVERSHOOT, SLACK = 5.0, 0.1, 20.0
MAX_IN_WINDOW = (RATE_PER_S * WINDOW_S + BURST) * (1 + OVERSHOOT) + SLACK
BOUNDS = (
    f'revokeStrict = true\nrevoke = "{REVOKE_S}s"\nquotaWindow = "{WINDOW_S}s"\n'
    f"quotaOvershoot = {OVERSHOOT}\nquotaSlack = {SLACK:.0f}\n"
)


def tenants(version):
    """Return the organisations of a version of the configuration."""
    quotas = {"labs": {}, "mills": {"ratePerS": RATE_PER_S, "burst": BURST}}
    lasting = {"labs": [key("labs", LASTING)], "mills": []}
    return [
        {
            "resourceKind": "tenants",
            "metadata": {"name": name},
            "spec": {
                "apiKeys": [
                    *(key(name, version - age) for age in range(KEYS)),
                    *lasting[name],
                ],
                **quota,
            },
        }
        for name, quota in quotas.items()
    ]


def key(name, version):
    """Return the key that an organisation gets with a version."""
    return f"{name}-key-{version}"


class OrganisationChecker:
    """Chooses the keys of callers, and checks what servers and callers observe.

    Parameters
    ----------
    checker : InvariantChecker
        Knows the accepted configurations, and collects violations.
    """

    def __init__(self, checker):
        self.checker = checker
        self.sent = {}  # organisation and version of the key, by request
        self.runs = collections.deque()  # times and requests of ``mills``

    def choose_key(self, rng, request_id, name=None):
        """Return the key for a request, and whether the request should be served.

        Those with a key that changes are not counted on: a host may know a newer
        version than the caller, which has withdrawn the key.
        """
        if name is None:
            name = "mills" if rng.random() < LIMITED_SHARE else "labs"
        now = self.checker.clock()
        known = [v for acked_s, v in self.checker.acked if acked_s + APPLY_S < now]
        version = max(known, default=1)
        draw = rng.random()
        if draw < UNKNOWN_SHARE:
            version = -1_000
        elif draw < UNKNOWN_SHARE + WITHDRAWN_SHARE:
            version -= KEYS + 1
        elif name == "labs" and draw > 1 - LASTING_SHARE:
            version = LASTING
        self.sent[request_id] = (name, version)
        return key(name, version), version == LASTING

    def record_run(self, request_id, headers):
        """Check the header fields and the key of a request that a server runs."""
        report, now = self.checker.record_violation, self.checker.clock()
        if request_id not in self.sent:
            return
        name, version = self.sent[request_id]
        if headers.getall("Tenant", []) != [name] or "Api-Key" in headers:
            report("UNASKED", f"{request_id} of {name} ran with {dict(headers)}")
        if version < -KEYS:
            report("ROUTE", f"{request_id} ran with a key that never existed")
        withdrawn_s = self._withdrawn_s(version)
        sent_s = self.checker.requests[request_id].sent_s
        if withdrawn_s is not None and sent_s > withdrawn_s + REVOKE_S:
            report(
                "CONFIG",
                f"{request_id} was sent {sent_s - withdrawn_s:.1f} s after its key of "
                f"version {version} was withdrawn, and ran",
            )
        if name == "mills":
            self._check_quota(now, request_id)

    def record_answer(self, request_id, status):
        """Check a refusal because of the organisation."""
        name, version = self.sent.get(request_id, ("", 0))
        if status == 429 and name == "labs":
            self.checker.record_violation(
                "DENIED", f"{request_id}: 429 without a quota"
            )
        if status != 401 or version < -KEYS or self._may_be_withdrawn(version):
            return
        self.checker.record_violation(
            "DENIED", f"{request_id}: 401 with the key of version {version}"
        )

    def _check_quota(self, now, request_id):
        sent_s = self.checker.requests[request_id].sent_s
        if request_id not in {known for _, known, _ in self.runs}:
            self.runs.append((now, request_id, sent_s))
        while self.runs and self.runs[0][0] <= now - WINDOW_S:
            self.runs.popleft()
        count = sum(sent > now - WINDOW_S for _, _, sent in self.runs)
        if count > MAX_IN_WINDOW:
            self.checker.record_violation("QUOTA", f"{count} requests of mills in 5 s")

    def _withdrawn_s(self, version):
        times_s = [s for s, acked in self.checker.acked if acked >= version + KEYS]
        return min(times_s, default=None)

    def _may_be_withdrawn(self, version):
        return any(sent >= version + KEYS for sent in self.checker.versions)
