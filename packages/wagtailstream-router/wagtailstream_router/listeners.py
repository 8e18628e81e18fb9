"""The ports that an instance opens."""

import socket

from tornado import httpserver, httputil, netutil

# Longer heads than any limit of the configuration are not read at all; up to
# here a caller learns why it is refused.
MAX_HEADER_BYTES = 256 * 1024
# A caller's idle connection outlives the configuration's limit by this much,
# so that a request in time never meets a close.
IDLE_MARGIN_SECONDS = 5.0
# A body that is not there by then is given up: twice the longest deadline of
# the sheets.
BODY_SECONDS = 30.0
# No declared body is longer; the configuration's limit is checked by the
# reader of the request.
MAX_BODY_BYTES = 1 << 30
# Connections that wait to be accepted.
BACKLOG = 1024


class Listeners:
    """The HTTP servers of one instance.

    :param idle_seconds: how long an idle connection is kept at least.
    """

    def __init__(self, idle_seconds: float) -> None:
        self._least_idle_seconds = idle_seconds
        self._idle_seconds = idle_seconds
        self._ports: dict[str, int] = {}
        self._servers: list[httpserver.HTTPServer] = []

    @property
    def idle_seconds(self) -> float:
        """How long an idle connection is kept."""
        return self._idle_seconds

    def port(self, name: str) -> int:
        """Return the port that was opened under a name."""
        return self._ports[name]

    def open(
        self,
        name: str,
        delegate: httputil.HTTPServerConnectionDelegate,
        address: str,
    ) -> None:
        """Serve at an address.

        :param name: names the port afterwards.
        :param address: an IP number and port; port 0 for any.
        :raises OSError: the port can't be had.
        """
        host, _, port = address.rpartition(":")
        sockets = netutil.bind_sockets(
            int(port), host, socket.AF_INET, backlog=BACKLOG
        )
        server = httpserver.HTTPServer(
            delegate,
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            idle_connection_timeout=self._idle_seconds,
            body_timeout=BODY_SECONDS,
        )
        server.add_sockets(sockets)
        self._ports[name] = sockets[0].getsockname()[1]
        self._servers.append(server)

    def keep_idle(self, seconds: float) -> None:
        """Keep idle connections for no less than a limit."""
        seconds = max(self._least_idle_seconds, seconds)
        self._idle_seconds = seconds + IDLE_MARGIN_SECONDS
        for server in self._servers:
            server.conn_params.header_timeout = self._idle_seconds

    def stop(self) -> None:
        """Take no further connections."""
        for server in self._servers:
            server.stop()
