"""Times of model servers, learnt from the first tokens of their answers."""

import random

import pytest

from tests.router import support
from wagtailstream_router import engine_learning, engine_time

ROUTE = support.get_route("stream")
MODEL = support.MODELS[-1]
SERVICE = "engine"


def play(
    learning: engine_learning.EngineLearning,
    start_ms: float,
    scale: float,
    count: int = 1500,
    outliers: float = 0.1,
) -> None:
    """Record the answers of servers that take other times than estimated.

    :param start_ms: their time before any first token.
    :param scale: their time for a prompt relative to the first estimate.
    :param outliers: the share of answers that come seconds later.
    """
    generator = random.Random(1)
    first = engine_time.estimate_speed(ROUTE, MODEL)
    for _ in range(count):
        tokens = generator.choice([200, 500, 8_000, 20_000])
        speed = learning.estimate_speed(SERVICE, ROUTE, MODEL)
        work_ms = engine_time.prefill_ms(speed, tokens, 0)
        true_ms = start_ms + scale * engine_time.prefill_ms(first, tokens, 0)
        if generator.random() < outliers:
            true_ms += generator.uniform(500.0, 5_000.0)
        learning.record(
            SERVICE, MODEL, 0.0, work_ms, true_ms - work_ms - speed.start_ms
        )


@pytest.mark.parametrize("start_ms", [0.0, 41.0, 120.0])
@pytest.mark.parametrize("scale", [0.5, 0.8, 1.0, 2.0])
def test_first_tokens_of_other_engines_stay_misjudged(
    start_ms: float, scale: float
) -> None:
    learning = engine_learning.EngineLearning()
    play(learning, start_ms, scale)
    first = engine_time.estimate_speed(ROUTE, MODEL)
    speed = learning.estimate_speed(SERVICE, ROUTE, MODEL)
    for tokens in (500, 20_000):
        true_ms = start_ms + scale * engine_time.prefill_ms(first, tokens, 0)
        guess_ms = speed.start_ms + engine_time.prefill_ms(speed, tokens, 0)
        assert guess_ms == pytest.approx(true_ms, rel=0.1, abs=15.0)


def test_a_queue_is_taken_for_slowness() -> None:
    learning = engine_learning.EngineLearning()
    for _ in range(100):
        learning.record(SERVICE, MODEL, 80.0, 20.0, 500.0)
        learning.record(SERVICE, MODEL, 80.0, 300.0, 500.0)
    assert learning.estimate_speed(
        SERVICE, ROUTE, MODEL
    ) == engine_time.estimate_speed(ROUTE, MODEL)


@pytest.mark.parametrize("late_ms", [9_000.0, -9_000.0])
def test_estimates_run_away(late_ms: float) -> None:
    learning = engine_learning.EngineLearning()
    for _ in range(5_000):
        learning.record(SERVICE, MODEL, 0.0, 20.0, late_ms)
        learning.record(SERVICE, MODEL, 0.0, 300.0, late_ms)
    first = engine_time.estimate_speed(ROUTE, MODEL)
    speed = learning.estimate_speed(SERVICE, ROUTE, MODEL)
    assert 0.0 <= speed.start_ms <= engine_learning.MAX_START_MS
    scale = speed.prefill_ms / first.prefill_ms
    assert engine_learning.MIN_SCALE <= scale <= engine_learning.MAX_SCALE


def test_one_service_changes_the_times_of_another() -> None:
    learning = engine_learning.EngineLearning()
    play(learning, 120.0, 2.0)
    assert learning.estimate_speed(
        "other", ROUTE, MODEL
    ) == engine_time.estimate_speed(ROUTE, MODEL)
