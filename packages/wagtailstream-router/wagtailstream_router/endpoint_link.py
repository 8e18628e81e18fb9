"""HTTP/1.1 client connections to endpoints, one request at a time each.

h11 parses and encodes messages; tornado's IOStream does the socket I/O.
"""

import asyncio
import collections
import collections.abc
import contextlib
import socket
import time
import typing

import h11
from tornado import iostream

from wagtailstream_router import errors, request, wire

# The most bytes per read of the socket; events of a stream are far smaller.
READ_BYTES = 65536
# The connect timeout. It is below the one second after which TCP sends a lost
# SYN again: another endpoint answers sooner than that.
CONNECT_SECONDS = 0.6
# A request's body is written in pieces of this length, the next when the
# kernel has taken the last.
PIECE_BYTES = 65536
# The most bytes in the kernel in each direction; without a bound it grows to
# megabytes if a peer does not read. The kernel doubles the value.
SOCKET_BYTES = 128 * 1024
# Subtracted from an endpoint's keep-alive time, for network delay and late
# timers, so that no request is sent as the endpoint closes.
IDLE_MARGIN_SECONDS = 1.0
# The most informational heads (1xx) before an answer; endpoints in the users'
# specification send none.
MAX_INFORMATIONAL_HEADS = 8
# The requests whose late copies of answers a connection may still bring, the
# newest of those that it carried.
MAX_CARRIED = 64
# The keep-alive time of endpoints that don't state theirs.
DEFAULT_IDLE_SECONDS = 4.0

_FRAMING_HEADERS = frozenset({"content-length", "transfer-encoding"})
_FAULTS = (iostream.StreamClosedError, OSError)


