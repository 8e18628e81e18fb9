"""Strike tables against a naive count over the whole history."""

import random

import hypothesis
from hypothesis import strategies

from wagtailstream_core import strikes

DIGESTS = strategies.sampled_from(["a", "b", "c"])
ENDPOINTS = strategies.sampled_from(["e1", "e2", "e3"])
TIMES = strategies.integers(0, 40).map(float)
UPDATES = strategies.one_of(
    strategies.builds(strikes.Strike, DIGESTS, ENDPOINTS, TIMES),
    strategies.builds(strikes.Clearing, DIGESTS, TIMES),
    strategies.builds(
        strikes.Withdrawal,
        strategies.builds(strikes.Strike, DIGESTS, ENDPOINTS, TIMES),
    ),
)
HISTORIES = strategies.lists(UPDATES, max_size=30)
SETTINGS = hypothesis.settings(derandomize=True, max_examples=300)
CRASH_LIMIT = 2
QUARANTINE_SECONDS = 600.0


def count_naively(history: list[strikes.StrikeUpdate], digest: str) -> int:
    """Return the number of crashes counted from the whole history."""
    cleared = [
        item.cleared_at
        for item in history
        if isinstance(item, strikes.Clearing) and item.digest == digest
    ]
    crashes: list[strikes.Strike] = []
    withdrawn = {
        item.strike for item in history if isinstance(item, strikes.Withdrawal)
    }
    for item in sorted(
        {i for i in history if isinstance(i, strikes.Strike)} - withdrawn,
        key=lambda s: s.struck_at,
    ):
        if item.digest != digest or item.struck_at <= max(cleared, default=-1):
            continue
        if not any(
            item.endpoint == crash.endpoint
            and item.struck_at - crash.struck_at <= strikes.SAME_CRASH_SECONDS
            for crash in crashes
        ):
            crashes.append(item)
    return len(crashes)


@SETTINGS
@hypothesis.given(HISTORIES)
def test_table_counts_as_the_naive_version(
    history: list[strikes.StrikeUpdate],
) -> None:
    table = strikes.StrikeTable()
    for item in history:
        table.merge([item])
    for digest in "abc":
        assert table.count_crashes(digest) == count_naively(history, digest)


@SETTINGS
@hypothesis.given(HISTORIES, strategies.randoms(use_true_random=False))
def test_order_and_repeats_do_not_matter(
    history: list[strikes.StrikeUpdate], rng: random.Random
) -> None:
    shuffled = history * 2
    rng.shuffle(shuffled)
    first, second = strikes.StrikeTable(), strikes.StrikeTable()
    first.merge(history)
    second.merge(shuffled)
    for digest in "abc":
        assert first.find_strikes(digest) == second.find_strikes(digest)


@SETTINGS
@hypothesis.given(
    strategies.lists(
        strategies.tuples(strategies.integers(0, 3), HISTORIES), max_size=8
    ),
    strategies.integers(1, 4),
)
def test_gossip_in_small_parts_brings_all_to_the_same_count(
    turns: list[tuple[int, list[strikes.StrikeUpdate]]], part_size: int
) -> None:
    tables = [strikes.StrikeTable() for _ in range(4)]
    positions: dict[tuple[int, int], int] = {}
    for index, history in turns:
        tables[index].merge(history)
    is_moving = True
    while is_moving:
        is_moving = False
        for source in range(4):
            # The tables form a ring, so updates must be relayed to reach all.
            target = (source + 1) % 4
            part = tables[source].read_since(
                positions.get((source, target), 0), part_size
            )
            positions[source, target] = part.position
            is_moving |= tables[target].merge(part.updates)
            is_moving |= part.position < tables[source].position
    everything = [item for _, history in turns for item in history]
    for digest in "abc":
        wanted = count_naively(everything, digest)
        assert [t.count_crashes(digest) for t in tables] == [wanted] * 4


def test_answer_clears_only_earlier_strikes() -> None:
    table = strikes.StrikeTable()
    table.merge([strikes.Strike("a", "e1", 1.0)])
    table.merge([strikes.Clearing("a", 2.0)])
    assert table.count_crashes("a") == 0
    table.merge([strikes.Strike("a", "e2", 3.0)])
    table.merge([strikes.Strike("a", "e3", 4.0)])
    assert (
        table.find_quarantine_end("a", CRASH_LIMIT, QUARANTINE_SECONDS)
        == 4.0 + QUARANTINE_SECONDS
    )


def test_same_endpoint_counts_again_after_its_restart() -> None:
    later = 1.0 + 2 * strikes.SAME_CRASH_SECONDS
    table = strikes.StrikeTable()
    table.merge([strikes.Strike("a", "e1", 1.0)])
    table.merge([strikes.Strike("a", "e1", 1.1)])
    assert table.count_crashes("a") == 1
    table.merge([strikes.Strike("a", "e1", later)])
    assert table.count_crashes("a") == CRASH_LIMIT


def test_table_is_bounded_and_forgets() -> None:
    table = strikes.StrikeTable(capacity=10)
    table.merge(strikes.Strike(str(n), "e1", float(n)) for n in range(50))
    table.merge(strikes.Clearing(f"c{n}", float(n)) for n in range(50))
    assert len(table.read_since(0, 1000).updates) == 20
    assert table.count_crashes("49") == 1
    table.forget(100.0)
    assert table.read_since(0, 1000).updates == ()
