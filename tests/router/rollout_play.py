"""Plays a roll-out through several instances in virtual time."""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import time

import orjson
import pytest

from tests.router import support
from wagtailstream_adapter import records
from wagtailstream_router import (
    directory,
    event_log,
    exposure,
    job,
    replica,
    rollout,
    rollout_state,
    rollout_status,
    store,
)

CODEC = records.PlatformRecords()
SERVICE = "engine"
OLD, NEW = "v1", "v2"
REPORT_SECONDS = 0.2
STATUS_SECONDS = 0.25
ANSWER_SECONDS = 0.02
# Of the users' specification.
EXPOSURE_SHARE = 0.15
EXPOSURE_SLACK = 30


@dataclasses.dataclass(frozen=True)
class Day:
    """The requests for a service around an order, and how its versions answer.

    :param rate: returns the requests per second at a time since the order.
    :param fails: returns the chance that a version fails a request, by the
        version, the time and the version's requests in the last second.
    :param session_count: the sessions that requests belong to; 0 for none.
    :param old_gone: from when to when the old version has no endpoint.
    :param killed_at: when all instances are killed and start anew.
    """

    rate: collections.abc.Callable[[float], float]
    fails: collections.abc.Callable[[str, float, int], float]
    seed: int = 1
    seconds: float = 18.0
    play_seconds: float = 20.0
    instances: int = 5
    session_count: int = 0
    old_gone: tuple[float, float] = (0.0, 0.0)
    killed_at: tuple[float, ...] = ()


@dataclasses.dataclass
class Outcome:
    """What the play's endpoints saw.

    :param sent_at: when each request reached an endpoint of a version.
    :param bad_at: when the new version gave each bad answer.
    :param written_at: when each stage was first written to the store.
    :param moved_back: the requests that went to the old version although the
        session's request before had gone to the new one.
    """

    day: Day
    sent_at: dict[str, list[float]] = dataclasses.field(
        default_factory=lambda: {OLD: [], NEW: []}
    )
    bad_at: list[float] = dataclasses.field(default_factory=list)
    written_at: dict[rollout_state.Stage, float] = dataclasses.field(
        default_factory=dict
    )
    moved_back: int = 0

    @property
    def exposed(self) -> int:
        """The requests at the new version in the order's time."""
        return self._count(NEW)

    @property
    def allowed(self) -> float:
        """The requests that a bad version may get in that time."""
        requests = self._count(OLD) + self._count(NEW)
        return EXPOSURE_SHARE * requests + EXPOSURE_SLACK

    def _count(self, version: str) -> int:
        return sum(at <= self.day.seconds for at in self.sent_at[version])


