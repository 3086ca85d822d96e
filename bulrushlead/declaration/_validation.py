"""Validates a declaration as a whole."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import Any

from bulrushlead.declaration._model import Declaration, DrainTarget, Shift
from bulrushlead.declaration._rules import RULES, ReferenceRule, accepts, describe
from bulrushlead.declaration._sections import SECTIONS, identity
from bulrushlead.results import Fault

MAX_TEXT_LENGTH = 80

_TARGET_SECTIONS = {
    DrainTarget.REGION: "regions",
    DrainTarget.AVAILABILITY_ZONE: "availability_zones",
    DrainTarget.HOST: "hosts",
}


def validate(declaration: Declaration) -> list[Fault]:
    """Return every fault of a declaration.

    Parameters
    ----------
    declaration : Declaration
        Declaration to validate.

    Returns
    -------
    list of Fault
        Empty if the declaration can be accepted.
    """
    faults = list(check_values(declaration))
    faults += _check_unique(declaration)
    faults += _check_references(declaration)
    faults += _check_addresses(declaration)
    faults += _check_links(declaration)
    faults += _check_shifts(declaration)
    faults += _check_drains(declaration)
    return faults


def check_values(declaration: Declaration) -> Iterator[Fault]:
    """Yield the faults of single values, without constraints between items."""
    for section, item_type in SECTIONS.items():
        rules = RULES[item_type].items()
        for item in getattr(declaration, section):
            for name, rule in rules:
                value = getattr(item, name)
                if not accepts(rule, value):
                    yield _fault(section, item, name, value, describe(rule))


def format_value(value: Any) -> str:
    """Return the value's repr for an error, truncated to ``MAX_TEXT_LENGTH``."""
    text = repr(value)
    if len(text) > MAX_TEXT_LENGTH:
        return text[:MAX_TEXT_LENGTH] + "..."
    return text


def _fault(section: str, item: Any, name: str, value: Any, allowed: str) -> Fault:
    key = f"{section}.{identity(item)[:MAX_TEXT_LENGTH]}.{name}"
    return Fault(key, format_value(value), allowed)


def _check_unique(declaration: Declaration) -> Iterator[Fault]:
    for section in SECTIONS:
        counts = Counter(identity(item) for item in getattr(declaration, section))
        for name, count in counts.items():
            if count > 1:
                key = f"{section}.{name[:MAX_TEXT_LENGTH]}"
                yield Fault(key, f"{count} entries", "one entry")


def _check_references(declaration: Declaration) -> Iterator[Fault]:
    names_by_section = {
        section: {item.name for item in getattr(declaration, section)}
        for section in ("regions", "availability_zones", "services")
    }
    for section, item_type in SECTIONS.items():
        references = [
            (name, rule)
            for name, rule in RULES[item_type].items()
            if isinstance(rule, ReferenceRule)
        ]
        for item in getattr(declaration, section):
            for name, rule in references:
                value = getattr(item, name)
                if value not in names_by_section[rule.section]:
                    yield _fault(section, item, name, value, describe(rule))


def _check_addresses(declaration: Declaration) -> Iterator[Fault]:
    host_by_address: dict[str, str] = {}
    for host in declaration.hosts:
        if host.address == "":
            continue
        other_host = host_by_address.setdefault(host.address, host.name)
        if other_host != host.name:
            allowed = f"an address that host {other_host!r} does not use"
            yield _fault("hosts", host, "address", host.address, allowed)


def _check_links(declaration: Declaration) -> Iterator[Fault]:
    for link in declaration.links:
        if link.from_region == link.to_region:
            allowed = "another region than from_region"
            yield _fault("links", link, "to_region", link.to_region, allowed)


def _check_shifts(declaration: Declaration) -> Iterator[Fault]:
    links = {(link.from_region, link.to_region) for link in declaration.links}
    for shift in declaration.shifts:
        if shift.from_region == shift.to_region:
            allowed = "another region than from_region"
            yield _fault("shifts", shift, "to_region", shift.to_region, allowed)
        elif (shift.from_region, shift.to_region) not in links:
            allowed = (
                f"a region with a link from {shift.from_region!r}; declare the "
                "link, since shifted traffic is charged to it"
            )
            yield _fault("shifts", shift, "to_region", shift.to_region, allowed)
    yield from _check_overlaps(declaration)
    yield from _check_cycles(declaration)


def _check_overlaps(declaration: Declaration) -> Iterator[Fault]:
    by_source: dict[tuple[str, str], list[Shift]] = defaultdict(list)
    for shift in declaration.shifts:
        by_source[shift.service, shift.from_region].append(shift)
    for (service, region), shifts in by_source.items():
        names = ", ".join(sorted(shift.name for shift in shifts))
        key = f"shifts of {service} from {region}"
        total_percent = sum(shift.percent_cap for shift in shifts)
        # Unlike `> 100.0`, the negated comparison also reports a sum that is NaN.
        if len(shifts) > 1 and not total_percent <= 100.0:
            found = f"percent_cap adds up to {total_percent:g} over {names}"
            yield Fault(key, found, "at most 100 in total")
        targets = Counter(shift.to_region for shift in shifts)
        for target, count in targets.items():
            if count > 1:
                found = f"{count} shifts to {target} among {names}"
                yield Fault(key, found, "one shift for each target region")


def _check_cycles(declaration: Declaration) -> Iterator[Fault]:
    targets: dict[str, dict[str, set[str]]] = defaultdict(lambda: defaultdict(set))
    for shift in declaration.shifts:
        if shift.from_region != shift.to_region:
            targets[shift.service][shift.from_region].add(shift.to_region)
    for service, edges in targets.items():
        in_cycle = sorted(
            region for region in edges if region in _find_reachable(edges, region)
        )
        if in_cycle:
            found = f"a cycle through {', '.join(in_cycle)}"
            yield Fault(f"shifts of {service}", found, "shifts without a cycle")


def _find_reachable(edges: dict[str, set[str]], start: str) -> set[str]:
    reached: set[str] = set()
    pending = list(edges.get(start, ()))
    while pending:
        region = pending.pop()
        if region not in reached:
            reached.add(region)
            pending.extend(edges.get(region, ()))
    return reached


def _check_drains(declaration: Declaration) -> Iterator[Fault]:
    for drain in declaration.drains:
        section = _TARGET_SECTIONS.get(drain.target)
        if section is None:
            # Backend servers announce themselves and are not declared.
            continue
        if drain.target_name not in {i.name for i in getattr(declaration, section)}:
            allowed = describe(ReferenceRule(section))
            yield _fault("drains", drain, "target_name", drain.target_name, allowed)
    targets = Counter((drain.target, drain.target_name) for drain in declaration.drains)
    for (target, name), count in targets.items():
        if count > 1:
            found = f"{count} drains"
            yield Fault(f"drains of {target.value} {name}", found, "one drain")
