"""Retry budgets, and the conditions for retries and hedges."""

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailstream_core import errors, retries


@hypothesis.given(
    st.integers(0, 2000), st.floats(0.0, 1.0), st.floats(0.001, 1.0)
)
def test_budget_bounds_retries_whatever_fails(
    requests: int, share: float, interval: float
):
    """Every attempt fails; without a budget each request gets 3 retries."""
    budget = retries.Budget(share)
    taken = 0
    for number in range(requests):
        now = number * interval
        budget.record_request("c", now)
        taken += sum(budget.try_take("c", now) for _ in range(3))
    floor = requests * interval * retries.FLOOR_PER_SECOND
    assert taken <= retries.BURST + requests * share + floor + 1


def test_customers_have_separate_budgets():
    budget = retries.Budget(0.2)
    while budget.try_take("failing", 0.0):
        pass
    assert budget.try_take("other", 0.0)


def test_budget_refills_with_traffic():
    budget = retries.Budget(0.2)
    while budget.try_take("c", 0.0):
        pass
    for _ in range(6):
        budget.record_request("c", 0.0)
    assert budget.try_take("c", 0.0)
    assert not budget.try_take("c", 0.0)


def test_budgets_are_bounded_in_number(monkeypatch: pytest.MonkeyPatch):
    monkeypatch.setattr(retries, "MAX_CUSTOMERS", 3)
    budget = retries.Budget(0.2)
    for number in range(9):
        budget.try_take(f"c{number}", 0.0)
    assert len(budget._buckets) == 3


def make_failed(
    reason: errors.Reason, attempts: int = 1
) -> retries.FailedRequest:
    return retries.FailedRequest(
        errors.not_run(reason, "", "step", "peer"), attempts, 10.0
    )


def test_retry_needs_a_retriable_reason_time_and_attempts():
    full = make_failed(errors.Reason.ENDPOINT_FULL)
    assert retries.is_retriable(full, 9.0)
    assert not retries.is_retriable(full, 10.0)
    tried = make_failed(errors.Reason.ENDPOINT_FULL, retries.MAX_ATTEMPTS)
    assert not retries.is_retriable(tried, 9.0)
    for reason in (
        errors.Reason.VERSION_WITHDRAWN,
        errors.Reason.QUARANTINED,
        errors.Reason.CLAIM_LOST,
        errors.Reason.DEADLINE_PAST,
    ):
        assert not retries.is_retriable(make_failed(reason), 0.0)


def test_hedge_delay_is_a_high_quantile_of_the_latest_times():
    window = retries.LatencyWindow()
    for _ in range(retries.MIN_SAMPLES - 1):
        window.add_sample(1.0)
    assert window.find_hedge_delay() is None
    for number in range(retries.WINDOW_SAMPLES):
        window.add_sample(number / 100.0)
    assert window.find_hedge_delay() == pytest.approx(1.9)


def test_hedge_delay_has_a_minimum():
    window = retries.LatencyWindow()
    for _ in range(retries.MIN_SAMPLES):
        window.add_sample(0.01)
    assert window.find_hedge_delay() == retries.MIN_HEDGE_DELAY_SECONDS
