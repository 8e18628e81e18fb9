"""A store that comes back from an older copy and gives offsets out again."""

import asyncio
import collections.abc
import dataclasses
import time

import orjson
import pytest
import pytest_asyncio

from standins import platform_store
from tests.router import rollout_play, support, test_directory
from wagtailstream_adapter import log_store, names, records
from wagtailstream_router import (
    active_configuration,
    directory,
    event_log,
    exposure,
    follower,
    metrics,
    replica,
    rollout,
    rollout_state,
    rollout_status,
    store,
)

CODEC = records.PlatformRecords()
OPERATOR = names.OPERATOR_TOPIC
ENDPOINTS = names.ENDPOINTS_TOPIC
TIMING = follower.ReadTiming(0.0, 0.0)


@dataclasses.dataclass
class Instance:
    """What one instance reads from the store, and what it believes."""

    operator: follower.Follower
    entries: follower.Follower
    configuration: active_configuration.ActiveConfiguration
    members: directory.Directory
    rollouts: rollout.Rollouts
    status_writer: rollout_status.RolloutStatusWriter
    log: event_log.MemoryEventLog

    async def read(self) -> None:
        """Read both topics once, and apply the changes."""
        await self.operator.read_once()
        await self.entries.read_once()
        self.configuration.get()
        self.rollouts.refresh()
        self.members.refresh()

    @property
    def version(self) -> int:
        """The version of the configuration in force; 0 if there is none."""
        value = self.configuration.get()
        return value.version if value is not None else 0

    def list_ready(self) -> list[str]:
        """Return the ids of the endpoints that may get requests."""
        return [
            member.identity for member in self.members.list_ready("engine")
        ]

    def count_exposed(self, target: str) -> int:
        """Return how many of 400 requests go to a version."""
        members = [
            rollout_play.make_member(f"{version}-{number}", version)
            for version in ("v1", target)
            for number in range(4)
        ]
        chosen = [
            self.rollouts.filter(rollout_play.make_job(f"r-{number}"), members)
            for number in range(400)
        ]
        return sum(choice[0].entry.version == target for choice in chosen)


def make_instance(topics: store.Store, name: str) -> Instance:
    log = event_log.MemoryEventLog()
    operator, entries = (
        follower.Follower(topic, replica.Replica(), TIMING, log)
        for topic in (topics.operator, topics.endpoints)
    )
    rollouts = rollout.Rollouts(
        rollout_state.Start(name, 1),
        operator.copy,
        CODEC,
        exposure.ExposureBounds(0.15, 30),
        log,
    )
    return Instance(
        operator,
        entries,
        active_configuration.ActiveConfiguration(operator.copy, CODEC, log),
        directory.Directory(entries.copy, CODEC, log),
        rollouts,
        rollout_status.RolloutStatusWriter(
            topics.status, rollouts, CODEC, log
        ),
        log,
    )


class Drill:
    """A store, what others write to it, and one instance that reads it."""

    def __init__(
        self, server: platform_store.PlatformStore, topics: store.Store
    ) -> None:
        self.server = server
        self.topics = topics
        self.instance = make_instance(topics, "router-1")

    def write_configuration(self, version: int) -> None:
        table = support.make_configuration(version)
        self.server.put(OPERATOR, "config", orjson.dumps(table))

    def write_order(self, target: str) -> None:
        table = {"service": "engine", "target": target, "durationS": 20}
        self.server.put(OPERATOR, "rollout/engine", orjson.dumps(table))

    def write_endpoint(
        self, identity: str, sequence: int, **fields: object
    ) -> None:
        table = test_directory.ENTRY | {"sequence": sequence} | fields
        self.server.put(ENDPOINTS, identity, orjson.dumps(table))

    def remove_endpoint(self, identity: str) -> None:
        self.server.put(ENDPOINTS, identity, b"")

    async def read_status(self) -> rollout_state.Status | None:
        page = await self.topics.status.read_newest()
        if not page.records or page.records[0].value is None:
            return None
        return CODEC.decode_status(page.records[0].value).status


def roll_back(instance: Instance) -> None:
    """Tell an instance that its roll-out was rolled back."""
    status = instance.rollouts.progress["engine"].status
    instance.rollouts.merge_status(
        dataclasses.replace(status, stage=rollout_state.Stage.ROLLED_BACK)
    )


class PeerCopies(follower.PeerCopySource):
    """The copy of a single peer, which replaces the store."""

    def __init__(self, topic: store.Topic, copy: replica.Replica) -> None:
        self._topic = topic
        self._copy = copy

    def find(self, topic: str, end: store.Position) -> follower.PeerCopy:
        """Return the peer's copy, confirmed just now."""
        end = self._copy.end
        return follower.PeerCopy(
            self._topic, end, end.offset, time.monotonic()
        )

    def max_age_seconds(self, topic: str) -> float:
        """Return one second, after which the store is read."""
        return 1.0


