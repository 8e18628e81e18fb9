"""On shutdown, open requests are answered and late ones refused."""

import asyncio
import dataclasses
import time

import pytest

from standins import platform_caller, platform_endpoint
from tests.router import support, test_forward_stream
from wagtailstream_router import node


async def test_an_open_request_is_answered_with_connection_close(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    gate = asyncio.Event()
    endpoint.default = platform_endpoint.Plan(gate=gate)
    await fleet.start()
    pending_reply = asyncio.ensure_future(
        fleet.call("POST", support.UNSAFE_PATH, b"x")
    )
    await endpoint.request_received.wait()
    fleet.router.stop()
    await fleet.wait_for_event("draining")
    assert not fleet.router.is_ready
    gate.set()
    reply = await pending_reply
    assert (reply.status, reply.body) == (200, b"whole answer")
    assert reply.headers["connection"] == "close"


async def test_a_late_request_is_refused_and_not_run() -> None:
    fleet = support.Fleet(leave_seconds=1.0)
    fleet.platform.put_configuration(support.make_configuration())
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    connection = await platform_caller.connect(fleet.router.callers_port)
    fleet.router.stop()
    await fleet.wait_for_event("refusing")
    reply = await connection.call(
        "POST", support.UNSAFE_PATH, support.make_headers("r-1"), b"x"
    )
    assert reply.status == 503
    assert endpoint.runs == 0
    connection.close()
    await fleet.close()


class StoppingFleet(support.Fleet):
    """A router with a short grace period and one plain endpoint.

    :param grace_seconds: the grace period.
    """

    def __init__(self, grace_seconds: float) -> None:
        super().__init__(
            grace_seconds=grace_seconds,
            leaving=node.ShutdownTiming(),
        )
        self.platform.put_configuration(support.make_configuration())
        self.gate = asyncio.Event()

    async def start_with_endpoint(
        self, service: str = "plain"
    ) -> platform_endpoint.PlatformEndpoint:
        endpoint = await self.add_endpoint("endpoint-1", service)
        endpoint.default = platform_endpoint.Plan(gate=self.gate)
        await self.start()
        return endpoint


# Guards against LOST: requests that a stopping instance had passed on were cut
# at the end of the grace period with no answer.
@pytest.mark.parametrize("grace_seconds", [0.4, 1.0, 2.0])
@pytest.mark.parametrize("path", [support.SAFE_PATH, support.UNSAFE_PATH])
async def test_a_request_open_at_the_end_gets_a_true_final_answer(
    grace_seconds: float, path: str
) -> None:
    fleet = StoppingFleet(grace_seconds)
    endpoint = await fleet.start_with_endpoint()
    pending = asyncio.ensure_future(
        fleet.call("POST", path, b"x", deadline_ms=30000)
    )
    await endpoint.request_received.wait()
    began = time.monotonic()
    fleet.router.stop()
    reply = await pending
    assert time.monotonic() - began < grace_seconds
    # It runs: a 503 would promise that it does not.
    assert reply.status == 504
    assert reply.is_complete
    assert endpoint.runs == 1
    await fleet.close()


async def test_an_open_stream_that_has_begun_is_cut_and_not_ended() -> None:
    fleet = StoppingFleet(1.0)
    endpoint = await fleet.add_endpoint("endpoint-1", "engine")
    endpoint.default = dataclasses.replace(
        test_forward_stream.make_plan(1, 3), end=platform_endpoint.End.SILENT
    )
    await fleet.start()
    pending = asyncio.ensure_future(
        fleet.call(
            "POST",
            support.STREAM_PATH,
            b"x",
            deadline_ms=30000,
            **support.make_stream_headers(),
        )
    )
    await endpoint.request_received.wait()
    fleet.router.stop()
    reply = await pending
    assert reply.status == 200
    assert not reply.is_complete
    await fleet.close()


@pytest.mark.parametrize("grace_seconds", [0.6, 1.5])
async def test_no_request_is_taken_late_in_any_grace_period(
    grace_seconds: float,
) -> None:
    fleet = StoppingFleet(grace_seconds)
    endpoint = await fleet.start_with_endpoint()
    kept = await platform_caller.connect(fleet.router.callers_port)
    # Keeps the router open until the end.
    open_call = asyncio.ensure_future(
        fleet.call("POST", support.UNSAFE_PATH, b"x", identity="open")
    )
    await endpoint.request_received.wait()
    fleet.router.stop()
    await asyncio.sleep(grace_seconds / 2.0)
    late = [
        await kept.call(
            "POST", support.UNSAFE_PATH, support.make_headers("r-1"), b"x"
        ),
        await fleet.call("POST", support.UNSAFE_PATH, b"x", identity="r-2"),
        # Its caller sends it once more.
        await fleet.call("POST", support.UNSAFE_PATH, b"x", identity="r-3"),
    ]
    assert [reply.status for reply in late] == [503, 503, 503]
    assert all("retry-after" in reply.headers for reply in late)
    assert endpoint.runs == 1
    kept.close()
    await open_call
    await fleet.close()


@pytest.mark.parametrize("is_late", [False, True])
async def test_a_request_that_is_half_read_is_refused(is_late: bool) -> None:
    """Its head came before the end of the grace period, its body did not."""
    fleet = StoppingFleet(1.0)
    endpoint = await fleet.start_with_endpoint()
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", fleet.router.callers_port
    )
    head = "".join(
        f"{name}: {value}\r\n" for name, value in support.make_headers("r-1")
    )
    if is_late:
        fleet.router.stop()
        await fleet.wait_for_event("refusing")
    writer.write(
        f"POST {support.UNSAFE_PATH} HTTP/1.1\r\n{head}"
        "Content-Length: 10\r\n\r\n12345".encode()
    )
    if not is_late:
        await fleet.wait_for(lambda: bool(fleet.router._server.readers))
        fleet.router.stop()
    answer = await reader.read()
    assert answer.startswith(b"HTTP/1.1 503 ")
    assert b"refused_draining" in answer
    assert endpoint.runs == 0
    writer.close()
    await fleet.close()


async def test_a_request_that_waits_for_a_full_endpoint_is_not_sent_late() -> (
    None
):
    fleet = StoppingFleet(2.0)
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.full_until = time.monotonic() + 1.2
    await fleet.start()
    # The endpoint says for how long it is full.
    first = await fleet.call("POST", support.UNSAFE_PATH, b"x", identity="r-1")
    assert first.status == 503
    waiting = asyncio.ensure_future(
        fleet.call("POST", support.UNSAFE_PATH, b"x", identity="r-2")
    )
    await fleet.wait_for_event("waiting_for_full_endpoint")
    began = time.monotonic()
    fleet.router.stop()
    reply = await waiting
    assert reply.status == 503
    assert time.monotonic() - began < 1.0
    assert endpoint.runs == 0
    await fleet.close()
