"""Gossip between router instances, over UDP datagrams."""

import asyncio
import collections.abc
import dataclasses
import time

from wagtailstream_router import event_log, peer_report, rotation

# Interval between messages: queues at model servers last some hundred ms, so
# older loads would be out of date.
INTERVAL_SECONDS = 0.2
# A peer that is silent for longer counts as dead, and its load is dropped.
SILENCE_SECONDS = 2.0
# Messages per round to peers in the same zone. With more peers than that they
# take turns, so an instance's traffic does not grow with the fleet.
SAME_ZONE_TARGETS = 8
# The same for peers in other zones; lower, as bytes between zones cost money.
OTHER_ZONE_TARGETS = 4
# Turns that a peer may miss before it counts as silent. It applies where that
# is longer than SILENCE_SECONDS.
MISSED_TURNS = 4.0
# Peer addresses in one message. They rotate, so that a new instance learns all
# addresses within a few rounds, while the size of a message stays bounded.
MAX_NAMED_PEERS = 8
# How long an address that a peer named gets messages unless it is named again.
HINT_SECONDS = 3.0
# A peer that is silent for this long is removed; until then it counts as a
# holder of a share of the fleet's budgets.
FORGET_SECONDS = 20.0

MakeReport = collections.abc.Callable[
    [int, tuple[str, ...]], peer_report.PeerReport
]
HandleReport = collections.abc.Callable[[peer_report.PeerReport | None], None]


@dataclasses.dataclass(slots=True)
class Peer:
    """An instance that sent a message.

    :param report: its last message.
    :param heard_at: when the message arrived, by the monotonic clock.
    """

    report: peer_report.PeerReport
    heard_at: float


