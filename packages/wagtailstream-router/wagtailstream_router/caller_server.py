"""HTTP/1.1 server for callers; each request runs in its own task."""

import asyncio
import collections.abc
import contextlib
import http.client
import time

from tornado import http1connection, httputil, iostream

from wagtailstream_router import (
    configuration,
    event_log,
    metrics,
    reply,
    request,
    wire,
)

Handle = collections.abc.Callable[
    [request.Request, reply.Reply], collections.abc.Coroutine[None, None, None]
]


class ConnectionReply(reply.Reply):
    """Writes an answer to a connection of tornado's HTTP server.

    :param connection: the request's connection.
    :param is_closing: returns whether the process is draining; the answer
        then carries `Connection: close`.
    """

    def __init__(
        self,
        connection: httputil.HTTPConnection,
        is_closing: collections.abc.Callable[[], bool],
    ) -> None:
        self._connection = connection
        self._is_closing = is_closing
        self._is_started = False
        self._is_done = False

    @property
    def is_started(self) -> bool:
        """Whether the head of an answer was sent to the caller."""
        return self._is_started

    @property
    def is_done(self) -> bool:
        """Whether the answer was sent completely or aborted."""
        return self._is_done

    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Send the head of an answer of unknown length."""
        self._write_head(status, headers, None, b"")

    def write(self, data: bytes) -> None:
        """Send a chunk of the body."""
        with contextlib.suppress(iostream.StreamClosedError):
            _suppress_write_error(self._connection.write(data))

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
        self._write_head(status, headers, len(body), body)
        self.finish()

    def abort(self) -> None:
        """Close the connection so that a cut answer can't look complete."""
        self._is_done = True
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
    """

    def __init__(
        self,
        codec: wire.HeaderCodec,
        handle: Handle,
        find_limits: collections.abc.Callable[[], configuration.CallerLimits],
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self.codec = codec
        self.handle = handle
        self.find_limits = find_limits
        self.log = log
        self.counters = counters
        self.is_closing = False
        self.tasks: set[asyncio.Task[None]] = set()

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
        self._reply = ConnectionReply(connection, lambda: owner.is_closing)
        self._line: httputil.RequestStartLine | None = None
        self._headers = httputil.HTTPHeaders()
        self._limits = owner.find_limits()
        self._body: list[bytes] = []
        self._size = 0
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
        self._headers = headers
        self._limits = self._owner.find_limits()
        length = headers.get("Content-Length", "0")
        if _head_bytes(start_line, headers) > self._limits.header_bytes:
            self._refuse(431, metrics.Counter.REFUSED_LONG_HEAD)
        elif length.isdecimal() and int(length) > self._limits.body_bytes:
            self._refuse(413, metrics.Counter.REFUSED_TOO_LARGE)

    def data_received(self, chunk: bytes) -> None:
        if self._reply.is_done:
            return
        self._body.append(chunk)
        self._size += len(chunk)
        if self._size > self._limits.body_bytes:
            self._refuse(413, metrics.Counter.REFUSED_TOO_LARGE)

    def finish(self) -> None:
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
        self._task = asyncio.ensure_future(self._answer(call))
        self._owner.tasks.add(self._task)
        self._task.add_done_callback(self._owner.tasks.discard)
        if isinstance(self._connection, http1connection.HTTP1Connection):
            self._connection.set_close_callback(self._cancel)

    def on_connection_close(self) -> None:
        self._cancel()

    def _cancel(self) -> None:
        """Cancel a request whose caller closed the connection."""
        if self._task is not None and not self._task.done():
            self._owner.counters.count(metrics.Counter.CALLER_LEFT)
            self._task.cancel()

    def _refuse(self, status: int, reason: metrics.Counter) -> None:
        self._owner.counters.count(reason)
        headers = self._owner.codec.encode_refusal("", None)
        self._reply.send(status, headers, reason.value.encode() + b"\n")

    async def _answer(self, call: request.Request) -> None:
        try:
            await self._owner.handle(call, self._reply)
        except asyncio.CancelledError:
            self._owner.log.write_routine("caller_left", request=call.identity)
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
