"""Endpoints whose bytes do not end occupy neither requests nor memory."""

import dataclasses

import pytest

from standins import platform_endpoint
from tests.router import support
from tests.router.test_forward_stream import call_stream, make_plan

ENDLESS = platform_endpoint.End.ENDLESS
HEADS = [b"\x00" * 4096, b"HTTP/1.1 100 Continue\r\n\r\n" * 20]
FILLER = b"x" * 4096


@pytest.mark.parametrize("noise", HEADS)
async def test_an_endless_head_is_a_broken_answer(
    fleet: support.Fleet, noise: bytes
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.plans = [platform_endpoint.Plan(noise=noise)]
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"body")
    # 502 and not 504: the answer does not wait for the deadline.
    assert reply.status == 502
    await endpoint.disconnected.wait()


@pytest.mark.parametrize(
    "framing",
    [platform_endpoint.Framing.CHUNKED, platform_endpoint.Framing.CLOSE],
)
async def test_an_endless_body_is_asked_for_elsewhere(
    fleet: support.Fleet, framing: platform_endpoint.Framing
) -> None:
    first = await fleet.add_endpoint("plain-1", "plain")
    second = await fleet.add_endpoint("plain-2", "plain")
    plan = platform_endpoint.Plan(
        pieces=(b"x" * 65536,), framing=framing, end=ENDLESS
    )
    first.plans = second.plans = [plan]
    await fleet.start()
    reply = await fleet.call("GET", support.SAFE_PATH)
    assert (reply.status, reply.body) == (200, b"whole answer")


async def test_a_body_that_trickles_is_asked_for_elsewhere(
    fleet: support.Fleet,
) -> None:
    first = await fleet.add_endpoint("plain-1", "plain")
    second = await fleet.add_endpoint("plain-2", "plain")
    plan = platform_endpoint.Plan(
        pieces=(b"x",),
        framing=platform_endpoint.Framing.CHUNKED,
        end=ENDLESS,
        pause_seconds=0.01,
    )
    first.plans = second.plans = [plan]
    await fleet.start()
    reply = await fleet.call("GET", support.SAFE_PATH)
    assert (reply.status, reply.body) == (200, b"whole answer")


async def test_the_endless_body_of_a_refusal_delays_no_request(
    fleet: support.Fleet,
) -> None:
    first = await fleet.add_endpoint("plain-1", "plain")
    second = await fleet.add_endpoint("plain-2", "plain")
    plan = platform_endpoint.Plan(
        503,
        (b"x",),
        framing=platform_endpoint.Framing.CHUNKED,
        end=ENDLESS,
        is_not_run=True,
        pause_seconds=0.01,
    )
    first.plans = second.plans = [plan]
    await fleet.start()
    reply = await fleet.call("GET", support.SAFE_PATH)
    assert (reply.status, reply.body) == (200, b"whole answer")


@pytest.mark.parametrize(
    "piece", [FILLER, platform_endpoint.make_event(3)], ids=["event", "known"]
)
async def test_a_stream_without_end_or_progress_is_resumed_elsewhere(
    fleet: support.Fleet, piece: bytes
) -> None:
    first = await fleet.add_endpoint("engine-1", "engine")
    second = await fleet.add_endpoint("engine-2", "engine")
    plan = make_plan(1, 3, ENDLESS)
    endless = dataclasses.replace(plan, pieces=(*plan.pieces, piece))
    first.plans = second.plans = [endless]
    first.default = second.default = make_plan(4, 6)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 7)))
