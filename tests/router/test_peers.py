"""Messages between instances, and copies from peers in place of the store."""

import asyncio
import dataclasses
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
    peer_report,
    replica,
    rollout_state,
    store,
)
from wagtailstream_router.engines import engine_speed

REPORT = peer_report.PeerReport(
    "router-2",
    5,
    9,
    "zone-1",
    "127.0.0.1:7000",
    False,
    {"engine-1": peer_report.EndpointLoad(3, 120.0)},
    (
        peer_report.RolloutReport(
            rollout_state.Status(
                "engine",
                "v2",
                rollout_state.Stage.RUNNING,
                store.Position(1, 4),
            ),
            {"v2": rollout_state.Evidence(4, 1, 2, 6, 3)},
            1.75,
            {
                rollout_state.Start("router-3", 7): {
                    "v1": rollout_state.Evidence(6)
                }
            },
            -0.25,
            frozenset({"v0"}),
        ),
    ),
    ("127.0.0.1:7001",),
    (("engine-1", 12345),),
    (peer_report.CopyReport("operator", store.Position(1, 8), 7, 0.25),),
    offered={"engine": 1250},
    speeds={"engine-1": engine_speed.SpeedReport(-0.25, 3.5)},
)


def test_messages_survive_encoding() -> None:
    assert peer_report.decode(peer_report.encode(REPORT)) == REPORT


@pytest.mark.parametrize(
    "speed",
    [
        engine_speed.SpeedReport(5.0, 1.0),
        engine_speed.SpeedReport(0.0, -1.0),
        engine_speed.SpeedReport(float("nan"), 1.0),
    ],
)
def test_speeds_beyond_their_bounds_are_taken_over(
    speed: engine_speed.SpeedReport,
) -> None:
    report = dataclasses.replace(REPORT, speeds={"engine-1": speed})
    with pytest.raises(ValueError, match=r"speed|peer message"):
        peer_report.decode(peer_report.encode(report))


def test_messages_of_another_release_are_value_errors(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(peer_report, "MESSAGE_FORMAT", 1)
    data = peer_report.encode(REPORT)
    monkeypatch.undo()
    with pytest.raises(ValueError, match="format 1"):
        peer_report.decode(data)


@hypothesis.given(st.binary(max_size=60))
def test_strange_datagrams_are_value_errors(data: bytes) -> None:
    with pytest.raises(ValueError, match=r".*"):
        peer_report.decode(data)


class SinglePeer(follower.PeerCopySource):
    """A single peer, whose copy always counts as just confirmed."""

    def __init__(self, source: store.Topic) -> None:
        self.source = source
        self.end = 0
        self.changed_end = 0

    def find(self, topic: str, end: store.Position) -> follower.PeerCopy:
        """Return the peer's copy."""
        return follower.PeerCopy(
            self.source,
            store.Position(0, self.end),
            self.changed_end,
            time.monotonic(),
        )

    def max_age_seconds(self, topic: str) -> float:
        """Return one second, after which the process reads the store."""
        return 1.0


async def test_a_peer_with_a_current_copy_spares_the_store() -> None:
    topic = store.MemoryTopic("endpoints")
    topic.put("a", b"1")
    single_peer = SinglePeer(topic)
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    topic_follower = follower.Follower(
        topic,
        copy,
        follower.ReadTiming(0.0, 0.01),
        log,
        peer_copies=single_peer,
    )
    await topic_follower.read_once()
    topic.fault = errors.StoreError("read", "endpoints", "unreachable")
    task = asyncio.ensure_future(topic_follower.run())
    single_peer.end, single_peer.changed_end = 5, 1
    while copy.end.offset < 5:
        await asyncio.sleep(0.005)
    task.cancel()
    assert not topic_follower.is_lost


async def test_a_change_is_read_from_a_peer() -> None:
    own_topic = store.MemoryTopic("endpoints")
    own_topic.put("a", b"1")
    peer_topic = store.MemoryTopic("endpoints")
    for value in (b"1", b"2"):
        peer_topic.put("a", value)
    single_peer = SinglePeer(peer_topic)
    copy = replica.Replica()
    topic_follower = follower.Follower(
        own_topic,
        copy,
        follower.ReadTiming(0.0, 0.01),
        event_log.MemoryEventLog(),
        peer_copies=single_peer,
    )
    await topic_follower.read_once()
    single_peer.end = single_peer.changed_end = 2
    task = asyncio.ensure_future(topic_follower.run())
    while copy.records["a"].value != b"2":
        await asyncio.sleep(0.005)
    task.cancel()


async def test_a_copy_is_served_to_peers(fleet: support.Fleet) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    pool = endpoint_link.LinkPool(headers.PlatformHeaders())
    topic = peer_copy.PeerTopic(pool, fleet.router.copies_address, "endpoints")
    page = await topic.read_newest()
    assert [record.key for record in page.records] == ["plain-1"]
    unknown = peer_copy.PeerTopic(pool, fleet.router.copies_address, "other")
    with pytest.raises(errors.StoreError):
        await unknown.read_newest()
    pool.close()


def test_a_peers_copy_does_not_drop_records_that_were_appended_after_it() -> (
    None
):
    copy = replica.Replica()
    records = (store.Record("a", b"1", 0), store.Record("b", b"1", 4))
    copy.reset(store.Page(records, 4), time.monotonic())
    copy.reset(store.Page(records[:1], 4), time.monotonic())
    assert set(copy.records) == {"a", "b"}
    copy.reset(store.Page(records[:1], 2, era=1), time.monotonic())
    assert set(copy.records) == {"a"}
