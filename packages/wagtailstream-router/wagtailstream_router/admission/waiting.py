"""The requests of one service that wait for room."""

import asyncio
import collections
import collections.abc
import dataclasses
import math
import random
import time

from wagtailstream_router import directory, event_log, job, metrics
from wagtailstream_router.admission import (
    fit,
    pace,
    queue,
    room,
    rooms,
    shares,
)

# Interval between looks at waiters for room that peers have left.
LOOK_SECONDS = 0.05
# Waits below this are not logged: the request went on at once.
LOGGED_SECONDS = 0.005
# The least Retry-After, if the caller has that much time.
MIN_RETRY_SECONDS = 0.25

ListCandidates = collections.abc.Callable[
    [], collections.abc.Sequence[directory.Member]
]


@dataclasses.dataclass(frozen=True, slots=True)
class Verdict:
    """Whether a request proceeds.

    :param reason: why it is refused; None if it proceeds.
    :param retry_after_seconds: when its caller may return if it is refused.
    """

    reason: metrics.Counter | None = None
    retry_after_seconds: float = MIN_RETRY_SECONDS


GO_ON = Verdict()


@dataclasses.dataclass(eq=False, slots=True)
class Waiter(queue.Waiter):
    """A waiting request.

    :param listing: lists the endpoints that it may go to, anew each time.
    :param woken: gets the verdict.
    :param claim: the room that is kept for it once it may proceed, and the
        ticket of that.
    """

    task: job.Job
    need: room.Need
    listing: ListCandidates
    woken: asyncio.Future[Verdict]
    claim: tuple[room.EngineRoom, int] | None = None


