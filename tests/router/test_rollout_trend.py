"""The recent part of a roll-out's evidence."""

import pytest

from wagtailstream_router import rollout_state, rollout_trend


def record_good_past(trend: rollout_trend.Trend) -> rollout_trend.Totals:
    """Record 20 s in which both versions answer well; return the sums."""
    new, old = rollout_state.Evidence(), rollout_state.Evidence()
    for tick in range(201):
        trend.record(tick * 0.1, (new, old))
        new.good += 1
        new.requests += 1
        old.good += 4
        old.requests += 4
    return new, old


def test_answers_from_before_are_not_recent() -> None:
    trend = rollout_trend.Trend()
    new, old = record_good_past(trend)
    new.bad += 2
    for recent_new, recent_old in trend.list_recent(20.1, (new, old)):
        assert recent_new.bad == 2
        assert recent_new.total < 0.2 * new.total
        assert recent_old.bad == 0


def test_the_rate_is_that_of_the_recent_requests() -> None:
    trend = rollout_trend.Trend()
    totals = record_good_past(trend)
    assert trend.requests_per_second(20.1, totals) == pytest.approx(50, 0.1)


def test_without_samples_nothing_is_recent() -> None:
    trend = rollout_trend.Trend()
    totals = (rollout_state.Evidence(3), rollout_state.Evidence(4))
    for new, old in trend.list_recent(1.0, totals):
        assert new.total == old.total == 0
    assert trend.requests_per_second(1.0, totals) == 0.0


def test_errors_after_a_good_past_make_a_version_bad() -> None:
    old = rollout_state.Evidence(400, 20)
    recent_old = rollout_state.Evidence(20, 1)
    past = rollout_state.Evidence(160, 9)
    recent = rollout_state.Evidence(8, 8)
    together = past.copy()
    together.add(recent)
    assert not rollout_state.is_bad(together, old)
    assert rollout_state.is_bad_lately(recent, old, recent_old)


def test_trouble_of_all_versions_makes_none_of_them_bad() -> None:
    old = rollout_state.Evidence(400, 20)
    recent_old = rollout_state.Evidence(20, 16)
    recent = rollout_state.Evidence(8, 8)
    assert not rollout_state.is_bad_lately(recent, old, recent_old)


def test_a_few_errors_hold_the_next_step_back_without_a_verdict() -> None:
    old = rollout_state.Evidence(400, 20)
    recent_old = rollout_state.Evidence(20, 1)
    recent = rollout_state.Evidence(11, 4)
    assert rollout_state.is_suspect(recent, old, recent_old)
    assert not rollout_state.is_bad_lately(recent, old, recent_old)
