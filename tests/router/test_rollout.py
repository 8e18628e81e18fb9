"""Roll-outs: gradual exposure, one written status, roll-back on evidence."""

import collections.abc
import dataclasses
import itertools
import time

import orjson
import pytest

from tests.router import rollout_play
from wagtailstream_adapter import records
from wagtailstream_router import (
    directory,
    errors,
    event_log,
    exposure,
    peer_report,
    replica,
    request,
    rollout,
    rollout_state,
    rollout_status,
    store,
)

CODEC = records.PlatformRecords()
FAILED = rollout_state.Sample(is_failed=True)
GOOD = rollout_state.Sample()
BOUNDS = exposure.ExposureBounds(0.15, 30)
OWN_START = rollout_state.Start("router-1", 1)


@dataclasses.dataclass
class RolloutHarness:
    """The roll-outs of one process and its copy of the operator's topic."""

    copy: replica.Replica
    rollouts: rollout.Rollouts
    members: list[directory.Member]
    log: event_log.MemoryEventLog

    def order(self, target: str, offset: int = 1) -> None:
        value = orjson.dumps(
            {"service": "engine", "target": target, "durationS": 20}
        )
        record = store.Record("rollout/engine", value, offset)
        self.copy.reset(store.Page((record,), offset + 1), time.monotonic())
        self.rollouts.refresh()

    def choose_versions(self, count: int) -> list[str]:
        """Return the version that each of a number of requests goes to."""
        return [
            self.rollouts.filter(
                rollout_play.make_job(f"r-{number}"), self.members
            )[0].entry.version
            for number in range(count)
        ]


def make_harness() -> RolloutHarness:
    copy = replica.Replica()
    copy.reset(store.Page((), 0), time.monotonic())
    log = event_log.MemoryEventLog()
    rollouts = rollout.Rollouts(OWN_START, copy, CODEC, BOUNDS, log)
    members = [
        rollout_play.make_member(f"old-{number}", "v1") for number in range(4)
    ]
    harness = RolloutHarness(copy, rollouts, members, log)
    assert set(harness.choose_versions(3)) == {"v1"}
    members += [
        rollout_play.make_member(f"new-{number}", "v2") for number in range(4)
    ]
    return harness


@pytest.fixture
def harness() -> RolloutHarness:
    new_harness = make_harness()
    new_harness.order("v2")
    return new_harness


def test_a_version_without_an_order_gets_no_requests() -> None:
    assert set(make_harness().choose_versions(50)) == {"v1"}


def test_few_requests_without_a_session_go_to_the_new_version(
    harness: RolloutHarness,
) -> None:
    exposed = harness.choose_versions(400).count("v2")
    assert 0 < exposed < 0.15 * 400 + 30


def test_only_one_new_server_is_exposed_at_first(
    harness: RolloutHarness,
) -> None:
    seen = set()
    for number in range(400):
        chosen = harness.rollouts.filter(
            rollout_play.make_job(f"r-{number}"), harness.members
        )
        if chosen[0].entry.version == "v2":
            seen |= {member.identity for member in chosen}
    assert len(seen) == 1


def test_a_session_stays_on_its_version_in_the_first_half() -> None:
    harness = make_harness()
    sessions = [f"session-{number}" for number in range(60)]
    for session in sessions:
        harness.rollouts.filter(
            rollout_play.make_job(session, session), harness.members
        )
    harness.order("v2")
    for session in sessions:
        chosen = harness.rollouts.filter(
            rollout_play.make_job("x" + session, session), harness.members
        )
        assert chosen[0].entry.version == "v1"


def test_a_session_at_another_instance_stays_on_its_version() -> None:
    before, after = make_harness(), make_harness()
    sessions = [f"session-{number}" for number in range(60)]
    for session in sessions:
        before.rollouts.filter(
            rollout_play.make_job(session, session), before.members
        )
    after.order("v2")
    for session in sessions:
        chosen = after.rollouts.filter(
            rollout_play.make_job("x" + session, session), after.members
        )
        assert chosen[0].entry.version == "v1"


