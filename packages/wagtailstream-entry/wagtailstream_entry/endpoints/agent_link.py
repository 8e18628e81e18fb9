"""This entry's connections to one agent and the agent's last known state.

The state comes from the agent itself and not from the platform's list: from
the heartbeats on each connection and the agent's refusals while it drains.
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
from wagtailstream_runtime import follower, notifier

# Concurrent attempts on one connection; beyond it another one is opened.
MAX_RUNS_PER_CONNECTION = 80
# Interval at which a link without a connection dials again.
REDIAL_SECONDS = 0.25
# How long an agent stays suspect after an attempt failed there.
SUSPECT_SECONDS = 3.0
# An agent with attempts in flight is suspect after this long without data.
STALL_SECONDS = 2.0
# Time limit of the health check over a new connection.
PROBE_SECONDS = 0.5
# Pause before the health check dials again after a failed connection.
PROBE_REDIAL_SECONDS = 0.05
# A link that was unusable for longer is avoided when links are selected.
AVOID_SECONDS = 5.0
# How long after its last lookup an unselected link is kept open.
IDLE_SECONDS = 30.0

_LOGGER = logging.getLogger(__name__)


class LinkHost(abc.ABC):
    """The interface through which a link uses its link table."""

    @property
    @abc.abstractmethod
    def follower(self) -> follower.Follower:
        """The follower that holds the configuration in force."""

    @property
    @abc.abstractmethod
    def clock(self) -> clock.Clock:
        """The clock for all times of the link."""

    @property
    @abc.abstractmethod
    def late_seconds(self) -> float:
        """Seconds without a heartbeat after which an agent is suspect."""

    @abc.abstractmethod
    def dial(self, address: str) -> connection.Connection:
        """Return a new connection to an agent.

        :param address: the agent's IP address and port.
        """

    @abc.abstractmethod
    async def watch(
        self,
        dialled: connection.Connection,
        handle_heartbeat: connection.HeartbeatHandler,
    ) -> None:
        """Exchange heartbeats over a connection until it fails.

        :param dialled: the connection.
        :param handle_heartbeat: called with each heartbeat of the agent.
        """

    @abc.abstractmethod
    def handle_heartbeat(
        self,
        link: "AgentLink",
        source: connection.Connection,
        message: wire_pb2.Heartbeat,
    ) -> None:
        """Process a heartbeat of an agent.

        :param link: the link to the agent.
        :param source: the connection that carried the heartbeat.
        :param message: the heartbeat.
        """


class AgentLink:
    """The connections to one agent, its state and its recent failures.

    :param address: the agent's IP address and port.
    :param table: the link table that owns this link.
    """

    def __init__(self, address: str, table: LinkHost) -> None:
        self._address = address
        self._table = table
        self._connections: list[connection.Connection] = []
        self._watches: set[asyncio.Task[None]] = set()
        self._state: agent_state.AgentState | None = None
        self._is_listed_leaving = False
        self._is_selected = True
        self._last_lookup_at = -IDLE_SECONDS
        self._unusable_since: float | None = table.clock.monotonic()
        self._failed_at = -SUSPECT_SECONDS
        self._progress_at = 0.0
        # Wakes its subscribers at each heartbeat and when a connection ends.
        self._connection_notifier = notifier.Notifier()
        self._probe: asyncio.Future[bool] | None = None
        self._reconnect_task = asyncio.ensure_future(self._keep_connected())

    @property
    def address(self) -> str:
        """The agent's IP address and port."""
        return self._address

    @property
    def state(self) -> agent_state.AgentState | None:
        """The state from the last heartbeat; None before the first one."""
        return self._state

    @property
    def in_flight(self) -> int:
        """The number of this entry's attempts in flight at the agent."""
        return sum(c.in_flight for c in self._connections)

    @property
    def is_usable(self) -> bool:
        """Whether the agent may be sent new work."""
        return (
            self._state is not None
            and not self._state.is_draining
            and not self._is_listed_leaving
            and self._is_selected
            and any(self._list_ready_connections())
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the agent failed recently, is silent or makes no progress.

        A suspect agent is still usable.
        """
        now = self._table.clock.monotonic()
        received_at = self._state.received_at if self._state else 0.0
        return (
            (self.in_flight > 0 and now - self._progress_at > STALL_SECONDS)
            or now - self._failed_at < SUSPECT_SECONDS
            or now - received_at > self._table.late_seconds
            or (self._state is not None and self._state.is_stalled)
        )

    @property
    def is_draining(self) -> bool:
        """Whether the agent reported that it is draining."""
        return self._state is not None and self._state.is_draining

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Set whether the platform's list shows the agent as leaving.

        :param is_leaving: whether it is listed as leaving.
        """
        self._is_listed_leaving = is_leaving

    @property
    def is_idle(self) -> bool:
        """Whether no attempt is in flight and no lookup was made recently."""
        now = self._table.clock.monotonic()
        return not self.in_flight and now - self._last_lookup_at > IDLE_SECONDS

    def record_lookup(self) -> None:
        """Record that the link was looked up by its address."""
        self._last_lookup_at = self._table.clock.monotonic()

    def set_selected(self, is_selected: bool) -> None:
        """Set whether this entry sends the agent new work.

        :param is_selected: whether the agent is among those that the entry
            selected to link to.
        """
        self._is_selected = is_selected

    def is_avoided(self, now: float) -> bool:
        """Return whether the agent was unusable for `AVOID_SECONDS`.

        :param now: monotonic seconds.
        """
        if self.is_usable or not self._is_selected:
            self._unusable_since = None
        elif self._unusable_since is None:
            self._unusable_since = now
        return (
            self._unusable_since is not None
            and now - self._unusable_since > AVOID_SECONDS
        )

    def record_failure(self) -> None:
        """Record that an attempt failed at the agent."""
        self._failed_at = self._table.clock.monotonic()

    def record_progress(self) -> None:
        """Record that the agent sent a part of an answer."""
        self._progress_at = self._table.clock.monotonic()

    def record_draining(self) -> None:
        """Record that the agent refused an attempt because it is draining."""
        if self._state is not None:
            self._state = dataclasses.replace(self._state, is_draining=True)

    async def open_run(self, attempt: work.Attempt) -> connection.Run:
        """Send an attempt to the agent.

        :param attempt: the attempt.
        :raises errors.PeerError: sending failed.
        """
        if self.in_flight == 0:
            self.record_progress()
        return await self._pick_connection().open_run(attempt)

    async def is_alive(self) -> bool:
        """Return whether a heartbeat arrives over a new connection.

        A failed connection does not prove that the agent crashed: the network
        may have failed instead. Concurrent callers share one check.
        """
        if self._probe is None or self._probe.done():
            self._probe = asyncio.ensure_future(self._probe_once())
        return await asyncio.shield(self._probe)

    async def _probe_once(self) -> bool:
        before = self._state.sequence if self._state else 0
        dialled = self._dial()
        with self._connection_notifier.subscribe() as connection_event:
            try:
                async with asyncio.timeout(PROBE_SECONDS):
                    while not dialled.has_received_heartbeat:
                        if dialled.is_closed:
                            # The network fault that broke the first
                            # connection may have broken this one too.
                            await asyncio.sleep(PROBE_REDIAL_SECONDS)
                            dialled = self._dial()
                        await connection_event.wait()
                        connection_event.clear()
            except TimeoutError:
                dialled.close()
                return False
        after = self._state.sequence if self._state else 0
        return dialled.has_received_heartbeat and after > before

    def pick_any_connection(self) -> connection.Connection:
        """Return any open connection, or a new one.

        A new connection may turn out to be dead.
        """
        for candidate in self._connections:
            if not candidate.is_closed:
                return candidate
        return self._dial()

    def _list_ready_connections(self) -> list[connection.Connection]:
        """Return the open connections that have carried a heartbeat."""
        return [
            c
            for c in self._connections
            if c.has_received_heartbeat and not c.is_closed
        ]

    def _pick_connection(self) -> connection.Connection:
        # A connection that has not carried a heartbeat yet may be dead, even
        # if others to the same agent work.
        best = min(
            self._list_ready_connections(),
            key=lambda c: c.in_flight,
            default=None,
        )
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
            await self._table.watch(dialled, self._handle_heartbeat)
        finally:
            self._connections.remove(dialled)
            self._connection_notifier.notify()

    async def _keep_connected(self) -> None:
        while True:
            if not self._connections:
                self._dial()
            await asyncio.sleep(REDIAL_SECONDS)

    def _handle_heartbeat(
        self, source: connection.Connection, message: wire_pb2.Heartbeat
    ) -> None:
        self._state = agent_state.decode_state(
            message, self.in_flight, self._table.clock.monotonic()
        )
        self._connection_notifier.notify()
        self._table.handle_heartbeat(self, source, message)

    async def push_configuration(self) -> bool:
        """Send the agent the configuration records that it lacks.

        :returns: whether the agent then holds this entry's offset.
        """
        offer = self._table.follower.make_offer(
            self._state.configuration_offset if self._state else -1
        )
        try:
            offset = await self.pick_any_connection().push_configuration(
                wire_codec.encode_offer(offer)
            )
        except errors.PeerError as error:
            _LOGGER.debug(
                "configuration push failed", extra={"detail": str(error)}
            )
            return False
        return offset >= self._table.follower.state.offset

    async def pull_configuration(self) -> None:
        """Fetch the configuration records that this entry lacks."""
        try:
            message = await self.pick_any_connection().pull_configuration(
                self._table.follower.state.offset
            )
        except errors.PeerError as error:
            _LOGGER.debug(
                "configuration pull failed", extra={"detail": str(error)}
            )
            return
        self._table.follower.apply_offer(wire_codec.decode_offer(message))

    def close(self) -> None:
        """Close all connections."""
        self._reconnect_task.cancel()
        for watch in self._watches:
            watch.cancel()
        for dialled in self._connections:
            dialled.close()
