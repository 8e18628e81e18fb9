"""Snapshots outlast retention, and few instances append them."""

import random

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import clock, freshness, records, snapshots
from wagtailstream_runtime import follower, metrics, snapshot_keeper

RETENTION_SECONDS = 1000.0
STEP_SECONDS = 5.0


class Instance:
    """A follower with its keeper."""

    def __init__(
        self, log: support.FaultyLog, now: clock.ManualClock, seed: int
    ) -> None:
        self.follower: follower.Follower = support.make_follower(log, now)
        self.keeper = snapshot_keeper.SnapshotKeeper(
            log,
            self.follower,
            core_support.SIGNERS["fleet"],
            RETENTION_SECONDS,
            now,
            random.Random(seed),
            metrics.MemoryMetrics(),
        )


async def run_for(
    fleet: list[Instance],
    log: support.FaultyLog,
    now: clock.ManualClock,
    seconds: float,
) -> None:
    for _ in range(int(seconds / STEP_SECONDS)):
        now.advance(STEP_SECONDS)
        log.drop_before(now.wall() - RETENTION_SECONDS)
        for instance in fleet:
            if not log.is_down:
                await instance.follower.follow_once()
            await instance.keeper.check()


def count_snapshots(log: support.FaultyLog) -> int:
    return sum(
        snapshots.read(r.payload, core_support.KEYRING) is not None
        for r in log.records
    )


async def start_fleet(
    log: support.FaultyLog, now: clock.ManualClock, count: int
) -> list[Instance]:
    await support.publish(log)
    fleet = [Instance(log, now, seed) for seed in range(count)]
    for instance in fleet:
        await instance.follower.follow_once()
    return fleet


async def test_a_late_reader_starts_long_after_retention() -> None:
    now = clock.ManualClock(10000.0)
    log = support.FaultyLog(now)
    fleet = await start_fleet(log, now, 5)
    withdrawal = records.Withdraw(base=1, model="drafter", version="2")
    await support.append(log, withdrawal, "alice")
    await run_for(fleet, log, now, 10 * RETENTION_SECONDS)
    late = support.make_follower(log, now)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
    assert late.state.is_stopped("drafter", "2")
    assert late.judge() is freshness.Freshness.FRESH


async def test_mostly_one_instance_appends_a_snapshot() -> None:
    now = clock.ManualClock(10000.0)
    log = support.FaultyLog(now)
    fleet = await start_fleet(log, now, 20)
    await run_for(fleet, log, now, 10 * RETENTION_SECONDS)
    # One falls due every half retention at the earliest.
    assert 10 <= log.tail - 2 <= 20
    assert count_snapshots(log) >= 1


async def test_an_outage_past_retention_loses_nothing() -> None:
    """The instances hold the state and append it when the log is back."""
    now = clock.ManualClock(10000.0)
    log = support.FaultyLog(now)
    fleet = await start_fleet(log, now, 3)
    log.is_down = True
    await run_for(fleet, log, now, 2 * RETENTION_SECONDS)
    assert log.records == []
    log.is_down = False
    await run_for(fleet, log, now, 10 * STEP_SECONDS)
    late = support.make_follower(log, now)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
    assert late.state.bundle is not None


async def test_lost_answers_do_no_harm() -> None:
    now = clock.ManualClock(10000.0)
    log = support.FaultyLog(now)
    fleet = await start_fleet(log, now, 3)
    log.lost_answers = 1000
    await run_for(fleet, log, now, 3 * RETENTION_SECONDS)
    late = support.make_follower(log, now)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
