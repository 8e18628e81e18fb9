"""Requests that no proper caller sends: a clear answer, and no work."""

import asyncio

import pytest

from tests.router import support
from wagtailstream_adapter import names

LINE = b"POST /unsafe/a HTTP/1.1\r\n"
HOST = f"Host: {support.HOST}\r\n".encode()
KEY = f"{names.CREDENTIAL}: {support.KEY}\r\n".encode()
ID = f"{names.REQUEST_ID}: r-1\r\n".encode()
HEAD = LINE + HOST + KEY + ID
SMUGGLED = b"POST /unsafe/b HTTP/1.1\r\n" + HOST + KEY + b"\r\n"
# Longer than the configuration allows, and longer than is read at all.
LONG_HEADERS = (20_000, 100_000)
READ_BYTES = 4096


async def send_raw(
    fleet: support.Fleet, data: bytes, stops: bool = False
) -> bytes:
    """Send bytes and return the first that come back, or none at its end.

    :param stops: whether the caller's side ends after them.
    """
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", fleet.router.callers_port
    )
    writer.write(data)
    if stops:
        writer.write_eof()
    answer = await asyncio.wait_for(reader.read(READ_BYTES), 30.0)
    writer.close()
    return answer


@pytest.mark.parametrize(
    "data",
    [
        HEAD + b"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n"
        b"0\r\n\r\n" + SMUGGLED,
        HEAD + b"Content-Length: 5\r\nContent-Length: 6\r\n\r\nabcdef",
        HEAD + b"Content-Length: -5\r\n\r\n" + SMUGGLED,
        HEAD + b"Content-Length: +5\r\n\r\nabcde",
        HEAD + b"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n" + SMUGGLED,
        HEAD + b"Transfer-Encoding: chunked\r\n\r\nzz\r\nabc\r\n0\r\n\r\n",
        HEAD + b"X-Folded: a\r\n b\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"X-Blank : a\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"X-Nul: a\x00b\r\nContent-Length: 0\r\n\r\n",
        HEAD + b"X-Return: a\rb\r\nContent-Length: 0\r\n\r\n",
        HEAD + HOST + b"Content-Length: 0\r\n\r\n",
        HEAD + KEY + b"Content-Length: 0\r\n\r\n",
        HEAD + ID + b"Content-Length: 0\r\n\r\n",
        LINE + KEY + ID + b"Content-Length: 0\r\n\r\n",
        b"POST /unsafe/a\r\n" + HOST + KEY + ID + b"\r\n",
    ],
)
async def test_a_malformed_request_reaches_no_endpoint(
    fleet: support.Fleet, data: bytes
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    answer = await send_raw(fleet, data)
    assert answer.startswith(b"HTTP/1.1 400 ")
    # What comes later shows that nothing was smuggled in.
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 200
    assert endpoint.runs == 1


@pytest.mark.parametrize("length", LONG_HEADERS)
async def test_a_head_over_the_limit_is_refused(
    fleet: support.Fleet, length: int
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    header = b"X-Long: " + b"a" * length + b"\r\n"
    answer = await send_raw(fleet, HEAD + header + b"\r\n")
    assert answer.startswith(b"HTTP/1.1 431 ")
    assert endpoint.runs == 0


@pytest.mark.parametrize(
    "data",
    [
        HEAD[:-10],
        HEAD + b"Content-Length: 50\r\n\r\nabc",
        HEAD + b"Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n",
    ],
)
async def test_a_request_that_stops_halfway_reaches_no_endpoint(
    fleet: support.Fleet, data: bytes
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    assert await send_raw(fleet, data, stops=True) == b""
    assert endpoint.runs == 0
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 200


async def test_a_caller_can_not_have_its_id_dropped(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    named = f"Connection: {names.REQUEST_ID}\r\n".encode()
    await send_raw(fleet, HEAD + named + b"Content-Length: 0\r\n\r\n")
    await fleet.wait_for(lambda: endpoint.runs == 1)
    (call,) = endpoint.arrivals
    assert call.headers[names.REQUEST_ID.lower()] == "r-1"


async def test_idle_callers_are_kept_as_long_as_the_configuration_says(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    limits = {"idleTimeoutMs": 90_000}
    fleet.platform.put_configuration(
        support.make_configuration(2, limits=limits)
    )
    await fleet.wait_for(lambda: fleet.router.configuration_version == 2)
    await fleet.wait_for(lambda: fleet.router.idle_seconds > 90.0)
