"""An HTTP client that takes no broken answer for a whole one.

Tornado's client reads a body without a length or chunks up to the end of its
connection, whether that was closed in order or reset. Where a reset breaks
another answer, it fails the request at its timeout only.
"""

import typing

from tornado import httputil, simple_httpclient


class _WholeConnection(simple_httpclient._HTTPConnection):
    """A connection that fails its request as soon as it is reset."""

    def on_connection_close(self) -> None:
        """Fail the request if it has no whole answer."""
        error = self.stream.error
        if error is None:
            super().on_connection_close()
            return
        if self.final_callback is not None:
            self._handle_exception(type(error), error, error.__traceback__)

    def finish(self) -> None:
        """Complete the answer, unless the connection was reset in it."""
        error = self.stream.error
        if error is None or _is_framed(self.headers):
            super().finish()
            return
        self._handle_exception(type(error), error, error.__traceback__)


def _is_framed(headers: httputil.HTTPHeaders | None) -> bool:
    return headers is not None and (
        "Content-Length" in headers or "Transfer-Encoding" in headers
    )


class WholeAnswerClient(simple_httpclient.SimpleAsyncHTTPClient):
    """Client whose answers are complete, as far as their framing shows."""

    def _connection_class(self) -> type[typing.Any]:
        return _WholeConnection