class EndpointLink:
    """A connection to an endpoint.

    :param address: the endpoint's IPv4 address and port, `host:port`.
    :param codec: decodes heads of answers.
    """

    def __init__(self, address: str, codec: wire.HeaderCodec) -> None:
        host, _, port = address.rpartition(":")
        self._address = address
        self._peer = (host, int(port))
        self._codec = codec
        self._socket = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
        for option in (socket.SO_RCVBUF, socket.SO_SNDBUF):
            self._socket.setsockopt(socket.SOL_SOCKET, option, SOCKET_BYTES)
        self._stream = iostream.IOStream(self._socket)
        self._stream.set_nodelay(True)
        self._framing = h11.Connection(h11.CLIENT)
        self._pending_read: asyncio.Future[bytes] | None = None
        # Writes the rest of a long request; None once it is written.
        self._sending: asyncio.Task[None] | None = None
        self._idle_deadline = float("inf")
        self._idle_seconds = DEFAULT_IDLE_SECONDS
        self._is_framed = False
        self._is_closed = False
        self._carried: collections.deque[str] = collections.deque(
            maxlen=MAX_CARRIED
        )

    @property
    def address(self) -> str:
        """The endpoint's address."""
        return self._address

    @property
    def is_reusable(self) -> bool:
        """Whether the connection is idle, open and not about to expire.

        Bytes or an end of stream that arrived while it was idle belong to no
        request and make it unusable.
        """
        return (
            not self._stream.closed()
            and self._framing.our_state is h11.IDLE
            and (self._pending_read is None or not self._pending_read.done())
            and time.monotonic() < self._idle_deadline
        )

    @property
    def is_framed(self) -> bool:
        """Whether the answer has a length or chunks.

        Otherwise it ends with its connection, and an answer that was broken
        off may look whole.
        """
        return self._is_framed

    def has_carried(self, identity: str) -> bool:
        """Return whether it carried a request of this id before.

        A late copy of its answer would bear the id of the next one.
        """
        return identity in self._carried

    def record_carried(self, identity: str) -> None:
        """Record the id of the request that is sent."""
        self._carried.append(identity)

    async def connect(self) -> None:
        """Open the connection.

        :raises errors.NotSentError: the connection could not be opened.
        """
        try:
            async with asyncio.timeout(CONNECT_SECONDS):
                await self._stream.connect(self._peer)
        except (*_FAULTS, TimeoutError) as error:
            self.close()
            raise errors.NotSentError(
                "connect", self._address, repr(error)
            ) from error
        except asyncio.CancelledError:
            self.close()
            raise
        self._start_read()

    def close(self) -> None:
        """Close the connection; the endpoint may still run its request."""
        if self._pending_read is not None:
            # Retrieve its exception, or asyncio logs it as never retrieved.
            self._pending_read.add_done_callback(_ignore_result)
            self._pending_read = None
        if self._sending is not None:
            self._sending.cancel()
            self._sending = None
        self._is_closed = True
        self._stream.close()

    def send(
        self,
        method: str,
        target: str,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Write a request to the socket without waiting for it to drain.

        A long body is written in the background, as fast as the endpoint
        reads it.

        :raises errors.NotSentError: the connection was closed before, or the
            request can't be encoded.
        """
        if self._stream.closed():
            raise errors.NotSentError(
                "send", self._address, "the connection is closed"
            )
        try:
            head = h11.Request(
                method=method,
                target=target,
                headers=[
                    (name.encode("latin-1"), value.encode("latin-1"))
                    for name, value in headers
                ],
            )
        except (h11.LocalProtocolError, UnicodeError) as error:
            raise errors.NotSentError(
                "encode", self._address, str(error)
            ) from error
        data = self._framing.send(head) or b""
        rest = b""
        if body:
            rest = self._framing.send(h11.Data(data=body)) or b""
        end = self._framing.send(h11.EndOfMessage()) or b""
        is_long = len(rest) > PIECE_BYTES
        try:
            written = self._stream.write(
                data if is_long else data + rest + end
            )
        except _FAULTS as error:
            raise errors.NotSentError(
                "send", self._address, repr(error)
            ) from error
        written.add_done_callback(_ignore_result)
        if is_long:
            self._sending = asyncio.ensure_future(self._send_rest(rest, end))

    async def _send_rest(self, rest: bytes, end: bytes) -> None:
        """Write the rest of a request as fast as the endpoint reads it.

        :param end: what follows the body in its framing.
        """
        view = memoryview(rest)
        # The answer, or its absence, shows that the connection is lost.
        with contextlib.suppress(*_FAULTS):
            for place in range(0, len(view), PIECE_BYTES):
                await self._stream.write(view[place : place + PIECE_BYTES])
            await self._stream.write(end)
            self._sending = None

    async def read_head(self) -> request.AnswerHead:
        """Return the head of the answer; informational heads are skipped.

        :raises errors.BrokenAnswerError: the connection ended without one, or
            there were more than `MAX_INFORMATIONAL_HEADS` before it.
        """
        for _ in range(MAX_INFORMATIONAL_HEADS + 1):
            event = await self._next_event()
            if isinstance(event, h11.InformationalResponse):
                continue
            if not isinstance(event, h11.Response):
                raise errors.BrokenAnswerError(
                    "read head", self._address, "closed before any answer"
                )
            pairs = [
                (name.decode("latin-1"), value.decode("latin-1"))
                for name, value in event.headers.raw_items()
            ]
            self._is_framed = any(
                name.lower() in _FRAMING_HEADERS for name, _ in pairs
            )
            head = self._codec.decode_answer(event.status_code, pairs)
            if head.idle_seconds is not None:
                self._idle_seconds = head.idle_seconds
            return head
        raise errors.BrokenAnswerError(
            "read head",
            self._address,
            f"over {MAX_INFORMATIONAL_HEADS} informational heads",
        )

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body; None at its end.

        :raises errors.BrokenAnswerError: the body is incomplete.
        """
        event = await self._next_event()
        if isinstance(event, h11.Data):
            return bytes(event.data)
        if isinstance(event, h11.EndOfMessage):
            self._end_answer()
            return None
        raise errors.BrokenAnswerError(
            "read body", self._address, "the body is incomplete"
        )

    async def read_answer(self) -> tuple[request.AnswerHead, bytes]:
        """Return the head and the complete body of an answer.

        :raises errors.BrokenAnswerError: the answer is missing or incomplete.
        """
        head = await self.read_head()
        chunks = []
        while (chunk := await self.read_chunk()) is not None:
            chunks.append(chunk)
        return head, b"".join(chunks)

    def _end_answer(self) -> None:
        extra, _ = self._framing.trailing_data
        if extra or self._framing.our_state is not h11.DONE:
            self.close()
            return
        if self._sending is not None:
            # Another request's bytes would follow half a body.
            self.close()
            return
        if self._framing.their_state is not h11.DONE:
            self.close()
            return
        self._framing.start_next_cycle()
        self._idle_deadline = time.monotonic() + max(
            0.0, self._idle_seconds - IDLE_MARGIN_SECONDS
        )
        self._start_read()

    def _start_read(self) -> None:
        """Start a background read unless one is pending.

        While the connection is idle it detects a close by the endpoint.
        """
        if self._pending_read is None and not self._stream.closed():
            with contextlib.suppress(*_FAULTS):
                self._pending_read = asyncio.ensure_future(
                    self._stream.read_bytes(READ_BYTES, partial=True)
                )

    async def _next_event(self) -> object:
        while True:
            try:
                event = self._framing.next_event()
            except h11.RemoteProtocolError as error:
                self.close()
                raise errors.BrokenAnswerError(
                    "parse", self._address, str(error)
                ) from error
            if event is not h11.NEED_DATA:
                return event
            self._framing.receive_data(await self._read())

    async def _read(self) -> bytes:
        self._start_read()
        pending = self._pending_read
        if pending is None:
            # The end of the stream may come with the last bytes.
            if self._is_closed or self._stream.error is not None:
                raise errors.BrokenAnswerError(
                    "read", self._address, "the connection is closed"
                )
            return b""
        try:
            data = await asyncio.shield(pending)
        except _FAULTS as error:
            self._pending_read = None
            # An answer without Content-Length ends with an orderly close; h11
            # reads the empty bytes as end of stream. A reset is an error.
            if self._stream.error is None:
                return b""
            self.close()
            raise errors.BrokenAnswerError(
                "read", self._address, repr(self._stream.error)
            ) from error
        self._pending_read = None
        return data


def _ignore_result(done: "asyncio.Future[typing.Any]") -> None:
    if not done.cancelled():
        done.exception()


class LinkPool:
    """A pool of keep-alive connections to endpoints.

    :param codec: decodes heads of answers.
    """

    def __init__(self, codec: wire.HeaderCodec) -> None:
        self._codec = codec
        self._idle: dict[str, list[EndpointLink]] = {}
        self._opened = 0

    @property
    def opened(self) -> int:
        """The number of connections opened so far, failed ones included."""
        return self._opened

    async def acquire(
        self,
        address: str,
        used: collections.abc.Container[EndpointLink] = (),
        identity: str = "",
    ) -> EndpointLink:
        """Return a connection to an endpoint, preferably an idle one.

        :param address: the endpoint's IPv4 address and port, `host:port`.
        :param used: connections that are not wanted.
        :param identity: the id of the request; connections that carried one
            of the same id are not wanted. "" if it has none.
        :raises errors.NotSentError: no connection could be opened.
        """
        idle = self._idle.get(address, [])
        for link in reversed(idle.copy()):
            if link in used or (identity and link.has_carried(identity)):
                continue
            idle.remove(link)
            if link.is_reusable:
                return link
            link.close()
        link = EndpointLink(address, self._codec)
        self._opened += 1
        await link.connect()
        return link

    async def reaches(self, address: str) -> bool:
        """Return whether an endpoint accepts connections.

        The opened connection stays in the pool for the next request.

        :param address: the endpoint's IPv4 address and port, `host:port`.
        """
        link = EndpointLink(address, self._codec)
        self._opened += 1
        try:
            await link.connect()
        except errors.NotSentError:
            return False
        self.release(link)
        return True

    def release(self, link: EndpointLink) -> None:
        """Return a connection to the pool, or close it if not reusable."""
        if link.is_reusable:
            self._idle.setdefault(link.address, []).append(link)
        else:
            link.close()

    def prune(self, addresses: collections.abc.Set[str]) -> None:
        """Close idle connections that expired or whose endpoint is gone.

        :param addresses: the addresses of the current endpoints.
        """
        for address, links in list(self._idle.items()):
            kept = []
            for link in links:
                if address in addresses and link.is_reusable:
                    kept.append(link)
                else:
                    link.close()
            if kept:
                self._idle[address] = kept
            else:
                del self._idle[address]

    def close(self) -> None:
        """Close all idle connections."""
        self.prune(frozenset())
