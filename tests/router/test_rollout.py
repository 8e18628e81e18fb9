"""Roll-outs: exposed step by step, written once, taken back on evidence."""

import dataclasses
import time

import orjson
import pytest

from tests.router import support
from wagtailstream_adapter import records
from wagtailstream_router import (
    conductor,
    directory,
    errors,
    event_log,
    job,
    peer_news,
    replica,
    rollout,
    rollout_state,
    store,
)

CODEC = records.PlatformRecords()
FAILED = rollout_state.Sample(is_failed=True)
GOOD = rollout_state.Sample()


@dataclasses.dataclass
class World:
    """One process's roll-outs over an operator's topic."""

    copy: replica.Replica
    rollouts: rollout.Rollouts
    members: list[directory.Member]

    def order(self, target: str, offset: int = 1) -> None:
        value = orjson.dumps(
            {"service": "engine", "target": target, "durationS": 20}
        )
        record = store.Record("rollout/engine", value, offset)
        self.copy.reset(store.Page((record,), offset + 1), time.monotonic())
        self.rollouts.refresh()

    def versions(self, count: int) -> list[str]:
        """Return the version of each of some sessions' requests."""
        return [
            self.rollouts.filter(make_job(f"r-{one}"), self.members)[
                0
            ].entry.version
            for one in range(count)
        ]


def make_job(identity: str, session: str = "") -> job.Job:
    call = dataclasses.replace(support.decode_call(identity), session=session)
    route = support.decode_route("stream")
    return job.Job(call, route, "engine", None, 0.0, 1, support.NoReply())


def make_member(identity: str, version: str) -> directory.Member:
    table = {
        "service": "engine",
        "address": "10.0.0.1:80",
        "zone": "zone-1",
        "version": version,
        "slots": 4,
        "state": "ready",
        "born": 1,
    }
    entry = CODEC.decode_endpoint(identity, orjson.dumps(table))
    assert entry is not None
    return directory.Member(entry)


def make_world() -> World:
    copy = replica.Replica()
    rollouts = rollout.Rollouts(
        copy, CODEC, 0.15, 5.0, event_log.MemoryEventLog()
    )
    members = [make_member(f"old-{one}", "v1") for one in range(4)]
    world = World(copy, rollouts, members)
    assert set(world.versions(3)) == {"v1"}
    members += [make_member(f"new-{one}", "v2") for one in range(4)]
    return world


@pytest.fixture
def world() -> World:
    made = make_world()
    made.order("v2")
    return made


def test_a_version_that_nobody_ordered_gets_nothing() -> None:
    assert set(make_world().versions(50)) == {"v1"}


def test_few_sessions_begin_on_the_new_version(world: World) -> None:
    exposed = world.versions(400).count("v2")
    assert 0 < exposed < 0.15 * 400 + 30


def test_only_one_new_server_is_exposed_at_first(world: World) -> None:
    seen = set()
    for number in range(400):
        chosen = world.rollouts.filter(make_job(f"r-{number}"), world.members)
        if chosen[0].entry.version == "v2":
            seen |= {one.identity for one in chosen}
    assert len(seen) == 1


def test_a_session_stays_on_its_version_in_the_first_half() -> None:
    world = make_world()
    sessions = [f"session-{number}" for number in range(60)]
    for one in sessions:
        world.rollouts.filter(make_job(one, one), world.members)
    world.order("v2")
    for one in sessions:
        chosen = world.rollouts.filter(make_job("x" + one, one), world.members)
        assert chosen[0].entry.version == "v1"


def test_a_bad_version_is_taken_back_at_once(world: World) -> None:
    for _ in range(30):
        world.rollouts.note_answer(make_job("r"), world.members[0], GOOD)
    for _ in range(3):
        world.rollouts.note_answer(make_job("r"), world.members[-1], FAILED)
    progress = world.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK
    assert set(world.versions(100)) == {"v1"}


def test_evidence_of_peers_counts(world: World) -> None:
    status = world.rollouts.progress["engine"].status
    for number in range(3):
        evidence = {
            "v2": rollout_state.Evidence(0, 1),
            "v1": rollout_state.Evidence(40),
        }
        news = peer_news.RolloutNews(status, evidence)
        world.rollouts.take_news(f"peer-{number}", news)
    progress = world.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK


def test_a_verdict_of_another_order_is_not_taken(world: World) -> None:
    old = rollout_state.Status(
        "engine", "v2", rollout_state.Stage.COMPLETED, 0, 0
    )
    world.rollouts.take_status(old)
    progress = world.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.RUNNING


def make_conductor(world: World, topic: store.Topic) -> conductor.Conductor:
    return conductor.Conductor(
        topic, world.rollouts, CODEC, event_log.MemoryEventLog()
    )


async def read_stage(topic: store.Topic) -> rollout_state.Stage:
    page = await topic.read_newest()
    value = page.records[0].value
    assert value is not None
    return CODEC.decode_status(value).stage


async def test_one_status_is_written_by_several_conductors() -> None:
    topic = store.MemoryTopic("status")
    worlds = [make_world() for _ in range(3)]
    for one in worlds:
        one.order("v2")
        await make_conductor(one, topic).step()
    assert (await topic.read_newest()).next_offset == 1
    assert await read_stage(topic) is rollout_state.Stage.RUNNING


async def test_a_successor_takes_over_what_was_written(world: World) -> None:
    topic = store.MemoryTopic("status")
    for _ in range(3):
        world.rollouts.note_answer(make_job("r"), world.members[-1], FAILED)
    await make_conductor(world, topic).step()
    assert await read_stage(topic) is rollout_state.Stage.ROLLED_BACK
    successor = make_world()
    successor.order("v2")
    await make_conductor(successor, topic).step()
    progress = successor.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK
    assert (await topic.read_newest()).next_offset == 1


async def test_a_store_that_is_away_delays_the_status(world: World) -> None:
    topic = store.MemoryTopic("status")
    topic.fault = errors.StoreError("append", "status", "away")
    one = make_conductor(world, topic)
    with pytest.raises(errors.StoreError):
        await one.step()
    topic.fault = None
    await one.step()
    assert await read_stage(topic) is rollout_state.Stage.RUNNING
