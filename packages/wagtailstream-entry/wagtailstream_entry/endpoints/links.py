"""The table of links to agents: membership, selection and heartbeats.

The platform's list shows which agents to dial and which ones are leaving. All
other state of an agent comes from the agent itself: from the heartbeats on
each connection, and from refusals that state that it is draining.
"""

import asyncio
import collections.abc
import dataclasses
import logging
import ssl
import typing

from wagtailstream_core import (
    clock,
    configuration,
    errors,
    heartbeat_codec,
    wire_pb2,
)
from wagtailstream_entry.endpoints import agent_link, connection, link_choice
from wagtailstream_entry.filters import limit
from wagtailstream_runtime import auth, follower, instance_list

# How long an avoided address stays avoided, and how long an unlisted agent
# has to be silent before its link is closed.
FORGET_SECONDS = 30.0
# Heartbeat intervals without a heartbeat after which an agent is suspect.
LATE_HEARTBEATS = 2.0
# Added to these intervals to allow for delays.
HEARTBEAT_SLACK_SECONDS = 0.1

TallyHandler = collections.abc.Callable[
    [collections.abc.Iterable[wire_pb2.VersionTally]], None
]
# Called with an endpoint's name and the identifier of its current process.
EndpointLifeHandler = collections.abc.Callable[[str, str], None]

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class LinkBounds:
    """Bounds the part of a large fleet that an entry links to.

    :param entry: the entry's name, which seeds the selection of agents.
    :param max_links: the maximum number of links.
    """

    entry: str
    max_links: int


