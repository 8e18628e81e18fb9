"""Prefill estimates, choice of models, roll-out decisions, retry budgets."""

import math

import hypothesis
import hypothesis.strategies as st
import pytest

from wagtailstream_router import (
    engine_time,
    retry_budget,
    rollout_state,
)
from wagtailstream_router.cascade import demand, ladder, time_price

SPEED = engine_time.ModelSpeed(0.05, 1.0, 10.0, 8.0)


def test_cached_tokens_shorten_the_prefill() -> None:
    whole = engine_time.prefill_ms(SPEED, 10000, 0)
    assert engine_time.prefill_ms(SPEED, 10000, 9000) < whole / 5
    assert engine_time.prefill_ms(SPEED, 10000, 20000) > 0


def make_answered(confidence: float, left_ms: float = 2000) -> ladder.Answered:
    return ladder.Answered(confidence, 4.5, left_ms, 4000.0)


CANDIDATES = [
    ladder.Candidate("middle", 200.0, 200.0, 0.068),
    ladder.Candidate("large", 800.0, 800.0, 0.14),
]


def find_price(
    answered: ladder.Answered,
    candidates: list[ladder.Candidate],
    target_ms: float,
    queue_ms: float,
    offered: float,
) -> float:
    """Return the price of time where all requests are like this one.

    :param offered: the offered engine time, as a part of what there is.
    """
    now = 0.0
    price = time_price.TimePrice(lambda: now)
    gains = ladder.list_gains(answered, candidates, 0.2)
    works = [candidate.work_ms for candidate in candidates]
    offers = demand.list_offers(zip(works, gains, strict=True))
    engines = time_price.Engines(20, queue_ms)
    work_ms = sum(offer.work_ms for offer in offers)
    if work_ms:
        gap = work_ms / (offered * engines.count * 1000.0)
        while now < 10.0:
            now += gap
            price.record_demand(offers, target_ms)
    return price.quote(lambda: engines).per_second


def test_a_confident_answer_is_kept() -> None:
    assert ladder.choose_next(make_answered(90), CANDIDATES, 0.1, 0.0) is None


def test_a_doubtful_answer_leads_to_the_largest_model() -> None:
    chosen = ladder.choose_next(make_answered(5), CANDIDATES, 0.1, 0.0)
    assert chosen == "large"


def test_the_middle_model_is_asked_if_the_largest_would_be_late() -> None:
    chosen = ladder.choose_next(make_answered(5, 500), CANDIDATES, 0.05, 0.0)
    assert chosen == "middle"


def test_an_answer_is_kept_if_all_larger_models_would_be_late() -> None:
    late = make_answered(45, 100)
    assert ladder.choose_next(late, CANDIDATES, 0.1, 0.0) is None


@pytest.mark.parametrize("offered", [0.3, 0.6, 0.9, 1.0])
def test_full_queues_raise_the_price_of_time(offered: float) -> None:
    answered = ladder.Answered(46.0, 1.0, 9000.0, 100.0)
    free = find_price(answered, CANDIDATES, 9000.0, 0.0, offered)
    busy = find_price(answered, CANDIDATES, 9000.0, 5000.0, offered)
    assert ladder.choose_next(answered, CANDIDATES, 0.1, free) == "large"
    assert ladder.choose_next(answered, CANDIDATES, 0.1, busy) is None


@pytest.mark.parametrize("offered", [0.8, 0.9, 1.0])
def test_a_weak_answer_is_kept_while_servers_have_time_to_spare(
    offered: float,
) -> None:
    weak = ladder.Answered(30.0, 2.06, 2831.0, 4000.0)
    candidates = [
        ladder.Candidate("middle", 400.0, 300.0, 0.1),
        ladder.Candidate("large", 1273.0, 1170.0, 0.2),
    ]
    spare = find_price(weak, candidates, 3045.0, 240.0, offered)
    assert ladder.choose_next(weak, candidates, 0.2, spare) == "large"
    full = find_price(weak, candidates, 3045.0, 800.0, offered)
    assert ladder.choose_next(weak, candidates, 0.2, full) is None


def test_no_credit_means_no_larger_model() -> None:
    nothing = ladder.Answered(0.0, 0.0, 9000.0, 100.0)
    assert ladder.choose_next(nothing, CANDIDATES, 0.1, 0.0) is None