def test_all_instances_move_the_same_sessions_in_the_second_half(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    # The share grows with time: both are looked at in the same moment.
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now)
    harnesses = [make_harness() for _ in range(2)]
    moved: list[set[str]] = []
    for harness in harnesses:
        harness.order("v2")
        progress = harness.rollouts.progress["engine"]
        progress.started_at -= 0.7 * 20.0
        moved.append(set())
        for session in (f"session-{number}" for number in range(60)):
            chosen = harness.rollouts.filter(
                rollout_play.make_job("x" + session, session), harness.members
            )
            if chosen[0].entry.version == "v2":
                moved[-1].add(session)
    assert 0 < len(moved[0]) < 60
    assert moved[0] == moved[1]


def list_moved(
    harness: RolloutHarness, part: str, members: list[directory.Member]
) -> set[str]:
    """Return the sessions whose next request goes to the new version.

    :param part: the shared part of the requests' prompts.
    """
    moved = set()
    for session in (f"session-{number}" for number in range(60)):
        task = rollout_play.make_job(f"{part}-{session}", session)
        parts = (
            request.PromptPart(part, 100),
            request.PromptPart(session, 10),
        )
        task.call = dataclasses.replace(task.call, parts=parts)
        if harness.rollouts.filter(task, members)[0].entry.version == "v2":
            moved.add(session)
    return moved


@pytest.fixture
def half_over(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> RolloutHarness:
    """Return an instance in the second half of a roll-out; time stands."""
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now)
    harness.rollouts.progress["engine"].started_at = now - 0.7 * 20.0
    return harness


# Guards against PINNED: sessions that use two shared parts in turn changed the
# version with the part.
def test_a_session_keeps_its_version_whatever_shared_part_it_uses(
    half_over: RolloutHarness,
) -> None:
    moved = list_moved(half_over, "first", half_over.members)
    assert 0 < len(moved) < 60
    for part in ("second", "third"):
        assert list_moved(half_over, part, half_over.members) == moved


def test_a_session_keeps_its_version_at_an_instance_that_restarted(
    half_over: RolloutHarness,
) -> None:
    moved = list_moved(half_over, "first", half_over.members)
    restarted = make_harness()
    restarted.order("v2")
    (report,) = half_over.rollouts.list_reports()
    restarted.rollouts.handle_report(rollout_state.Start("peer", 1), report)
    for part in ("first", "second"):
        assert list_moved(restarted, part, restarted.members) == moved


@pytest.mark.parametrize("lost", ["new-0", "new-1", "new-2", "new-3", "old-0"])
def test_a_session_keeps_its_version_when_an_endpoint_is_lost(
    half_over: RolloutHarness, lost: str
) -> None:
    moved = list_moved(half_over, "first", half_over.members)
    left = [each for each in half_over.members if each.identity != lost]
    for part in ("first", "second"):
        assert list_moved(half_over, part, left) == moved