class LinkTable(agent_link.LinkHost, limit.OtherEntries):
    """The links to agents, and the demand that agents report of customers.

    :param instances: the platform's list of instances.
    :param config_follower: holds the configuration in force.
    :param authenticator: creates the credentials of calls.
    :param system_clock: the clock for all times of the table and its links.
    :param watch_settings: the interval and contents of heartbeats.
    :param refresh_seconds: the time between reads of the list.
    :param bounds: the part of a large fleet that this entry links to.
    :param handle_tallies: called with the version tallies of each heartbeat.
    :param handle_endpoint_life: called with an endpoint's name and the
        identifier of its current process.
    :param context: the TLS context; None for plaintext connections.
    """

    def __init__(
        self,
        instances: instance_list.InstanceList,
        config_follower: follower.Follower,
        authenticator: auth.Authenticator,
        system_clock: clock.Clock,
        watch_settings: connection.WatchSettings,
        refresh_seconds: float,
        bounds: LinkBounds,
        handle_tallies: TallyHandler,
        handle_endpoint_life: EndpointLifeHandler,
        context: ssl.SSLContext | None = None,
    ) -> None:
        self._context = context
        self._instances = instances
        self._bounds = bounds
        self._listed: dict[str, instance_list.Instance] = {}
        self._avoided_until: dict[str, float] = {}
        self._refresh_seconds = refresh_seconds
        self._links: dict[str, agent_link.AgentLink] = {}
        self._unlisted_at: dict[str, float] = {}
        self._tasks: set[asyncio.Task[None]] = set()
        self._entry_count = 1
        self._has_list = False
        self._follower = config_follower
        self._authenticator = authenticator
        self._clock = system_clock
        self._watch_settings = watch_settings
        self._handle_tallies = handle_tallies
        self._handle_endpoint_life = handle_endpoint_life

    @property
    def follower(self) -> follower.Follower:
        """The follower that holds the configuration in force."""
        return self._follower

    @property
    def clock(self) -> clock.Clock:
        """The clock for all times of the table and its links."""
        return self._clock

    @property
    def late_seconds(self) -> float:
        """Seconds without a heartbeat after which an agent is suspect."""
        interval = self._watch_settings.interval_seconds
        return LATE_HEARTBEATS * interval + HEARTBEAT_SLACK_SECONDS

    def dial(self, address: str) -> connection.Connection:
        """Return a new connection to an agent.

        :param address: the agent's IP address and port.
        """
        return connection.Connection(
            address, self._authenticator, self._context
        )

    async def watch(
        self,
        dialled: connection.Connection,
        handle_heartbeat: connection.HeartbeatHandler,
    ) -> None:
        """Exchange heartbeats over a connection until it fails.

        :param dialled: the connection.
        :param handle_heartbeat: called with each heartbeat of the agent.
        """
        await dialled.watch(self._watch_settings, handle_heartbeat)

    @property
    def has_list(self) -> bool:
        """Whether the platform's list was read at least once."""
        return self._has_list

    @property
    def entry_count(self) -> int:
        """The number of entries that the platform lists as not leaving."""
        return self._entry_count

    def find_other_entries_rate(self, customer: str) -> float | None:
        """Return a customer's requests per second at all other entries.

        Agents may be linked to different entries and so report different
        sums; the largest one is returned, or None if no agent reported
        recently.

        :param customer: the customer's name.
        """
        oldest = self._clock.monotonic() - connection.HEARTBEAT_TIMEOUT_SECONDS
        rates = [
            link.state.other_entries_rates.get(customer, 0.0)
            for link in self._links.values()
            if link.state is not None and link.state.received_at >= oldest
        ]
        return max(rates, default=None)

    def list_links(self) -> collections.abc.Collection[agent_link.AgentLink]:
        """Return all links."""
        return self._links.values()

    def list_loaded_versions(
        self, endpoints: collections.abc.Container[str]
    ) -> set[configuration.ModelVersion]:
        """Return the model versions that are loaded at usable endpoints.

        :param endpoints: the names of the endpoints to consider.
        """
        return {
            version
            for link in self._links.values()
            if link.is_usable
            and link.state is not None
            and link.state.endpoint in endpoints
            for version in link.state.loaded
        }

    def find_link(self, address: str) -> agent_link.AgentLink | None:
        """Return the link to an address, or None if it is not listed.

        A listed address that this entry did not select gets a link that
        takes no new work.

        :param address: the agent's IP address and port.
        """
        if address not in self._links and address in self._listed:
            self._links[address] = agent_link.AgentLink(address, self)
            self._links[address].set_selected(False)
        link = self._links.get(address)
        if link is not None:
            link.record_lookup()
        return link

    async def run(self) -> None:
        """Read and apply the platform's list regularly until cancelled."""
        while True:
            try:
                self._apply_list(await self._instances.fetch())
            except errors.PeerError as error:
                _LOGGER.debug(
                    "instance list not read", extra={"detail": str(error)}
                )
            await asyncio.sleep(self._refresh_seconds)

    def _apply_list(
        self, listed: collections.abc.Iterable[instance_list.Instance]
    ) -> None:
        self._has_list = True
        agents = {i.address: i for i in listed if i.role == "agent"}
        self._entry_count = sum(
            i.role == "entry" and not i.is_leaving for i in listed
        )
        self._listed = agents
        self._apply_selection(self._select_links(agents))
        for address, link in self._links.items():
            if address in agents:
                link.set_listed_leaving(agents[address].is_leaving)
        self._forget_unlisted(agents)

    def _select_links(
        self, agents: dict[str, instance_list.Instance]
    ) -> frozenset[str]:
        now = self._clock.monotonic()
        for address, link in self._links.items():
            if link.is_avoided(now):
                self._avoided_until[address] = now + FORGET_SECONDS
        self._avoided_until = {
            address: until
            for address, until in self._avoided_until.items()
            if until > now
        }
        return link_choice.choose(
            self._bounds.entry,
            agents,
            self._avoided_until,
            self._follower.state.bundle,
            self._bounds.max_links,
        )

    def _apply_selection(self, selected: frozenset[str]) -> None:
        for address in selected:
            if address not in self._links:
                self._links[address] = agent_link.AgentLink(address, self)
            self._links[address].set_selected(True)
        for address in set(self._listed) & set(self._links) - selected:
            link = self._links[address]
            link.set_selected(False)
            if link.is_idle:
                self._links.pop(address).close()

    def _forget_unlisted(
        self, agents: collections.abc.Mapping[str, instance_list.Instance]
    ) -> None:
        """Close links to agents that are unlisted and silent for long."""
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
        return state is None or now - state.received_at > FORGET_SECONDS

    def handle_heartbeat(
        self,
        link: agent_link.AgentLink,
        source: connection.Connection,
        message: wire_pb2.Heartbeat,
    ) -> None:
        """Process a heartbeat, and sync the configuration if offsets differ.

        :param link: the link to the agent.
        :param source: the connection that carried the heartbeat.
        :param message: the heartbeat.
        """
        self._follower.merge_contacts(
            heartbeat_codec.decode_contacts(message.contacts)
        )
        self._handle_tallies(message.tallies)
        self._handle_endpoint_life(message.endpoint, message.endpoint_life)
        own = self._follower.state.offset
        if message.configuration_offset > own:
            self.spawn(link.pull_configuration())
        elif message.configuration_offset < own:
            self.spawn(self._push_configuration(link))

    async def _push_configuration(self, link: agent_link.AgentLink) -> None:
        await link.push_configuration()

    def spawn(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        """Run a coroutine as a background task.

        :param coroutine: the coroutine.
        """
        task = asyncio.ensure_future(coroutine)
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    def close(self) -> None:
        """Close all links."""
        for link in self._links.values():
            link.close()
