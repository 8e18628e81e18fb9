"""HTTP/1.1 server for callers; each request runs in its own task."""

import asyncio
import collections.abc
import contextlib
import http.client
import time
import typing

from tornado import http1connection, httputil, iostream

from wagtailstream_router import (
    configuration,
    event_log,
    metrics,
    reply,
    request,
    wire,
)
from wagtailstream_router.flow import ledger, unread, unread_watch, window

Handle = collections.abc.Callable[
    [request.Request, reply.Reply], collections.abc.Coroutine[None, None, None]
]
# A long body is written in pieces of this length, so that it shows whether the
# caller reads.
PIECE_BYTES = 16 * 1024
# The time after which a caller that states no deadline stops waiting.
DEFAULT_DEADLINE_SECONDS = 30.0
# The Retry-After of a request for whose body there is no room: callers that
# don't read are ended soon after, and another instance may have room now.
RETRY_AFTER_SECONDS = 0.25


class ConnectionReply(reply.Reply):
    """Writes an answer to a connection of tornado's HTTP server.

    :param connection: the request's connection.
    :param is_closing: returns whether callers are to connect elsewhere; the
        answer then carries `Connection: close`.
    :param ledger_: counts what is held of the answer.
    """

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        is_closing: collections.abc.Callable[[], bool],
        ledger_: ledger.Ledger,
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self._room = ledger.Holding(ledger_, ledger.Use.ANSWER)
        self._window: window.SendWindow | None = None
        self._is_started = False
        self._is_done = False
        self._is_aborted = False
        self._has_chunks = True
        self._is_framed = True

    @property
    def is_started(self) -> bool:
        """Whether the head of an answer was sent to the caller."""
        return self._is_started

    @property
    def is_done(self) -> bool:
        """Whether the answer was sent completely or aborted."""
        return self._is_done

    @property
    def is_aborted(self) -> bool:
        """Whether the router, not the caller, ended the connection."""
        return self._is_aborted

    @property
    def is_blocked(self) -> bool:
        """Whether the answer waits, or last waited, for the caller to read."""
        return self._window is not None and self._window.is_blocked

    @property
    def room(self) -> ledger.Holding:
        """Counts what is held of an answer before it is sent."""
        return self._room

    def set_version(self, version: str) -> None:
        """Set the HTTP version of the request: before 1.1 nothing is chunked.

        :param version: for example "HTTP/1.1".
        """
        self._has_chunks = version >= "HTTP/1.1"

    def track(self, window_: window.SendWindow) -> None:
        """Count what is unsent, and let `write` wait for the caller."""
        self._window = window_

    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Send the head of an answer of unknown length."""
        self._write_head(status, headers, None, b"")

    async def write(self, data: bytes) -> float:
        """Send a chunk of the body; wait until the caller may have more.

        :returns: how long it waited, in seconds.
        """
        self._write_pieces(data)
        if self._window is None:
            return 0.0
        return await self._window.wait_allowed()

    async def wait_sent(self) -> None:
        """Wait until the answer is sent, or the connection is closed."""
        if self._window is not None:
            await self._window.wait_sent()

    def close(self) -> None:
        """Release what is held: the answer is over."""
        self._room.close()
        if self._window is not None:
            self._window.close()

    def reset(self) -> None:
        """Close the connection and drop what the caller has not read."""
        self._is_done = True
        self._is_aborted = True
        if self._window is not None:
            self._window.reset()

    def finish(self) -> None:
        """Mark a started answer as complete."""
        self._is_done = True
        with contextlib.suppress(iostream.StreamClosedError):
            self._connection.finish()

    def send(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete answer: head and body."""
        self.send_unfinished(status, headers, body)
        self.finish()

    def send_unfinished(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete answer while its request is still being read.

        `finish` has to follow; what is read until then may be discarded.
        """
        if len(body) <= PIECE_BYTES:
            self._write_head(status, headers, len(body), body)
            return
        self._write_head(status, headers, len(body), b"")
        self._write_pieces(body)

    def abort(self) -> None:
        """Close the connection so that a cut answer can't look complete.

        Where only the end of the connection ends the answer, it is reset.
        """
        self._is_done = True
        self._is_aborted = True
        if not self._is_framed and self._window is not None:
            self._window.reset()
            return
        stream = getattr(self._connection, "stream", None)
        if stream is not None:
            stream.close()

    def _write_head(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        length: int | None,
        body: bytes,
    ) -> None:
        self._is_started = True
        self._is_framed = length is not None or self._has_chunks
        fields = httputil.HTTPHeaders()
        for name, value in headers:
            fields.add(name, value)
        if length is not None:
            fields["Content-Length"] = str(length)
        if self._is_closing():
            fields["Connection"] = "close"
        line = httputil.ResponseStartLine(
            "HTTP/1.1", status, http.client.responses.get(status, "Unknown")
        )
        with contextlib.suppress(iostream.StreamClosedError):
            _suppress_write_error(
                self._connection.write_headers(line, fields, body)
            )
            self._record_write(len(body))

    def _write_pieces(self, data: bytes) -> None:
        if len(data) <= PIECE_BYTES:
            self._write(data)
            return
        view = memoryview(data)
        for place in range(0, len(data), PIECE_BYTES):
            self._write(view[place : place + PIECE_BYTES])

    def _write(self, data: bytes | memoryview) -> None:
        with contextlib.suppress(iostream.StreamClosedError):
            # tornado's annotation is narrower than what it takes.
            _suppress_write_error(
                self._connection.write(typing.cast(bytes, data))
            )
            self._record_write(len(data))

    def _record_write(self, size: int) -> None:
        if self._window is not None:
            self._window.record_write(size)


def _suppress_write_error(written: "asyncio.Future[None]") -> None:
    """Suppress errors of a write.

    A lost connection is reported by the connection's close callback.
    """
    written.add_done_callback(
        lambda done: None if done.cancelled() else done.exception() and None
    )


def _head_bytes(
    line: httputil.RequestStartLine, headers: httputil.HTTPHeaders
) -> int:
    """Return the size of a request line and its headers, in bytes."""
    # Two spaces and CRLF in the request line; ": " and CRLF in each header.
    size = len(line.method) + len(line.path) + len(line.version) + 4
    return size + sum(
        len(name) + len(value) + 4 for name, value in headers.get_all()
    )


class CallerServer(httputil.HTTPServerConnectionDelegate):
    """Reads callers' requests and starts a task for each of them.

    :param codec: decodes request heads.
    :param handle: answers a request.
    :param find_limits: returns the size limits in force for requests.
    :param ledger_: counts what is held of requests and answers.
    """

    def __init__(
        self,
        codec: wire.HeaderCodec,
        handle: Handle,
        find_limits: collections.abc.Callable[[], configuration.CallerLimits],
        log: event_log.EventLog,
        counters: metrics.Metrics,
        ledger_: ledger.Ledger,
    ) -> None:
        self.codec = codec
        self.handle = handle
        self.find_limits = find_limits
        self.log = log
        self.counters = counters
        self.ledger = ledger_
        self.unread_watch = unread_watch.UnreadWatch()
        self.is_closing = False
        # Whether requests are refused before their body is read.
        self.is_refusing = False
        # Whether answers end their connections for another reason.
        self.ends_connections: collections.abc.Callable[[], bool] = lambda: (
            False
        )
        self.tasks: set[asyncio.Task[None]] = set()
        self.readers: set[_RequestReader] = set()

    def end_reading(self) -> None:
        """Refuse the requests that are not read to their end."""
        for reader in list(self.readers):
            reader.end()

    def start_request(
        self,
        server_conn: object,
        request_conn: httputil.HTTPConnection,
    ) -> httputil.HTTPMessageDelegate:
        """Return a reader for the next request of a connection."""
        return _RequestReader(self, request_conn)

    def on_close(self, server_conn: object) -> None:
        """Do nothing; requests watch their own connection for its close."""


class _RequestReader(httputil.HTTPMessageDelegate):
    def __init__(
        self, owner: CallerServer, connection: httputil.HTTPConnection
    ) -> None:
        self._owner = owner
        self._connection = connection
        self._reply = ConnectionReply(
            connection,
            lambda: owner.is_closing or owner.ends_connections(),
            owner.ledger,
        )
        self._holding = ledger.Holding(owner.ledger, ledger.Use.REQUEST)
        self._is_refused = False
        self._line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._limits = owner.find_limits()
        self._body: list[bytes] = []
        self._size = 0
        self._announced = 0
        self._arrived = 0.0
        self._task: asyncio.Task[None] | None = None

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        self._arrived = time.monotonic()
        assert isinstance(start_line, httputil.RequestStartLine)
        self._line = start_line
        self._reply.set_version(start_line.version)
        self._headers = headers
        self._limits = self._owner.find_limits()
        length = headers.get("Content-Length", "0")
        head_bytes = _head_bytes(start_line, headers)
        if head_bytes > self._limits.header_bytes:
            self._refuse(431, metrics.Counter.REFUSED_LONG_HEAD)
        elif length.isdecimal() and int(length) > self._limits.body_bytes:
            self._refuse(413, metrics.Counter.REFUSED_TOO_LARGE)
        elif self._owner.is_refusing:
            self._refuse_unread(metrics.Counter.REFUSED_DRAINING)
        else:
            if length.isdecimal() and "Transfer-Encoding" not in headers:
                self._announced = int(length)
            if not self._holding.take(head_bytes + self._announced):
                self._refuse_unread(metrics.Counter.REFUSED_NO_ROOM)
        if not self._reply.is_done:
            self._owner.readers.add(self)

    def end(self) -> None:
        """Refuse the request if that is not done, and read it no further."""
        if not self._is_refused:
            self._refuse_unread(metrics.Counter.REFUSED_DRAINING)
        if not self._reply.is_done:
            self._reply.finish()

    def data_received(self, chunk: bytes) -> None:
        if self._reply.is_done:
            return
        self._size += len(chunk)
        if self._size > self._limits.body_bytes:
            if self._is_refused:
                self._reply.finish()
            else:
                self._refuse(413, metrics.Counter.REFUSED_TOO_LARGE)
        elif not self._is_refused:
            self._keep(chunk)

    def _keep(self, chunk: bytes) -> None:
        """Keep a part of the body; without a length, it needs room of its own.

        Without room the request is refused.
        """
        if self._announced or self._holding.take(len(chunk)):
            self._body.append(chunk)
        else:
            self._refuse_unread(metrics.Counter.REFUSED_NO_ROOM)

    def finish(self) -> None:
        self._owner.readers.discard(self)
        if self._is_refused and not self._reply.is_done:
            # Closing a connection with unread bytes would reset it, and the
            # caller could lose the answer. Now all are read.
            self._reply.finish()
        if self._reply.is_done or self._line is None:
            return
        try:
            call = self._owner.codec.decode_request(
                self._line.method,
                self._line.path,
                list(self._headers.get_all()),
                b"".join(self._body),
                self._arrived,
            )
        except ValueError as error:
            self._owner.log.write("malformed", detail=str(error))
            self._refuse(400, metrics.Counter.REFUSED_MALFORMED)
            return
        self._body = []
        if isinstance(self._connection, http1connection.HTTP1Connection):
            self._reply.track(self._make_window(call, self._connection.stream))
            self._connection.set_close_callback(self._cancel)
        self._task = asyncio.ensure_future(self._answer(call))
        self._owner.tasks.add(self._task)
        self._task.add_done_callback(self._owner.tasks.discard)

    def on_connection_close(self) -> None:
        self._owner.readers.discard(self)
        self._body = []
        self._holding.close()
        self._cancel()

    def _make_window(
        self, call: request.Request, stream: iostream.IOStream
    ) -> window.SendWindow:
        deadline = call.deadline
        if deadline is None:
            deadline = call.arrived + DEFAULT_DEADLINE_SECONDS
        watch = self._owner.unread_watch
        return window.SendWindow(
            stream,
            self._owner.ledger,
            deadline,
            lambda changed: watch.set(
                changed,
                lambda cause: self._end_unread(call.identity, changed, cause),
            ),
        )

    def _end_unread(
        self, identity: str, window_: window.SendWindow, cause: unread.Cause
    ) -> None:
        """End a request whose caller does not read."""
        self._owner.counters.count(metrics.Counter.ENDED_UNREAD)
        self._owner.log.write(
            "caller_not_reading",
            request=identity,
            cause=cause.value,
            unsent_bytes=window_.unsent_bytes,
            unread_seconds=round(window_.unread_seconds, 2),
            held_bytes=self._owner.ledger.held_bytes,
        )
        self._reply.reset()
        if self._task is not None:
            self._task.cancel()

    def _cancel(self) -> None:
        """Cancel a request whose caller closed the connection."""
        if self._reply.is_aborted:
            return
        if self._task is not None and not self._task.done():
            self._owner.counters.count(metrics.Counter.CALLER_LEFT)
            self._task.cancel()

    def _refuse(self, status: int, reason: metrics.Counter) -> None:
        self._owner.counters.count(reason)
        headers = self._owner.codec.encode_refusal("", None)
        self._reply.send(status, headers, reason.value.encode() + b"\n")

    def _refuse_unread(self, reason: metrics.Counter) -> None:
        """Refuse a request before its body is read, and discard the body."""
        assert self._line is not None
        self._is_refused = True
        self._body = []
        self._holding.close()
        owner = self._owner
        owner.counters.count(reason)
        identity = owner.codec.find_identity(list(self._headers.get_all()))
        owner.log.write(
            "refused",
            request=identity,
            status=503,
            reason=reason.value,
            held_bytes=owner.ledger.held_bytes,
        )
        self._reply.send_unfinished(
            503,
            owner.codec.encode_refusal(identity, RETRY_AFTER_SECONDS),
            reason.value.encode() + b"\n",
        )
        if "Expect" in self._headers:
            # The caller sends no body; tornado would ask for it.
            self._reply.finish()

    async def _answer(self, call: request.Request) -> None:
        try:
            await self._owner.handle(call, self._reply)
            if not self._reply.is_aborted:
                await self._reply.wait_sent()
        except asyncio.CancelledError:
            if not self._reply.is_aborted:
                self._owner.log.write_routine(
                    "caller_left", request=call.identity
                )
            self._reply.abort()
        except Exception as error:
            # A bug in the router: the caller learns at once that the outcome
            # is unknown, and the log line holds the exception.
            self._owner.log.write(
                "internal_error", request=call.identity, detail=repr(error)
            )
            if self._reply.is_started:
                self._reply.abort()
            else:
                self._refuse(502, metrics.Counter.FAILED_INTERNAL)
        finally:
            self._holding.close()
            self._reply.close()
