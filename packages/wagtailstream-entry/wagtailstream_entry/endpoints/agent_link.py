"""One agent as this entry sees it: its connections and its state.

What counts is first hand: heartbeats on each connection and the agent's own
word that it is draining.
"""

import abc
import asyncio
import dataclasses
import logging

from wagtailstream_core import (
    clock,
    errors,
    wire_codec,
    wire_pb2,
    work,
)
from wagtailstream_entry.endpoints import agent_state, connection
from wagtailstream_runtime import alarm, follower

MAX_RUNS_PER_CONNECTION = 80
REDIAL_SECONDS = 0.25
SUSPECT_SECONDS = 3.0
STALL_SECONDS = 2.0
PROBE_SECONDS = 0.5
PROBE_REDIAL_SECONDS = 0.05
AVOID_SECONDS = 5.0
IDLE_SECONDS = 30.0

_LOGGER = logging.getLogger(__name__)


class LinkHost(abc.ABC):
    """What a link needs of the table that it belongs to."""

    @property
    @abc.abstractmethod
    def follower(self) -> follower.Follower:
        """Holds the configuration in force."""

    @property
    @abc.abstractmethod
    def clock(self) -> clock.Clock:
        """Tells the time."""

    @property
    @abc.abstractmethod
    def late_seconds(self) -> float:
        """How long an agent may be silent before it is suspect."""

    @abc.abstractmethod
    def dial(self, address: str) -> connection.Connection:
        """Return a new connection to an agent.

        :param address: the agent's IP number and port.
        """

    @abc.abstractmethod
    async def watch(
        self,
        dialled: connection.Connection,
        take_heartbeat: connection.HeartbeatTaker,
    ) -> None:
        """Watch a connection until it fails or goes silent.

        :param dialled: the connection.
        :param take_heartbeat: takes the agent's heartbeats.
        """

    @abc.abstractmethod
    def take_heartbeat(
        self,
        link: "AgentLink",
        source: connection.Connection,
        message: wire_pb2.Heartbeat,
    ) -> None:
        """Take in an agent's news.

        :param link: the agent.
        :param source: the connection that it came over.
        :param message: the heartbeat.
        """


