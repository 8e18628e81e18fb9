"""Endpoints that name how many requests a second they take."""

import asyncio
import dataclasses
import time

import pytest

from standins import platform_endpoint, router_fleet
from tests.router import support, test_peers
from wagtailstream_adapter import names
from wagtailstream_router import endpoint_limit, metrics, peer_report

CONCURRENT = 20
LIMIT = (names.RATE_LIMIT, "1.0")
# The users' bound for a limit of one a second: one and a half times four
# seconds' worth, and five.
MOST_IN_FOUR_SECONDS = 11


async def count_runs_of_limited(
    fleet: support.Fleet, service: str, path: str, count: int
) -> int:
    """Return the runs of one endpoint of two after it named its limit."""
    method = "POST" if path == support.STREAM_PATH else "GET"
    fields = support.make_stream_headers() if method == "POST" else {}
    plan = (
        router_fleet.STREAM
        if service == "engine"
        else platform_endpoint.Plan()
    )
    limited = await fleet.add_endpoint("limited", service)
    limited.default = dataclasses.replace(plan, headers=(*plan.headers, LIMIT))
    await fleet.start()
    first = await fleet.call(method, path, identity="first", **fields)
    assert first.status == 200
    (await fleet.add_endpoint("other", service)).default = plan
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 2)
    before = limited.runs
    for first_number in range(0, count, CONCURRENT):
        replies = await asyncio.gather(
            *(
                fleet.call(method, path, identity=f"next-{number}", **fields)
                for number in range(first_number, first_number + CONCURRENT)
            )
        )
        assert {reply.status for reply in replies} == {200}
    return limited.runs - before


async def test_a_plain_endpoint_gets_no_more_than_it_named(
    fleet: support.Fleet,
) -> None:
    runs = await count_runs_of_limited(fleet, "plain", support.SAFE_PATH, 120)
    assert runs <= MOST_IN_FOUR_SECONDS


async def test_a_model_server_gets_no_more_than_it_named(
    fleet: support.Fleet,
) -> None:
    runs = await count_runs_of_limited(
        fleet, "engine", support.STREAM_PATH, 120
    )
    assert runs <= MOST_IN_FOUR_SECONDS


async def test_requests_beyond_the_only_endpoints_limit_are_refused_at_once(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("limited", "plain")
    endpoint.default = platform_endpoint.Plan(headers=(LIMIT,))
    await fleet.start()
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200
    refused = await fleet.call("GET", support.SAFE_PATH, identity="second")
    assert refused.status == 503
    assert 0.0 < float(refused.headers["retry-after"]) <= 1.0
    assert endpoint.runs == 1


async def test_a_limit_ends_with_the_answer_that_names_none(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("limited", "plain")
    endpoint.default = platform_endpoint.Plan(
        headers=((names.RATE_LIMIT, "50"),)
    )
    await fleet.start()
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200
    endpoint.default = platform_endpoint.Plan()
    number = 0
    while endpoint.runs < 2:
        number += 1
        await fleet.call("GET", support.SAFE_PATH, identity=f"try-{number}")
    replies = [
        await fleet.call("GET", support.SAFE_PATH, identity=f"get-{number}")
        for number in range(10)
    ]
    assert {reply.status for reply in replies} == {200}


@pytest.mark.parametrize("value", ["x", "-1", "", "nan", "inf"])
async def test_a_limit_that_is_no_rate_is_dropped_and_counted(
    fleet: support.Fleet, value: str
) -> None:
    endpoint = await fleet.add_endpoint("limited", "plain")
    endpoint.default = platform_endpoint.Plan(
        headers=((names.RATE_LIMIT, value),)
    )
    await fleet.start()
    for number in range(5):
        reply = await fleet.call(
            "GET", support.SAFE_PATH, identity=f"{number}"
        )
        assert reply.status == 200
    counter = metrics.Counter.RATE_LIMITS_IGNORED
    assert fleet.counters.read(counter) == 5


class Clock:
    """A monotonic clock that a test sets."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self.now = 100.0
        monkeypatch.setattr(time, "monotonic", lambda: self.now)


@pytest.mark.parametrize("per_second", [0.0, 0.4, 1.0, 1.4, 7.0, 40.0])
@pytest.mark.parametrize("count", [1, 2, 5, 30, 394])
def test_instances_that_all_send_at_once_keep_an_endpoints_limit(
    monkeypatch: pytest.MonkeyPatch, per_second: float, count: int
) -> None:
    clock = Clock(monkeypatch)
    instances = [f"router-{number}" for number in range(count)]
    limits = [
        endpoint_limit.EndpointLimit(
            "engine-1", endpoint_limit.Senders(name, tuple(instances))
        )
        for name in instances
    ]
    for limit in limits:
        limit.observe(per_second)
    # They have waited long enough to send as much as they may at once.
    clock.now += 60.0
    sent = 0
    for _ in range(40):
        clock.now += 0.1
        for limit in limits:
            while not limit.wait_seconds:
                limit.record_send()
                sent += 1
    assert 0 < sent <= 1.5 * 4.0 * per_second + 5.0


@pytest.mark.parametrize("count", [1, 2, 5, 30])
def test_a_steady_load_uses_the_rate_that_an_endpoint_named(
    monkeypatch: pytest.MonkeyPatch, count: int
) -> None:
    clock = Clock(monkeypatch)
    instances = tuple(f"router-{number}" for number in range(count))
    limits = [
        endpoint_limit.EndpointLimit(
            "engine-1", endpoint_limit.Senders(name, instances)
        )
        for name in instances
    ]
    for limit in limits:
        limit.observe(2.0)
    sent = 0
    for _ in range(10000):
        clock.now += 0.01
        for limit in limits:
            if not limit.wait_seconds:
                limit.record_send()
                sent += 1
    assert 0.9 * 200 <= sent <= 200


def test_the_newest_of_the_peers_observations_counts(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    clock = Clock(monkeypatch)
    limit = endpoint_limit.EndpointLimit("engine-1", endpoint_limit.Senders())
    limit.merge_peer(endpoint_limit.Observation(3.0, 99.0))
    assert limit.per_second == 3.0
    limit.merge_peer(endpoint_limit.Observation(None, 98.0))
    assert limit.per_second == 3.0
    clock.now = 101.0
    limit.observe(None)
    assert limit.per_second is None
    limit.merge_peer(endpoint_limit.Observation(3.0, 100.0))
    assert limit.per_second is None


def test_a_limit_survives_encoding() -> None:
    limits = {
        "a": peer_report.LimitReport(1.4, 0.25),
        "b": peer_report.LimitReport(None, 1.0),
    }
    report = dataclasses.replace(test_peers.REPORT, limits=limits)
    assert peer_report.decode(peer_report.encode(report)) == report


@pytest.mark.parametrize("row", [(-1.0, 0.0), (1.0, -0.5)])
def test_a_peers_limit_that_is_no_rate_is_a_value_error(
    row: tuple[float, float],
) -> None:
    report = dataclasses.replace(
        test_peers.REPORT, limits={"a": peer_report.LimitReport(*row)}
    )
    with pytest.raises(ValueError, match="limit of"):
        peer_report.decode(peer_report.encode(report))
