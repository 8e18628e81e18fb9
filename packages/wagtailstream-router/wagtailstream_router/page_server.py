"""A minimal HTTP server for the platform's probes and for peers."""

import collections.abc
import dataclasses

from tornado import httputil


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """A complete HTTP response."""

    status: int
    body: bytes


MakePage = collections.abc.Callable[[str], Page]


class PageServer(httputil.HTTPServerConnectionDelegate):
    """Answers each request with the page for its path, whatever its method.

    :param make_page: returns the page for a path.
    """

    def __init__(self, make_page: MakePage) -> None:
        self._make_page = make_page

    def start_request(
        self, server_conn: object, request_conn: httputil.HTTPConnection
    ) -> httputil.HTTPMessageDelegate:
        """Return a reader for the next request of a connection."""
        return _PageReader(self._make_page, request_conn)


class _PageReader(httputil.HTTPMessageDelegate):
    def __init__(
        self, make_page: MakePage, connection: httputil.HTTPConnection
    ) -> None:
        self._make_page = make_page
        self._connection = connection
        self._path = ""

    def headers_received(
        self,
        start_line: httputil.RequestStartLine | httputil.ResponseStartLine,
        headers: httputil.HTTPHeaders,
    ) -> None:
        if isinstance(start_line, httputil.RequestStartLine):
            self._path = start_line.path

    def finish(self) -> None:
        page = self._make_page(self._path)
        headers = httputil.HTTPHeaders({"Content-Length": str(len(page.body))})
        line = httputil.ResponseStartLine("HTTP/1.1", page.status, "")
        self._connection.write_headers(line, headers, page.body)
        self._connection.finish()
