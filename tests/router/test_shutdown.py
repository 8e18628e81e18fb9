"""On shutdown, open requests are answered and late ones refused."""

import asyncio

from standins import platform_caller, platform_endpoint
from tests.router import support


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
