"""Validates a whole traffic plan before it is accepted."""

import math
from collections.abc import Collection

import attrs

from bulrushlead.results import Fault, FaultsError, ResultCode
from bulrushlead.traffic._organisation import Organisation
from bulrushlead.traffic._plan import PlanLimits, Route, TrafficPlan

# A target latency this far above the timeout is a typo or a wrong unit.
MAX_TARGET_OVER_TIMEOUT_MS = 60_000
# Decimals of a millisecond that are compared: a sum of floats is not exact beyond them.
DURATION_DIGITS = 6
MAX_NAME_BYTES = 200  # the name of an organisation is sent with each of its requests


def check_plan(plan: TrafficPlan, regions: Collection[str] = ()) -> None:
    """Raise an error if a plan is invalid.

    Parameters
    ----------
    plan : TrafficPlan
        Plan to validate.
    regions : collection of str
        Regions that exist; if empty, the regions of organisations are not checked.

    Raises
    ------
    FaultsError
        ``DECLARATION_INVALID`` with every fault in the plan.
    """
    faults: list[Fault] = []
    services = {service.name for service in plan.services}
    patterns: dict[tuple[str, str], Route] = {}
    for route in plan.routes:
        _check_route(route, services, faults)
        other = patterns.setdefault(route.pattern, route)
        if other != route:
            faults.append(
                Fault(
                    f"routes.{route.name}.path_prefix",
                    f"the same host and path as route {other.name}",
                    "one route for each host and path",
                )
            )
    _check_limits(plan.limits, faults)
    _check_organisations(plan.organisations, regions, faults)
    if faults:
        raise FaultsError(
            ResultCode.DECLARATION_INVALID, f"plan {plan.version}", faults
        )


def _check_limits(limits: PlanLimits, faults: list[Fault]) -> None:
    for field in attrs.fields(PlanLimits):
        value = getattr(limits, field.name)
        if not value > 0:
            faults.append(Fault(f"limits.{field.name}", str(value), "more than 0"))


def _check_route(route: Route, services: set[str], faults: list[Fault]) -> None:
    key = f"routes.{route.name}"
    if not route.path_prefix.startswith("/"):
        faults.append(
            Fault(f"{key}.path_prefix", repr(route.path_prefix), "begins with a slash")
        )
    if route.timeout_ms <= 0:
        faults.append(
            Fault(f"{key}.timeout_ms", str(route.timeout_ms), "more than 0 ms")
        )
    over_ms = round(route.target_latency_ms - route.timeout_ms, DURATION_DIGITS)
    if over_ms >= MAX_TARGET_OVER_TIMEOUT_MS:
        faults.append(
            Fault(
                f"{key}.target_latency_ms",
                str(route.target_latency_ms),
                f"less than {MAX_TARGET_OVER_TIMEOUT_MS} ms above the time-out",
            )
        )
    for share in route.shares:
        if share.service not in services:
            faults.append(
                Fault(f"{key}.shares", share.service, "a service of the same plan")
            )
        if not share.weight >= 0:
            faults.append(Fault(f"{key}.shares", str(share.weight), "at least 0"))
    if not sum(share.weight for share in route.shares) > 0:
        faults.append(Fault(f"{key}.shares", "no weight", "a weight above 0"))


def _check_organisations(
    organisations: tuple[Organisation, ...],
    regions: Collection[str],
    faults: list[Fault],
) -> None:
    names: set[str] = set()
    holders: dict[bytes, str] = {}
    for organisation in organisations:
        name = organisation.name
        key = f"organisations.{name:.60}"
        if name in names:
            faults.append(Fault(key, "named twice", "one entry for each name"))
        names.add(name)
        if len(name.encode()) > MAX_NAME_BYTES or not name.isprintable():
            faults.append(
                Fault(key, "no header field holds it", "a short printable name")
            )
        for digest in organisation.key_digests:
            holder = holders.setdefault(digest, name)
            if holder != name:
                faults.append(
                    Fault(
                        f"{key}.keys",
                        f"a key that {holder:.60} holds, too",
                        "keys of one organisation only",
                    )
                )
        for field in ("rate_per_s", "burst"):
            value = getattr(organisation, field)
            if not (math.isfinite(value) and value >= 0):
                faults.append(
                    Fault(f"{key}.{field}", str(value), "a number of zero or more")
                )
        for region in organisation.allowed_regions:
            if regions and region not in regions:
                faults.append(
                    Fault(f"{key}.allowed_regions", f"{region!r:.60}", "a known region")
                )
