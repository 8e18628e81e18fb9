"""What a server answers after a stream has begun at another one."""

import pytest

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import names

EVENT_TEXT = b"id: 3\ndata: error\n\n"
HEAD_TEXT = (
    b"HTTP/1.1 500 Internal Server Error\r\nContent-Length: 5\r\n\r\nerror"
)
BODIES = [b"error", EVENT_TEXT, b"error\n\n", HEAD_TEXT, b""]


def make_cut(last: int) -> platform_endpoint.Plan:
    """Return a stream that breaks off after an event."""
    return platform_endpoint.Plan(
        pieces=platform_endpoint.make_events(range(1, last + 1)),
        framing=platform_endpoint.Framing.CHUNKED,
        end=platform_endpoint.End.CUT,
        headers=((names.CONFIDENCE, "95"),),
    )


async def call(
    fleet: support.Fleet, error: platform_endpoint.Plan
) -> "support.platform_caller.Reply":
    """Send a request to one endpoint that breaks off and then fails."""
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.plans = [make_cut(2)]
    endpoint.default = error
    await fleet.start()
    reply = await fleet.call(
        "POST", support.STREAM_PATH, b"x", **support.make_stream_headers()
    )
    assert endpoint.runs + error.is_not_run > 1
    return reply


@pytest.mark.parametrize("body", BODIES, ids=range(len(BODIES)))
@pytest.mark.parametrize("framing", list(platform_endpoint.Framing))
@pytest.mark.parametrize(
    ("status", "is_signed", "is_not_run"),
    [
        (500, True, False),
        (500, False, False),
        (503, False, True),
        (502, False, False),
        (404, True, False),
        (302, True, False),
        (200, False, False),
    ],
)
async def test_an_error_does_not_get_into_a_stream_that_has_begun(
    fleet: support.Fleet,
    status: int,
    is_signed: bool,
    is_not_run: bool,
    framing: platform_endpoint.Framing,
    body: bytes,
) -> None:
    error = platform_endpoint.Plan(
        status,
        (body,) if body else (),
        is_signed=is_signed,
        is_not_run=is_not_run,
        framing=framing,
    )
    reply = await call(fleet, error)
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 3)))
    assert not reply.is_complete


@pytest.mark.parametrize("body", [b"error", b"error\n\n", HEAD_TEXT])
@pytest.mark.parametrize("framing", list(platform_endpoint.Framing))
async def test_a_success_that_is_no_stream_does_not_get_into_one(
    fleet: support.Fleet, framing: platform_endpoint.Framing, body: bytes
) -> None:
    error = platform_endpoint.Plan(
        200,
        (body,),
        headers=(("Content-Type", "text/plain"), (names.CONFIDENCE, "95")),
        framing=framing,
    )
    reply = await call(fleet, error)
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 3)))
    assert not reply.is_complete


@pytest.mark.parametrize("framing", list(platform_endpoint.Framing))
async def test_a_head_within_a_stream_breaks_it_off(
    fleet: support.Fleet, framing: platform_endpoint.Framing
) -> None:
    pieces = (platform_endpoint.make_event(3), HEAD_TEXT + b"\n\n")
    error = platform_endpoint.Plan(
        200, pieces, headers=((names.CONFIDENCE, "95"),), framing=framing
    )
    reply = await call(fleet, error)
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 4)))
    assert not reply.is_complete
