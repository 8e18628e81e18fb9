"""The agent's slots: order, refusals, give-ups."""

import asyncio
import random

import pytest

from wagtailstream_agent import slots
from wagtailstream_core import clock


def make_slots(count: int = 1, queue: int = 2) -> slots.Slots:
    made = slots.Slots(count, queue, clock.SystemClock(), random.Random(1))
    made.service_time.note(0.01)
    return made


def make_applicant(
    customer: str = "buyer", priority: int = 0, seconds: float = 30.0
) -> slots.Applicant:
    deadline = clock.SystemClock().wall() + seconds
    return slots.Applicant(customer, priority, deadline)


async def start(
    endpoint_slots: slots.Slots, applicant: slots.Applicant
) -> "asyncio.Task[slots.Verdict]":
    task = asyncio.ensure_future(endpoint_slots.acquire(applicant))
    await asyncio.sleep(0)
    return task


async def test_a_broker_finds_a_place_where_buyers_fill_the_queue():
    # By the naive rule, whoever comes to a full queue is refused.
    held = make_slots()
    assert (await held.acquire(make_applicant())).is_ok()
    buyers = [await start(held, make_applicant()) for _ in range(2)]
    broker = await start(held, make_applicant("broker", 5))
    rejection = (await buyers[1]).error
    assert rejection.cause is slots.Cause.FULL
    assert rejection.retry_at > clock.SystemClock().wall()
    held.release(0.01)
    assert (await broker).is_ok()
    assert not buyers[0].done()
    held.release(0.01)
    assert (await buyers[0]).is_ok()


async def test_a_request_that_would_be_late_is_refused_at_once():
    held = make_slots(queue=64)
    held.service_time.mean = 10.0
    assert (await held.acquire(make_applicant())).is_ok()
    verdict = await held.acquire(make_applicant(seconds=5.0))
    assert verdict.error.cause is slots.Cause.LATE
    assert held.queued == 0


async def test_a_waiter_is_given_up_before_its_deadline():
    held = make_slots()
    assert (await held.acquire(make_applicant())).is_ok()
    verdict = await held.acquire(make_applicant(seconds=0.05))
    assert verdict.error.cause is slots.Cause.LATE
    assert held.queued == 0


@pytest.mark.parametrize("is_admitted", [True, False])
async def test_cancelled_waiters_leave_no_slot_behind(is_admitted: bool):
    held = make_slots()
    assert (await held.acquire(make_applicant())).is_ok()
    waiter = await start(held, make_applicant())
    if is_admitted:
        held.release(0.01)
    waiter.cancel()
    await asyncio.gather(waiter, return_exceptions=True)
    assert held.queued == 0
    assert held.running == (0 if is_admitted else 1)


async def test_counts_waiters_by_priority():
    held = make_slots(queue=8)
    assert (await held.acquire(make_applicant())).is_ok()
    waiting = [
        await start(held, make_applicant(priority=rank)) for rank in (0, 5, 5)
    ]
    assert held.count_queued() == {0: 1, 5: 2}
    for task in waiting:
        task.cancel()


async def test_more_slots_let_waiters_in():
    held = make_slots()
    assert (await held.acquire(make_applicant())).is_ok()
    waiter = await start(held, make_applicant())
    held.resize(2)
    assert (await waiter).is_ok()
