"""Fake endpoint of the users' platform with scripted answers."""

import asyncio
import collections.abc
import contextlib
import dataclasses
import enum
import socket
import time

import h11

from wagtailstream_adapter import names

READ_BYTES = 65536
# The kernel's send buffer of an endpoint that cuts off what is unread.
UNREAD_SOCKET_BYTES = 16384
_SIGNATURE = "3e1b.07.5a2"


class Framing(enum.Enum):
    """How the body of an answer is delimited."""

    LENGTH = "length"
    CHUNKED = "chunked"
    CLOSE = "close"


class End(enum.Enum):
    """What follows the pieces of an answer.

    WHOLE ends the body properly, CUT aborts the connection, SILENT sends
    nothing more and waits until the router closes, EXTRA sends stray bytes
    after the body, and ENDLESS repeats the last piece until the router closes.
    """

    WHOLE = "whole"
    CUT = "cut"
    SILENT = "silent"
    EXTRA = "extra"
    ENDLESS = "endless"


@dataclasses.dataclass(frozen=True)
class Plan:
    """Script for the answer to one request.

    :param pieces: parts of the body, each written on its own.
    :param end: what follows the pieces.
    :param is_signed: whether the answer has a signature header.
    :param is_not_run: whether the answer states that the request was not
        run; such a request isn't recorded as an arrival.
    :param echo: request id in the answer; None for the request's own.
    :param answers: False to abort the connection without an answer.
    :param crashes: whether the endpoint stops listening and aborts the
        connection instead of answering.
    :param gate: event to await before the answer.
    :param delay_seconds: the time before the answer.
    :param noise: bytes to repeat instead of an answer until the router
        closes.
    :param pause_seconds: the pause between repetitions.
    :param piece_pause_seconds: the pause before each piece after the first.
    :param late_copy_seconds: when a second copy of the whole answer follows
        it on the same connection, whatever runs there then; None for never.
    :param is_written_at_once: whether head and body are one write, and the
        end of the connection follows at once.
    :param cut_after: the bytes after which the connection is closed in order;
        None to write the whole answer.
    """

    status: int = 200
    pieces: tuple[bytes, ...] = (b"whole answer",)
    headers: tuple[tuple[str, str], ...] = ()
    framing: Framing = Framing.LENGTH
    end: End = End.WHOLE
    is_signed: bool = True
    is_not_run: bool = False
    echo: str | None = None
    answers: bool = True
    crashes: bool = False
    gate: asyncio.Event | None = None
    delay_seconds: float = 0.0
    noise: bytes = b""
    pause_seconds: float = 0.0
    piece_pause_seconds: float = 0.0
    late_copy_seconds: float | None = None
    is_written_at_once: bool = False
    cut_after: int | None = None


@dataclasses.dataclass(frozen=True)
class Arrival:
    """A request that the endpoint received and began to run.

    :param headers: values by lower-case name.
    """

    method: str
    target: str
    headers: dict[str, str]
    body: bytes


@dataclasses.dataclass(frozen=True)
class Contact:
    """A request that reached the endpoint it was meant for, run or refused.

    :param start: the start of the endpoint that it reached.
    :param at: when, by the monotonic clock.
    :param is_leaving: whether the endpoint said that it leaves.
    :param full_seconds: for how long it said that it is full; 0 if it did
        not.
    :param is_cold: whether the endpoint was cold.
    """

    request: str
    start: int
    at: float
    is_leaving: bool
    full_seconds: float
    is_cold: bool = False


