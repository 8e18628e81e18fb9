"""Answers that end anywhere are never taken for whole ones."""

import asyncio
import collections.abc
import dataclasses
import socket
import struct

import pytest

from standins import platform_caller, platform_endpoint
from tests.router import support, test_forward_stream
from wagtailstream_adapter import headers, log_store
from wagtailstream_router import (
    endpoint_link,
    errors,
    metrics,
    peer_copy,
    store,
)

CODEC = headers.PlatformHeaders()
BODY = b"0123456789"
HEAD = (
    b"HTTP/1.1 200 OK\r\n"
    b"X-Request-Id: request-1\r\n"
    b"X-Response-Signature: 3e1b.07.5a2\r\n"
    b"Content-Type: text/plain\r\n"
)
WITH_LENGTH = HEAD + b"Content-Length: 10\r\n\r\n" + BODY
CHUNKED = (
    HEAD + b"Transfer-Encoding: chunked\r\n\r\n"
    b"4\r\n0123\r\n6\r\n456789\r\n0\r\n\r\n"
)
UNFRAMED = HEAD + b"\r\n" + BODY
CONTINUED = b"HTTP/1.1 100 Continue\r\n\r\n" + WITH_LENGTH
RESET = struct.pack("ii", 1, 0)


class CuttingServer:
    """Answers each connection with the first bytes of an answer.

    :param answer: the bytes.
    :param is_reset: whether the connection is reset after them; else it is
        closed in order.
    """

    def __init__(self, answer: bytes = b"", is_reset: bool = False) -> None:
        self.answer = answer
        self.is_reset = is_reset
        self.address = ""
        self.requests = 0
        self._server: asyncio.Server | None = None

    async def start(self) -> None:
        """Listen on a port that the system picks."""
        self._server = await asyncio.start_server(
            self._serve, "127.0.0.1", 0, family=socket.AF_INET
        )
        port = self._server.sockets[0].getsockname()[1]
        self.address = f"127.0.0.1:{port}"

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            await reader.readuntil(b"\r\n\r\n")
        except asyncio.IncompleteReadError:
            # The router checked only whether the port is open.
            writer.close()
            return
        self.requests += 1
        writer.write(self.answer)
        await writer.drain()
        if self.is_reset:
            # The bytes have to be read before the reset discards them.
            await asyncio.sleep(0.01)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_LINGER, RESET
            )
        writer.close()

    async def close(self) -> None:
        """Stop listening."""
        if self._server is not None:
            self._server.close()
            await self._server.wait_closed()


@pytest.fixture
async def server() -> collections.abc.AsyncIterator[CuttingServer]:
    cutting = CuttingServer()
    await cutting.start()
    yield cutting
    await cutting.close()


async def read_answer(address: str) -> bytes:
    link = endpoint_link.EndpointLink(address, CODEC)
    await link.connect()
    try:
        link.send("GET", "/", [("Host", "example")], b"")
        _, body = await link.read_answer()
        return body
    finally:
        link.close()


# Guards against MIXED and ORDER: an endpoint that stopped in the middle of its
# head, and a 200 with an empty body that was framed as whole.
@pytest.mark.parametrize("is_reset", [False, True])
@pytest.mark.parametrize("answer", [WITH_LENGTH, CHUNKED, CONTINUED])
async def test_a_framed_answer_cut_at_any_byte_is_broken(
    server: CuttingServer, answer: bytes, is_reset: bool
) -> None:
    server.is_reset = is_reset
    for size in range(len(answer)):
        server.answer = answer[:size]
        with pytest.raises(errors.BrokenAnswerError):
            await read_answer(server.address)
    server.answer = answer
    assert await read_answer(server.address) == BODY


@pytest.mark.parametrize("is_reset", [False, True])
async def test_an_unframed_answer_cut_in_its_head_or_by_a_reset_is_broken(
    server: CuttingServer, is_reset: bool
) -> None:
    server.is_reset = is_reset
    head_size = UNFRAMED.index(b"\r\n\r\n") + 4
    for size in range(len(UNFRAMED) + 1 if is_reset else head_size):
        server.answer = UNFRAMED[:size]
        with pytest.raises(errors.BrokenAnswerError):
            await read_answer(server.address)
    server.is_reset = False
    server.answer = UNFRAMED
    assert await read_answer(server.address) == BODY


