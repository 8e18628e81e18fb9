"""Tests of the follower: gaps, retention, peers and lagging replicas."""

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
def manual_clock() -> clock.ManualClock:
    return clock.ManualClock(1000.0)


@pytest.fixture
def log(manual_clock: clock.ManualClock) -> support.FaultyLog:
    return support.FaultyLog(manual_clock)


async def withdraw(log: support.FaultyLog, base: int, version: str) -> None:
    record = records.Withdraw(base=base, model="drafter", version=version)
    await support.append(log, record, "alice")


async def follow(
    log: support.FaultyLog, manual_clock: clock.ManualClock
) -> follower.Follower:
    config_follower = support.make_follower(log, manual_clock)
    await config_follower.follow_once()
    return config_follower


async def test_a_peer_behind_a_gap_starts_from_a_snapshot(
    log: support.FaultyLog,
    manual_clock: clock.ManualClock,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The log is down and the missing records are no longer retained.

    A peer that is behind can then only catch up from a snapshot.
    """
    monkeypatch.setattr(follower, "MAX_RETAINED_RECORDS", 1)
    await support.publish(log)
    behind = await follow(log, manual_clock)
    for base, version in ((1, "1"), (2, "2")):
        await withdraw(log, base, version)
    ahead = await follow(log, manual_clock)
    for peer in (behind, support.make_follower(log, manual_clock)):
        peer.apply_offer(ahead.make_offer(peer.state.offset))
        assert peer.state == ahead.state


async def test_older_offer_changes_nothing(
    log: support.FaultyLog, manual_clock: clock.ManualClock
) -> None:
    await support.publish(log)
    old = await follow(log, manual_clock)
    offer = snapshots.Offer(
        snapshot=snapshots.seal(old.state, core_support.SIGNERS["fleet"])
    )
    await withdraw(log, 1, "2")
    new = await follow(log, manual_clock)
    held = new.state
    new.apply_offer(offer)
    new.apply_offer(old.make_offer(-1))
    assert new.state is held


async def test_forged_snapshot_is_ignored(
    log: support.FaultyLog, manual_clock: clock.ManualClock
) -> None:
    config_follower = support.make_follower(log, manual_clock)
    state = configuration.Configuration(offset=9, revision=9)
    forged = snapshots.seal(state, core_support.SIGNERS["mallory"])
    config_follower.apply_offer(snapshots.Offer(snapshot=forged))
    assert config_follower.state.offset == configuration.NO_OFFSET


async def test_lagging_replica_does_not_prove_freshness(
    log: support.FaultyLog, manual_clock: clock.ManualClock
) -> None:
    await support.publish(log)
    config_follower = await follow(log, manual_clock)
    manual_clock.advance(10.0)
    log.lag = 1
    await config_follower.follow_once()
    assert config_follower.assess_freshness() is freshness.Freshness.CUT_OFF
    assert config_follower.state.offset == 1
    await config_follower.follow_once()
    assert config_follower.assess_freshness() is freshness.Freshness.FRESH


async def test_log_that_lost_its_records_does_not_revert_the_configuration(
    log: support.FaultyLog, manual_clock: clock.ManualClock
) -> None:
    await support.publish(log)
    config_follower = await follow(log, manual_clock)
    log.records, log.tail = [], 0
    manual_clock.advance(10.0)
    await config_follower.follow_once()
    assert config_follower.state.offset == 1
    assert config_follower.assess_freshness() is freshness.Freshness.CUT_OFF
