"""Tests of slots and trials.

A property test compares the slots with a naive implementation that sorts all
waiters at each step.
"""

import asyncio
import collections.abc
import dataclasses
import random

import hypothesis
import pytest
from hypothesis import strategies

from wagtailstream_agent import slots, trial
from wagtailstream_core import clock, strikes, work

SETTINGS = hypothesis.settings(derandomize=True, max_examples=200)
STEPS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just("acquire"),
            strategies.integers(0, 3),
            strategies.booleans(),
        ),
        strategies.tuples(
            strategies.sampled_from(["release", "cancel", "end trial"]),
            strategies.integers(0, 30),
            strategies.just(False),
        ),
    ),
    max_size=30,
)
Step = tuple[str, int, bool]


@dataclasses.dataclass(eq=False)
class NaiveAttempt:
    """An attempt in the naive implementation."""

    order: int
    priority: int
    is_suspect: bool
    state: str = "waiting"
    is_on_trial: bool = False


class NaiveSlots:
    """Keeps all attempts in one list, which each operation scans."""

    def __init__(self, count: int) -> None:
        self.count = count
        self.attempts: list[NaiveAttempt] = []

    def select(self, state: str) -> list[NaiveAttempt]:
        return [a for a in self.attempts if a.state == state]

    def admit(self) -> None:
        for attempt in sorted(
            self.select("waiting"), key=lambda a: (-a.priority, a.order)
        ):
            if len(self.select("running")) >= self.count:
                return
            if attempt.is_suspect and any(
                a.is_on_trial for a in self.attempts
            ):
                continue
            attempt.state = "running"
            attempt.is_on_trial = attempt.is_suspect


async def compare_with_naive(
    steps: collections.abc.Sequence[Step], count: int
) -> None:
    """Apply the steps to both implementations and compare after each."""
    real, naive = make_slots(count, 100), NaiveSlots(count)
    tasks: dict[int, asyncio.Task[slots.Verdict]] = {}
    for kind, number, is_suspect in steps:
        if kind == "acquire":
            attempt = NaiveAttempt(len(naive.attempts), number, is_suspect)
            naive.attempts.append(attempt)
            tasks[attempt.order] = asyncio.ensure_future(
                real.acquire(make_request("c", number, 30.0, is_suspect))
            )
            await asyncio.sleep(0)
        else:
            apply_step(kind, number, real, naive, tasks)
        naive.admit()
        for _ in range(3):
            await asyncio.sleep(0)
        running = {a.order for a in naive.select("running")}
        admitted = {
            n
            for n, task in tasks.items()
            if task.done() and not task.cancelled()
        }
        over = {a.order for a in naive.select("over")}
        assert admitted - over == running
        assert real.running == len(running)
        assert real.queued == len(naive.select("waiting"))
    for task in tasks.values():
        task.cancel()


def apply_step(
    kind: str,
    number: int,
    real: slots.Slots,
    naive: NaiveSlots,
    tasks: dict[int, "asyncio.Task[slots.Verdict]"],
) -> None:
    """Release, cancel or end the trial of an attempt in a matching state."""
    state = "waiting" if kind == "cancel" else "running"
    found = [
        a for a in naive.select(state) if kind != "end trial" or a.is_on_trial
    ]
    if not found:
        return
    attempt = found[number % len(found)]
    if kind == "cancel":
        attempt.state = "cancelled"
        tasks[attempt.order].cancel()
        return
    if attempt.is_on_trial:
        attempt.is_on_trial = False
        real.end_trial()
    if kind == "release":
        attempt.state = "over"
        real.release(0.0)


@SETTINGS
@hypothesis.given(STEPS, strategies.integers(1, 3))
def test_slots_admit_as_the_naive_version(
    steps: list[Step], count: int
) -> None:
    asyncio.run(compare_with_naive(steps, count))


@pytest.mark.asyncio
async def test_cancellation_during_admission_frees_slot_and_trial() -> None:
    real = make_slots(1, 10)
    await real.acquire(make_request(is_suspect=True))
    waiting = asyncio.ensure_future(
        real.acquire(make_request(is_suspect=True))
    )
    await asyncio.sleep(0)
    real.end_trial()
    real.release(0.0)
    waiting.cancel()
    await asyncio.gather(waiting, return_exceptions=True)
    assert real.running == 0
    await asyncio.wait_for(real.acquire(make_request(is_suspect=True)), 1.0)


