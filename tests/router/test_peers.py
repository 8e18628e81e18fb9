"""What instances tell each other, and how it spares reads of the store."""

import asyncio
import time

import hypothesis
import hypothesis.strategies as st
import pytest

from tests.router import support
from wagtailstream_adapter import headers
from wagtailstream_router import (
    endpoint_link,
    errors,
    event_log,
    follower,
    peer_copy,
    peer_news,
    replica,
    rollout_state,
    store,
)

NEWS = peer_news.PeerNews(
    "router-2",
    5,
    9,
    "zone-1",
    "127.0.0.1:7000",
    False,
    {"engine-1": peer_news.EndpointLoad(3, 120.0)},
    (
        peer_news.RolloutNews(
            rollout_state.Status(
                "engine", "v2", rollout_state.Stage.RUNNING, 4, 1700
            ),
            {"v2": rollout_state.Evidence(4, 1, 2)},
        ),
    ),
    ("127.0.0.1:7001",),
    (("engine-1", 12345),),
    (peer_news.CopyNews("operator", 8, 7, 0.25),),
)


def test_news_survive_their_spelling() -> None:
    assert peer_news.decode(peer_news.encode(NEWS)) == NEWS


@hypothesis.given(st.binary(max_size=60))
def test_strange_datagrams_are_value_errors(data: bytes) -> None:
    with pytest.raises(ValueError, match=r".*"):
        peer_news.decode(data)


class OneCover(follower.CoverSource):
    """A peer whose copy is always as new as it says."""

    def __init__(self, source: store.Topic) -> None:
        self.source = source
        self.end = 0
        self.changed_end = 0

    def find(self, topic: str) -> follower.Cover:
        """Return the peer's copy."""
        return follower.Cover(
            self.source, self.end, self.changed_end, time.monotonic()
        )

    def patience_seconds(self, topic: str) -> float:
        """Return that the process reads after a second."""
        return 1.0


async def test_a_covered_copy_is_not_read_from_the_store() -> None:
    topic = store.MemoryTopic("endpoints")
    topic.put("a", b"1")
    cover = OneCover(topic)
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    one = follower.Follower(
        topic, copy, follower.Pace(0.0, 0.01), log, covers=cover
    )
    await one.read_once()
    topic.fault = errors.StoreError("read", "endpoints", "away")
    task = asyncio.ensure_future(one.run())
    cover.end, cover.changed_end = 5, 1
    while copy.end < 5:
        await asyncio.sleep(0.005)
    task.cancel()
    assert not one.is_lost


async def test_a_peers_change_is_taken_over() -> None:
    own = store.MemoryTopic("endpoints")
    own.put("a", b"1")
    peer = store.MemoryTopic("endpoints")
    for value in (b"1", b"2"):
        peer.put("a", value)
    cover = OneCover(peer)
    copy = replica.Replica()
    one = follower.Follower(
        own,
        copy,
        follower.Pace(0.0, 0.01),
        event_log.MemoryEventLog(),
        covers=cover,
    )
    await one.read_once()
    cover.end = cover.changed_end = 2
    task = asyncio.ensure_future(one.run())
    while copy.records["a"].value != b"2":
        await asyncio.sleep(0.005)
    task.cancel()


async def test_a_copy_is_served_to_peers(fleet: support.Fleet) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    pool = endpoint_link.LinkPool(headers.PlatformHeaders())
    topic = peer_copy.PeerTopic(pool, fleet.router.copies_address, "endpoints")
    page = await topic.read_newest()
    assert [one.key for one in page.records] == ["plain-1"]
    unknown = peer_copy.PeerTopic(pool, fleet.router.copies_address, "other")
    with pytest.raises(errors.StoreError):
        await unknown.read_newest()
    pool.close()