def test_a_wrong_wall_clock_does_not_end_the_first_half(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    harness, peer = make_harness(), make_harness()
    harness.order("v2")
    now = time.time()
    monkeypatch.setattr(time, "time", lambda: now - 12.0)
    peer.order("v2")
    (report,) = peer.rollouts.list_reports()
    monkeypatch.undo()
    harness.rollouts.handle_report(rollout_state.Start("peer", 1), report)
    assert harness.rollouts.progress["engine"].elapsed_share < 0.5
    monkeypatch.setattr(time, "time", lambda: now + 12.0)
    assert harness.rollouts.progress["engine"].elapsed_share < 0.5


def test_all_new_servers_are_used_if_no_old_one_is_left(
    harness: RolloutHarness,
) -> None:
    new = [m for m in harness.members if m.entry.version == "v2"]
    for session in ("", "session-1"):
        assert (
            harness.rollouts.filter(rollout_play.make_job("r-1", session), new)
            == new
        )


def test_the_log_says_why_a_request_goes_to_a_version(
    harness: RolloutHarness,
) -> None:
    task = rollout_play.make_job("r-1", "session-1")
    for _ in range(2):
        chosen = harness.rollouts.filter(task, harness.members)
    lines = [
        fields
        for event, fields in harness.log.lines
        if event == "version_chosen"
    ]
    assert len(lines) == 1
    assert lines[0]["request"] == "r-1"
    assert lines[0]["session"] == "session-1"
    assert lines[0]["version"] == chosen[0].entry.version
    assert lines[0]["elapsed_share"] == pytest.approx(0.0, abs=0.01)


async def test_the_log_tells_the_evidence_before_there_is_a_verdict(
    harness: RolloutHarness,
) -> None:
    status_writer = make_status_writer(harness, store.MemoryTopic("status"))
    harness.rollouts.record_answer(
        rollout_play.make_job("r"), harness.members[0], GOOD
    )
    harness.rollouts.record_answer(
        rollout_play.make_job("r"), harness.members[-1], FAILED
    )
    for _ in range(2):
        await status_writer.step()
    lines = [
        fields
        for event, fields in harness.log.lines
        if event == "rollout_evidence"
    ]
    assert len(lines) == 1
    assert (lines[0]["new_bad"], lines[0]["old_good"]) == (1, 1)
    assert (lines[0]["own_answers"], lines[0]["peers"]) == (2, 0)


def test_a_bad_version_is_rolled_back_at_once(harness: RolloutHarness) -> None:
    for _ in range(30):
        harness.rollouts.record_answer(
            rollout_play.make_job("r"), harness.members[0], GOOD
        )
    for _ in range(3):
        harness.rollouts.record_answer(
            rollout_play.make_job("r"), harness.members[-1], FAILED
        )
    progress = harness.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK
    assert set(harness.choose_versions(100)) == {"v1"}


def test_evidence_of_peers_counts(harness: RolloutHarness) -> None:
    status = harness.rollouts.progress["engine"].status
    for number in range(3):
        evidence = {
            "v2": rollout_state.Evidence(0, 1),
            "v1": rollout_state.Evidence(40),
        }
        report = peer_report.RolloutReport(status, evidence)
        peer = rollout_state.Start(f"peer-{number}", 1)
        harness.rollouts.handle_report(peer, report)
    progress = harness.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK


def make_instance(
    name: str, boot: int, members: list[directory.Member]
) -> RolloutHarness:
    """Return the roll-outs of one start of an instance, with an order."""
    copy = replica.Replica()
    copy.reset(store.Page((), 0), time.monotonic())
    log = event_log.MemoryEventLog()
    start = rollout_state.Start(name, boot)
    rollouts = rollout.Rollouts(start, copy, CODEC, BOUNDS, log)
    instance = RolloutHarness(copy, rollouts, members, log)
    instance.order("v2")
    return instance


def exchange_reports(
    instances: collections.abc.Collection[RolloutHarness],
) -> None:
    """Let each instance send one message to all others."""
    for sender, receiver in itertools.permutations(instances, 2):
        for report in sender.rollouts.list_reports():
            receiver.rollouts.handle_report(sender.rollouts.start, report)


def test_evidence_survives_a_restart_of_all_instances_in_turn(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    members = harness.members
    names = ["router-1", "router-2", "router-3"]
    instances = {name: make_instance(name, 1, members) for name in names}

    now = time.monotonic()
    for name in names:
        rollouts = instances[name].rollouts
        for _ in range(15):
            rollouts.record_answer(
                rollout_play.make_job("r"), members[0], GOOD
            )
        rollouts.record_answer(rollout_play.make_job("r"), members[-1], GOOD)
        if name != names[-1]:
            rollouts.record_answer(
                rollout_play.make_job("r"), members[-1], FAILED
            )
        exchange_reports(instances.values())
    for boot, name in enumerate(names, 2):
        del instances[name]
        now += 5.0
        monkeypatch.setattr(time, "monotonic", lambda now=now: now)
        instances[name] = make_instance(name, boot, members)
        for _ in range(2):
            exchange_reports(instances.values())
    last = instances[names[0]].rollouts
    new, old = last.progress["engine"].sum_evidence()
    assert (new.good, new.bad, old.good) == (3, 2, 45)
    last.record_answer(rollout_play.make_job("r"), members[-1], FAILED)
    stage = last.progress["engine"].stage
    assert stage is rollout_state.Stage.ROLLED_BACK


def test_requests_and_repeats_count_when_they_are_sent(
    harness: RolloutHarness,
) -> None:
    first, again = rollout_play.make_job("r-1"), rollout_play.make_job("r-2")
    again.sent = 1
    harness.rollouts.record_send(first, harness.members[0])
    harness.rollouts.record_send(first, harness.members[-1])
    harness.rollouts.record_send(again, harness.members[-1])
    new, old = harness.rollouts.progress["engine"].sum_evidence()
    assert (new.requests, new.repeats, new.sent) == (1, 1, 2)
    assert (old.requests, old.repeats, old.total) == (1, 0, 0)


def test_the_status_of_another_order_is_ignored(
    harness: RolloutHarness,
) -> None:
    old = rollout_state.Status(
        "engine", "v2", rollout_state.Stage.COMPLETED, store.Position(0, 0)
    )
    harness.rollouts.merge_status(old)
    progress = harness.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.RUNNING


def make_status_writer(
    harness: RolloutHarness, topic: store.Topic
) -> rollout_status.RolloutStatusWriter:
    return rollout_status.RolloutStatusWriter(
        topic, harness.rollouts, CODEC, event_log.MemoryEventLog()
    )


async def read_stage(topic: store.Topic) -> rollout_state.Stage:
    page = await topic.read_newest()
    value = page.records[0].value
    assert value is not None
    return CODEC.decode_status(value).status.stage


async def test_several_processes_write_one_status() -> None:
    topic = store.MemoryTopic("status")
    harnesses = [make_harness() for _ in range(3)]
    for harness in harnesses:
        harness.order("v2")
        await make_status_writer(harness, topic).step()
    assert (await topic.read_newest()).next_offset == 1
    assert await read_stage(topic) is rollout_state.Stage.RUNNING


async def test_a_successor_adopts_the_written_status(
    harness: RolloutHarness,
) -> None:
    topic = store.MemoryTopic("status")
    for _ in range(3):
        harness.rollouts.record_answer(
            rollout_play.make_job("r"), harness.members[-1], FAILED
        )
    await make_status_writer(harness, topic).step()
    assert await read_stage(topic) is rollout_state.Stage.ROLLED_BACK
    successor = make_harness()
    successor.order("v2")
    await make_status_writer(successor, topic).step()
    progress = successor.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK
    assert (await topic.read_newest()).next_offset == 1


async def test_a_successor_takes_the_start_from_the_written_status(
    harness: RolloutHarness,
) -> None:
    topic = store.MemoryTopic("status")
    harness.rollouts.progress["engine"].started_at -= 12.0
    await make_status_writer(harness, topic).step()
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    rollouts = rollout.Rollouts(OWN_START, copy, CODEC, BOUNDS, log)
    successor = RolloutHarness(copy, rollouts, harness.members, log)
    successor.order("v2")
    await make_status_writer(successor, topic).step()
    progress = successor.rollouts.progress["engine"]
    assert not progress.is_start_witnessed
    assert progress.elapsed_share == pytest.approx(0.6, abs=0.1)


async def test_a_successor_exposes_nothing_before_it_knows_the_verdict() -> (
    None
):
    topic = store.MemoryTopic("status")
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    rollouts = rollout.Rollouts(OWN_START, copy, CODEC, BOUNDS, log)
    successor = RolloutHarness(copy, rollouts, make_harness().members, log)
    successor.order("v2")
    assert set(successor.choose_versions(100)) == {"v1"}
    await make_status_writer(successor, topic).step()
    assert set(successor.choose_versions(100)) == {"v1", "v2"}


async def test_a_witness_keeps_its_start_whatever_was_written(
    harness: RolloutHarness,
) -> None:
    topic = store.MemoryTopic("status")
    status = harness.rollouts.progress["engine"].status
    record = rollout_state.StatusRecord(
        status, round((time.time() - 12.0) * 1000.0)
    )
    topic.put("rollout/engine", CODEC.encode_status(record))
    await make_status_writer(harness, topic).step()
    assert harness.rollouts.progress["engine"].elapsed_share < 0.5


async def test_an_unreachable_store_delays_the_status(
    harness: RolloutHarness,
) -> None:
    topic = store.MemoryTopic("status")
    topic.fault = errors.StoreError("append", "status", "unreachable")
    status_writer = make_status_writer(harness, topic)
    with pytest.raises(errors.StoreError):
        await status_writer.step()
    topic.fault = None
    await status_writer.step()
    assert await read_stage(topic) is rollout_state.Stage.RUNNING


def end_trial(harness: RolloutHarness) -> None:
    """Let good answers come until the order's time is nearly over."""
    for _ in range(30):
        for member in (harness.members[0], harness.members[-1]):
            harness.rollouts.record_send(rollout_play.make_job("r"), member)
            harness.rollouts.record_answer(
                rollout_play.make_job("r"), member, GOOD
            )
    harness.rollouts.progress["engine"].started_at -= 19.8


async def step_twice(
    status_writer: rollout_status.RolloutStatusWriter,
    monkeypatch: pytest.MonkeyPatch,
    seconds: float = 0.9,
) -> None:
    """Take a step, and another one after a time."""
    await status_writer.step()
    later = time.monotonic() + seconds
    monkeypatch.setattr(time, "monotonic", lambda: later)
    await status_writer.step()


async def test_a_version_is_completed_only_once_that_is_written(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    topic = store.MemoryTopic("status")
    status_writer = make_status_writer(harness, topic)
    end_trial(harness)
    progress = harness.rollouts.progress["engine"]
    harness.rollouts.evaluate(progress)
    assert progress.stage is rollout_state.Stage.RUNNING
    for _ in range(2):
        await step_twice(status_writer, monkeypatch)
    assert await read_stage(topic) is rollout_state.Stage.COMPLETED
    assert progress.stage is rollout_state.Stage.COMPLETED


async def test_a_process_that_slept_completes_nothing_at_once(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    topic = store.MemoryTopic("status")
    status_writer = make_status_writer(harness, topic)
    await step_twice(status_writer, monkeypatch)
    end_trial(harness)
    await step_twice(status_writer, monkeypatch, seconds=2.3)
    assert await read_stage(topic) is rollout_state.Stage.RUNNING
    for _ in range(2):
        await step_twice(status_writer, monkeypatch)
    assert await read_stage(topic) is rollout_state.Stage.COMPLETED


async def test_a_process_whose_peers_fell_silent_completes_nothing(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    topic = store.MemoryTopic("status")
    status_writer = make_status_writer(harness, topic)
    peer = rollout_state.Start("router-2", 1)
    status = harness.rollouts.progress["engine"].status
    report = peer_report.RolloutReport(status, {})
    harness.rollouts.handle_report(peer, report)
    for _ in range(3):
        await step_twice(status_writer, monkeypatch)
    end_trial(harness)
    for _ in range(2):
        await step_twice(status_writer, monkeypatch)
    assert await read_stage(topic) is rollout_state.Stage.RUNNING
    harness.rollouts.handle_report(peer, report)
    await status_writer.step()
    assert await read_stage(topic) is rollout_state.Stage.COMPLETED


async def test_the_last_instance_completes_a_roll_out_that_is_overdue(
    harness: RolloutHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    topic = store.MemoryTopic("status")
    status_writer = make_status_writer(harness, topic)
    status = harness.rollouts.progress["engine"].status
    report = peer_report.RolloutReport(status, {})
    harness.rollouts.handle_report(rollout_state.Start("router-2", 1), report)
    for _ in range(3):
        await step_twice(status_writer, monkeypatch)
    end_trial(harness)
    for _ in range(2):
        await step_twice(status_writer, monkeypatch)
    assert await read_stage(topic) is rollout_state.Stage.RUNNING
    for _ in range(8):
        await step_twice(status_writer, monkeypatch)
    assert await read_stage(topic) is rollout_state.Stage.COMPLETED


def test_an_instance_that_did_not_see_the_order_come_decides_no_handover() -> (
    None
):
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    rollouts = rollout.Rollouts(OWN_START, copy, CODEC, BOUNDS, log)
    later = RolloutHarness(copy, rollouts, make_harness().members, log)
    later.order("v2")
    end_trial(later)
    progress = rollouts.progress["engine"]
    rollouts.evaluate(progress)
    assert progress.handover_at is None
    progress.merge_start(progress.started_at, is_witnessed=True)
    rollouts.evaluate(progress)
    assert progress.handover_at is not None


@pytest.mark.parametrize(
    ("written", "own"),
    [
        (rollout_state.Stage.ROLLED_BACK, rollout_state.Stage.COMPLETED),
        (rollout_state.Stage.COMPLETED, rollout_state.Stage.ROLLED_BACK),
    ],
)
async def test_no_final_status_is_overwritten_and_the_bad_verdict_holds(
    harness: RolloutHarness,
    written: rollout_state.Stage,
    own: rollout_state.Stage,
) -> None:
    topic = store.MemoryTopic("status")
    progress = harness.rollouts.progress["engine"]
    status = dataclasses.replace(progress.status, stage=written)
    record = rollout_state.StatusRecord(status, round(time.time() * 1000.0))
    topic.put("rollout/engine", CODEC.encode_status(record))
    progress.stage = own
    status_writer = make_status_writer(harness, topic)
    for _ in range(3):
        await status_writer.step()
    assert await read_stage(topic) is written
    assert progress.stage is rollout_state.Stage.ROLLED_BACK
    assert set(harness.choose_versions(100)) == {"v1"}


def test_a_peers_bad_verdict_holds_after_the_completion(
    harness: RolloutHarness,
) -> None:
    progress = harness.rollouts.progress["engine"]
    harness.rollouts.confirm_completed(progress)
    status = dataclasses.replace(
        progress.status, stage=rollout_state.Stage.ROLLED_BACK
    )
    harness.rollouts.merge_status(status)
    assert set(harness.choose_versions(100)) == {"v1"}
    completed = dataclasses.replace(
        progress.status, stage=rollout_state.Stage.COMPLETED
    )
    harness.rollouts.merge_status(completed)
    assert progress.stage is rollout_state.Stage.ROLLED_BACK


def order_another(harness: RolloutHarness) -> None:
    """Order v3 while endpoints of the rejected v2 are still there."""
    harness.members += [
        rollout_play.make_member(f"next-{n}", "v3") for n in range(2)
    ]
    harness.order("v3", offset=2)


def reject_v2(harness: RolloutHarness) -> None:
    for _ in range(3):
        harness.rollouts.record_answer(
            rollout_play.make_job("r"), harness.members[-1], FAILED
        )
    progress = harness.rollouts.progress["engine"]
    assert progress.stage is rollout_state.Stage.ROLLED_BACK


def test_a_version_that_was_rolled_back_gets_nothing_during_another_order(
    harness: RolloutHarness,
) -> None:
    reject_v2(harness)
    order_another(harness)
    assert "v2" not in harness.choose_versions(50)
    del harness.members[:4]
    for session in ("", "session-1"):
        for number in range(50):
            task = rollout_play.make_job(f"r-{number}", session)
            for member in harness.rollouts.filter(task, harness.members):
                assert member.entry.version == "v3"
    settled = harness.rollouts.list_settled("engine", harness.members)
    assert settled == []


def test_a_peer_that_started_later_learns_which_versions_were_rolled_back(
    harness: RolloutHarness,
) -> None:
    reject_v2(harness)
    order_another(harness)
    later = make_instance("router-2", 5, harness.members[4:])
    later.order("v3", offset=2)
    exchange_reports([harness, later])
    settled = later.rollouts.list_settled("engine", later.members)
    assert {member.entry.version for member in settled} <= {"v3"}
    back = [*later.members, rollout_play.make_member("old-9", "v1")]
    settled = later.rollouts.list_settled("engine", back)
    assert {member.entry.version for member in settled} == {"v1"}


def test_a_rejected_version_is_tried_anew_when_it_is_ordered_again(
    harness: RolloutHarness,
) -> None:
    reject_v2(harness)
    order_another(harness)
    harness.order("v2", offset=3)
    assert "v2" in harness.choose_versions(200)
