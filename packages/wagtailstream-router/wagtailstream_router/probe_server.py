"""Answers the platform's probes, and serves the metrics as text."""

import collections.abc

from tornado import httputil

from wagtailstream_router import metrics

METRICS_PATH = "/metrics"


class ProbeServer(httputil.HTTPServerConnectionDelegate):
    """Says whether the instance takes new connections.

    :param is_ready: whether it does.
    :param counters: what the metrics path shows.
    :param refresh: brings counters of other parts up to date.
    """

    def __init__(
        self,
        is_ready: collections.abc.Callable[[], bool],
        counters: metrics.Metrics,
        refresh: collections.abc.Callable[[], None],
    ) -> None:
        self.is_ready = is_ready
        self.counters = counters
        self.refresh = refresh

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Take the next request of a connection."""
        return _ProbeReader(self, request_conn)


class _ProbeReader(httputil.HTTPMessageDelegate):
    def __init__(
        self, owner: ProbeServer, connection: httputil.HTTPConnection
    ) -> None:
        self._owner = owner
        self._connection = connection
        self._path = ""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        assert isinstance(start_line, httputil.RequestStartLine)
        self._path = start_line.path

    def finish(self) -> None:
        if self._path == METRICS_PATH:
            self._owner.refresh()
            self._answer(200, self._owner.counters.render().encode())
        elif self._owner.is_ready():
            self._answer(200, b"ready\n")
        else:
            self._answer(503, b"not ready\n")

    def _answer(self, status: int, body: bytes) -> None:
        headers = httputil.HTTPHeaders({"Content-Length": str(len(body))})
        line = httputil.ResponseStartLine("HTTP/1.1", status, "")
        self._connection.write_headers(line, headers, body)
        self._connection.finish()
