"""The lag of an endpoint: how much later its answers start than estimated."""

import dataclasses
import math

import pytest

from tests.router import test_peers, test_placement
from wagtailstream_router import lag, peer_report, warm_prompts


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Replace the monotonic clock; its time is the last entry."""
    times = [1000.0]
    monkeypatch.setattr(lag.time, "monotonic", lambda: times[-1])
    return times


def test_one_late_answer_counts_half(clock: list[float]) -> None:
    samples = lag.Lag()
    samples.record(800.0)
    assert lag.combine([samples.report]) == pytest.approx(400.0)


def test_many_late_answers_count_almost_in_full(clock: list[float]) -> None:
    samples = lag.Lag()
    for _ in range(99):
        samples.record(800.0)
    assert lag.combine([samples.report]) == pytest.approx(792.0)


def test_an_early_answer_counts_as_on_time(clock: list[float]) -> None:
    samples = lag.Lag()
    samples.record(-500.0)
    assert lag.combine([samples.report]) == 0.0


def test_samples_decay_exponentially(clock: list[float]) -> None:
    samples = lag.Lag()
    samples.record(800.0)
    clock.append(clock[-1] + lag.DECAY_SECONDS)
    assert samples.report.weight == pytest.approx(1.0 / math.e, abs=0.01)
    clock.append(clock[-1] + 10.0 * lag.DECAY_SECONDS)
    assert samples.report == lag.LagReport()


def test_samples_of_several_instances_are_averaged_by_weight(
    clock: list[float],
) -> None:
    reports = [lag.LagReport(600.0, 1.0), lag.LagReport(300.0, 2.0)]
    assert lag.combine(reports) == pytest.approx(300.0)


def test_a_late_server_is_avoided() -> None:
    members = [test_placement.make_member(f"e{n}") for n in range(4)]
    warm = warm_prompts.WarmPrompts()
    late = test_placement.choose_server(members, warm).member
    late.peer_lags = (lag.LagReport(900.0, 5.0),)
    assert test_placement.choose_server(members, warm).member is not late


def test_the_lag_survives_encoding() -> None:
    load = peer_report.EndpointLoad(1, 20.0, lag.LagReport(120.0, 2.5))
    report = dataclasses.replace(test_peers.REPORT, loads={"e1": load})
    decoded = peer_report.decode(peer_report.encode(report))
    assert decoded.loads == {"e1": load}
