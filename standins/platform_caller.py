"""HTTP/1.1 client that acts as a caller of the router."""

import asyncio
import dataclasses
import socket

import h11

READ_BYTES = 65536


@dataclasses.dataclass(frozen=True)
class ReadPace:
    """How fast a caller reads an answer.

    :param read_bytes: the most bytes of one read.
    :param pause_seconds: the pause before each read.
    """

    read_bytes: int = READ_BYTES
    pause_seconds: float = 0.0


AT_ONCE = ReadPace()


@dataclasses.dataclass(frozen=True)
class Reply:
    """The answer that a caller received.

    :param status: HTTP status; 0 if the connection closed before one came.
    :param headers: values by lower-case name.
    :param is_complete: whether the body was received to its end.
    """

    status: int
    headers: dict[str, str]
    body: bytes
    is_complete: bool


class CallerConnection:
    """A caller's persistent connection, for one request after the other."""

    def __init__(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        self._reader = reader
        self._writer = writer
        self._framing = h11.Connection(h11.CLIENT)

    @property
    def is_open(self) -> bool:
        """Whether another request may be sent."""
        return (
            self._framing.our_state is h11.IDLE and not self._reader.at_eof()
        )

    async def call(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        pace: ReadPace = AT_ONCE,
    ) -> Reply:
        """Send a request and return its answer."""
        self.send(method, target, headers, body)
        return await self.read_reply(pace)

    def send(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
    ) -> None:
        """Send a request and read nothing."""
        fields = list(headers)
        if body or method == "POST":
            fields.append(("Content-Length", str(len(body))))
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in fields
        ]
        head = h11.Request(method=method, target=target, headers=encoded)
        self._writer.write(self._framing.send(head) or b"")
        if body:
            self._writer.write(self._framing.send(h11.Data(data=body)) or b"")
        self._writer.write(self._framing.send(h11.EndOfMessage()) or b"")

    def send_half(
        self,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        length: int,
    ) -> None:
        """Send a request of which half of the body is missing.

        :param length: the length of the body that the head states.
        """
        fields = [*headers, ("Content-Length", str(length))]
        encoded = [
            (name.encode("latin-1"), value.encode("latin-1"))
            for name, value in fields
        ]
        head = h11.Request(method=method, target=target, headers=encoded)
        self._writer.write(self._framing.send(head) or b"")
        half = h11.Data(data=b"x" * (length // 2))
        self._writer.write(self._framing.send(half) or b"")

    async def read_reply(self, pace: ReadPace = AT_ONCE) -> Reply:
        """Return the answer to the request that was sent."""
        status = 0
        headers: dict[str, str] = {}
        body = b""
        while True:
            try:
                event = self._framing.next_event()
                if event is h11.NEED_DATA:
                    if pace.pause_seconds:
                        await asyncio.sleep(pace.pause_seconds)
                    data = await self._reader.read(pace.read_bytes)
                    self._framing.receive_data(data)
                    continue
            except (h11.RemoteProtocolError, OSError):
                return Reply(status, headers, body, False)
            if isinstance(event, h11.Response):
                status = event.status_code
                headers = {
                    name.decode().lower(): value.decode()
                    for name, value in event.headers
                }
            elif isinstance(event, h11.Data):
                body += bytes(event.data)
            elif isinstance(event, h11.EndOfMessage):
                if self._framing.our_state is h11.DONE and (
                    self._framing.their_state is h11.DONE
                ):
                    self._framing.start_next_cycle()
                return Reply(status, headers, body, True)
            else:
                return Reply(status, headers, body, False)

    def close(self) -> None:
        """Close the connection."""
        self._writer.close()


async def connect(
    port: int, host: str = "127.0.0.1", receive_bytes: int = 0
) -> CallerConnection:
    """Open a connection to a router.

    :param receive_bytes: the size of the kernel's receive buffer; 0 for the
        kernel's own choice.
    """
    connection = socket.socket(socket.AF_INET, socket.SOCK_STREAM)
    connection.setblocking(False)
    if receive_bytes:
        connection.setsockopt(
            socket.SOL_SOCKET, socket.SO_RCVBUF, receive_bytes
        )
    try:
        await asyncio.get_running_loop().sock_connect(connection, (host, port))
    except BaseException:
        connection.close()
        raise
    reader, writer = await asyncio.open_connection(
        sock=connection, limit=receive_bytes or READ_BYTES
    )
    return CallerConnection(reader, writer)


async def call(
    port: int,
    method: str,
    target: str,
    headers: list[tuple[str, str]],
    body: bytes = b"",
    host: str = "127.0.0.1",
) -> Reply:
    """Send one request on a new connection and return its answer."""
    connection = await connect(port, host)
    try:
        return await connection.call(method, target, headers, body)
    finally:
        connection.close()


class KeptConnections:
    """One caller's connections, each used until it is closed."""

    def __init__(self) -> None:
        self._by_host: dict[str, CallerConnection] = {}

    async def call(
        self,
        port: int,
        method: str,
        target: str,
        headers: list[tuple[str, str]],
        body: bytes = b"",
        host: str = "127.0.0.1",
    ) -> Reply:
        """Send a request on the host's connection, or on a new one."""
        connection = self._by_host.pop(host, None)
        if connection is None or not connection.is_open:
            connection = await connect(port, host)
        try:
            reply = await connection.call(method, target, headers, body)
        except BaseException:
            connection.close()
            raise
        if connection.is_open and reply.is_complete:
            self._by_host[host] = connection
        else:
            connection.close()
        return reply

    def close(self) -> None:
        """Close all connections."""
        for connection in self._by_host.values():
            connection.close()
        self._by_host.clear()