@pytest.mark.parametrize(
    ("path", "answer"),
    [
        (support.SAFE_PATH, WITH_LENGTH),
        (support.UNSAFE_PATH, WITH_LENGTH),
        (support.SAFE_PATH, CHUNKED),
        (support.UNSAFE_PATH, CHUNKED),
    ],
)
async def test_no_caller_gets_a_cut_answer_as_whole(
    fleet: support.Fleet, server: CuttingServer, path: str, answer: bytes
) -> None:
    await fleet.start()
    for size in range(len(answer)):
        server.answer = answer[:size]
        reply = await call_cut(fleet, server, path, size)
        assert reply.status in (502, 503, 504), (size, reply)
        assert path == support.SAFE_PATH or reply.status != 503, size


async def call_cut(
    fleet: support.Fleet, server: CuttingServer, path: str, number: int
) -> platform_caller.Reply:
    """Send a request to a new endpoint, which has no record of failures."""
    identity = f"plain-{number}"
    fleet.platform.endpoints.put(f"plain-{number - 1}", None)
    fleet.platform.put_endpoint_at(server.address, identity, "plain")
    await fleet.wait_for(
        lambda: set(fleet.router._members.members) == {identity}
    )
    # An endpoint that leaves after a cut counts as crashed under the request.
    return await fleet.call(
        "POST", path, b"%d" % number, identity="request-1", deadline_ms=1500
    )


async def test_a_page_of_the_store_cut_at_any_byte_is_no_page(
    server: CuttingServer,
) -> None:
    body = b'{"items": [], "hasMore": false, "endOffset": 12}'
    whole = (
        b"HTTP/1.1 200 OK\r\nStore-Era: 3\r\n"
        b"Content-Length: %d\r\n\r\n%s" % (len(body), body)
    )
    topics = log_store.make_store(server.address, metrics.Metrics())
    for size in range(len(whole)):
        server.answer = whole[:size]
        with pytest.raises(errors.StoreError):
            await topics.operator.read_newest()
    server.answer = whole
    assert (await topics.operator.read_newest()).end == store.Position(3, 12)
    topics.close()


# Guards against CONFIG: a read that was cut short looked like one without new
# records, and confirmed an old copy as current.
@pytest.mark.parametrize("is_reset", [False, True])
async def test_unframed_records_of_the_store_cut_at_any_byte_are_not_skipped(
    server: CuttingServer, is_reset: bool
) -> None:
    record = b"\x00\x00\x00\x05\x01kabc"
    ends = (2).to_bytes(8, "big") + bytes(8)
    head = b"HTTP/1.1 200 OK\r\nStore-Era: 0\r\n\r\n"
    whole = head + ends + record + record
    topics = log_store.make_store(server.address, metrics.Metrics())
    server.is_reset = is_reset
    for size in range(len(whole)):
        server.answer = whole[:size]
        if size == len(whole) - len(record) and not is_reset:
            # The rest is read by another call.
            page = await topics.operator.read_from(0, 0.0)
            assert len(page.records) == page.next_offset == 2
            continue
        with pytest.raises(errors.StoreError):
            await topics.operator.read_from(0, 0.0)
    topics.close()


async def test_a_copy_of_a_peer_cut_at_any_byte_is_no_copy(
    server: CuttingServer,
) -> None:
    body = b'[1,7,[["key","dmFsdWU=",3]]]'
    whole = b"HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s" % (
        len(body),
        body,
    )
    pool = endpoint_link.LinkPool(CODEC)
    topic = peer_copy.PeerTopic(pool, server.address, "operator")
    for size in range(len(whole)):
        server.answer = whole[:size]
        with pytest.raises(errors.StoreError):
            await topic.read_newest()
    server.answer = whole
    assert (await topic.read_newest()).end == store.Position(1, 7)
    pool.close()


# Guards against ORDER: a cut stream looked whole to a caller without chunks.
async def test_a_cut_stream_is_reset_for_a_caller_without_chunks(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = dataclasses.replace(
        test_forward_stream.make_plan(1, 3), end=platform_endpoint.End.CUT
    )
    await fleet.start()
    reader, writer = await asyncio.open_connection(
        "127.0.0.1", fleet.router.callers_port
    )
    fields = support.make_headers("request-1", **support.make_stream_headers())
    head = "".join(f"{name}: {value}\r\n" for name, value in fields)
    writer.write(
        f"POST {support.STREAM_PATH} HTTP/1.0\r\n{head}"
        "Content-Length: 1\r\n\r\nx".encode()
    )
    with pytest.raises(ConnectionResetError):
        await reader.read()
    writer.close()
