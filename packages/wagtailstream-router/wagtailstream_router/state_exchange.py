"""What an instance tells its peers of itself, and takes over from them."""

import collections.abc
import dataclasses
import time

from wagtailstream_router import (
    crash_board,
    directory,
    follower,
    gossip,
    node,
    peer_news,
    rollout,
    warm_prompts,
)


@dataclasses.dataclass(frozen=True)
class SharedState:
    """The parts of an instance that it shares.

    :param operator: follows the operator's topic.
    :param entries: follows the endpoints' entries.
    :param members: the endpoints.
    :param rollouts: roll-outs and the evidence on them.
    :param warm: which prompts were sent where.
    :param crashes: requests that crashed endpoints.
    """

    operator: follower.Follower
    entries: follower.Follower
    members: directory.Directory
    rollouts: rollout.Rollouts
    warm: warm_prompts.WarmPrompts
    crashes: crash_board.CrashBoard


class StateExchange:
    """Makes this instance's messages, and takes its peers'.

    :param settings: who the instance is.
    :param state: what is told and takes over what is heard.
    :param list_alive: returns the peers that were heard lately.
    """

    def __init__(
        self,
        settings: node.Settings,
        state: SharedState,
        list_alive: collections.abc.Callable[[], list[gossip.Peer]],
    ) -> None:
        self._settings = settings
        self._state = state
        self._list_alive = list_alive
        # Orders the lives of an instance for its peers.
        self._boot = time.time_ns() // 1_000_000
        self.is_draining = False

    def make_news(
        self, sequence: int, peers: tuple[str, ...]
    ) -> peer_news.PeerNews:
        """Return a message.

        :param sequence: its place among this life's messages.
        :param peers: addresses of peers to name in it.
        """
        state = self._state
        return peer_news.PeerNews(
            self._settings.name,
            self._boot,
            sequence,
            self._settings.zone,
            self._settings.gossip_address,
            self.is_draining,
            self._list_loads(),
            state.rollouts.list_news(),
            peers,
            tuple(state.warm.drain_unsent()),
            self._list_copies(),
            self._list_crashes(),
        )

    def _list_loads(self) -> dict[str, peer_news.EndpointLoad]:
        loads = {
            member.identity: peer_news.EndpointLoad(
                member.in_flight, member.pending.remaining_ms, member.lag.news
            )
            for member in self._state.members.members.values()
        }
        return {
            identity: load
            for identity, load in loads.items()
            if load.in_flight or load.lateness.weight
        }

    def _list_copies(self) -> tuple[peer_news.CopyNews, ...]:
        operator = self._state.operator
        entries = self._state.entries
        ends = {
            operator.topic_name: operator.copy.end,
            entries.topic_name: self._state.members.changed_end,
        }
        return tuple(
            peer_news.CopyNews(
                one.topic_name,
                one.copy.end,
                ends[one.topic_name],
                one.copy.age(),
            )
            for one in (operator, entries)
            if one.copy.is_loaded
        )

    def _list_crashes(self) -> tuple[peer_news.CrashNews, ...]:
        now = time.monotonic()
        return tuple(
            peer_news.CrashNews(one.digest, one.endpoint, now - one.at)
            for one in self._state.crashes.crashes
        )

    def take_news(self, news: peer_news.PeerNews | None) -> None:
        """Take over a peer's loads and what it knows.

        :param news: its message; None when a peer fell silent.
        """
        state = self._state
        state.members.set_peer_loads(
            [peer.news.loads for peer in self._list_alive()]
        )
        if news is None:
            return
        state.warm.add_peer_notes(news.warm)
        for one in news.rollouts:
            state.rollouts.take_news(news.name, one)
        now = time.monotonic()
        state.crashes.take_peer(
            news.name,
            [
                crash_board.Crash(
                    one.digest, one.endpoint, now - one.age_seconds
                )
                for one in news.crashes
            ],
        )
