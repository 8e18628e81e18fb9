"""The plan of the models of a ladder, and the rating that they need."""

import random

import hypothesis
from hypothesis import strategies

from wagtailstream_core import cascade

TARGET = 0.8
RUNGS = (cascade.Rung("small", 1.0), cascade.Rung("large", 10.0))


def make_histogram(*scores: float, times: int = 100) -> cascade.Histogram:
    histogram = cascade.Histogram()
    for _ in range(times):
        for score in scores:
            histogram = histogram.add(score, 0.0)
    return histogram


def plan(
    small: cascade.Histogram,
    large: cascade.Histogram | None = None,
    rungs: tuple[cascade.Rung, ...] = RUNGS,
    now: float = 0.0,
) -> list[cascade.Step]:
    histograms = (small, large or make_histogram(0.92))
    return cascade.plan(rungs, histograms, TARGET, now, random.Random(1))


def test_unknown_model_is_checked_against_the_target() -> None:
    steps = plan(cascade.Histogram())
    assert steps[0] == cascade.Step("small", cascade.Mode.CHECK, TARGET)
    assert steps[-1].model == "large"


def test_good_model_is_trusted_while_ratings_are_recent() -> None:
    good = make_histogram(0.9, 0.95)
    assert [step.mode for step in plan(good)] == [cascade.Mode.TRUST]
    later = plan(good, now=cascade.TRUST_SECONDS + 1)
    assert later[0].mode is cascade.Mode.CHECK


def test_hopeless_model_is_skipped_but_explored() -> None:
    histograms = (make_histogram(0.2), make_histogram(0.92))
    rng = random.Random(1)
    plans = [
        cascade.plan(RUNGS, histograms, TARGET, 0.0, rng) for _ in range(1000)
    ]
    explored = sum(steps[0].model == "small" for steps in plans)
    assert 0 < explored < 100


def test_skipping_depends_on_the_prices() -> None:
    mixed = make_histogram(0.9, 0.2, 0.2, 0.2)
    expensive = (cascade.Rung("small", 5.0), cascade.Rung("large", 10.0))
    assert plan(mixed)[0].model == "small"
    assert plan(mixed, rungs=expensive)[0].model == "large"


def test_min_rating_falls_below_the_target_where_the_mean_allows_it() -> None:
    mixed = make_histogram(0.95, 0.72, 0.1)
    large = make_histogram(0.95)
    min_rating = cascade.find_min_rating(mixed, large, TARGET)
    lowest = TARGET - cascade.MAX_SHORTFALL - 1e-9
    assert lowest <= min_rating < TARGET
    poor = make_histogram(0.3)
    assert cascade.find_min_rating(poor, large, TARGET) >= lowest
    unknown = cascade.Histogram()
    assert cascade.find_min_rating(mixed, unknown, TARGET) == TARGET


SCORES = strategies.lists(
    strategies.floats(0.0, 1.0), min_size=30, max_size=200
)


@hypothesis.given(SCORES, SCORES, strategies.floats(0.1, 0.95))
def test_delivered_mean_reaches_the_target_where_the_largest_does(
    small_scores: list[float], large_scores: list[float], target: float
) -> None:
    small = make_histogram(*small_scores, times=1)
    large = make_histogram(*large_scores, times=1)
    mean = sum(large_scores) / len(large_scores)
    steps = cascade.plan(RUNGS, (small, large), target, 0.0, random.Random(1))
    if steps[0].model == "large" or mean < target:
        return
    delivered = [
        score if score >= steps[0].min_rating else mean
        for score in small_scores
    ]
    assert sum(delivered) / len(delivered) >= target - 1e-6


def test_pauses_after_missed_ratings() -> None:
    state = cascade.RaterState()
    for _ in range(cascade.MAX_MISSES):
        assert state.paused_until == 0.0
        state = cascade.record_rating(state, False, 10.0)
    assert state.paused_until == 10.0 + cascade.PAUSE_SECONDS
    assert cascade.record_rating(state, True, 11.0) == cascade.RaterState()


def test_memory_is_bounded() -> None:
    store = cascade.HistogramStore()
    keys = [
        cascade.Key("c", str(number), "small", "1")
        for number in range(cascade.MAX_KEYS + 1)
    ]
    for key in keys:
        store.add(key, 0.5, 0.0)
    assert store.find(keys[0]).answers == 0
    assert store.find(keys[-1]).answers == 1
