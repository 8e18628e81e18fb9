"""The order of the admission queue, and early refusals."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailstream_core import admission


def drain(queue: admission.AdmissionQueue, names: dict):
    return [names[queue.pop()] for _ in range(len(queue))]


def fill(queue: admission.AdmissionQueue, *waiters: tuple[str, int]):
    return {queue.push(priority, name): name for name, priority in waiters}


def test_higher_priorities_go_first():
    queue = admission.AdmissionQueue(9)
    names = fill(queue, ("buyer", 0), ("broker", 5), ("buyer", 0))
    assert drain(queue, names) == ["broker", "buyer", "buyer"]


def test_customers_take_turns_within_a_priority():
    queue = admission.AdmissionQueue(9)
    names = fill(queue, *[("flood", 0)] * 4, ("light", 0))
    place = queue.find_place(0, "light")
    assert drain(queue, names)[1] == "light"
    assert place.turn == 2


def test_idle_customer_does_not_save_up_turns():
    queue = admission.AdmissionQueue(99)
    for _ in range(20):
        fill(queue, ("busy", 0))
        queue.pop()
    names = fill(queue, *[("busy", 0)] * 3, *[("idle", 0)] * 3)
    assert drain(queue, names)[:2] == ["busy", "idle"]


def test_full_queue_drops_the_last_waiter_for_a_higher_priority():
    queue = admission.AdmissionQueue(2)
    names = fill(queue, ("buyer", 0), ("buyer", 0))
    assert queue.pop_excess() is None
    names |= fill(queue, ("broker", 5))
    excess = queue.pop_excess()
    assert excess is not None
    assert names[excess] == "buyer"
    assert drain(queue, names) == ["broker", "buyer"]


def test_full_queue_drops_a_flooding_customer_first():
    queue = admission.AdmissionQueue(3)
    names = fill(queue, *[("flood", 0)] * 3)
    names |= fill(queue, ("light", 0))
    excess = queue.pop_excess()
    assert excess is not None
    assert names[excess] == "flood"


operations = st.lists(
    st.one_of(
        st.tuples(st.just("push"), st.integers(0, 2), st.sampled_from("abc")),
        st.tuples(st.just("pop")),
        st.tuples(st.just("remove"), st.integers(0, 9)),
    ),
    max_size=60,
)


@hypothesis.given(operations)
def test_every_waiter_leaves_once_and_in_priority(steps: list[tuple]):
    queue = admission.AdmissionQueue(5)
    waiting: list[admission.Place] = []
    for step in steps:
        if step[0] == "push":
            place = queue.push(step[1], step[2])
            waiting.append(place)
            excess = queue.pop_excess()
            if excess is not None:
                assert excess == max(waiting)
                waiting.remove(excess)
        elif step[0] == "pop" and waiting:
            popped = queue.pop()
            assert popped == min(waiting)
            waiting.remove(popped)
        elif step[0] == "remove" and waiting:
            place = waiting.pop(step[1] % len(waiting))
            queue.remove(place)
            queue.remove(place)
        assert len(queue) == len(waiting) <= 5
    assert sorted(waiting) == [queue.pop() for _ in range(len(queue))]


def make_occupancy(ahead: int) -> admission.Occupancy:
    return admission.Occupancy(4, 4, ahead, 1.0, 2.0)


def test_a_free_slot_is_never_refused():
    free = admission.Occupancy(4, 3, 0, 100.0, 300.0)
    assert admission.check_deadline(free, 1.0, 0.0, random.Random(1)) is None


def test_request_that_would_miss_its_deadline_gets_a_retry_time():
    rng = random.Random(1)
    # 20 waiters ahead at 4 slots: 5.25 s of waiting and up to 2 s of work.
    assert admission.check_deadline(make_occupancy(20), 8.0, 0.0, rng) is None
    late = admission.check_deadline(make_occupancy(20), 6.0, 0.0, rng)
    assert late is not None
    assert late.wait_seconds == pytest.approx(5.25)
    assert 1.25 <= late.retry_at <= 1.25 * 1.5


def test_callers_refused_together_get_different_retry_times():
    rng = random.Random(1)
    times = {admission.find_retry_at(4.0, 0.0, rng) for _ in range(20)}
    assert len(times) == 20
    assert all(4.0 <= time <= 6.0 for time in times)


def test_service_time_bound_widens_with_the_spread():
    steady, varied = admission.ServiceTime(), admission.ServiceTime()
    rng = random.Random(2)
    for _ in range(500):
        steady.add_sample(1.0)
        varied.add_sample(rng.expovariate(1.0))
    assert steady.bound == pytest.approx(1.0)
    assert varied.bound > 1.8
