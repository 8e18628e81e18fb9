"""The agents that this entry knows: connections, state and membership.

The platform's list is a hint for whom to dial. What counts is first hand: the
heartbeats on each connection and the agent's own word that it is draining.
"""

import asyncio
import collections.abc
import dataclasses
import logging
import ssl
import typing

from wagtailstream_core import (
    clock,
    errors,
    wire_codec,
    wire_pb2,
    work,
)
from wagtailstream_entry import agent_state, connection, limit
from wagtailstream_platform import auth, follower, instance_list

MAX_RUNS_PER_CONNECTION = 80
REDIAL_SECONDS = 0.25
SUSPECT_SECONDS = 3.0
STALL_SECONDS = 2.0
# Heartbeats that may be missed before an endpoint is suspect.
LATE_HEARTBEATS = 2.0
HEARTBEAT_SLACK_SECONDS = 0.1
FORGET_SECONDS = 30.0

_LOGGER = logging.getLogger(__name__)


class AgentLink:
    """All that this entry holds of one agent.

    :param address: the agent's IP number and port.
    :param table: the table that it belongs to.
    """

    def __init__(self, address: str, table: "LinkTable") -> None:
        self._address = address
        self._table = table
        self._connections: list[connection.Connection] = []
        self._watches: set[asyncio.Task[None]] = set()
        self._state: agent_state.AgentState | None = None
        self._is_listed_leaving = False
        self._failed_at = -SUSPECT_SECONDS
        self._progress_at = 0.0
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
            and any(not c.is_closed for c in self._connections)
        )

    @property
    def is_suspect(self) -> bool:
        """Whether the agent failed, is late or sends no answers on."""
        now = self._table.clock.monotonic()
        heard_at = self._state.heard_at if self._state else 0.0
        is_stalled = (
            self.in_flight > 0 and now - self._progress_at > STALL_SECONDS
        )
        return (
            is_stalled
            or now - self._failed_at < SUSPECT_SECONDS
            or now - heard_at > self._table.late_seconds
        )

    def set_listed_leaving(self, is_leaving: bool) -> None:
        """Note what the platform's list says.

        :param is_leaving: whether it lists the agent as leaving.
        """
        self._is_listed_leaving = is_leaving

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

    def pick_any(self) -> connection.Connection:
        """Return an open connection.

        :raises errors.PeerError: there is none.
        """
        for candidate in self._connections:
            if not candidate.is_closed:
                return candidate
        raise errors.PeerError("connect", self._address, "not connected")

    def _pick_connection(self) -> connection.Connection:
        is_open = [c for c in self._connections if not c.is_closed]
        best = min(is_open, key=lambda c: c.in_flight, default=None)
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
        await self._table.watch(dialled, self._take_heartbeat)
        self._connections.remove(dialled)

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
        self._table.take_heartbeat(self, source, message)

    async def push_configuration(self) -> bool:
        """Bring the agent up to this entry; return whether it is there."""
        news = self._table.follower.read_since(
            self._state.configuration_offset if self._state else -1
        )
        if news is None:
            news = self._table.follower.read_all_kept()
        try:
            offset = await self.pick_any().push_configuration(
                wire_codec.encode_records(news)
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
        self._table.follower.adopt(wire_codec.decode_records(message))

    def close(self) -> None:
        """Drop all connections."""
        self._keeper.cancel()
        for watch in self._watches:
            watch.cancel()
        for dialled in self._connections:
            dialled.close()


class LinkTable(limit.Peers):
    """The links to all agents, and what they tell of other entries.

    :param instances: the platform's list.
    :param config_follower: holds the configuration in force.
    :param authenticator: makes the credentials of calls.
    :param system_clock: tells the time.
    :param make_heartbeat: returns this entry's present state.
    :param heartbeat_seconds: the time between heartbeats.
    :param refresh_seconds: the time between looks at the list.
    :param context: for TLS; None for plain connections.
    """

    def __init__(
        self,
        instances: instance_list.InstanceList,
        config_follower: follower.Follower,
        authenticator: auth.Authenticator,
        system_clock: clock.Clock,
        make_heartbeat: connection.HeartbeatMaker,
        heartbeat_seconds: float,
        refresh_seconds: float,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._context = context
        self._instances = instances
        self._refresh_seconds = refresh_seconds
        self._links: dict[str, AgentLink] = {}
        self._unlisted_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._entry_count = 1
        self._follower = config_follower
        self._authenticator = authenticator
        self._clock = system_clock
        self._make_heartbeat = make_heartbeat
        self._heartbeat_seconds = heartbeat_seconds

    @property
    def follower(self) -> follower.Follower:
        """Holds the configuration in force."""
        return self._follower

    @property
    def clock(self) -> clock.Clock:
        """Tells the time."""
        return self._clock

    @property
    def late_seconds(self) -> float:
        """How long an agent may be silent before it is suspect."""
        return (
            LATE_HEARTBEATS * self._heartbeat_seconds + HEARTBEAT_SLACK_SECONDS
        )

    def dial(self, address: str) -> connection.Connection:
        """Return a new connection to an agent.

        :param address: the agent's IP number and port.
        """
        return connection.Connection(
            address, self._authenticator, self._context
        )

    async def watch(
        self,
        dialled: connection.Connection,
        take_heartbeat: connection.HeartbeatTaker,
    ) -> None:
        """Watch a connection until it fails or goes silent.

        :param dialled: the connection.
        :param take_heartbeat: takes the agent's heartbeats.
        """
        await dialled.watch(
            self._heartbeat_seconds, self._make_heartbeat, take_heartbeat
        )

    @property
    def entry_count(self) -> int:
        """How many live entries the platform lists."""
        return self._entry_count

    def find_others_rate(self, customer: str) -> float | None:
        """Return what a customer asks of all others, or None if unheard.

        Agents may hear from different entries; the largest sum counts.

        :param customer: the customer's name.
        """
        oldest = self._clock.monotonic() - connection.SILENCE_SECONDS
        rates = [
            link.state.others_rates.get(customer, 0.0)
            for link in self._links.values()
            if link.state is not None and link.state.heard_at >= oldest
        ]
        return max(rates, default=None)

    def list_links(self) -> collections.abc.Collection[AgentLink]:
        """Return all links."""
        return self._links.values()

    def find_link(self, address: str) -> AgentLink | None:
        """Return the link to an address, or None.

        :param address: the agent's IP number and port.
        """
        return self._links.get(address)

    async def run(self) -> None:
        """Follow the platform's list until cancelled."""
        while True:
            try:
                self._apply(await self._instances.fetch())
            except errors.PeerError as error:
                _LOGGER.debug("no list", extra={"detail": str(error)})
            await asyncio.sleep(self._refresh_seconds)

    def _apply(
        self, listed: collections.abc.Iterable[instance_list.Instance]
    ) -> None:
        agents = {i.address: i for i in listed if i.role == "agent"}
        self._entry_count = sum(
            i.role == "entry" and not i.is_leaving for i in listed
        )
        for address, instance in agents.items():
            if address not in self._links:
                self._links[address] = AgentLink(address, self)
            self._links[address].set_listed_leaving(instance.is_leaving)
        self._forget_unlisted(agents)

    def _forget_unlisted(
        self, agents: collections.abc.Mapping[str, instance_list.Instance]
    ) -> None:
        """Drop links that are unlisted and unheard of for long."""
        now = self._clock.monotonic()
        for address in list(self._links):
            if address in agents:
                self._unlisted_at.pop(address, None)
                continue
            since = self._unlisted_at.setdefault(address, now)
            if now - since > FORGET_SECONDS and self._is_silent(address, now):
                self._links.pop(address).close()
                del self._unlisted_at[address]

    def _is_silent(self, address: str, now: float) -> bool:
        state = self._links[address].state
        return state is None or now - state.heard_at > FORGET_SECONDS

    def take_heartbeat(
        self,
        link: AgentLink,
        source: connection.Connection,
        message: wire_pb2.Heartbeat,
    ) -> None:
        """Take in an agent's news and level the configurations.

        :param link: the agent.
        :param source: the connection that it came over.
        :param message: the heartbeat.
        """
        self._follower.merge_contacts(
            wire_codec.decode_contacts(message.contacts)
        )
        own = self._follower.state.offset
        if message.configuration_offset > own:
            self.spawn(link.pull_configuration())
        elif message.configuration_offset < own:
            self.spawn(self._push(link))

    async def _push(self, link: AgentLink) -> None:
        await link.push_configuration()

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine in the background.

        :param coroutine: what to run.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Drop all links."""
        for link in self._links.values():
            link.close()