@pytest_asyncio.fixture
async def drill() -> collections.abc.AsyncIterator[Drill]:
    server = platform_store.PlatformStore()
    server.start()
    topics = log_store.make_store(server.address, metrics.Metrics())
    yield Drill(server, topics)
    topics.close()
    await server.close()


async def test_a_configuration_acknowledged_after_a_restore_is_in_force(
    drill: Drill,
) -> None:
    for version in range(1, 7):
        drill.write_configuration(version)
    await drill.instance.read()
    drill.server.restore({OPERATOR: 3})
    for version in (7, 8):
        drill.write_configuration(version)
        await drill.instance.read()
        assert drill.instance.version == version


async def test_records_at_offsets_given_out_again_are_not_missed(
    drill: Drill,
) -> None:
    for version in range(1, 4):
        drill.write_configuration(version)
    await drill.instance.read()
    drill.server.restore({OPERATOR: 1})
    drill.write_order("v2")
    for _ in range(4):
        drill.server.put(OPERATOR, "other", b"1")
    await drill.instance.read()
    assert "engine" in drill.instance.rollouts.progress


async def test_a_configuration_in_force_does_not_move_back_with_the_store(
    drill: Drill,
) -> None:
    for version in range(1, 7):
        drill.write_configuration(version)
    await drill.instance.read()
    drill.server.restore({OPERATOR: 3})
    await drill.instance.read()
    assert drill.instance.version == 6


@pytest.mark.parametrize("other_records", [1, 9])
async def test_a_rolled_back_version_stays_so_when_its_order_is_rewritten(
    drill: Drill, other_records: int
) -> None:
    drill.write_configuration(1)
    await drill.instance.read()
    assert drill.instance.count_exposed("v2") == 0
    drill.write_order("v2")
    await drill.instance.read()
    assert drill.instance.count_exposed("v2") > 0
    roll_back(drill.instance)
    assert drill.instance.count_exposed("v2") == 0
    drill.server.restore({OPERATOR: 1})
    await drill.instance.read()
    for _ in range(other_records):
        drill.server.put(OPERATOR, "other", b"1")
    drill.write_order("v2")
    await drill.instance.read()
    assert drill.instance.count_exposed("v2") == 0


async def test_a_status_that_the_store_lost_is_written_again(
    drill: Drill,
) -> None:
    drill.write_configuration(1)
    await drill.instance.read()
    drill.write_order("v2")
    await drill.instance.read()
    await drill.instance.status_writer.step()
    roll_back(drill.instance)
    await drill.instance.status_writer.step()
    drill.server.restore({OPERATOR: 1})
    drill.write_order("v2")
    await drill.instance.read()
    await drill.instance.status_writer.step()
    status = await drill.read_status()
    assert status is not None
    assert status.stage is rollout_state.Stage.ROLLED_BACK


async def test_an_endpoint_that_left_does_not_come_back_with_an_old_entry(
    drill: Drill,
) -> None:
    for identity in ("left", "draining", "ready"):
        drill.write_endpoint(identity, 1)
    await drill.instance.read()
    drill.write_endpoint("draining", 2, state="draining")
    drill.remove_endpoint("left")
    drill.write_endpoint("ready", 2)
    await drill.instance.read()
    assert drill.instance.list_ready() == ["ready"]
    drill.server.restore({ENDPOINTS: 3})
    for _ in range(4):
        drill.write_endpoint("ready", 3)
    await drill.instance.read()
    assert drill.instance.list_ready() == ["ready"]


async def test_an_old_entry_with_heartbeats_that_were_not_read_is_a_remnant(
    drill: Drill,
) -> None:
    """Heartbeats that change nothing are read by one instance only."""
    drill.write_endpoint("left", 1)
    drill.write_endpoint("ready", 1)
    await drill.instance.read()
    drill.write_endpoint("left", 8)
    end = drill.server.topic(ENDPOINTS).end
    drill.instance.entries.copy.skip_to(store.Position(0, end), 0.0)
    drill.remove_endpoint("left")
    await drill.instance.read()
    drill.server.restore({ENDPOINTS: end})
    await drill.instance.read()
    assert drill.instance.list_ready() == ["ready"]


async def test_an_endpoint_written_again_as_it_was_is_not_dropped(
    drill: Drill,
) -> None:
    drill.write_endpoint("a", 1)
    await drill.instance.read()
    drill.server.restore({ENDPOINTS: 0})
    await drill.instance.read()
    assert drill.instance.members.members["a"].is_lapsed
    drill.write_endpoint("a", 1)
    await drill.instance.read()
    assert not drill.instance.members.members["a"].is_lapsed


async def test_a_restarted_endpoint_counts_its_writes_anew(
    drill: Drill,
) -> None:
    drill.write_endpoint("a", 9, state="draining")
    await drill.instance.read()
    drill.server.restore({ENDPOINTS: 0})
    drill.write_endpoint("a", 1, born=2)
    await drill.instance.read()
    assert drill.instance.list_ready() == ["a"]


