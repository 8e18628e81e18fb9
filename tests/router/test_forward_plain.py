"""Plain requests: no partial answers, no second run of unsafe requests."""

import asyncio

import pytest

from standins import platform_caller, platform_endpoint
from tests.router import support
from wagtailstream_adapter import names
from wagtailstream_router import reply, request

BROKEN_PLANS = [
    platform_endpoint.Plan(answers=False),
    platform_endpoint.Plan(end=platform_endpoint.End.CUT),
    platform_endpoint.Plan(
        end=platform_endpoint.End.CUT,
        framing=platform_endpoint.Framing.CHUNKED,
    ),
    platform_endpoint.Plan(is_signed=False),
    platform_endpoint.Plan(echo="another-request"),
    platform_endpoint.Plan(headers=(("Content-Encoding", "gzip"),)),
]


async def test_bytes_pass_unchanged(fleet: support.Fleet) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    body = bytes(range(256)) * 40
    reply = await fleet.call(
        "POST", support.UNSAFE_PATH + "?q=%20x&y", body, X_Other="kept"
    )
    arrival = endpoint.arrivals[0]
    assert (arrival.method, arrival.target) == ("POST", "/unsafe/a?q=%20x&y")
    assert arrival.body == body
    assert arrival.headers["x-other"] == "kept"
    assert arrival.headers[names.REQUEST_ID.lower()] == "request-1"
    assert (reply.status, reply.body) == (200, b"whole answer")
    assert names.SIGNATURE.lower() in reply.headers


async def test_callers_can_not_set_the_headers_of_the_router(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    await fleet.call(
        "GET",
        support.SAFE_PATH,
        X_Tenant="forged",
        X_Hold="forged",
        X_Kv_Backup="10.0.0.1:1",
        Kv_From="10.0.0.1:1/x",
        X_Pin_Milliseconds="1000",
        X_Expected_Instance="forged",
        X_Request_Priority="0",
    )
    fields = endpoint.arrivals[0].headers
    assert fields["x-tenant"] == "tenant-1"
    assert fields["x-expected-instance"] == "plain-1"
    assert "forged" not in fields.values()
    assert "x-credential" not in fields
    for name in ("x-hold", "x-kv-backup", "kv-from", "x-pin-milliseconds"):
        assert name not in fields


async def test_the_endpoint_gets_at_most_the_remaining_time(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    await fleet.call("GET", support.SAFE_PATH, deadline_ms=700)
    assert int(endpoint.arrivals[0].headers[names.DEADLINE_MS.lower()]) > 0
    assert int(endpoint.arrivals[0].headers[names.DEADLINE_MS.lower()]) <= 700


@pytest.mark.parametrize("plan", BROKEN_PLANS)
async def test_an_unsafe_request_is_not_sent_again(
    fleet: support.Fleet, plan: platform_endpoint.Plan
) -> None:
    first = await fleet.add_endpoint("plain-1", "plain")
    second = await fleet.add_endpoint("plain-2", "plain")
    first.default = second.default = plan
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 502
    assert names.SIGNATURE.lower() not in reply.headers
    assert first.runs + second.runs == 1


@pytest.mark.parametrize("plan", BROKEN_PLANS)
async def test_a_safe_request_is_retried_at_another_endpoint(
    fleet: support.Fleet, plan: platform_endpoint.Plan
) -> None:
    first = await fleet.add_endpoint("plain-1", "plain")
    second = await fleet.add_endpoint("plain-2", "plain", zone="zone-2")
    first.default = plan
    await fleet.start()
    reply = await fleet.call("GET", support.SAFE_PATH)
    assert (reply.status, reply.body) == (200, b"whole answer")
    assert (first.runs, second.runs) == (1, 1)


async def test_a_refused_unsafe_request_is_answered_as_not_run(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.default = platform_endpoint.Plan(
        503, (b"full",), is_not_run=True, is_signed=False
    )
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 503
    assert float(reply.headers["retry-after"]) > 0
    assert endpoint.runs == 0


async def test_a_deadline_after_the_request_was_sent_is_answered_504(
    fleet: support.Fleet,
) -> None:
    """An unsafe request that may have run must not be answered as not run.

    The router answered 503 although the endpoint had run the request (seen
    on the test day trouble-1).
    """
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.default = platform_endpoint.Plan(gate=asyncio.Event())
    await fleet.start()
    reply = await fleet.call(
        "POST", support.UNSAFE_PATH, b"x", deadline_ms=200
    )
    assert reply.status == 504
    assert endpoint.runs == 1


async def test_bytes_after_an_answer_close_the_connection(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.plans = [platform_endpoint.Plan(end=platform_endpoint.End.EXTRA)]
    await fleet.start()
    first = await fleet.call("GET", support.SAFE_PATH)
    second = await fleet.call("GET", support.SAFE_PATH, identity="request-2")
    assert first.body == second.body == b"whole answer"
    assert endpoint.connections == 2


async def test_a_connection_is_kept_for_the_next_request(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    for number in range(3):
        await fleet.call("GET", support.SAFE_PATH, identity=f"r-{number}")
    assert endpoint.connections == 1


async def test_an_answer_without_a_length_may_come_with_its_end(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.default = platform_endpoint.Plan(
        framing=platform_endpoint.Framing.CLOSE, is_written_at_once=True
    )
    await fleet.start()
    for number in range(20):
        reply = await fleet.call(
            "POST", support.UNSAFE_PATH, b"x", identity=f"r-{number}"
        )
        assert (reply.status, reply.body) == (200, b"whole answer")


async def test_an_answer_without_a_length_ends_with_its_connection(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.default = platform_endpoint.Plan(
        framing=platform_endpoint.Framing.CLOSE
    )
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert (reply.status, reply.body) == (200, b"whole answer")


async def test_an_attempt_is_cancelled_when_the_caller_disconnects(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    endpoint.default = platform_endpoint.Plan(gate=asyncio.Event())
    await fleet.start()
    connection = await platform_caller.connect(fleet.router.callers_port)
    pending_reply = asyncio.ensure_future(
        connection.call("GET", support.SAFE_PATH, support.make_headers("r-1"))
    )
    await endpoint.request_received.wait()
    pending_reply.cancel()
    connection.close()
    await endpoint.disconnected.wait()
    await fleet.wait_for_event("caller_left")


async def test_another_instance_at_the_address_does_not_run_the_request(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("new-tenant", "other")
    fleet.platform.put_endpoint(endpoint, "plain")
    await fleet.start()
    endpoint.identity = "another"
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 503
    assert endpoint.runs == 0


async def test_a_request_without_an_endpoint_is_refused_at_once(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 503
    assert "retry-after" in reply.headers


async def test_an_internal_error_is_answered_502(
    fleet: support.Fleet,
) -> None:
    """A closed connection would not show whether the request was read."""
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()

    async def fail(call: request.Request, caller: reply.Reply) -> None:
        raise RuntimeError("a fault")

    fleet.router._server.handle = fail
    answer = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert answer.status == 502
    assert endpoint.runs == 0
    line = await fleet.wait_for_event("internal_error")
    assert line["request"] == "request-1"