class AgentLink:
    """All that this entry holds of one agent.

    :param address: the agent's IP number and port.
    :param table: the table that it belongs to.
    """

    def __init__(self, address: str, table: LinkHost) -> None:
        self._address = address
        self._table = table
        self._connections: list[connection.Connection] = []
        self._watches: set[asyncio.Task[None]] = set()
        self._state: agent_state.AgentState | None = None
        self._is_listed_leaving = False
        self._is_chosen = True
        self._asked_at = -IDLE_SECONDS
        self._unusable_since: float | None = table.clock.monotonic()
        self._failed_at = -SUSPECT_SECONDS
        self._progress_at = 0.0
        self._has_heard = alarm.Alarm()
        self._probe: asyncio.Future[bool] | None = None
        self._keeper = asyncio.ensure_future(self._keep_connected())

    @property
    def address(self) -> str:
        """The agent's IP number and port."""
        return self._address

    @property
    def state(self) -> agent_state.AgentState | None:
        """The agent's state as last heard; None before the first time."""
        return self._state

    @property
    def in_flight(self) -> int:
        """How many attempts of this entry are under way there."""
        return sum(c.in_flight for c in self._connections)

    @property
    def is_usable(self) -> bool:
        """Whether the agent may be given new work."""
        return (
            self._state is not None
            and not self._state.is_draining
            and not self._is_listed_leaving
            and self._is_chosen
            and any(self._list_heard())
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the agent failed, is late or sends no answers on."""
        now = self._table.clock.monotonic()
        heard_at = self._state.heard_at if self._state else 0.0
        return (
            (self.in_flight > 0 and now - self._progress_at > STALL_SECONDS)
            or now - self._failed_at < SUSPECT_SECONDS
            or now - heard_at > self._table.late_seconds
            or (self._state is not None and self._state.is_stalled)
        )

    @property
    def is_draining(self) -> bool:
        """Whether the agent said that it is leaving."""
        return self._state is not None and self._state.is_draining

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Note what the platform's list says.

        :param is_leaving: whether it lists the agent as leaving.
        """
        self._is_listed_leaving = is_leaving

    @property
    def is_idle(self) -> bool:
        """Whether nothing is under way there, and nobody asked lately."""
        now = self._table.clock.monotonic()
        return not self.in_flight and now - self._asked_at > IDLE_SECONDS

    def note_asked(self) -> None:
        """Note that someone asked for this link by its address."""
        self._asked_at = self._table.clock.monotonic()

    def set_chosen(self, is_chosen: bool) -> None:
        """Note whether this entry gives the agent work.

        :param is_chosen: whether it is among the entry's links.
        """
        self._is_chosen = is_chosen

    def is_avoided(self, now: float) -> bool:
        """Return whether the agent could take no work for a while.

        :param now: monotonic seconds.
        """
        if self.is_usable or not self._is_chosen:
            self._unusable_since = None
        elif self._unusable_since is None:
            self._unusable_since = now
        return (
            self._unusable_since is not None
            and now - self._unusable_since > AVOID_SECONDS
        )

    def note_failure(self) -> None:
        """Note that an attempt failed at the agent."""
        self._failed_at = self._table.clock.monotonic()

    def note_progress(self) -> None:
        """Note that the agent sent a part of an answer."""
        self._progress_at = self._table.clock.monotonic()

    def note_draining(self) -> None:
        """Note that the agent refused since it is draining."""
        if self._state is not None:
            self._state = dataclasses.replace(self._state, is_draining=True)

    async def open_run(self, attempt: work.Attempt) -> connection.Run:
        """Send an attempt to the agent.

        :param attempt: the attempt.
        :raises errors.PeerError: it could not be sent.
        """
        if self.in_flight == 0:
            self.note_progress()
        return await self._pick_connection().open_run(attempt)

    async def is_alive(self) -> bool:
        """Return whether the agent still runs, over a new connection.

        Asked after a connection failed, which may be the fault of something
        between the two ends.
        """
        if self._probe is None or self._probe.done():
            self._probe = asyncio.ensure_future(self._probe_once())
        return await asyncio.shield(self._probe)

    async def _probe_once(self) -> bool:
        before = self._state.sequence if self._state else 0
        dialled = self._dial()
        with self._has_heard.subscribe() as has_heard:
            try:
                async with asyncio.timeout(PROBE_SECONDS):
                    while not dialled.has_heard:
                        if dialled.is_closed:
                            # What cut the first may have cut this one too.
                            await asyncio.sleep(PROBE_REDIAL_SECONDS)
                            dialled = self._dial()
                        await has_heard.wait()
                        has_heard.clear()
            except TimeoutError:
                dialled.close()
                return False
        after = self._state.sequence if self._state else 0
        return dialled.has_heard and after > before

    def pick_any(self) -> connection.Connection:
        """Return an open connection; a new one may not answer."""
        for candidate in self._connections:
            if not candidate.is_closed:
                return candidate
        return self._dial()

    def _list_heard(self) -> list[connection.Connection]:
        """Return the connections over which the agent was heard."""
        return [
            c for c in self._connections if c.has_heard and not c.is_closed
        ]

    def _pick_connection(self) -> connection.Connection:
        # A connection is watched by itself; one that is still silent may be
        # dead from the start.
        best = min(self._list_heard(), key=lambda c: c.in_flight, default=None)
        if best is None or best.in_flight >= MAX_RUNS_PER_CONNECTION:
            return self._dial()
        return best

    def _dial(self) -> connection.Connection:
        dialled = self._table.dial(self._address)
        self._connections.append(dialled)
        watch = asyncio.ensure_future(self._watch(dialled))
        self._watches.add(watch)
        watch.add_done_callback(self._watches.discard)
        return dialled

    async def _watch(self, dialled: connection.Connection) -> None:
        try:
            await self._table.watch(dialled, self._take_heartbeat)
        finally:
            self._connections.remove(dialled)
            self._has_heard.ring()

    async def _keep_connected(self) -> None:
        while True:
            if not self._connections:
                self._dial()
            await asyncio.sleep(REDIAL_SECONDS)

    def _take_heartbeat(
        self, source: connection.Connection, message: wire_pb2.Heartbeat
    ) -> None:
        self._state = agent_state.decode_state(
            message, self.in_flight, self._table.clock.monotonic()
        )
        self._has_heard.ring()
        self._table.take_heartbeat(self, source, message)

    async def push_configuration(self) -> bool:
        """Bring the agent up to this entry; return whether it is there."""
        offer = self._table.follower.make_offer(
            self._state.configuration_offset if self._state else -1
        )
        try:
            offset = await self.pick_any().push_configuration(
                wire_codec.encode_offer(offer)
            )
        except errors.PeerError as error:
            _LOGGER.debug("push failed", extra={"detail": str(error)})
            return False
        return offset >= self._table.follower.state.offset

    async def pull_configuration(self) -> None:
        """Catch up from the agent."""
        try:
            message = await self.pick_any().pull_configuration(
                self._table.follower.state.offset
            )
        except errors.PeerError as error:
            _LOGGER.debug("pull failed", extra={"detail": str(error)})
            return
        self._table.follower.take_offer(wire_codec.decode_offer(message))

    def close(self) -> None:
        """Drop all connections."""
        self._keeper.cancel()
        for watch in self._watches:
            watch.cancel()
        for dialled in self._connections:
            dialled.close()
