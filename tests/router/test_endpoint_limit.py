"""Endpoints that name how many requests a second they take."""

import asyncio
import dataclasses

import pytest

from standins import platform_endpoint, router_fleet
from tests.router import support
from wagtailstream_adapter import names

LIMIT = (names.RATE_LIMIT, "1.0")
# The users' bound for a limit of one a second: one and a half times four
# seconds' worth, and five.
MOST_IN_FOUR_SECONDS = 11

KNOWN_RED = pytest.mark.xfail(
    strict=True, reason="KNOWN-RED.txt: LIMIT, issue 28"
)


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
    replies = await asyncio.gather(
        *(
            fleet.call(method, path, identity=f"next-{number}", **fields)
            for number in range(count)
        )
    )
    assert {reply.status for reply in replies} == {200}
    return limited.runs - before


@KNOWN_RED
async def test_a_plain_endpoint_gets_no_more_than_it_named(
    fleet: support.Fleet,
) -> None:
    runs = await count_runs_of_limited(fleet, "plain", support.SAFE_PATH, 120)
    assert runs <= MOST_IN_FOUR_SECONDS


@KNOWN_RED
async def test_a_model_server_gets_no_more_than_it_named(
    fleet: support.Fleet,
) -> None:
    runs = await count_runs_of_limited(
        fleet, "engine", support.STREAM_PATH, 120
    )
    assert runs <= MOST_IN_FOUR_SECONDS
