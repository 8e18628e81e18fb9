"""Servers of the users' services, and their entries in the store."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import json
import time

from standin import record, store, wire

HEARTBEAT_SECONDS = 1.2
SIGNATURE = "3e1b.07.5a2"


@dataclasses.dataclass
class Call:
    """A request that a server runs.

    :param send: writes to the caller.
    """

    request: wire.Message
    server: "Server"
    writer: asyncio.StreamWriter

    @property
    def identity(self) -> str:
        """The request's id."""
        return self.request.headers.get("x-request-id", "")

    def answer(self, status: int, body: bytes) -> None:
        """Write a whole answer."""
        headers = {
            "X-Request-Id": self.identity,
            "X-Response-Signature": SIGNATURE,
        }
        self.writer.write(wire.encode_answer(status, headers, body))

    def refuse(self, status: int) -> None:
        """Answer that the request did not run."""
        headers = {"X-Request-Id": self.identity, "X-Not-Executed": "1"}
        self.writer.write(wire.encode_answer(status, headers, b""))


Work = collections.abc.Callable[[Call], collections.abc.Awaitable[None]]
Admit = collections.abc.Callable[[Call], bool]


class Server:
    """One incarnation after the other of a server at one address.

    :param work: runs a request and answers it.
    :param admit: returns False if it has refused a request instead.
    :param recorder: gets a line for each request that begins to run.
    """

    def __init__(
        self,
        name: str,
        service: str,
        store_: store.Store,
        work: Work,
        recorder: record.Recorder,
        version: str = "v1",
        slots: int = 6,
        admit: Admit = lambda call: True,
    ) -> None:
        self.name = name
        self.service = service
        self.version = version
        self.state = "ready"
        self.address = ""
        self.born_ms = 0
        self.sequence = 0
        self.starts = 0
        self._slots = slots
        self._store = store_
        self._work = work
        self._admit = admit
        self._recorder = recorder
        self._places = asyncio.Semaphore(slots)
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self._beat: asyncio.Task[None] | None = None
        self.is_up = False
        # How much later the store carries out the next heartbeat.
        self.next_delay_seconds = 0.0
        self.beaten = asyncio.Event()

    @property
    def identity(self) -> str:
        """The id of this incarnation."""
        return f"i-{self.name}-{self.starts}"

    async def start(self) -> None:
        """Begin an incarnation: listen, and write an entry from now on."""
        port = int(self.address.rpartition(":")[2] or 0)
        self._server = await asyncio.start_server(
            self._accept, "127.0.0.1", port
        )
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"
        self.starts += 1
        self.sequence = 0
        self.state = "ready"
        self.is_up = True
        self.born_ms = round(time.time() * 1000.0)
        self._places = asyncio.Semaphore(self._slots)
        self._beat = asyncio.ensure_future(self._keep_entry())

    def encode_entry(self) -> bytes:
        """Return the next write of the entry."""
        self.sequence += 1
        return json.dumps(
            {
                "service": self.service,
                "address": self.address,
                "zone": "zone-1",
                "version": self.version,
                "slots": self._slots,
                "state": self.state,
                "coldRemainingMs": 0,
                "sequence": self.sequence,
                "born": self.born_ms,
            }
        ).encode()

    def put_entry(self) -> None:
        """Write the entry to the store."""
        self._store.put("keyed.servers", self.identity, self.encode_entry())

    def drain(self) -> None:
        """Report that the server leaves; it serves on."""
        self.state = "draining"
        self.put_entry()

    def remove_entry(self) -> None:
        """Remove the entry: the server has left, or was silent too long."""
        self._store.put("keyed.servers", self.identity, b"")

    def stop(self) -> None:
        """End at once: channels are reset, nothing is written any more."""
        self.is_up = False
        if self._beat is not None:
            self._beat.cancel()
        if self._server is not None:
            self._server.close()
        for task in self._tasks:
            task.cancel()

    async def crash(self, down_seconds: float) -> None:
        """End at once; come back as another incarnation.

        The platform removes the entry after three heartbeats of silence.
        """
        gone = self.identity
        self.stop()
        loop = asyncio.get_running_loop()
        loop.call_later(
            3 * HEARTBEAT_SECONDS,
            lambda: self._store.put("keyed.servers", gone, b""),
        )
        await asyncio.sleep(down_seconds)
        await self.start()

    async def _keep_entry(self) -> None:
        while True:
            if self.next_delay_seconds:
                # The store answers nothing, and carries the write out later.
                asyncio.get_running_loop().call_later(
                    self.next_delay_seconds,
                    self._store.put,
                    "keyed.servers",
                    self.identity,
                    self.encode_entry(),
                )
                self.next_delay_seconds = 0.0
            else:
                self.put_entry()
            self.beaten.set()
            await asyncio.sleep(HEARTBEAT_SECONDS)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        assert task is not None
        self._tasks.add(task)
        try:
            while (request := await wire.read_message(reader)) is not None:
                await self._take(request, reader, writer)
                await writer.drain()
        except OSError:
            pass
        except asyncio.CancelledError:
            writer.transport.abort()
        finally:
            self._tasks.discard(task)
            writer.close()

    async def _take(
        self,
        request: wire.Message,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        call = Call(request, self, writer)
        expected = request.headers.get("x-expected-instance", self.identity)
        if expected != self.identity:
            self._recorder.write(
                "misdirected", request=call.identity, server=self.identity
            )
            headers = {
                "X-Request-Id": call.identity,
                "X-Instance-Id": self.identity,
            }
            writer.write(wire.encode_answer(421, headers, b""))
            return
        if not self._admit(call):
            return
        async with self._places:
            if reader.at_eof():
                return
            self._recorder.write(
                "run",
                request=call.identity,
                server=self.identity,
                version=self.version,
                state=self.state,
                method=request.first[0],
            )
            with contextlib.suppress(ConnectionError):
                await self._work(call)


async def write_stream(
    call: Call, events: int, pause_seconds: float, confidence: int = 95
) -> None:
    """Answer with a stream; it goes on after `Last-Event-Id`."""
    headers = {
        "X-Request-Id": call.identity,
        "X-Response-Signature": SIGNATURE,
        "X-Confidence": str(confidence),
        "Content-Type": "text/event-stream",
    }
    call.writer.write(wire.encode_answer(200, headers, None))
    first = int(call.request.headers.get("last-event-id", "0")) + 1
    for number in range(first, events + 1):
        await asyncio.sleep(pause_seconds)
        event = f"id: {number}\ndata: piece {number}\n\n".encode()
        call.writer.write(wire.encode_chunk(event))
        await call.writer.drain()
    call.writer.write(wire.encode_chunk(b""))
