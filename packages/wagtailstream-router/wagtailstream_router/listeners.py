"""The listening ports of an instance and their HTTP servers."""

import socket

from tornado import httpserver, httputil, netutil

# Tornado closes the connection if a longer head arrives. The value is above
# any limit of the configuration, so a head between the two is answered with
# a 431 and the reason.
MAX_HEADER_BYTES = 256 * 1024
# Added to the configuration's limit for idle connections, so that a request
# sent just within the limit does not meet a closing connection.
IDLE_MARGIN_SECONDS = 5.0
# Timeout for reading a body: twice the longest deadline in the users'
# specification.
BODY_SECONDS = 30.0
# Tornado's limit, far above the configuration's, which `caller_server` checks
# itself to answer with a 413.
MAX_BODY_BYTES = 1 << 30
# The backlog of connections that wait to be accepted.
BACKLOG = 1024


class Listeners:
    """The HTTP servers of one instance.

    :param idle_seconds: the minimum keep-alive time of idle connections.
    """

    def __init__(self, idle_seconds: float) -> None:
        self._least_idle_seconds = idle_seconds
        self._idle_seconds = idle_seconds
        self._ports: dict[str, int] = {}
        self._servers: list[httpserver.HTTPServer] = []

    @property
    def idle_seconds(self) -> float:
        """The keep-alive time of an idle connection."""
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
        """Listen at an address.

        :param name: the name of the port for `port`.
        :param delegate: handles the requests.
        :param address: IPv4 address and port, `host:port`; port 0 for any.
        :raises OSError: the port can't be bound.
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

    def set_idle_limit(self, seconds: float) -> None:
        """Set the keep-alive time from the configuration's limit.

        :param seconds: the configuration's limit for idle connections.
        """
        seconds = max(self._least_idle_seconds, seconds)
        self._idle_seconds = seconds + IDLE_MARGIN_SECONDS
        for server in self._servers:
            server.conn_params.header_timeout = self._idle_seconds

    def stop(self) -> None:
        """Stop accepting connections; open ones stay."""
        for server in self._servers:
            server.stop()
