"""Exchanges instances' states over datagrams."""

import asyncio
import collections.abc
import dataclasses
import time

from wagtailstream_router import event_log, peer_news

# Between messages: a queue of the engines lasts some hundred ms.
INTERVAL_SECONDS = 0.2
# A peer that is silent for longer is not counted as alive, nor its load.
SILENCE_SECONDS = 2.0
# Messages within the zone in one round; in a larger zone peers take turns, so
# that an instance's messages do not grow with the fleet.
NEAR_TARGETS = 8
# Messages to other zones in one round; a larger fleet takes turns there, as
# bytes between zones have a price.
OTHER_ZONE_TARGETS = 4
# Turns that a peer may miss before it counts as silent, where turns are rarer
# than that.
MISSED_TURNS = 4.0
# Peers that one message names: a newcomer hears of all within some rounds,
# however large the fleet.
MAX_TOLD_PEERS = 8
# How long a peer of a peer is asked before it has to be named again.
HINT_SECONDS = 3.0
# A peer that is silent for longer still is forgotten; until then it counts
# for shares of the fleet's budgets.
FORGET_SECONDS = 20.0

MakeNews = collections.abc.Callable[[int, tuple[str, ...]], peer_news.PeerNews]
TakeNews = collections.abc.Callable[[peer_news.PeerNews | None], None]


@dataclasses.dataclass(slots=True)
class Peer:
    """An instance that was heard.

    :param heard_at: when, by the monotonic clock.
    """

    news: peer_news.PeerNews
    heard_at: float


class Gossip(asyncio.DatagramProtocol):
    """Sends this instance's state to its peers, and keeps theirs.

    :param address: where this instance takes messages.
    :param zone: where it runs.
    :param seeds: where peers may be.
    :param make_news: returns this instance's state.
    :param take_news: takes each message, and None when a peer falls silent.
    """

    def __init__(
        self,
        address: str,
        zone: str,
        seeds: collections.abc.Sequence[str],
        make_news: MakeNews,
        take_news: TakeNews,
        log: event_log.EventLog,
    ) -> None:
        self._address = address
        self._zone = zone
        self._seeds = frozenset(seeds)
        self._make_news = make_news
        self._take_news = take_news
        self._log = log
        self._peers: dict[str, Peer] = {}
        self._hints: dict[str, float] = {}
        self._lost: set[str] = set()
        self._sequence = 0
        self._transport: asyncio.DatagramTransport | None = None

    @property
    def alive(self) -> list[Peer]:
        """The peers that were heard lately."""
        now = time.monotonic()
        near_limit, far_limit = self._silence_limits()
        return [
            peer
            for peer in self._peers.values()
            if now - peer.heard_at
            < (near_limit if self._is_same_zone(peer) else far_limit)
        ]

    def _is_same_zone(self, peer: Peer) -> bool:
        return peer.news.zone == self._zone

    def _silence_limits(self) -> tuple[float, float]:
        """Return how long peers of this zone and of others may be silent."""
        near = sum(map(self._is_same_zone, self._peers.values()))
        far = len(self._peers) - near
        return (
            _silence_seconds(near, NEAR_TARGETS),
            _silence_seconds(far, OTHER_ZONE_TARGETS),
        )

    @property
    def process_count(self) -> int:
        """Instances that share the fleet's budgets, this one too."""
        return 1 + len(self._peers)

    def set_seeds(self, seeds: collections.abc.Sequence[str]) -> None:
        """Look for peers at other addresses; known peers stay."""
        self._seeds = frozenset(seeds)

    async def run(self) -> None:
        """Exchange messages until cancelled."""
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

        :param is_urgent: whether all peers get it, in whatever zone.
        """
        if self._transport is None or self._transport.is_closing():
            return
        self._forget()
        self._sequence += 1
        known = self._list_known()
        data = peer_news.encode(
            self._make_news(self._sequence, self._choose_named_peers())
        )
        for target in known if is_urgent else self._choose_targets(known):
            host, _, port = target.rpartition(":")
            self._transport.sendto(data, (host, int(port)))

    def _choose_named_peers(self) -> tuple[str, ...]:
        """Return the addresses of some peers that were heard, in turn."""
        heard = {peer.news.address for peer in self.alive}
        return tuple(_take_turn(heard, MAX_TOLD_PEERS, self._sequence))

    def _list_known(self) -> set[str]:
        known = {peer.news.address for peer in self._peers.values()}
        return (known | self._seeds | set(self._hints)) - {self._address}

    def _choose_targets(self, known: set[str]) -> list[str]:
        """Return some of this zone and some of the others, each in turn."""
        near = {
            peer.news.address
            for peer in self._peers.values()
            if self._is_same_zone(peer)
        }
        return [
            *_take_turn(near & known, NEAR_TARGETS, self._sequence),
            *_take_turn(known - near, OTHER_ZONE_TARGETS, self._sequence),
        ]

    def datagram_received(self, data: bytes, addr: object) -> None:
        """Take a peer's message."""
        try:
            news = peer_news.decode(data)
        except ValueError as error:
            self._log.write_routine("peer_ignored", detail=str(error))
            return
        known = self._peers.get(news.name)
        if known is not None and (news.boot, news.sequence) <= (
            known.news.boot,
            known.news.sequence,
        ):
            return
        if known is None or news.name in self._lost:
            self._lost.discard(news.name)
            self._log.write("peer_heard", peer=news.name)
        self._peers[news.name] = Peer(news, time.monotonic())
        self._hints.pop(news.address, None)
        deadline = time.monotonic() + HINT_SECONDS
        for address in set(news.peers) - self._list_known():
            self._hints[address] = deadline
        self._take_news(news)

    def error_received(self, exc: Exception) -> None:
        """Take an error of an earlier message; the next one may pass."""
        self._log.write_routine("peer_send_failed", detail=repr(exc))

    def _forget(self) -> None:
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
            if silent > limit and name not in self._lost:
                self._lost.add(name)
                self._log.write("peer_lost", peer=name)
                self._take_news(None)
            if silent > max(FORGET_SECONDS, limit):
                del self._peers[name]
                self._lost.discard(name)


def _silence_seconds(count: int, targets: int) -> float:
    """Return how long one of some peers may be silent.

    :param count: how many there are.
    :param targets: how many of them get a message in a round.
    """
    turn_seconds = INTERVAL_SECONDS * count / targets
    return max(SILENCE_SECONDS, MISSED_TURNS * turn_seconds)


def _take_turn(addresses: set[str], count: int, turn: int) -> list[str]:
    """Return some addresses; all have come after enough turns in a row."""
    ordered = sorted(addresses)
    first = turn * count % max(1, len(ordered))
    return (ordered[first:] + ordered[:first])[:count]
