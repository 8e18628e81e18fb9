"""Limits the attempts that run at an endpoint; others queue or are refused."""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import random

import expression

from wagtailstream_core import admission, clock


class RejectionCause(enum.Enum):
    """Why an attempt gets no slot.

    FULL means that the queue is full, LATE that the attempt would not end
    before its deadline.
    """

    FULL = "full"
    LATE = "late"


@dataclasses.dataclass(frozen=True)
class Rejection:
    """The refusal of an attempt that gets no slot.

    :param retry_at: Unix time in seconds from which a retry makes sense.
    """

    cause: RejectionCause
    retry_at: float


@dataclasses.dataclass(frozen=True)
class SlotRequest:
    """An attempt's request for a slot.

    :param priority: attempts with a higher priority are admitted first.
    :param deadline: Unix time in seconds by which the answer is due.
    :param is_suspect: whether an endpoint crashed before while it ran a
        request with the same body. Such an attempt also waits until no other
        suspect is on trial. Whoever acquires its slot must call
        :meth:`Slots.end_trial`.
    """

    customer: str
    priority: int
    deadline: float
    is_suspect: bool = False


Verdict = expression.Result[None, Rejection]
_ADMITTED: Verdict = expression.Ok(None)


class Slots:
    """A bounded number of slots with a bounded queue.

    An attempt is a suspect if an endpoint crashed before while it ran a
    request with the same body. A suspect that gets a slot is on trial until
    its first progress or its end. Only one suspect at a time is on trial; the
    others wait. A crash during a trial can therefore be attributed to a
    single attempt.

    :param count: maximum number of attempts that run at once.
    :param queue: maximum number of attempts that wait.
    :param system_clock: source of the current time.
    :param rng: spreads the retry times of refused attempts.
    """

    def __init__(
        self,
        count: int,
        queue: int,
        system_clock: clock.Clock,
        rng: random.Random,
    ) -> None:
        self._count = count
        self._clock = system_clock
        self._rng = rng
        self._running = 0
        self._service_time = admission.ServiceTime()
        self._queue = admission.AdmissionQueue(queue)
        self._waiters: dict[admission.Place, asyncio.Future[Verdict]] = {}
        self._suspects: set[admission.Place] = set()
        self._can_start_trial = True

    @property
    def count(self) -> int:
        """Maximum number of attempts that run at once."""
        return self._count

    @property
    def running(self) -> int:
        """Number of attempts that hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """Number of attempts that wait for a slot."""
        return len(self._queue)

    @property
    def service_time(self) -> admission.ServiceTime:
        """Statistics of the time that attempts hold a slot."""
        return self._service_time

    def count_queued(self) -> collections.abc.Mapping[int, int]:
        """Return the number of waiting attempts by priority."""
        return collections.Counter(-place.rank for place in self._waiters)

    def resize(self, count: int) -> None:
        """Set the maximum number of attempts that run at once.

        :param count: the new maximum.
        """
        self._count = count
        self._admit()

    async def acquire(self, request: SlotRequest) -> Verdict:
        """Wait for a slot, or return why there is none.

        The caller of a successful acquire must call :meth:`release`. If the
        wait is cancelled, a slot that was just granted is released.

        :param request: the attempt's request.
        """
        occupancy = self._find_occupancy(request)
        now = self._clock.wall()
        unreachable_deadline = admission.check_deadline(
            occupancy, request.deadline, now, self._rng
        )
        if unreachable_deadline is not None:
            return expression.Error(
                Rejection(RejectionCause.LATE, unreachable_deadline.retry_at)
            )
        place = self._queue.push(request.priority, request.customer)
        future: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[place] = future
        if request.is_suspect:
            self._suspects.add(place)
        self._admit()
        self._evict(occupancy, now)
        return await self._wait(place, future, request)

    def _find_occupancy(self, request: SlotRequest) -> admission.Occupancy:
        place = self._queue.find_place(request.priority, request.customer)
        return admission.Occupancy(
            self._count,
            self._running,
            self._queue.count_ahead(place),
            self._service_time.mean or 0.0,
            self._service_time.bound,
        )

    def _evict(self, occupancy: admission.Occupancy, now: float) -> None:
        place = self._queue.pop_excess()
        if place is None:
            return
        retry_at = admission.find_retry_at(
            admission.estimate_wait(occupancy), now, self._rng
        )
        self._suspects.discard(place)
        self._waiters.pop(place).set_result(
            expression.Error(Rejection(RejectionCause.FULL, retry_at))
        )

    async def _wait(
        self,
        place: admission.Place,
        future: "asyncio.Future[Verdict]",
        request: SlotRequest,
    ) -> Verdict:
        remaining = request.deadline - self._clock.wall()
        # A slot that is granted later would not leave time for the answer.
        max_wait_seconds = max(0.0, remaining - self._service_time.bound)
        try:
            await asyncio.wait([future], timeout=max_wait_seconds)
        except asyncio.CancelledError:
            if future.done() and future.result().is_ok():
                if request.is_suspect:
                    self.end_trial()
                self._release_slot()
            self._remove_waiter(place)
            raise
        if future.done():
            return future.result()
        self._remove_waiter(place)
        retry_at = admission.find_retry_at(
            self._service_time.bound, self._clock.wall(), self._rng
        )
        return expression.Error(Rejection(RejectionCause.LATE, retry_at))

    def _remove_waiter(self, place: admission.Place) -> None:
        self._queue.remove(place)
        self._waiters.pop(place, None)
        self._suspects.discard(place)

    def release(self, held_seconds: float) -> None:
        """Release a slot.

        :param held_seconds: how long the attempt held it.
        """
        self._service_time.add_sample(held_seconds)
        self._release_slot()

    def _release_slot(self) -> None:
        self._running -= 1
        self._admit()

    def end_trial(self) -> None:
        """End the present suspect's trial, so that the next one may run."""
        self._can_start_trial = True
        self._admit()

    def _admit(self) -> None:
        while self._running < self._count:
            place = self._queue.pop_if(self._may_admit)
            if place is None:
                return
            if place in self._suspects:
                self._suspects.discard(place)
                self._can_start_trial = False
            self._running += 1
            self._waiters.pop(place).set_result(_ADMITTED)

    def _may_admit(self, place: admission.Place) -> bool:
        return self._can_start_trial or place not in self._suspects
