"""Decodes the operators' configuration into a traffic plan."""

import json
import math
import re
from typing import Any

from bulrushlead.platform._units import parse_duration_ms
from bulrushlead.results import BulrushleadError, ResultCode
from bulrushlead.traffic import (
    Organisation,
    PlanLimits,
    Route,
    ServicePolicy,
    ServiceShare,
    TrafficPlan,
    key_digest,
)

MAX_INTEGER = 2**63 - 1
KEY_PATTERN = re.compile("[!-~]([ -~]{0,1022}[!-~])?")
IDEMPOTENT_ROUTE_TYPE = "safe"  # requests of any other type must run at most once


def decode_plan(body: bytes) -> TrafficPlan:
    """Decode a configuration into a traffic plan.

    Raises
    ------
    BulrushleadError
        ``DECLARATION_UNREADABLE`` if a part of it is missing or malformed.
    """
    try:
        document = json.loads(body)
        return _build_plan(document)
    except (
        ValueError,
        TypeError,
        KeyError,
        AttributeError,
        OverflowError,
        RecursionError,
    ) as error:
        raise BulrushleadError(
            ResultCode.DECLARATION_UNREADABLE, f"configuration: {error!r:.200}"
        ) from error


def _build_plan(document: dict[str, Any]) -> TrafficPlan:
    routes, services, organisations = [], [], []
    limits = PlanLimits()
    for resource in document["resources"]:
        kind, spec = resource["resourceKind"], resource["spec"]
        if kind == "routes":
            routes.append(_build_route(resource["metadata"]["name"], spec))
        elif kind == "services":
            services.append(_build_service(resource["metadata"]["name"], spec))
        elif kind == "tenants":
            organisations.append(
                _build_organisation(resource["metadata"]["name"], spec)
            )
        elif kind == "limits":
            limits = _build_limits(spec)
    return TrafficPlan(
        _integer(document["version"]),
        tuple(routes),
        tuple(services),
        limits,
        tuple(organisations),
    )


def _build_route(name: str, spec: dict[str, Any]) -> Route:
    if "backends" in spec:
        shares = tuple(
            ServiceShare(_text(share["service"]), _number(share["weight"]))
            for share in spec["backends"]
        )
    else:
        shares = (ServiceShare(_text(spec["service"]), 1.0),)
    timeout_ms = _duration_ms(spec["timeout"])
    target_latency_ms = timeout_ms
    if "targetLatency" in spec:
        target_latency_ms = _duration_ms(spec["targetLatency"])
    return Route(
        name=_text(name),
        host=_text(spec["host"]).lower(),
        path_prefix=_text(spec["pathPrefix"]),
        shares=shares,
        idempotent=_text(spec["type"]) == IDEMPOTENT_ROUTE_TYPE,
        timeout_ms=timeout_ms,
        target_latency_ms=target_latency_ms,
        priority=_integer(spec.get("priority", 0)),
        max_attempts=max(1, _integer(spec.get("maxAttempts", 1))),
        sticky=bool(spec.get("sessionAffinity", False)),
        allowed_regions=_texts(spec.get("allowedRegions")),
        public=_flag(spec.get("public", False)),
    )


def _build_organisation(name: str, spec: dict[str, Any]) -> Organisation:
    priority = spec.get("priority")
    return Organisation(
        name=_text(name),
        key_digests=tuple({_digest(key): None for key in _list(spec.get("apiKeys"))}),
        priority=None if priority is None else _integer(priority),
        rate_per_s=_number(spec.get("ratePerS") or 0),
        burst=_number(spec.get("burst") or 0),
        allowed_regions=_texts(spec.get("allowedRegions")),
    )


def _digest(key: object) -> bytes:
    # The error must not show the key.
    if not isinstance(key, str) or not KEY_PATTERN.fullmatch(key):
        raise ValueError("a key is a text that a header field can hold")
    return key_digest(key.encode())


def _build_service(name: str, spec: dict[str, Any]) -> ServicePolicy:
    return ServicePolicy(
        name=_text(name),
        max_connections=_integer(spec.get("maxConnections", 0)),
        warmup_ms=_duration_ms(spec.get("warmup", "0ms")),
        warmup_per_s=_number(spec.get("warmupPerS", 0)),
    )


def _build_limits(spec: dict[str, Any]) -> PlanLimits:
    return PlanLimits(
        max_header_bytes=_integer(spec["maxHeaderBytes"]),
        max_body_bytes=_integer(spec["maxBodyBytes"]),
        header_timeout_ms=_duration_ms(spec["headerTimeout"]),
        idle_timeout_ms=_duration_ms(spec["idleTimeout"]),
    )


def _duration_ms(value: object) -> float:
    duration_ms = parse_duration_ms(value)
    if duration_ms is None:
        raise ValueError(f"{value!r} is not a time such as 1500ms or 2.5s")
    return duration_ms


def _flag(value: object) -> bool:
    if not isinstance(value, bool):
        raise ValueError(f"{value!r} is neither true nor false")
    return value


def _integer(value: object) -> int:
    if isinstance(value, bool) or not isinstance(value, int):
        raise ValueError(f"{value!r} is not a whole number")
    if abs(value) > MAX_INTEGER:
        raise ValueError(f"{value!r:.60} is too large")
    return value


def _number(value: object) -> float:
    if isinstance(value, bool) or not isinstance(value, int | float):
        raise ValueError(f"{value!r} is not a number")
    if not math.isfinite(value):
        raise ValueError(f"{value!r} is not finite")
    return float(value)


def _list(value: object) -> list:
    if value is None:
        return []
    if not isinstance(value, list):
        raise ValueError(f"a {type(value).__name__} is not a list")
    return value


def _texts(value: object) -> tuple[str, ...]:
    return tuple(_text(item) for item in _list(value))


def _text(value: object) -> str:
    if not isinstance(value, str) or not value:
        raise ValueError(f"{value!r} is not a text")
    value.encode()  # JSON can hold characters that no message can
    return value
