"""A second copy of an answer comes late, on a connection in use again."""

import asyncio
import collections.abc
import dataclasses

import pytest

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import names

LATE_SECONDS = 0.15
REFUSAL = platform_endpoint.Plan(
    503,
    (b"full",),
    is_signed=False,
    is_not_run=True,
    late_copy_seconds=LATE_SECONDS,
)
SUCCESS = platform_endpoint.Plan(late_copy_seconds=LATE_SECONDS)
ERROR = platform_endpoint.Plan(
    500, (b"error",), late_copy_seconds=LATE_SECONDS
)


@pytest.fixture
async def single() -> collections.abc.AsyncIterator[
    tuple[support.Fleet, platform_endpoint.PlatformEndpoint]
]:
    """Return a router with one plain endpoint, not yet started."""
    fleet = support.Fleet()
    fleet.platform.put_configuration(support.make_configuration())
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    try:
        yield fleet, endpoint
    finally:
        await fleet.close()


@pytest.mark.parametrize("first", [REFUSAL, SUCCESS, ERROR])
async def test_a_running_request_is_said_not_to_have_run(
    single: tuple[support.Fleet, platform_endpoint.PlatformEndpoint],
    first: platform_endpoint.Plan,
) -> None:
    fleet, endpoint = single
    gate = asyncio.Event()
    endpoint.plans = [first, platform_endpoint.Plan(gate=gate)]
    await fleet.call("POST", support.UNSAFE_PATH, b"x", "request-1")
    second = await fleet.call("POST", support.UNSAFE_PATH, b"x", "request-2")
    gate.set()
    assert endpoint.connections == 1
    assert [
        arrival.headers[names.REQUEST_ID.lower()]
        for arrival in endpoint.arrivals
    ][-1] == "request-2"
    # It runs, and its outcome is unknown.
    assert second.status == 502


@pytest.mark.parametrize("first", [REFUSAL, SUCCESS, ERROR])
async def test_a_copy_before_the_next_request_is_given_to_it(
    single: tuple[support.Fleet, platform_endpoint.PlatformEndpoint],
    first: platform_endpoint.Plan,
) -> None:
    fleet, endpoint = single
    endpoint.plans = [first]
    await fleet.call("POST", support.UNSAFE_PATH, b"x", "request-1")
    await asyncio.sleep(2 * LATE_SECONDS)
    second = await fleet.call("POST", support.UNSAFE_PATH, b"x", "request-2")
    assert (second.status, second.body) == (200, b"whole answer")
    assert second.headers[names.REQUEST_ID.lower()] == "request-2"
    assert endpoint.connections == 2


async def test_a_copy_is_given_to_a_repeatable_request(
    single: tuple[support.Fleet, platform_endpoint.PlatformEndpoint],
) -> None:
    fleet, endpoint = single
    other = await fleet.add_endpoint("plain-2", "plain", state="draining")
    endpoint.plans = [SUCCESS]
    await fleet.call("GET", support.SAFE_PATH, identity="request-1")
    gate = asyncio.Event()
    endpoint.plans = [platform_endpoint.Plan(gate=gate)]
    pending = asyncio.ensure_future(
        fleet.call("GET", support.SAFE_PATH, identity="request-2")
    )
    await asyncio.sleep(0.0)
    fleet.platform.put_endpoint(other, "plain", sequence=2)
    second = await pending
    gate.set()
    assert second.headers.get(names.REQUEST_ID.lower()) == "request-2"
    assert second.status in (200, 502)


@pytest.mark.parametrize("copies", [1, 2])
@pytest.mark.parametrize("framing", list(platform_endpoint.Framing))
async def test_a_copy_of_a_refusal_is_no_answer_to_the_same_requests_next_run(
    framing: platform_endpoint.Framing, copies: int
) -> None:
    fleet = support.Fleet()
    table = support.make_configuration()
    table["routes"][2]["streamResumption"] = False
    fleet.platform.put_configuration(table)
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    await fleet.start()
    refusal = dataclasses.replace(
        REFUSAL, headers=((names.RETRY_AFTER, "0.05"),)
    )
    gate = asyncio.Event()
    endpoint.plans = [refusal] * copies + [
        platform_endpoint.Plan(
            pieces=(platform_endpoint.make_event(1),),
            framing=framing,
            gate=gate,
        )
    ]
    pending = asyncio.ensure_future(
        fleet.call(
            "POST",
            support.STREAM_PATH,
            b"x",
            "request-1",
            **support.make_stream_headers(),
        )
    )
    while endpoint.runs == 0:
        await asyncio.sleep(0.005)
    await asyncio.sleep(2 * LATE_SECONDS)
    gate.set()
    reply = await pending
    await fleet.close()
    assert reply.status == 200
    assert platform_endpoint.make_event(1) in reply.body
    assert endpoint.runs == 1


# Guards against REFUSED: the late copy of a refusal answered a repeat of its
# caller under the same id, which ran.
@pytest.mark.parametrize("status", [503, 429, 500, 200])
async def test_a_copy_is_no_answer_to_a_repeat_of_its_caller(
    single: tuple[support.Fleet, platform_endpoint.PlatformEndpoint],
    status: int,
) -> None:
    fleet, endpoint = single
    gate = asyncio.Event()
    first = dataclasses.replace(
        REFUSAL if status in (503, 429) else SUCCESS, status=status
    )
    endpoint.plans = [first, platform_endpoint.Plan(gate=gate)]
    before = await fleet.call("POST", support.UNSAFE_PATH, b"x", "request-1")
    repeat = asyncio.ensure_future(
        fleet.call("POST", support.UNSAFE_PATH, b"y", "request-1")
    )
    await asyncio.sleep(2 * LATE_SECONDS)
    assert not repeat.done()
    gate.set()
    after = await repeat
    assert before.status in (status, 503)
    assert (after.status, after.body) == (200, b"whole answer")
    assert endpoint.connections == 2
