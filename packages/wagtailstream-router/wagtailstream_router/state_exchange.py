"""Builds this instance's gossip messages and applies those of its peers."""

import collections.abc
import dataclasses
import time

from wagtailstream_router import (
    crash_board,
    directory,
    endpoint_limit,
    follower,
    gossip,
    node,
    peer_report,
    rollout,
    rollout_state,
    warm_prompts,
)
from wagtailstream_router.admission import admission
from wagtailstream_router.cascade import time_price
from wagtailstream_router.engines import engine_speed
from wagtailstream_router.instance import strain
from wagtailstream_router.zones import cold_share

# How long the end of a limit is sent to peers: several rounds of messages,
# also where instances take turns.
REPORT_ENDED_LIMIT_SECONDS = 3.0
# Peers' room and uses are summed at most this often: the interval of messages,
# of which dozens a second arrive in a large fleet.
MERGE_SECONDS = 0.2


@dataclasses.dataclass(frozen=True)
class SharedState:
    """The state of an instance that gossip shares.

    :param operator: follows the operator's topic.
    :param entries: follows the topic of endpoint entries.
    :param members: the directory of endpoints.
    :param rollouts: roll-outs and the evidence on them.
    :param warm: the prompt parts that were sent to each endpoint.
    :param crashes: crashes of endpoints, by request.
    :param share: this instance's part of what cold endpoints bear.
    :param prices: the prices of the services' engine time.
    :param gate: holds the room of endpoints and the uses of customers.
    :param speeds: the learnt times of the model servers.
    """

    operator: follower.Follower
    entries: follower.Follower
    members: directory.Directory
    rollouts: rollout.Rollouts
    warm: warm_prompts.WarmPrompts
    crashes: crash_board.CrashBoard
    share: cold_share.ColdShare
    prices: time_price.TimePrices
    gate: admission.Admission
    speeds: engine_speed.EngineSpeeds


