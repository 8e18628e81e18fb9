"""Pooled counts, the sequential test, and when versions are suspended."""

import random

import hypothesis
import pytest
from hypothesis import strategies

from wagtailstream_core import (
    bundle,
    configuration,
    records,
    signing,
    snapshots,
    suspension,
    tallies,
)

STABLE = configuration.ModelVersion("drafter", "1")
CANDIDATE = configuration.ModelVersion("drafter", "2")
GOOD = tallies.count_rating(0.9)
BAD = tallies.count_rating(0.05)


def make_state(
    share: float = 0.5, **changes: object
) -> configuration.Configuration:
    model = bundle.ServedModel(
        name="drafter",
        versions=("1", "2"),
        stable="1",
        rollout=bundle.Rollout(candidate="2", stages=(share,)),
    )
    parsed = bundle.Bundle(name="b", data_centres=("rennes",), models=(model,))
    state = configuration.Configuration(bundle=parsed)
    for name, value in changes.items():
        object.__setattr__(state, name, value)
    return state


def count_answers(
    monitor: suspension.VersionMonitor,
    version: configuration.ModelVersion,
    counts: tallies.Counts,
    times: int,
    state: configuration.Configuration | None = None,
) -> None:
    for _ in range(times):
        monitor.count(state or make_state(), version, counts, 0.0)


def list_actions(
    monitor: suspension.VersionMonitor,
    state: configuration.Configuration | None = None,
) -> dict[configuration.ModelVersion, suspension.Action]:
    found = monitor.evaluate(state or make_state())
    return {finding.version: finding.action for finding in found}


def test_failing_candidate_is_suspended_within_few_answers() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    for _ in range(8):
        count_answers(monitor, CANDIDATE, BAD, 1)
        count_answers(monitor, STABLE, GOOD, 1)
    assert list_actions(monitor) == {CANDIDATE: suspension.Action.SUSPEND}


def test_lone_candidate_needs_stronger_evidence() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    count_answers(monitor, CANDIDATE, BAD, 4)
    assert list_actions(monitor) == {CANDIDATE: suspension.Action.HOLD}
    alone = make_state(share=1.0)
    assert list_actions(monitor, alone) == {
        CANDIDATE: suspension.Action.SUSPEND
    }
    count_answers(monitor, CANDIDATE, BAD, 8)
    assert list_actions(monitor) == {CANDIDATE: suspension.Action.SUSPEND}


def test_long_good_past_does_not_hide_a_change() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    count_answers(monitor, CANDIDATE, GOOD, 5000)
    count_answers(monitor, CANDIDATE, BAD, 15)
    assert list_actions(monitor) == {CANDIDATE: suspension.Action.SUSPEND}


def test_better_candidate_suspends_nothing() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, tallies.count_rating(0.7), 3000)
    count_answers(monitor, CANDIDATE, tallies.count_rating(0.95), 3000)
    assert list_actions(monitor) == {}


def test_common_cause_holds_instead_of_suspending() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    for _ in range(30):
        count_answers(monitor, STABLE, BAD, 1)
        count_answers(monitor, CANDIDATE, BAD, 1)
    actions = set(list_actions(monitor).values())
    assert actions == {suspension.Action.HOLD}


def test_bad_stable_is_suspended_only_for_a_proven_candidate() -> None:
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    count_answers(monitor, CANDIDATE, GOOD, 10)
    count_answers(monitor, STABLE, BAD, 20)
    assert list_actions(monitor) == {STABLE: suspension.Action.HOLD}
    count_answers(monitor, CANDIDATE, GOOD, 100)
    assert list_actions(monitor) == {STABLE: suspension.Action.SUSPEND}


def test_last_version_is_never_suspended() -> None:
    state = make_state(suspended=frozenset({STABLE}))
    monitor = suspension.VersionMonitor("a")
    count_answers(monitor, STABLE, GOOD, 500)
    count_answers(monitor, CANDIDATE, BAD, 50, state)
    actions = list_actions(monitor, state)
    assert actions == {CANDIDATE: suspension.Action.HOLD}


def test_reinstatement_resets_all_evidence_even_late_arrivals() -> None:
    monitor, other = (
        suspension.VersionMonitor("a"),
        suspension.VersionMonitor("b"),
    )
    count_answers(monitor, STABLE, GOOD, 500)
    count_answers(monitor, CANDIDATE, BAD, 20)
    late = monitor.list_shared(make_state(), 0.0)
    reinstated = (configuration.Reinstatement(CANDIDATE, 7),)
    state = make_state(reinstated=reinstated)
    assert list_actions(monitor, state) == {}
    other.merge(state, late, 0.0)
    assert CANDIDATE not in other.tracks
    count_answers(monitor, CANDIDATE, GOOD, 1, state)
    other.merge(state, monitor.list_shared(state, 0.0), 0.0)
    assert other.tracks[CANDIDATE].counts == GOOD


def test_fold_records_the_offset_of_a_reinstatement() -> None:
    pair = signing.generate_operator_key()
    keyring = signing.Keyring({"alice": pair.public_key}, {})
    signer = signing.OperatorSigner("alice", pair.private_key)
    state = make_state(suspended=frozenset({CANDIDATE}))
    record = records.Reinstate(base=-1, model="drafter", version="2")
    payload = records.seal(record, signer)
    found = configuration.fold(
        state, configuration.LogRecord(4, payload, 0.0), keyring
    ).configuration
    assert found.find_epoch(CANDIDATE) == 4
    dumped = snapshots.load_state(snapshots.dump_state(found))
    assert dumped.find_epoch(CANDIDATE) == 4


@hypothesis.given(strategies.randoms(), strategies.integers(1, 40))
def test_pooled_counts_ignore_repeats_and_order(
    rng: random.Random, steps: int
) -> None:
    boards = [tallies.TallyBoard(name) for name in "abc"]
    messages: list[tallies.Tally] = []
    counted = 0
    for _ in range(steps):
        rng.choice(boards[:2]).count(STABLE, -1, GOOD, 0.0)
        counted += 1
        for board in boards[:2]:
            messages += board.list_shared(0.0)
    messages += rng.sample(messages, len(messages) // 2)
    rng.shuffle(messages)
    pooled = tallies.Counts()
    for message in messages:
        for increase in boards[2].merge([message], 0.0):
            pooled += increase.counts
    assert pooled.answers == pytest.approx(counted)


def test_unchanged_tally_is_no_longer_relayed_but_still_known() -> None:
    board, peer = tallies.TallyBoard("a"), tallies.TallyBoard("b")
    peer.count(STABLE, -1, GOOD, 0.0)
    shared_tallies = peer.list_shared(0.0)
    board.merge(shared_tallies, 0.0)
    assert board.list_shared(tallies.RELAY_SECONDS + 1) == []
    # The board still knows the tally, so a late repeat is not counted again.
    assert board.merge(shared_tallies, tallies.FORGET_SECONDS - 1) == []


def test_large_board_shares_every_tally_in_turn() -> None:
    board = tallies.TallyBoard("relay")
    names = [f"entry-{n}" for n in range(150)]
    shared_tallies = [tallies.Tally(name, STABLE, -1, GOOD) for name in names]
    board.merge(shared_tallies, 0.0)
    seen: set[str] = set()
    for _ in range(3):
        shared = board.list_shared(0.0, 64)
        assert len(shared) <= 64
        seen |= {tally.instance for tally in shared}
    assert seen == set(names)
