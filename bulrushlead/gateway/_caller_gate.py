"""Identifies the callers of requests, and admits them under the quotas."""

import random

from bulrushlead.clock import Clock
from bulrushlead.dispatch import Refusal
from bulrushlead.gateway._dialect import Dialect
from bulrushlead.gateway._request_state import RequestState
from bulrushlead.http1 import HeaderList, Request
from bulrushlead.organisations import (
    ANYONE,
    Access,
    Caller,
    OrganisationSettings,
    QuotaGate,
    key_label,
)
from bulrushlead.relay import RelayOrder
from bulrushlead.results import ResultCode
from bulrushlead.traffic import Route, TrafficPlan, key_digest

# Until the session with the leader is back, or the caller has found another host.
UNCONFIRMED_RETRY_AFTER_MS = 300
NO_REGION_RETRY_AFTER_MS = 2_000  # only an operator can change this


class CallerGate:
    """Identifies callers, and admits their requests under the quotas.

    Parameters
    ----------
    clock : Clock
        Source of time.
    dialect : Dialect
        Names of header fields.
    settings : OrganisationSettings
        Length of the lease and window of the quotas.
    rng : random.Random
        Spreads admissions and retry delays.
    """

    def __init__(
        self,
        clock: Clock,
        dialect: Dialect,
        settings: OrganisationSettings,
        rng: random.Random,
    ):
        self.dialect = dialect
        self.access = Access(clock, settings)
        self.quota = QuotaGate(clock, settings, rng)
        self._plan_version = -1

    def reload(self, settings: OrganisationSettings) -> None:
        """Apply changed settings."""
        self.access.settings = settings
        self.quota.reload(settings)

    def set_plan(self, plan: TrafficPlan) -> None:
        """Apply the organisations of a plan."""
        self._plan_version = plan.version
        self.access.set_plan(plan)
        self.quota.retain([organisation.name for organisation in plan.organisations])

    def identify(self, request: Request, route: Route) -> Caller | Refusal:
        """Return who sent a request; remove its key, which no server may see."""
        if not self.access.has_organisations:
            return ANYONE
        keys = [
            value
            for name, value in request.headers
            if name.lower() == self.dialect.credential
        ]
        request.headers = self._without_identity(request.headers)
        caller = self.access.identify(keys, route.public)
        if isinstance(caller, Caller):
            return caller
        labels = " ".join(key_label(key_digest(key.strip())) for key in keys)
        return Refusal(
            caller,
            UNCONFIRMED_RETRY_AFTER_MS,
            f"keys [{labels}] on route {route.name}, not one key of an organisation of "
            f"plan {self._plan_version} as of {self.access.age_ms():.0f} ms ago",
        )

    def identify_carried(self, order: RelayOrder) -> Caller | ResultCode:
        """Return who sent a request that another host passed on."""
        if not order.credential:
            return ANYONE
        caller = self.access.find(order.credential)
        if caller is None or not self.access.is_confirmed():
            return ResultCode.KEYS_UNCONFIRMED
        return caller

    def refusal(self, caller: Caller) -> Refusal | None:
        """Return why a caller may not send now, or None if it may."""
        if self.access.is_current(caller):
            return None
        return Refusal(
            ResultCode.KEYS_UNCONFIRMED,
            UNCONFIRMED_RETRY_AFTER_MS,
            f"the key was withdrawn, or the plan is not confirmed for "
            f"{self.access.age_ms():.0f} ms",
        )

    def may_send(self, state: RequestState) -> bool:
        """Return whether a request may go to a server, as of now."""
        return self.access.is_current(state.caller)

    def quota_refusal(self, caller: Caller) -> Refusal | None:
        """Count a request against the quota; return a refusal if that is used up."""
        if caller.organisation is None:
            return None
        retry_after_ms = self.quota.admit(caller.organisation)
        if retry_after_ms is None:
            return None
        return Refusal(
            ResultCode.QUOTA_EXCEEDED,
            retry_after_ms,
            f"{caller.name} over its quota: a fraction of "
            f"{self.quota.fraction(caller.name):.3f} is admitted, as of "
            f"{self.quota.age_ms():.0f} ms ago",
        )

    def may_pass_on(self, refusal: Refusal) -> bool:
        """Return whether another host may admit what this one refused.

        Without news from the leader each host has a share of the quota, and the share
        of another host may not be used up.
        """
        return refusal.code is ResultCode.QUOTA_EXCEEDED and self.quota.is_stale()

    def settle(self, state: RequestState) -> None:
        """Give a request back to the quota if no server can have run it."""
        caller = state.caller
        if not state.is_counted or caller.organisation is None or state.may_have_run:
            return
        # A cancelled attempt may not have recorded yet that it was sent.
        if not (state.caller_disconnected and state.sent_servers):
            self.quota.give_back(caller.organisation)

    def _without_identity(self, headers: HeaderList) -> HeaderList:
        """Return the fields without any spelling of the key and the organisation.

        Some servers read an underscore in the name of a field as a hyphen.
        """
        removed = (self.dialect.credential, self.dialect.organisation)
        return [
            field
            for field in headers
            if field[0].lower().replace(b"_", b"-") not in removed
        ]