def make_attempt(name: str, is_suspect: bool) -> work.Attempt:
    return work.Attempt(
        name,
        0,
        "atelier",
        0,
        0.0,
        0,
        work.ModelWork("drafter", "1", name, 1),
        is_suspect,
    )


def test_crash_is_attributed_only_to_the_suspect_on_trial() -> None:
    manual = clock.ManualClock(100.0)
    tracker = trial.TrialTracker(make_slots(4, 4), manual)
    suspect, other = make_attempt("s", True), make_attempt("n", False)
    tracker.begin(suspect)
    assert not tracker.is_crash_attributed(other)
    assert tracker.is_crash_attributed(suspect)
    tracker.end(suspect)
    # The same crash breaks the other attempt's connection a little later.
    assert not tracker.is_crash_attributed(other)
    manual.advance(strikes.SAME_CRASH_SECONDS + 1.0)
    assert tracker.is_crash_attributed(other)


def make_slots(count: int = 1, queue: int = 2) -> slots.Slots:
    endpoint_slots = slots.Slots(
        count, queue, clock.SystemClock(), random.Random(1)
    )
    endpoint_slots.service_time.add_sample(0.01)
    return endpoint_slots


def make_request(
    customer: str = "buyer",
    priority: int = 0,
    seconds: float = 30.0,
    is_suspect: bool = False,
) -> slots.SlotRequest:
    deadline = clock.SystemClock().wall() + seconds
    return slots.SlotRequest(customer, priority, deadline, is_suspect)


async def start_acquire(
    endpoint_slots: slots.Slots, request: slots.SlotRequest
) -> "asyncio.Task[slots.Verdict]":
    task = asyncio.ensure_future(endpoint_slots.acquire(request))
    await asyncio.sleep(0)
    return task


async def test_higher_priority_evicts_a_waiter_from_a_full_queue():
    # A queue without priorities would refuse the newcomer instead.
    endpoint_slots = make_slots()
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    buyers = [
        await start_acquire(endpoint_slots, make_request()) for _ in range(2)
    ]
    broker = await start_acquire(endpoint_slots, make_request("broker", 5))
    rejection = (await buyers[1]).error
    assert rejection.cause is slots.RejectionCause.FULL
    assert rejection.retry_at > clock.SystemClock().wall()
    endpoint_slots.release(0.01)
    assert (await broker).is_ok()
    assert not buyers[0].done()
    endpoint_slots.release(0.01)
    assert (await buyers[0]).is_ok()


async def test_request_that_would_miss_its_deadline_is_refused_at_once():
    endpoint_slots = make_slots(queue=64)
    endpoint_slots.service_time.mean = 10.0
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    verdict = await endpoint_slots.acquire(make_request(seconds=5.0))
    assert verdict.error.cause is slots.RejectionCause.LATE
    assert endpoint_slots.queued == 0


async def test_waiter_is_refused_before_its_deadline():
    endpoint_slots = make_slots()
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    verdict = await endpoint_slots.acquire(make_request(seconds=0.05))
    assert verdict.error.cause is slots.RejectionCause.LATE
    assert endpoint_slots.queued == 0


@pytest.mark.parametrize("is_admitted", [True, False])
async def test_cancelled_waiters_hold_no_slot(is_admitted: bool):
    endpoint_slots = make_slots()
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    waiter = await start_acquire(endpoint_slots, make_request())
    if is_admitted:
        endpoint_slots.release(0.01)
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert endpoint_slots.queued == 0
    assert endpoint_slots.running == (0 if is_admitted else 1)


async def test_counts_waiters_by_priority():
    endpoint_slots = make_slots(queue=8)
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    waiting = [
        await start_acquire(endpoint_slots, make_request(priority=priority))
        for priority in (0, 5, 5)
    ]
    assert endpoint_slots.count_queued() == {0: 1, 5: 2}
    for task in waiting:
        task.cancel()


async def test_resize_admits_waiters():
    endpoint_slots = make_slots()
    assert (await endpoint_slots.acquire(make_request())).is_ok()
    waiter = await start_acquire(endpoint_slots, make_request())
    endpoint_slots.resize(2)
    assert (await waiter).is_ok()
