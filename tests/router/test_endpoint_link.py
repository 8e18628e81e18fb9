"""Connections to endpoints: what can be sent, and what is closed."""

import asyncio

import pytest

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import headers
from wagtailstream_router import endpoint_link, errors

CODEC = headers.PlatformHeaders()


async def test_a_header_byte_above_127_reaches_the_endpoint(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    reply = await fleet.call(
        "POST", support.UNSAFE_PATH, b"x", X_Note="caf\u00e9"
    )
    assert reply.status == 200
    assert endpoint.arrivals[0].headers["x-note"] == "caf\u00e9"


async def test_a_header_that_no_endpoint_can_read_is_not_sent() -> None:
    endpoint = platform_endpoint.PlatformEndpoint("plain-1")
    await endpoint.start()
    link = endpoint_link.EndpointLink(endpoint.address, CODEC)
    await link.connect()
    with pytest.raises(errors.NotSentError, match="encode"):
        link.send("GET", "/", [("Host", "example"), ("X-Note", "\u2260")], b"")
    link.close()
    await endpoint.close()


async def test_a_cancelled_connect_closes_its_socket(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    link = endpoint_link.EndpointLink("127.0.0.1:9", CODEC)
    never = asyncio.get_running_loop().create_future()
    monkeypatch.setattr(link._stream, "connect", lambda peer: never)
    connecting = asyncio.ensure_future(link.connect())
    await asyncio.sleep(0.0)
    connecting.cancel()
    with pytest.raises(asyncio.CancelledError):
        await connecting
    assert link._socket.fileno() == -1
