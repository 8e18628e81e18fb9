"""TCP proxy that injects network faults, configured for each route."""

import asyncio
import socket
import typing

import click
import pydantic
import tornado.web

import standins.service as service

CHUNK_BYTES = 64 * 1024
DELAY_SECONDS = 0.05


class RouteRequest(pydantic.BaseModel):
    """Body of POST /routes: a route to open or to give a new target.

    :param target: IP address and port.
    """

    name: str
    target: str


class RouteFaults(pydantic.BaseModel):
    """The fault mode of a route.

    ``cut`` aborts open and new connections. ``freeze`` discards all further
    bytes of open connections but serves new ones, and ``blackhole`` discards
    those of new ones too. ``one_way`` forwards bytes to the target, and
    silences a connection as soon as the target sends any. ``delay`` delays
    each chunk by ``delay_seconds``.
    """

    model_config = pydantic.ConfigDict(extra="forbid")

    mode: typing.Literal[
        "pass", "cut", "freeze", "delay", "blackhole", "one_way"
    ]
    delay_seconds: float = DELAY_SECONDS


class Connection:
    """A client connection and its connection to the route's target.

    :param is_silenced: whether all bytes are read and discarded; once set,
        it stays set for the connection's life.
    """

    def __init__(self, route: "Route", is_silenced: bool) -> None:
        self.is_silenced = is_silenced
        self._route = route
        self._writers: list[asyncio.StreamWriter] = []

    async def run(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        """Connect to the target and copy bytes in both directions."""
        self._writers.append(writer)
        if self.is_silenced:
            await self._copy(reader, writer)
            return
        host, _, port = self._route.target.rpartition(":")
        upstream = await asyncio.open_connection(host, int(port))
        self._writers.append(upstream[1])
        await asyncio.gather(
            self._copy(reader, upstream[1]),
            self._copy(upstream[0], writer, is_from_target=True),
        )

    def close(self) -> None:
        """Abort the connections to the client and to the target."""
        for writer in self._writers:
            writer.transport.abort()

    async def _copy(
        self,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
        is_from_target: bool = False,
    ) -> None:
        try:
            while chunk := await reader.read(CHUNK_BYTES):
                if is_from_target and self._route.faults.mode == "one_way":
                    # The connection stays silenced after the mode changes.
                    self.is_silenced = True
                await self._forward(chunk, writer)
        except OSError:
            if not self.is_silenced:
                self.close()
        if not self.is_silenced:
            self._finish()

    async def _forward(
        self, chunk: bytes, writer: asyncio.StreamWriter
    ) -> None:
        if self._route.faults.mode == "delay":
            await asyncio.sleep(self._route.faults.delay_seconds)
        if not self.is_silenced:
            writer.write(chunk)
            await writer.drain()

    def _finish(self) -> None:
        for writer in self._writers:
            writer.close()


class Route:
    """A listening port, its target and its connections.

    :param target: IP address and port.
    """

    def __init__(self, target: str) -> None:
        self.target = target
        self.faults = RouteFaults(mode="pass")
        self.port = 0
        self._connections: set[Connection] = set()
        self._server: asyncio.Server | None = None
        self._reserved: socket.socket | None = None

    @property
    def open_connections(self) -> int:
        """The number of open connections."""
        return len(self._connections)

    async def listen(self) -> None:
        """Listen on a loopback port that the system picks.

        After `refuse`, it is the same port again.
        """
        if self._reserved is not None:
            self._server = await asyncio.start_server(
                self._accept, sock=self._reserved
            )
            self._reserved = None
            return
        self._server = await asyncio.start_server(
            self._accept, service.HOST, self.port
        )
        self.port = self._server.sockets[0].getsockname()[1]

    async def refuse(self) -> None:
        """Refuse connections and abort all open ones, until `listen`.

        The port stays taken, so that no other process gets it meanwhile.
        """
        await self.close()
        self._reserved = socket.socket()
        self._reserved.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
        self._reserved.bind((service.HOST, self.port))

    async def close(self) -> None:
        """Stop listening and abort all connections."""
        if self._reserved is not None:
            self._reserved.close()
            self._reserved = None
        if self._server is not None:
            self._server.close()
        for connection in list(self._connections):
            connection.close()

    def set_faults(self, faults: RouteFaults) -> None:
        """Change the fault mode and apply it to open connections."""
        self.faults = faults
        for connection in list(self._connections):
            if faults.mode == "cut":
                connection.close()
            elif faults.mode in ("freeze", "blackhole"):
                connection.is_silenced = True

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.faults.mode == "cut":
            writer.transport.abort()
            return
        connection = Connection(self, self.faults.mode == "blackhole")
        self._connections.add(connection)
        try:
            await connection.run(reader, writer)
        except OSError:
            connection.close()
        finally:
            self._connections.discard(connection)
            writer.close()


class Proxy(service.Service):
    """The fault proxy: its routes by name, behind a control port."""

    def __init__(self) -> None:
        super().__init__(service.Faults())
        self.routes_by_name: dict[str, Route] = {}

    def routes(self) -> service.Rules:
        """Return the URL rules of the control port."""
        return [
            (r"/routes", RoutesHandler),
            (r"/routes/([^/]+)/faults", RouteFaultsHandler),
        ]

    async def open(self, name: str, target: str) -> Route:
        """Open a route, or change the target of an open one."""
        route = self.routes_by_name.get(name)
        if route is None:
            route = self.routes_by_name[name] = Route(target)
            await route.listen()
        route.target = target
        return route


class RoutesHandler(service.Handler[Proxy]):
    """Opens and lists routes."""

    def get(self) -> None:
        """Return all routes."""
        self.reply(
            {
                "routes": [
                    {
                        "name": name,
                        "target": route.target,
                        "port": route.port,
                        "connections": route.open_connections,
                        **route.faults.model_dump(),
                    }
                    for name, route in self.service.routes_by_name.items()
                ]
            }
        )

    async def post(self) -> None:
        """Open a route and return its port."""
        request = self.parse(RouteRequest)
        route = await self.service.open(request.name, request.target)
        self.reply({"port": route.port})


class RouteFaultsHandler(service.Handler[Proxy]):
    """Changes the fault mode of a route."""

    def post(self, name: str) -> None:
        """Set the fault mode from the body."""
        route = self.service.routes_by_name.get(name)
        if route is None:
            raise tornado.web.HTTPError(404)
        route.set_faults(self.parse(RouteFaults))
        self.reply(route.faults.model_dump())


@click.command()
@service.port_option
def main(port: int) -> None:
    """Run the proxy."""
    service.run(Proxy(), port)


if __name__ == "__main__":
    main()