class StateExchange:
    """Builds this instance's messages and applies its peers' messages.

    :param settings: the instance's name, zone and address.
    :param state: the source of messages; peers' messages update it.
    :param list_alive: returns the live peers.
    :param read_strain: returns how far behind this instance is.
    """

    def __init__(
        self,
        settings: node.Settings,
        state: SharedState,
        list_alive: collections.abc.Callable[[], list[gossip.Peer]],
        read_strain: collections.abc.Callable[[], strain.StrainReport],
    ) -> None:
        self._settings = settings
        self._state = state
        self._list_alive = list_alive
        self._read_strain = read_strain
        self.is_draining = False
        self._merged_at = float("-inf")
        # The starts of the live peers that all crashes were announced to.
        self._known_boots: dict[str, int] = {}

    def make_report(
        self, sequence: int, peers: tuple[str, ...]
    ) -> peer_report.PeerReport:
        """Return a message with this instance's current state.

        :param sequence: the number of the message since the start.
        :param peers: addresses of peers to include.
        """
        state = self._state
        # What peers have ages, also if none of them is heard.
        self._merge_room(self._list_alive(), is_urgent=False)
        return peer_report.PeerReport(
            state.rollouts.start.name,
            state.rollouts.start.boot,
            sequence,
            self._settings.zone,
            self._settings.gossip_address,
            self.is_draining,
            self._list_loads(),
            state.rollouts.list_reports(sequence),
            peers,
            tuple(state.warm.drain_unsent()),
            self._list_copies(),
            state.crashes.make_report(),
            state.crashes.parts.make_report(),
            self._list_limits(),
            self._list_leaving(),
            state.gate.engine_shares.make_report(),
            state.gate.sum_waiting(),
            state.prices.offered,
            state.speeds.make_report(),
            state.members.list_cold_reports(),
            strain=self._read_strain(),
        )

    def _list_loads(self) -> dict[str, peer_report.EndpointLoad]:
        loads = {
            member.identity: peer_report.EndpointLoad(
                member.in_flight,
                member.pending.remaining_ms,
                member.lag.report,
                self._state.gate.rooms.find(member).reported_tokens,
            )
            for member in self._state.members.members.values()
        }
        return {
            identity: load
            for identity, load in loads.items()
            if load.in_flight or load.lag_report.weight
        }

    def _list_limits(self) -> dict[str, peer_report.LimitReport]:
        """Return the limits that endpoints name, or have ceased to name."""
        now = time.monotonic()
        observations = {
            member.identity: member.limit.own
            for member in self._state.members.members.values()
        }
        return {
            identity: peer_report.LimitReport(own.per_second, now - own.at)
            for identity, own in observations.items()
            if own.per_second is not None
            or now - own.at < REPORT_ENDED_LIMIT_SECONDS
        }

    def _list_leaving(self) -> tuple[tuple[str, int], ...]:
        return tuple(
            (member.identity, member.entry.born_ms)
            for member in self._state.members.members.values()
            if member.notices.is_leaving
        )

    def _list_copies(self) -> tuple[peer_report.CopyReport, ...]:
        operator = self._state.operator
        entries = self._state.entries
        ends = {
            operator.topic_name: operator.copy.end.offset,
            entries.topic_name: self._state.members.changed_end,
        }
        return tuple(
            peer_report.CopyReport(
                follower_.topic_name,
                follower_.copy.end,
                ends[follower_.topic_name],
                follower_.copy.age(),
            )
            for follower_ in (operator, entries)
            if follower_.copy.is_loaded
        )

    def handle_report(self, report: peer_report.PeerReport | None) -> None:
        """Apply a peer's message, and refresh the loads of all peers.

        :param report: the message; None when a peer fell silent.
        """
        state = self._state
        alive = self._list_alive()
        state.members.set_peer_loads([peer.report.loads for peer in alive])
        state.prices.set_peers_offered(peer.report.offered for peer in alive)
        self._merge_room(alive, is_urgent=report is None)
        state.speeds.set_peer_reports(peer.report.speeds for peer in alive)
        state.members.set_senders(
            endpoint_limit.Senders(
                state.rollouts.start.name,
                tuple(
                    sorted(
                        peer.report.name
                        for peer in alive
                        if not peer.report.is_draining
                    )
                ),
            )
        )
        if report is None:
            names = {peer.report.name for peer in alive}
            self._known_boots = {
                name: boot
                for name, boot in self._known_boots.items()
                if name in names
            }
            return
        state.share.record_heard(report.name, report.peers)
        state.warm.add_peer_entries(report.warm)
        peer = rollout_state.Start(report.name, report.boot)
        for rollout_ in report.rollouts:
            state.rollouts.handle_report(peer, rollout_)
        state.crashes.parts.merge_report(report.parts)
        now = time.monotonic()
        state.members.merge_peer_limits(
            {
                identity: endpoint_limit.Observation(
                    limit.per_second, now - limit.age_seconds
                )
                for identity, limit in report.limits.items()
            }
        )
        state.members.merge_peer_leaving(report.leaving)
        state.members.merge_peer_cold(report.cold)
        state.crashes.merge_report(report.crashes)
        self._greet(report)

    def _greet(self, report: peer_report.PeerReport) -> None:
        """Announce all crashes if a peer has started or was silent."""
        if self._known_boots.get(report.name) == report.boot:
            return
        self._known_boots[report.name] = report.boot
        self._state.crashes.announce_all()

    def _merge_room(self, alive: list[gossip.Peer], is_urgent: bool) -> None:
        """Replace what the live peers hold at endpoints, and their uses.

        :param is_urgent: whether to do it even if it was done just before.
        """
        now = time.monotonic()
        if now - self._merged_at < MERGE_SECONDS and not is_urgent:
            return
        self._merged_at = now
        gate = self._state.gate
        near = [peer.report.zone == self._settings.zone for peer in alive]
        intervals = [
            gossip.turn_seconds(near.count(is_near), is_near)
            for is_near in near
        ]
        ages = [
            (now - peer.heard_at) / interval
            for peer, interval in zip(alive, intervals, strict=True)
        ]
        reports = [peer.report for peer in alive]
        gate.set_peer_waiting(
            zip(ages, (report.waiting for report in reports), strict=True)
        )
        gate.rooms.set_peer_loads(
            self._state.members.members.values(),
            zip(ages, (report.loads for report in reports), strict=True),
            sum(intervals) / len(intervals)
            if intervals
            else gossip.INTERVAL_SECONDS,
        )
        gate.engine_shares.set_peer_uses(
            (peer.heard_at, peer.report.uses) for peer in alive
        )
