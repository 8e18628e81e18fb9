"""The follower: gaps, retention, peers, replicas that lag."""

import pytest

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import (
    clock,
    configuration,
    freshness,
    records,
    snapshots,
)
from wagtailstream_runtime import follower


@pytest.fixture
def now() -> clock.ManualClock:
    return clock.ManualClock(1000.0)


@pytest.fixture
def log(now: clock.ManualClock) -> support.FaultyLog:
    return support.FaultyLog(now)


async def withdraw(log: support.FaultyLog, base: int, version: str) -> None:
    record = records.Withdraw(base=base, model="drafter", version=version)
    await support.append(log, record, "alice")


async def follow(
    log: support.FaultyLog, now: clock.ManualClock
) -> follower.Follower:
    made = support.make_follower(log, now)
    await made.follow_once()
    return made


async def test_a_peer_behind_a_gap_starts_from_a_snapshot(
    log: support.FaultyLog,
    now: clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log is down, and older records are kept nowhere any more."""
    monkeypatch.setattr(follower, "MAX_RETAINED_RECORDS", 1)
    await support.publish(log)
    behind = await follow(log, now)
    for base, version in ((1, "1"), (2, "2")):
        await withdraw(log, base, version)
    ahead = await follow(log, now)
    for peer in (behind, support.make_follower(log, now)):
        peer.take_offer(ahead.make_offer(peer.state.offset))
        assert peer.state == ahead.state


async def test_an_offer_that_is_older_changes_nothing(
    log: support.FaultyLog, now: clock.ManualClock
) -> None:
    await support.publish(log)
    old = await follow(log, now)
    offer = snapshots.Offer(
        snapshot=snapshots.seal(old.state, core_support.SIGNERS["fleet"])
    )
    await withdraw(log, 1, "2")
    new = await follow(log, now)
    held = new.state
    new.take_offer(offer)
    new.take_offer(old.make_offer(-1))
    assert new.state is held


async def test_a_forged_snapshot_is_passed_over(
    log: support.FaultyLog, now: clock.ManualClock
) -> None:
    made = support.make_follower(log, now)
    state = configuration.Configuration(offset=9, revision=9)
    forged = snapshots.seal(state, core_support.SIGNERS["mallory"])
    made.take_offer(snapshots.Offer(snapshot=forged))
    assert made.state.offset == configuration.NO_OFFSET


async def test_a_replica_that_lags_proves_nothing(
    log: support.FaultyLog, now: clock.ManualClock
) -> None:
    await support.publish(log)
    made = await follow(log, now)
    now.advance(10.0)
    log.lag = 1
    await made.follow_once()
    assert made.judge() is freshness.Freshness.CUT_OFF
    assert made.state.offset == 1
    await made.follow_once()
    assert made.judge() is freshness.Freshness.FRESH


async def test_a_log_that_lost_its_records_reverts_nothing(
    log: support.FaultyLog, now: clock.ManualClock
) -> None:
    await support.publish(log)
    made = await follow(log, now)
    log.records, log.tail = [], 0
    now.advance(10.0)
    await made.follow_once()
    assert made.state.offset == 1
    assert made.judge() is freshness.Freshness.CUT_OFF