@pytest.mark.parametrize(
    ("new", "old", "expected"),
    [
        (rollout_state.Evidence(20, 0, 0), rollout_state.Evidence(90), False),
        (rollout_state.Evidence(9, 3, 0), rollout_state.Evidence(90), True),
        (rollout_state.Evidence(4, 0, 3), rollout_state.Evidence(90), True),
        # A single failure, or failures that the old version has too.
        (rollout_state.Evidence(20, 1, 0), rollout_state.Evidence(90), False),
        (rollout_state.Evidence(9, 3), rollout_state.Evidence(60, 20), False),
        (
            rollout_state.Evidence(20, 0, 3),
            rollout_state.Evidence(80, 0, 12),
            False,
        ),
        # A good version while half of a large fleet's requests moved to it. It
        # was rolled back by mistake (seen on the test day quiet-1 of the
        # grown Kerlann deployment).
        (
            rollout_state.Evidence(264, 0, 57),
            rollout_state.Evidence(1677, 0, 178),
            False,
        ),
        # A third of the answers are late, but few of the old version's.
        (
            rollout_state.Evidence(60, 0, 20),
            rollout_state.Evidence(300, 0, 24),
            True,
        ),
        # Nine tenths of the answers are late, two fifths of the old version's.
        (
            rollout_state.Evidence(80, 0, 72),
            rollout_state.Evidence(1706, 0, 732),
            True,
        ),
    ],
)
def test_a_new_version_is_compared_with_the_old_one(
    new: rollout_state.Evidence,
    old: rollout_state.Evidence,
    expected: bool,
) -> None:
    assert rollout_state.is_bad(new, old) is expected


def test_the_comparison_does_not_overflow_for_a_large_fleet() -> None:
    """Guards against overflow in the binomial sum.

    Without logarithms, its terms left the range of floats at 1,030 answers.
    """
    old = rollout_state.Evidence(40_000, 0, 4_000)
    assert not rollout_state.is_bad(rollout_state.Evidence(9_000, 0, 900), old)
    assert rollout_state.is_bad(rollout_state.Evidence(9_000, 0, 2_500), old)
    assert rollout_state.is_bad(rollout_state.Evidence(5_000, 3_000), old)


def test_the_probability_is_that_of_the_plain_binomial_sum() -> None:
    for failures, total, rate in ((3, 20, 0.1), (30, 60, 0.4), (1, 5, 0.004)):
        fewer = sum(
            math.comb(total, count)
            * rate**count
            * (1 - rate) ** (total - count)
            for count in range(failures)
        )
        chance = rollout_state.binomial_tail(failures, total, rate)
        assert chance == pytest.approx(1.0 - fewer, abs=1e-9)


@hypothesis.given(st.integers(0, 40), st.integers(1, 60), st.floats(0.0, 1.0))
def test_the_binomial_tail_is_a_probability(
    failures: int, extra: int, rate: float
) -> None:
    chance = rollout_state.binomial_tail(failures, failures + extra, rate)
    assert 0.0 <= chance <= 1.0


@hypothesis.given(st.floats(0.0, 1.2), st.floats(0.0, 1.2), st.booleans())
def test_exposure_only_rises(
    first: float, second: float, has_session: bool
) -> None:
    low, high = (
        rollout_state.exposure_at(share, 0.15, has_session)
        for share in sorted((first, second))
    )
    assert low <= high


def test_the_exposure_stays_within_the_bound_in_the_first_half() -> None:
    for percent in range(51):
        assert rollout_state.exposure_at(percent / 100, 0.15, False) < 0.15


def test_no_session_is_exposed_in_the_first_half() -> None:
    for percent in range(51):
        assert rollout_state.exposure_at(percent / 100, 0.15, True) == 0.0


@hypothesis.given(st.floats(0.0, 0.3), st.booleans())
def test_the_exposure_of_a_trial_stays_within_the_bound_all_the_time(
    bound: float, has_session: bool
) -> None:
    steps = 200
    exposed = sum(
        rollout_state.exposure_at(step / steps, bound, has_session)
        for step in range(steps)
    )
    assert exposed / steps <= bound


def test_few_new_servers_are_exposed_to_few_requests() -> None:
    assert rollout_state.count_exposed(0.13, 5) == 1
    assert rollout_state.count_exposed(0.5, 5) == 3
    assert rollout_state.count_exposed(1.0, 5) == 5


def test_the_budget_depends_on_requests_and_slack() -> None:
    bounds = retry_budget.BudgetBounds(0.5, 60.0, 10.0)
    budget = retry_budget.RetryBudget(bounds)
    for _ in range(20):
        budget.record_request()
    sent = 0
    while budget.allows(2):
        budget.record_extra()
        sent += 1
    assert 0 < sent <= 0.5 * 20 + 10 / 2
    assert budget.extra_count == sent
