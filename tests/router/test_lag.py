"""Late answers show what instances do not know of an endpoint."""

import dataclasses
import math

import pytest

from tests.router import test_peers, test_placement
from wagtailstream_router import lag, peer_news, warm_prompts


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> list[float]:
    """Return the time that lags see; the last entry counts."""
    times = [1000.0]
    monkeypatch.setattr(lag.time, "monotonic", lambda: times[-1])
    return times


def test_one_late_token_counts_half(clock: list[float]) -> None:
    one = lag.Lag()
    one.note(800.0)
    assert lag.combine([one.news]) == pytest.approx(400.0)


def test_many_late_tokens_count_in_full(clock: list[float]) -> None:
    one = lag.Lag()
    for _ in range(99):
        one.note(800.0)
    assert lag.combine([one.news]) == pytest.approx(792.0)


def test_what_came_sooner_is_in_time(clock: list[float]) -> None:
    one = lag.Lag()
    one.note(-500.0)
    assert lag.combine([one.news]) == 0.0


def test_samples_fade(clock: list[float]) -> None:
    one = lag.Lag()
    one.note(800.0)
    clock.append(clock[-1] + lag.FADE_SECONDS)
    assert one.news.weight == pytest.approx(1.0 / math.e, abs=0.01)
    clock.append(clock[-1] + 10.0 * lag.FADE_SECONDS)
    assert one.news == lag.LagNews()


def test_instances_add_their_samples(clock: list[float]) -> None:
    news = [lag.LagNews(600.0, 1.0), lag.LagNews(300.0, 2.0)]
    assert lag.combine(news) == pytest.approx(300.0)


def test_a_late_server_is_spared_by_all() -> None:
    members = [test_placement.make_member(f"e{n}") for n in range(4)]
    warm = warm_prompts.WarmPrompts()
    late = test_placement.choose(members, warm).member
    late.peer_lags = (lag.LagNews(900.0, 5.0),)
    assert test_placement.choose(members, warm).member is not late


def test_lateness_passes_in_a_message() -> None:
    load = peer_news.EndpointLoad(1, 20.0, lag.LagNews(120.0, 2.5))
    news = dataclasses.replace(test_peers.NEWS, loads={"e1": load})
    decoded = peer_news.decode(peer_news.encode(news))
    assert decoded.loads == {"e1": load}