class Play:
    """A fleet of instances, their peers' reports and the store's topics."""

    def __init__(self, day: Day, patch: pytest.MonkeyPatch) -> None:
        self._day = day
        self._random = random.Random(day.seed)
        self._now = 0.0
        patch.setattr(time, "monotonic", lambda: 1000.0 + self._now)
        patch.setattr(time, "time", lambda: 1.7e9 + self._now)
        self._members = [
            make_member(f"{version}-{number}", version)
            for version in (OLD, NEW)
            for number in range(3)
        ]
        self._topic = store.MemoryTopic("status")
        self._boot = 0
        self._start_fleet()
        self._answers: list[tuple[float, int, rollout.Rollouts, bool]] = []
        self._tasks: dict[int, tuple[job.Job, directory.Member]] = {}
        self._last_version: dict[str, str] = {}
        self.outcome = Outcome(day)

    def _start_fleet(self) -> None:
        """Start all instances; only those of the first start see the order."""
        self._boot += 1
        self._fleet = [
            self._make_instance(number)
            for number in range(self._day.instances)
        ]
        self._writers = [
            rollout_status.RolloutStatusWriter(
                self._topic, rollouts, CODEC, event_log.MemoryEventLog()
            )
            for rollouts in self._fleet
        ]

    def _make_instance(self, number: int) -> rollout.Rollouts:
        copy = replica.Replica()
        if self._boot == 1:
            copy.reset(store.Page((), 0), time.monotonic())
        rollouts = rollout.Rollouts(
            rollout_state.Start(f"router-{number}", self._boot),
            copy,
            CODEC,
            exposure.ExposureBounds(EXPOSURE_SHARE, EXPOSURE_SLACK),
            event_log.MemoryEventLog(),
        )
        rollouts.refresh()
        for member in self._members[:3]:
            rollouts.filter(make_job("first"), [member])
        value = {
            "service": SERVICE,
            "target": NEW,
            "durationS": self._day.seconds,
        }
        record = store.Record(f"rollout/{SERVICE}", orjson.dumps(value), 1)
        copy.reset(store.Page((record,), 2), time.monotonic())
        rollouts.refresh()
        return rollouts

    async def run(self) -> Outcome:
        """Play the day; return what its endpoints saw."""
        due_report, due_status, due_request = 0.0, 0.0, 0.0
        due_kills = list(self._day.killed_at)
        numbers = itertools.count()
        while self._now < self._day.play_seconds:
            self._now = min(due_report, due_status, due_request)
            self._deliver_answers()
            if due_kills and self._now >= due_kills[0]:
                due_kills.pop(0)
                self._start_fleet()
            if self._now == due_report:
                due_report += REPORT_SECONDS
                self._exchange_reports()
            elif self._now == due_status:
                due_status += STATUS_SECONDS
                await self._write_statuses()
            else:
                due_request += self._random.expovariate(
                    self._day.rate(self._now)
                )
                self._send(next(numbers))
        return self.outcome

    def _deliver_answers(self) -> None:
        while self._answers and self._answers[0][0] <= self._now:
            _, number, rollouts, is_failed = heapq.heappop(self._answers)
            task, member = self._tasks.pop(number)
            sample = rollout_state.Sample(is_failed=is_failed)
            rollouts.record_answer(task, member, sample)

    def _exchange_reports(self) -> None:
        for sender, receiver in itertools.permutations(self._fleet, 2):
            for report in sender.list_reports():
                receiver.handle_report(sender.start, report)

    async def _write_statuses(self) -> None:
        for writer in self._writers:
            await writer.step()
        page = await self._topic.read_newest()
        for record in page.records:
            assert record.value is not None
            stage = CODEC.decode_status(record.value).status.stage
            self.outcome.written_at.setdefault(stage, self._now)

    def _list_members(self) -> list[directory.Member]:
        """Return the endpoints: the old ones stop at the completion."""
        begin, end = self._day.old_gone
        if (
            rollout_state.Stage.COMPLETED in self.outcome.written_at
            or begin <= self._now < end
        ):
            return self._members[3:]
        return self._members

    def _send(self, number: int) -> None:
        rollouts = self._random.choice(self._fleet)
        session = ""
        if self._day.session_count:
            session = f"s-{self._random.randrange(self._day.session_count)}"
        task = make_job(f"r-{number}", session)
        allowed = rollouts.filter(task, self._list_members())
        if not allowed:
            return
        member = self._random.choice(list(allowed))
        rollouts.record_send(task, member)
        version = member.entry.version
        sent_at = self.outcome.sent_at[version]
        sent_at.append(self._now)
        load = sum(at > self._now - 1.0 for at in sent_at[-200:])
        chance = self._day.fails(version, self._now, load)
        is_failed = self._random.random() < chance
        if is_failed and version == NEW:
            self.outcome.bad_at.append(self._now)
        if session:
            before = self._last_version.get(session)
            self.outcome.moved_back += before == NEW and version == OLD
            self._last_version[session] = version
        self._tasks[number] = (task, member)
        heapq.heappush(
            self._answers,
            (self._now + ANSWER_SECONDS, number, rollouts, is_failed),
        )


def make_job(identity: str, session: str = "") -> job.Job:
    """Return a request for the service."""
    call = dataclasses.replace(
        support.make_stream_request(identity), session=session
    )
    route = support.get_route("stream")
    return job.Job(
        call, route, SERVICE, None, 0.0, 1, support.DiscardingReply()
    )


def make_member(identity: str, version: str) -> directory.Member:
    """Return an endpoint of a version."""
    table = {
        "service": SERVICE,
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