class PlatformEndpoint:
    """Serves scripted answers on a loopback port.

    ``plans`` holds the answers to the next requests; once it is empty,
    ``default`` applies. ``plans_by_request`` goes first. A request whose
    prompt has ``crashing_part`` crashes the endpoint once the head of the
    answer and ``crashing_tail`` are written; one for ``crashing_target``
    crashes it before.
    ``arrivals`` records the requests, except those that were refused as not
    run or because they expect another instance. ``contacts`` records all but
    the latter.

    While ``is_leaving`` is set, all answers say so. Until ``full_until``, by
    the monotonic clock, requests are refused with the time left, and with the
    end of their connection if ``closes_when_full`` is set. ``begin_start``
    ends both, as the next start of the endpoint does. Until ``cold_until`` the
    endpoint crashes if it gets more than ``cold_limit`` requests in a second:
    it drops all connections, and ``cold_crashes`` counts it.

    It pauses for ``read_pause_seconds`` before each read of a request after
    its head, and cuts off an answer that stays unread for ``unread_seconds``;
    ``cut_unread`` counts these.

    :param identity: the endpoint's id; a request that expects another one is
        answered 421.
    """

    def __init__(self, identity: str) -> None:
        self.identity = identity
        self.plans: list[Plan] = []
        self.default = Plan()
        self.plans_by_request: dict[str, Plan] = {}
        self.crashing_part = ""
        self.crashing_tail = b""
        self.crashing_target = ""
        self.crashed = asyncio.Event()
        self.arrivals: list[Arrival] = []
        self.contacts: list[Contact] = []
        self.start_number = 1
        self.is_leaving = False
        self.full_until = float("-inf")
        self.closes_when_full = False
        self.cold_until = float("-inf")
        self.cold_limit = float("inf")
        self.cold_crashes = 0
        self.read_pause_seconds = 0.0
        self.unread_seconds = float("inf")
        self.cut_unread = 0
        self.connections = 0
        self.disconnected = asyncio.Event()
        self.request_received = asyncio.Event()
        self._server: asyncio.Server | None = None
        self._tasks: set[asyncio.Task[None]] = set()
        self.address = ""

    @property
    def runs(self) -> int:
        """The number of requests that the endpoint began to run."""
        return len(self.arrivals)

    async def start(self) -> None:
        """Listen on a loopback port that the system picks."""
        self._server = await asyncio.start_server(self._accept, "127.0.0.1", 0)
        host, port = self._server.sockets[0].getsockname()
        self.address = f"{host}:{port}"

    def begin_start(self) -> None:
        """Forget what the endpoint said of itself: it has just started."""
        self.start_number += 1
        self.is_leaving = False
        self.full_until = float("-inf")

    @property
    def cold_ms(self) -> int:
        """How long the endpoint stays cold, as its entry says."""
        left_seconds = max(0.0, self.cold_until - time.monotonic())
        return round(left_seconds * 1000.0)

    def _crash_if_overrun(self) -> None:
        """Drop all connections if a cold endpoint gets too much."""
        now = time.monotonic()
        recent = sum(
            contact.is_cold and now - contact.at < 1.0
            for contact in self.contacts[-200:]
        )
        if now < self.cold_until and recent > self.cold_limit:
            self.cold_crashes += 1
            for task in self._tasks - {asyncio.current_task()}:
                task.cancel()

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        if self._server is not None:
            self._server.close()
        for task in list(self._tasks):
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)

    async def _accept(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        task = asyncio.current_task()
        if task is not None:
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        self.connections += 1
        if self.unread_seconds < float("inf"):
            # What the kernel takes counts as read.
            writer.transport.set_write_buffer_limits(high=0)
            writer.get_extra_info("socket").setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, UNREAD_SOCKET_BYTES
            )
        try:
            await self._serve(reader, writer)
        except TimeoutError:
            self.cut_unread += 1
            writer.transport.abort()
        except (OSError, h11.RemoteProtocolError, asyncio.CancelledError):
            # Either the router closed the connection or the test is over.
            writer.transport.abort()
        finally:
            self.disconnected.set()
            writer.close()

    async def _serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        framing = h11.Connection(h11.SERVER)
        while True:
            arrival = await _read_request(
                framing, reader, self.read_pause_seconds
            )
            if arrival is None:
                return
            if not await self._answer(arrival, framing, reader, writer):
                return
            framing.start_next_cycle()

    def _take_plan(self, arrival: Arrival) -> Plan:
        """Return the plan for a request, and record the request."""
        now = time.monotonic()
        identity = arrival.headers.get(names.REQUEST_ID.lower(), "")
        full_seconds = max(0.0, self.full_until - now)
        if full_seconds:
            plan = Plan(
                503,
                (b"full",),
                ((names.RETRY_AFTER, f"{full_seconds:.3f}"),),
                Framing.CLOSE if self.closes_when_full else Framing.LENGTH,
                is_signed=False,
                is_not_run=True,
            )
        elif identity in self.plans_by_request:
            plan = self.plans_by_request[identity]
        else:
            plan = self.plans.pop(0) if self.plans else self.default
        if self.is_leaving:
            plan = dataclasses.replace(
                plan, headers=(*plan.headers, (names.LEAVING, "1"))
            )
        self.contacts.append(
            Contact(
                identity,
                self.start_number,
                now,
                self.is_leaving,
                full_seconds,
                now < self.cold_until,
            )
        )
        self._crash_if_overrun()
        return plan

    def _is_crashing(self, arrival: Arrival) -> bool:
        prompt = arrival.headers.get(names.PROMPT_PARTS.lower(), "")
        identities = [part.partition(":")[0] for part in prompt.split(",")]
        return bool(self.crashing_part) and self.crashing_part in identities

    async def _crash(
        self,
        plan: Plan,
        arrival: Arrival,
        framing: h11.Connection,
        writer: asyncio.StreamWriter,
    ) -> None:
        """Write the head of an answer, then drop all connections.

        An answer without framing ends as a whole one would.
        """
        answer = _AnswerWriter(plan, arrival, framing)
        writer.write(answer.encode_head())
        if self.crashing_tail:
            writer.write(answer.encode_data(self.crashing_tail))
        await writer.drain()
        self._drop_all()

    def _drop_all(self) -> None:
        """Stop listening and drop all connections, but for this task's."""
        if self._server is not None:
            self._server.close()
        self.crashed.set()
        for task in self._tasks - {asyncio.current_task()}:
            task.cancel()

    async def _answer(
        self,
        arrival: Arrival,
        framing: h11.Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> bool:
        """Answer a request; return whether the connection stays open."""
        expected = arrival.headers.get(names.EXPECTED_INSTANCE.lower())
        if expected not in (None, self.identity):
            plan = Plan(421, (b"another",), is_signed=False)
        else:
            plan = self._take_plan(arrival)
            if not plan.is_not_run:
                self.arrivals.append(arrival)
            self.request_received.set()
        if self._is_crashing(arrival):
            await self._crash(plan, arrival, framing, writer)
            return False
        if self.crashing_target and arrival.target == self.crashing_target:
            self._drop_all()
            writer.transport.abort()
            return False
        if plan.gate is not None and not await _wait_for_gate(
            plan.gate, reader
        ):
            return False
        await asyncio.sleep(plan.delay_seconds)
        if plan.crashes and self._server is not None:
            self._server.close()
        if plan.crashes or not plan.answers:
            writer.transport.abort()
            return False
        if plan.noise:
            return await _repeat(
                plan.noise, plan.pause_seconds, writer, self.unread_seconds
            )
        if plan.cut_after is not None:
            _write_cut(plan, plan.cut_after, arrival, framing, writer)
            return False
        return await _write(
            plan, arrival, framing, reader, writer, self.unread_seconds
        )


async def _wait_for_gate(
    gate: asyncio.Event, reader: asyncio.StreamReader
) -> bool:
    """Wait for a gate; return False if the router disconnects first."""
    disconnect_task = asyncio.ensure_future(reader.read(1))
    gate_task = asyncio.ensure_future(gate.wait())
    try:
        await asyncio.wait(
            (disconnect_task, gate_task), return_when=asyncio.FIRST_COMPLETED
        )
        return not disconnect_task.done()
    finally:
        for task in (disconnect_task, gate_task):
            task.cancel()
        with contextlib.suppress(asyncio.CancelledError):
            await asyncio.gather(
                disconnect_task, gate_task, return_exceptions=True
            )


async def _read_request(
    framing: h11.Connection,
    reader: asyncio.StreamReader,
    pause_seconds: float,
) -> Arrival | None:
    """Return the next request; None at the end of the connection.

    :param pause_seconds: the pause before each read after the head.
    """
    head: h11.Request | None = None
    body = b""
    while True:
        event = framing.next_event()
        if event is h11.NEED_DATA:
            if head is not None and pause_seconds:
                await asyncio.sleep(pause_seconds)
            framing.receive_data(await reader.read(READ_BYTES))
        elif isinstance(event, h11.Request):
            head = event
        elif isinstance(event, h11.Data):
            body += bytes(event.data)
        elif isinstance(event, h11.EndOfMessage) and head is not None:
            fields = {
                name.decode().lower(): value.decode("latin-1")
                for name, value in head.headers
            }
            return Arrival(
                head.method.decode(), head.target.decode(), fields, body
            )
        else:
            return None


async def _drain(writer: asyncio.StreamWriter, seconds: float) -> None:
    """Wait until what was written is read.

    :raises TimeoutError: it stays unread for so long.
    """
    async with asyncio.timeout(None if seconds == float("inf") else seconds):
        await writer.drain()


async def _repeat(
    data: bytes,
    pause_seconds: float,
    writer: asyncio.StreamWriter,
    unread_seconds: float,
) -> bool:
    """Write the same bytes until the router closes the connection.

    :returns: False: the connection does not stay open.
    """
    while not writer.is_closing():
        writer.write(data)
        await _drain(writer, unread_seconds)
        await asyncio.sleep(pause_seconds)
    return False


def _make_headers(plan: Plan, arrival: Arrival) -> list[tuple[str, str]]:
    echo = plan.echo
    if echo is None:
        echo = arrival.headers.get(names.REQUEST_ID.lower(), "")
    headers = [(names.REQUEST_ID, echo), *plan.headers]
    if plan.is_signed:
        headers.append((names.SIGNATURE, _SIGNATURE))
    if plan.is_not_run:
        headers.append((names.NOT_RUN, "1"))
    if plan.framing is Framing.LENGTH:
        length = sum(map(len, plan.pieces))
        if plan.end is not End.WHOLE and plan.end is not End.EXTRA:
            # Announces one more byte than is ever sent.
            length += 1
        headers.append(("Content-Length", str(length)))
    elif plan.framing is Framing.CHUNKED:
        headers.append(("Transfer-Encoding", "chunked"))
    else:
        headers.append(("Connection", "close"))
    return headers


class _AnswerWriter:
    """Encodes an answer; h11 alone would chunk one without a length."""

    def __init__(
        self, plan: Plan, arrival: Arrival, framing: h11.Connection
    ) -> None:
        self._plan = plan
        self._headers = _make_headers(plan, arrival)
        self._framing = framing
        self._is_framed = plan.framing is not Framing.CLOSE

    def encode_head(self) -> bytes:
        if self._is_framed:
            head = h11.Response(
                status_code=self._plan.status, headers=self._headers
            )
            return self._framing.send(head) or b""
        lines = [f"HTTP/1.1 {self._plan.status} Reason"]
        lines += [f"{name}: {value}" for name, value in self._headers]
        return "\r\n".join([*lines, "", ""]).encode()

    def encode_data(self, data: bytes) -> bytes:
        if self._is_framed:
            return self._framing.send(h11.Data(data=data)) or b""
        return data

    def encode_end(self) -> bytes:
        if self._is_framed:
            return self._framing.send(h11.EndOfMessage()) or b""
        return b""


def _write_cut(
    plan: Plan,
    size: int,
    arrival: Arrival,
    framing: h11.Connection,
    writer: asyncio.StreamWriter,
) -> None:
    """Write the first bytes of an answer, and close in order."""
    answer = _AnswerWriter(plan, arrival, framing)
    data = answer.encode_head()
    for piece in plan.pieces:
        data += answer.encode_data(piece)
    writer.write((data + answer.encode_end())[:size])
    writer.write_eof()


async def _write(
    plan: Plan,
    arrival: Arrival,
    framing: h11.Connection,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
    unread_seconds: float,
) -> bool:
    """Write an answer; return whether the connection stays open."""
    answer = _AnswerWriter(plan, arrival, framing)
    data = answer.encode_head()
    copy = data
    for number, piece in enumerate(plan.pieces):
        if number and plan.piece_pause_seconds:
            await asyncio.sleep(plan.piece_pause_seconds)
        encoded = answer.encode_data(piece)
        data += encoded
        copy += encoded
        if not plan.is_written_at_once:
            writer.write(data)
            data = b""
            await _drain(writer, unread_seconds)
    writer.write(data)
    if plan.end is End.CUT:
        writer.transport.abort()
        return False
    if plan.end is End.SILENT:
        await reader.read(1)
        return False
    if plan.end is End.ENDLESS:
        repeated = answer.encode_data(plan.pieces[-1])
        return await _repeat(
            repeated, plan.pause_seconds, writer, unread_seconds
        )
    end = answer.encode_end()
    writer.write(end)
    if plan.late_copy_seconds is not None:
        asyncio.get_running_loop().call_later(
            plan.late_copy_seconds, writer.write, copy + end
        )
    if plan.end is End.EXTRA:
        writer.write(b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nstray")
    if plan.is_written_at_once:
        writer.write_eof()
        return False
    await _drain(writer, unread_seconds)
    return plan.framing is not Framing.CLOSE


def make_event(number: int, text: str = "token") -> bytes:
    """Return an encoded server-sent event.

    :param number: the event's id.
    """
    return f"id: {number}\ndata: {text} {number}\n\n".encode()


def make_events(numbers: collections.abc.Iterable[int]) -> tuple[bytes, ...]:
    """Return encoded server-sent events with the given ids."""
    return tuple(map(make_event, numbers))