class ServiceQueue:
    """Lets the waiters of a service proceed in their order.

    :param fitting: compares requests with the room of endpoints.
    :param places: the room of endpoints.
    :param used: the use of customers, which ranks them.
    :param is_for_engines: whether the service's endpoints are model servers.
    :param trim: drops waiters over the instance's bounds from this queue.
    :param log: gets a line for each request that waited or was refused.
    :param counters: count them.
    :param generator: spreads the returns of refused callers.
    """

    def __init__(
        self,
        fitting: fit.Fit,
        places: rooms.Rooms,
        used: shares.CustomerShares,
        is_for_engines: bool,
        trim: collections.abc.Callable[["ServiceQueue"], None],
        log: event_log.EventLog,
        counters: metrics.Metrics,
        generator: random.Random,
    ) -> None:
        self._fit = fitting
        self._rooms = places
        self._used = used
        self.is_for_engines = is_for_engines
        self._trim = trim
        self._log = log
        self._counters = counters
        self._waiting: queue.WaitQueue[Waiter] = queue.WaitQueue()
        self._pace = pace.Pace()
        self._returns = pace.ReturnPlan(generator)
        # Work of waiters that proceed, but have not been sent yet.
        self._claimed_ms: collections.Counter[str] = collections.Counter()
        self._timer: asyncio.TimerHandle | None = None
        self._is_due = False
        self._is_closed = False

    def __len__(self) -> int:
        return len(self._waiting)

    @property
    def size_bytes(self) -> int:
        """The memory that waiting requests take."""
        return self._waiting.size_bytes

    def sum_waiting(self) -> collections.Counter[int]:
        """Return the waiting work in ms by priority.

        Work beyond its customer's share counts in part; work that has waited
        long counts as the most urgent.
        """
        now = time.monotonic()
        total: collections.Counter[int] = collections.Counter()
        by_group: collections.Counter[tuple[int, str]] = collections.Counter()
        for waiter in self._waiting.list_waiters():
            if waiter.is_aged(now):
                total[0] += round(waiter.work_ms)
            else:
                key = waiter.priority, waiter.customer
                by_group[key] += round(waiter.work_ms)
        for (priority, customer), work_ms in by_group.items():
            total[priority] += round(self._fit.weigh_ms(customer, work_ms))
        return total

    async def wait(self, waiter: Waiter) -> Verdict:
        """Return once a request may proceed or is refused.

        Nothing is put off between the return and the choice of an endpoint:
        the room that was kept is free again.
        """
        if not len(self._waiting) and self._find_takers(waiter) != []:
            return GO_ON
        now = time.monotonic()
        ahead_ms = self._waiting.count_ahead_ms(waiter, now, self._rank)
        wait_seconds = self._pace.estimate_seconds(ahead_ms, now)
        count = len(self._waiting)
        outcome = "left"
        self._enter(waiter, wait_seconds or 0.0)
        try:
            verdict = await waiter.woken
            outcome = "went_on" if verdict.reason is None else "refused"
            return verdict
        finally:
            self._leave(waiter)
            waited = time.monotonic() - now
            if waited >= LOGGED_SECONDS or outcome != "went_on":
                self._record_wait(waiter, outcome, waited, count, wait_seconds)

    def wake(self) -> None:
        """Look at the waiters soon, as room may have come free."""
        if len(self._waiting) and not self._is_due:
            self._is_due = True
            asyncio.get_running_loop().call_soon(self._look)

    def close(self) -> None:
        """Refuse all waiters, and all that would wait from now on."""
        self._is_closed = True
        for waiter in self._waiting.list_waiters():
            self._refuse(waiter, metrics.Counter.REFUSED_DRAINING)

    def drop_excess(self, most: int, most_bytes: int) -> None:
        """Refuse the waiters over the bounds, the last in order."""
        now = time.monotonic()
        for waiter in self._waiting.pop_excess(
            most, most_bytes, now, self._rank
        ):
            self._refuse(waiter, metrics.Counter.REFUSED_QUEUE_FULL)

    def _rank(self, customer: str) -> float:
        return self._used.rank(customer) + self._claimed_ms[customer]

    def _enter(self, waiter: Waiter, wait_seconds: float) -> None:
        """Add a waiter; let it proceed or refuse it if that can be known now.

        :param wait_seconds: its expected wait.
        """
        now = time.monotonic()
        self._waiting.push(waiter)
        self._pace.set_waiting(True, now)
        # There may be room for it, though not for others.
        self._grant()
        if self._is_closed:
            self._refuse(waiter, metrics.Counter.REFUSED_DRAINING)
        elif now + wait_seconds > waiter.latest_at:
            self._refuse(waiter, metrics.Counter.REFUSED_NOT_IN_TIME)
        self._trim(self)
        self._schedule_look()

    def _leave(self, waiter: Waiter) -> None:
        """Forget a waiter that proceeds, is refused or whose caller left."""
        self._waiting.remove(waiter)
        if waiter.claim is not None:
            place, ticket = waiter.claim
            place.release(ticket)
            self._claimed_ms[waiter.customer] -= round(waiter.work_ms)
            waiter.claim = None
        if not len(self._waiting):
            self._pace.set_waiting(False, time.monotonic())

    def _refuse(self, waiter: Waiter, reason: metrics.Counter) -> None:
        """Refuse a request, unless it proceeds already."""
        self._waiting.remove(waiter)
        if not waiter.woken.done():
            seconds = self._choose_return(waiter, reason)
            waiter.woken.set_result(Verdict(reason, seconds))

    def _choose_return(self, waiter: Waiter, reason: metrics.Counter) -> float:
        """Return when the caller of a refused request may return."""
        now = time.monotonic()
        left = max(0.0, waiter.task.deadline - now)
        if reason is metrics.Counter.REFUSED_DRAINING:
            # Another instance may have room at once.
            return min(MIN_RETRY_SECONDS, pace.MAX_LEFT_SHARE * left)
        ahead_ms = self._waiting.count_ahead_ms(waiter, now, self._rank)
        wait = self._pace.estimate_seconds(ahead_ms, now)
        step = self._pace.estimate_seconds(waiter.work_ms, now)
        return self._returns.choose_seconds(
            MIN_RETRY_SECONDS if wait is None else min(wait, left),
            0.0 if step is None else min(step, left),
            left,
            MIN_RETRY_SECONDS,
            now,
        )

    def _record_wait(
        self,
        waiter: Waiter,
        outcome: str,
        waited: float,
        count: int,
        wait_seconds: float | None,
    ) -> None:
        task = waiter.task
        if waited >= LOGGED_SECONDS:
            self._counters.count(metrics.Counter.WAITED)
            self._counters.observe(metrics.Histogram.WAIT, waited)
        self._log.write_routine(
            "waited",
            request=task.call.identity,
            outcome=outcome,
            ms=round(waited * 1000.0),
            customer=waiter.customer,
            route=task.route.name,
            priority=waiter.priority,
            waiting=count,
            use_ms=round(self._rank(waiter.customer)),
            excess=round(self._used.find_excess_factor(waiter.customer), 2),
            tokens=waiter.need.all_tokens,
            work_ms=round(waiter.work_ms),
            expected_ms=_round_ms(wait_seconds),
            left_ms=round((task.deadline - time.monotonic()) * 1000.0),
        )

    def _schedule_look(self) -> None:
        if self._timer is None and len(self._waiting):
            self._timer = asyncio.get_running_loop().call_later(
                LOOK_SECONDS, self._look_again
            )

    def _look_again(self) -> None:
        self._timer = None
        self._look()
        self._schedule_look()

    def _look(self) -> None:
        """Let waiters proceed that find room, and refuse those too late."""
        self._is_due = False
        now = time.monotonic()
        for waiter in self._waiting.list_waiters():
            if waiter.woken.done():
                # Its caller left; the request's task ends soon.
                self._waiting.remove(waiter)
            elif now >= waiter.latest_at:
                self._refuse(waiter, metrics.Counter.REFUSED_NOT_IN_TIME)
        self._grant()

    def _grant(self) -> None:
        """Let waiters proceed in their order, as far as there is room."""
        kept: set[str] = set()

        def try_grant(waiter: Waiter, is_overdue: bool) -> bool:
            return self._try_grant(waiter, kept, is_overdue)

        def keep_room(waiter: Waiter) -> None:
            candidates = directory.list_available(waiter.listing())
            if candidates:
                roomiest = min(
                    candidates,
                    key=lambda member: (
                        self._rooms.find(member).tokens,
                        member.load,
                    ),
                )
                kept.add(roomiest.identity)

        now = time.monotonic()
        self._waiting.grant(now, self._rank, try_grant, keep_room)
        if not len(self._waiting):
            self._pace.set_waiting(False, now)

    def _try_grant(
        self,
        waiter: Waiter,
        kept: collections.abc.Container[str],
        is_overdue: bool,
    ) -> bool:
        """Let a waiter proceed if there is room; return whether it goes.

        :param kept: the ids of endpoints whose room is for another waiter.
        :param is_overdue: whether it has waited too long to be overtaken.
        """
        if waiter.woken.done():
            return True
        waiter.task.is_overdue = is_overdue
        takers = self._find_takers(waiter, kept)
        if takers == []:
            return False
        if takers:
            member = min(
                takers, key=lambda each: (each.known_queue_ms, each.load)
            )
            place = self._rooms.find(member)
            waiter.claim = place, place.reserve(waiter.need, is_claim=True)
            self._claimed_ms[waiter.customer] += round(waiter.work_ms)
        self._pace.record_grant(waiter.work_ms, time.monotonic())
        waiter.woken.set_result(GO_ON)
        return True

    def _find_takers(
        self,
        waiter: Waiter,
        kept: collections.abc.Container[str] = (),
    ) -> collections.abc.Sequence[directory.Member] | None:
        """Return the endpoints that a waiter may be sent to.

        :param kept: the ids of endpoints whose room is for another waiter.
        :returns: None if it does not have to wait for any: admission is off,
            or there are no endpoints that take requests now.
        """
        members = directory.list_available(waiter.listing())
        if not members or self._fit.find_facts(waiter.task.service) is None:
            return None
        return self._fit.list_takers(
            waiter.task,
            waiter.need,
            [member for member in members if member.identity not in kept],
        )


def _round_ms(seconds: float | None) -> int | None:
    if seconds is None or math.isinf(seconds):
        return None
    return round(seconds * 1000.0)
