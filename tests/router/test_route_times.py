"""Routes whose answers are late with any version are no evidence."""

import random

from wagtailstream_router import rollout_state, route_times

# Answers of a plain service in the time of a roll-out, and the new version's
# share of them before it is completed.
ANSWERS = 260
NEW_SHARE = 0.25
# Routes and their usual times in ms, as often as in a calm play.
ROUTES = [("work", 26.0), ("work", 26.0), ("work", 26.0), ("short", 3.5)]


def play_rollout(seed: int, slow_factor: float) -> bool:
    """Return whether a version is found bad that slows half of its answers.

    Service times vary as widely as those of the users' specification.
    """
    generator = random.Random(seed)
    routes = route_times.RouteTimes()
    new, old = rollout_state.Evidence(), rollout_state.Evidence()
    for _ in range(ANSWERS):
        route, usual_ms = generator.choice(ROUTES)
        duration_ms = usual_ms * generator.gammavariate(6.0, 1.0 / 6.0)
        limit_ms = routes.limit_ms(route)
        is_new = generator.random() < NEW_SHARE
        if is_new and generator.random() < 0.5:
            duration_ms *= slow_factor
        is_late = limit_ms is not None and duration_ms > limit_ms
        (new if is_new else old).count(rollout_state.Sample(is_slow=is_late))
        if not is_new:
            routes.record_duration(route, duration_ms)
        if rollout_state.is_bad(new, old):
            return True
    return False


def test_a_version_four_times_as_slow_does_not_pass_as_timely() -> None:
    missed = [seed for seed in range(100) if not play_rollout(seed, 4.0)]
    assert len(missed) <= 5


def test_a_version_as_fast_as_the_old_one_is_not_rolled_back() -> None:
    assert not [seed for seed in range(100) if play_rollout(seed, 1.0)]


def test_a_route_is_late_once_most_answers_are() -> None:
    routes = route_times.RouteTimes()
    for is_late in (True, True):
        routes.record("long", is_late)
    assert not routes.is_usually_late("long")
    routes.record("long", False)
    assert routes.is_usually_late("long")
    routes.record("long", False)
    routes.record("long", False)
    assert not routes.is_usually_late("long")
    assert not routes.is_usually_late("another")


def test_a_limit_needs_a_few_answers_of_its_own_route() -> None:
    routes = route_times.RouteTimes()
    for _ in range(route_times.MIN_ANSWERS):
        assert routes.limit_ms("long") is None
        routes.record_duration("long", 300.0)
    assert routes.limit_ms("long") == 600.0
    assert routes.limit_ms("short") is None
    for _ in range(route_times.MIN_ANSWERS):
        routes.record_duration("short", 2.0)
    assert routes.limit_ms("short") == 22.0
