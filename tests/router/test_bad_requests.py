"""Malformed and truncated requests are refused and reach no endpoint."""

import asyncio

import pytest

from tests.router import support
from wagtailstream_adapter import names

REQUEST_LINE = b"POST /unsafe/a HTTP/1.1\r\n"
HOST = f"Host: {support.HOST}\r\n".encode()
KEY = f"{names.CREDENTIAL}: {support.KEY}\r\n".encode()
ID = f"{names.REQUEST_ID}: r-1\r\n".encode()
HEAD = REQUEST_LINE + HOST + KEY + ID
SMUGGLED = b"POST /unsafe/b HTTP/1.1\r\n" + HOST + KEY + b"\r\n"
# More than the configured limit, and more than the router reads of a head.
LONG_HEADER_BYTES = (20_000, 100_000)
READ_BYTES = 4096


async def send_raw(
    fleet: support.Fleet, data: bytes, half_close: bool = False
) -> bytes:
    """Send bytes and return the first bytes of the answer.

    They are empty if the router closes the connection without an answer.

    :param half_close: whether to close the sending side after the bytes.
    """
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", fleet.router.callers_port
    )
    writer.write(data)
    if half_close:
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
        REQUEST_LINE + KEY + ID + b"Content-Length: 0\r\n\r\n",
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
    # A smuggled request would count as a second run.
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 200
    assert endpoint.runs == 1


@pytest.mark.parametrize("length", LONG_HEADER_BYTES)
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
async def test_a_truncated_request_reaches_no_endpoint(
    fleet: support.Fleet, data: bytes
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    assert await send_raw(fleet, data, half_close=True) == b""
    assert endpoint.runs == 0
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x")
    assert reply.status == 200


async def test_the_connection_header_can_not_remove_the_request_id(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    connection_header = f"Connection: {names.REQUEST_ID}\r\n".encode()
    await send_raw(
        fleet, HEAD + connection_header + b"Content-Length: 0\r\n\r\n"
    )
    await fleet.wait_for(lambda: endpoint.runs == 1)
    (call,) = endpoint.arrivals
    assert call.headers[names.REQUEST_ID.lower()] == "r-1"


async def test_the_idle_timeout_follows_the_configuration(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    limits = {"idleTimeoutMs": 90_000}
    fleet.platform.put_configuration(
        support.make_configuration(2, limits=limits)
    )
    await fleet.wait_for(lambda: fleet.router.configuration_version == 2)
    await fleet.wait_for(lambda: fleet.router.idle_seconds > 90.0)
