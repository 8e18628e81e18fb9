"""Says from logs who waited, who was refused and which customer paid."""

import collections
import collections.abc
import dataclasses
import math

from wagtailstream_router import explanation

_OUTCOMES = frozenset({"answered", "refused", "failed"})


@dataclasses.dataclass
class _Seen:
    """What the lines say of one request.

    :param wait_ms: how long it waited for room; None if it did not.
    :param outcome: `answered`, `refused` or `failed`; "" if no line says.
    """

    customer: str = ""
    route: str = ""
    wait_ms: float | None = None
    outcome: str = ""
    reason: str = ""
    is_late: bool = False


@dataclasses.dataclass
class Group:
    """The requests of a customer on a route.

    :param waits_ms: how long those waited that found no room, sorted.
    :param refused: the number of refusals by reason.
    :param late: how many of the answers came after the route's target.
    """

    customer: str
    route: str
    requests: int = 0
    answered: int = 0
    late: int = 0
    failed: int = 0
    waits_ms: list[float] = dataclasses.field(default_factory=list)
    refused: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def collect(
    files: collections.abc.Iterable[str],
    since: float = -math.inf,
    until: float = math.inf,
) -> list[Group]:
    """Return the requests by customer and route, the largest group first.

    :param files: the paths of the logs of one or more processes.
    :param since: the Unix time from which lines count.
    :param until: the Unix time before which lines count.
    """
    seen: dict[str, _Seen] = collections.defaultdict(_Seen)
    for path in files:
        for table in explanation.read_tables(path):
            time = table.get("time")
            if not isinstance(time, (int, float)):
                continue
            if "request" in table and since <= time < until:
                _add_line(seen[str(table["request"])], table)
    groups: dict[tuple[str, str], Group] = {}
    for request in seen.values():
        if not request.route:
            # No line of an admitted request: refused without a route or key.
            continue
        key = request.customer, request.route
        _add_request(groups.setdefault(key, Group(*key)), request)
    for group in groups.values():
        group.waits_ms.sort()
    return sorted(groups.values(), key=lambda group: -group.requests)


def render(groups: collections.abc.Iterable[Group]) -> list[str]:
    """Return a table, one line for each group."""
    rows = [
        (
            "customer",
            "route",
            "requests",
            "answered",
            "late",
            "failed",
            "waited",
            "p50_ms",
            "p95_ms",
            "refused",
        )
    ]
    for group in groups:
        reasons = ", ".join(
            f"{reason} {count}"
            for reason, count in sorted(group.refused.items())
        )
        rows.append(
            (
                group.customer or "-",
                group.route,
                str(group.requests),
                str(group.answered),
                str(group.late),
                str(group.failed),
                str(len(group.waits_ms)),
                _percentile(group.waits_ms, 0.5),
                _percentile(group.waits_ms, 0.95),
                reasons or "0",
            )
        )
    widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
    return [
        "  ".join(
            value.ljust(width)
            for value, width in zip(row, widths, strict=True)
        ).rstrip()
        for row in rows
    ]


def _add_line(
    request: _Seen, table: collections.abc.Mapping[str, object]
) -> None:
    event = table.get("message")
    if "route" in table:
        request.route = str(table["route"])
    if "customer" in table:
        request.customer = str(table["customer"])
    if event == "waited":
        request.wait_ms = _number(table.get("ms"))
    elif event in _OUTCOMES:
        request.outcome = str(event)
        request.reason = str(table.get("reason", ""))
        request.is_late = bool(table.get("is_late"))


def _add_request(group: Group, request: _Seen) -> None:
    group.requests += 1
    if request.wait_ms is not None:
        group.waits_ms.append(request.wait_ms)
    if request.outcome == "answered":
        group.answered += 1
        group.late += request.is_late
    elif request.outcome == "refused":
        group.refused[request.reason] += 1
    elif request.outcome == "failed":
        group.failed += 1


def _number(value: object) -> float:
    return float(value) if isinstance(value, (int, float)) else 0.0


def _percentile(values: list[float], share: float) -> str:
    """Return a percentile of sorted values; "-" if there are none."""
    if not values:
        return "-"
    place = min(len(values) - 1, math.ceil(share * len(values)) - 1)
    return f"{values[max(0, place)]:.0f}"