class Gossip(asyncio.DatagramProtocol):
    """Sends this instance's state to its peers and stores theirs.

    :param address: where this instance receives messages, `host:port`.
    :param zone: the instance's zone.
    :param seeds: addresses where peers may be.
    :param make_report: returns a message with this instance's state, given the
        sequence number and the peer addresses to include.
    :param handle_report: called with each message, and with None when a peer
        falls silent.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: collections.abc.Sequence[str],
        make_report: MakeReport,
        handle_report: HandleReport,
        log: event_log.EventLog,
    ) -> None:
        self._address = address
        self._zone = zone
        self._seeds = frozenset(seeds)
        self._make_report = make_report
        self._handle_report = handle_report
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._hints: dict[str, float] = {}
        self._silent: set[str] = set()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def alive(self) -> list[Peer]:
        """The peers that are within their silence limit."""
        now = time.monotonic()
        near_limit, far_limit = self._silence_limits()
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at
            < (near_limit if self._is_same_zone(peer) else far_limit)
        ]

    def _is_same_zone(self, peer: Peer) -> bool:
        return peer.report.zone == self._zone

    def _silence_limits(self) -> tuple[float, float]:
        """Return the silence limits of peers in this zone and in others."""
        near = sum(map(self._is_same_zone, self._peers.values()))
        far = len(self._peers) - near
        return (
            _silence_limit_seconds(near, SAME_ZONE_TARGETS),
            _silence_limit_seconds(far, OTHER_ZONE_TARGETS),
        )

    @property
    def process_count(self) -> int:
        """The number of instances that share the fleet's budgets."""
        return 1 + len(self._peers)

    def set_seeds(self, seeds: collections.abc.Sequence[str]) -> None:
        """Replace the seed addresses; known peers stay."""
        self._seeds = frozenset(seeds)

    async def run(self) -> None:
        """Open the socket and send messages until cancelled."""
        loop = asyncio.get_running_loop()
        host, _, port = self._address.rpartition(":")
        self._transport, _ = await loop.create_datagram_endpoint(
            lambda: self, local_addr=(host, int(port))
        )
        try:
            while True:
                self.send()
                await asyncio.sleep(INTERVAL_SECONDS)
        finally:
            self._transport.close()

    def send(self, is_urgent: bool = False) -> None:
        """Send this instance's state now.

        :param is_urgent: whether to send it to all peers instead of those
            whose turn it is.
        """
        self._remove_expired()
        addresses = self._list_addresses()
        self._send_to(
            addresses if is_urgent else self._choose_targets(addresses)
        )

    def _send_to(self, addresses: collections.abc.Iterable[str]) -> None:
        """Send this instance's state to some addresses."""
        if self._transport is None or self._transport.is_closing():
            return
        self._sequence += 1
        data = peer_report.encode(
            self._make_report(self._sequence, self._choose_named_peers())
        )
        for target in addresses:
            host, _, port = target.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _choose_named_peers(self) -> tuple[str, ...]:
        """Return the addresses of live peers to name in the next message."""
        heard = {peer.report.address for peer in self.alive}
        return tuple(
            rotation.round_robin(heard, MAX_NAMED_PEERS, self._sequence)
        )

    def _list_addresses(self) -> set[str]:
        addresses = {peer.report.address for peer in self._peers.values()}
        return (addresses | self._seeds | set(self._hints)) - {self._address}

    def _choose_targets(self, addresses: set[str]) -> list[str]:
        """Return the addresses whose turn it is, in this zone and others."""
        near = {
            peer.report.address
            for peer in self._peers.values()
            if self._is_same_zone(peer)
        }
        return [
            *rotation.round_robin(
                near & addresses, SAME_ZONE_TARGETS, self._sequence
            ),
            *rotation.round_robin(
                addresses - near, OTHER_ZONE_TARGETS, self._sequence
            ),
        ]

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Handle a peer's message; out-of-order messages are dropped."""
        try:
            report = peer_report.decode(data)
        except ValueError as error:
            self._log.write_routine("peer_ignored", detail=str(error))
            return
        peer = self._peers.get(report.name)
        if peer is not None and (report.boot, report.sequence) <= (
            peer.report.boot,
            peer.report.sequence,
        ):
            return
        is_new = (
            peer is None
            or report.boot != peer.report.boot
            or report.name in self._silent
        )
        if is_new:
            self._silent.discard(report.name)
            self._log.write("peer_heard", peer=report.name)
        self._peers[report.name] = Peer(report, time.monotonic())
        self._hints.pop(report.address, None)
        deadline = time.monotonic() + HINT_SECONDS
        for address in set(report.peers) - self._list_addresses():
            self._hints[address] = deadline
        self._handle_report(report)
        if is_new:
            # It may know nothing yet, and take callers before the next round.
            self._send_to([report.address])

    def error_received(self, exc: Exception) -> None:
        """Log a send error of an earlier message; later ones may succeed."""
        self._log.write_routine("peer_send_failed", detail=repr(exc))

    def _remove_expired(self) -> None:
        now = time.monotonic()
        self._hints = {
            address: deadline
            for address, deadline in self._hints.items()
            if now < deadline
        }
        near_limit, far_limit = self._silence_limits()
        for name, peer in list(self._peers.items()):
            silent = now - peer.heard_at
            limit = near_limit if self._is_same_zone(peer) else far_limit
            if silent > limit and name not in self._silent:
                self._silent.add(name)
                self._log.write("peer_lost", peer=name)
                self._handle_report(None)
            if silent > max(FORGET_SECONDS, limit):
                del self._peers[name]
                self._silent.discard(name)


def turn_seconds(count: int, is_same_zone: bool) -> float:
    """Return how often a peer sends a message to this instance.

    :param count: the number of peers that are in this zone, or that are not.
    """
    targets = SAME_ZONE_TARGETS if is_same_zone else OTHER_ZONE_TARGETS
    return INTERVAL_SECONDS * max(1.0, count / targets)


def _silence_limit_seconds(count: int, targets: int) -> float:
    """Return how long a peer may be silent before it counts as dead.

    :param count: the number of peers that take turns.
    :param targets: how many of them get a message per round.
    """
    turn_seconds = INTERVAL_SECONDS * count / targets
    return max(SILENCE_SECONDS, MISSED_TURNS * turn_seconds)
