"""Tests that snapshots outlast retention and few instances append them."""

import random

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import clock, freshness, records, snapshots
from wagtailstream_runtime import follower, metrics, snapshot_keeper

RETENTION_SECONDS = 1000.0
STEP_SECONDS = 5.0


class Instance:
    """A follower and the snapshot keeper of the same instance."""

    def __init__(
        self,
        log: support.FaultyLog,
        manual_clock: clock.ManualClock,
        seed: int,
    ) -> None:
        self.follower: follower.Follower = support.make_follower(
            log, manual_clock
        )
        self.keeper = snapshot_keeper.SnapshotKeeper(
            log,
            self.follower,
            core_support.SIGNERS["fleet"],
            RETENTION_SECONDS,
            manual_clock,
            random.Random(seed),
            metrics.MemoryMetrics(),
        )


async def run_for(
    fleet: list[Instance],
    log: support.FaultyLog,
    manual_clock: clock.ManualClock,
    seconds: float,
) -> None:
    for _ in range(int(seconds / STEP_SECONDS)):
        manual_clock.advance(STEP_SECONDS)
        log.drop_before(manual_clock.wall() - RETENTION_SECONDS)
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
    log: support.FaultyLog, manual_clock: clock.ManualClock, count: int
) -> list[Instance]:
    await support.publish(log)
    fleet = [Instance(log, manual_clock, seed) for seed in range(count)]
    for instance in fleet:
        await instance.follower.follow_once()
    return fleet


async def test_new_reader_starts_long_after_retention() -> None:
    manual_clock = clock.ManualClock(10000.0)
    log = support.FaultyLog(manual_clock)
    fleet = await start_fleet(log, manual_clock, 5)
    withdrawal = records.Withdraw(base=1, model="drafter", version="2")
    await support.append(log, withdrawal, "alice")
    await run_for(fleet, log, manual_clock, 10 * RETENTION_SECONDS)
    late = support.make_follower(log, manual_clock)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
    assert late.state.is_stopped("drafter", "2")
    assert late.assess_freshness() is freshness.Freshness.FRESH


async def test_mostly_one_instance_appends_a_snapshot() -> None:
    manual_clock = clock.ManualClock(10000.0)
    log = support.FaultyLog(manual_clock)
    fleet = await start_fleet(log, manual_clock, 20)
    await run_for(fleet, log, manual_clock, 10 * RETENTION_SECONDS)
    # A snapshot is due after half the retention at the earliest, so that at
    # most 20 are due in ten retentions.
    assert 10 <= log.tail - 2 <= 20
    assert count_snapshots(log) >= 1


async def test_outage_longer_than_retention_loses_nothing() -> None:
    """The instances keep their state and append it when the log is back."""
    manual_clock = clock.ManualClock(10000.0)
    log = support.FaultyLog(manual_clock)
    fleet = await start_fleet(log, manual_clock, 3)
    log.is_down = True
    await run_for(fleet, log, manual_clock, 2 * RETENTION_SECONDS)
    assert log.records == []
    log.is_down = False
    await run_for(fleet, log, manual_clock, 10 * STEP_SECONDS)
    late = support.make_follower(log, manual_clock)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
    assert late.state.bundle is not None


async def test_lost_append_answers_are_harmless() -> None:
    manual_clock = clock.ManualClock(10000.0)
    log = support.FaultyLog(manual_clock)
    fleet = await start_fleet(log, manual_clock, 3)
    log.lost_answers = 1000
    await run_for(fleet, log, manual_clock, 3 * RETENTION_SECONDS)
    late = support.make_follower(log, manual_clock)
    await late.follow_once()
    assert late.state == fleet[0].follower.state