async def start_rollout(drill: Drill) -> None:
    """Order v2 of a service whose settled version is v1."""
    drill.write_configuration(1)
    await drill.instance.read()
    drill.instance.count_exposed("v2")
    drill.write_order("v2")
    await drill.instance.read()
    await drill.instance.status_writer.step()


async def test_two_restores_neither_restart_nor_double_a_running_rollout(
    drill: Drill,
) -> None:
    await start_rollout(drill)
    progress = drill.instance.rollouts.progress["engine"]
    started_at = progress.started_at
    for _ in range(2):
        drill.server.restore({OPERATOR: 1})
        await drill.instance.read()
        drill.write_order("v2")
        await drill.instance.read()
        await drill.instance.status_writer.step()
        assert drill.instance.rollouts.progress == {"engine": progress}
        assert progress.started_at == started_at
        status = await drill.read_status()
        assert status == progress.status
    assert progress.position.era == 2


async def test_an_instance_that_starts_takes_over_after_a_restore(
    drill: Drill,
) -> None:
    """The instance that decided was killed before the operator wrote again."""
    await start_rollout(drill)
    roll_back(drill.instance)
    drill.server.restore({OPERATOR: 1})
    await drill.instance.read()
    await drill.instance.status_writer.step()
    drill.write_order("v2")
    other = make_instance(drill.topics, "router-2")
    await other.read()
    other.count_exposed("v2")
    await other.status_writer.step()
    assert (
        other.rollouts.progress["engine"].stage
        is rollout_state.Stage.ROLLED_BACK
    )


async def test_an_earlier_order_in_the_older_copy_is_not_taken_for_a_new_one(
    drill: Drill,
) -> None:
    drill.write_order("v2")
    await drill.instance.read()
    drill.write_order("v3")
    await drill.instance.read()
    progress = drill.instance.rollouts.progress["engine"]
    drill.server.restore({OPERATOR: 1})
    await drill.instance.read()
    assert drill.instance.rollouts.progress["engine"] is progress
    drill.server.put(OPERATOR, "other", b"1")
    await drill.instance.read()
    assert drill.instance.rollouts.progress["engine"] is progress
    drill.write_order("v4")
    await drill.instance.read()
    assert drill.instance.rollouts.progress["engine"].order.target == "v4"


async def test_instances_in_two_eras_agree_on_a_verdict(drill: Drill) -> None:
    await start_rollout(drill)
    other = make_instance(drill.topics, "router-2")
    await other.read()
    drill.server.restore({OPERATOR: 1})
    drill.write_order("v2")
    await other.read()
    roll_back(other)
    (report,) = other.rollouts.list_reports()
    drill.instance.rollouts.handle_report(other.rollouts.start, report)
    progress = drill.instance.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK


async def test_a_peer_in_a_newer_era_is_read_while_the_store_is_away(
    drill: Drill,
) -> None:
    for version in range(1, 7):
        drill.write_configuration(version)
    copy = replica.Replica()
    peer = make_instance(drill.topics, "router-2")
    reader = follower.Follower(
        drill.topics.operator,
        copy,
        follower.ReadTiming(0.0, 0.01),
        event_log.MemoryEventLog(),
        peer_copies=PeerCopies(drill.topics.operator, peer.operator.copy),
    )
    await reader.read_once()
    drill.server.restore({OPERATOR: 1})
    await peer.read()
    task = asyncio.ensure_future(reader.run())
    while copy.end != store.Position(1, 1):
        await asyncio.sleep(0.005)
    task.cancel()
    assert reader.restores == 1


async def test_a_peer_in_an_older_era_is_not_believed(drill: Drill) -> None:
    drill.write_configuration(1)
    drill.write_configuration(2)
    peer = make_instance(drill.topics, "router-2")
    await peer.read()
    drill.server.restore({OPERATOR: 1})
    copy = replica.Replica()
    reader = follower.Follower(
        drill.topics.operator,
        copy,
        follower.ReadTiming(0.0, 0.01),
        event_log.MemoryEventLog(),
        peer_copies=PeerCopies(drill.topics.operator, peer.operator.copy),
    )
    await reader.read_once()
    task = asyncio.ensure_future(reader.run())
    drill.write_order("v2")
    while copy.end != store.Position(1, 2):
        await asyncio.sleep(0.005)
    task.cancel()


async def test_a_restore_is_logged_with_eras_offsets_and_losses(
    drill: Drill,
) -> None:
    drill.write_configuration(1)
    await drill.instance.read()
    drill.write_order("v2")
    drill.write_configuration(2)
    await drill.instance.read()
    drill.server.restore({OPERATOR: 1})
    await drill.instance.read()
    lines = [
        fields
        for event, fields in drill.instance.log.lines
        if event == "store_restored" and fields["topic"] == OPERATOR
    ]
    assert lines == [
        {
            "topic": OPERATOR,
            "era_before": 0,
            "era_after": 1,
            "offset_before": 3,
            "offset_after": 1,
            "records_lost": 2,
        }
    ]
