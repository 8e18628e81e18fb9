"""Admits attempts to the endpoint's slots, or refuses them at once."""

import asyncio
import collections
import collections.abc
import dataclasses
import enum
import random

import expression

from wagtailstream_core import admission, clock


class Cause(enum.Enum):
    """Why an attempt gets no slot."""

    FULL = "full"
    LATE = "late"


@dataclasses.dataclass(frozen=True)
class Rejection:
    """An attempt that gets no slot.

    :param retry_at: Unix time in seconds from which to come back.
    """

    cause: Cause
    retry_at: float


@dataclasses.dataclass(frozen=True)
class Applicant:
    """An attempt that asks for a slot.

    :param priority: higher goes first.
    :param deadline: Unix time in seconds, by when its answer is due.
    :param is_suspect: whether an endpoint died under its body before; it
        waits for the trial too and calls :meth:`Slots.end_trial`.
    """

    customer: str
    priority: int
    deadline: float
    is_suspect: bool = False


Verdict = expression.Result[None, Rejection]
_ADMITTED: Verdict = expression.Ok(None)


class Slots:
    """A bounded number of slots with a bounded queue.

    An attempt under whose body an endpoint died before is a suspect. One
    suspect at a time is on trial, until its first sign of progress; the
    others wait. So a death tells which of them it was.

    :param count: how many attempts run at once.
    :param queue: how many may wait.
    :param system_clock: tells the time.
    :param rng: spreads the times to come back.
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
        self._is_trial_open = True

    @property
    def count(self) -> int:
        """How many attempts run at once."""
        return self._count

    @property
    def running(self) -> int:
        """How many attempts hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """How many attempts wait for a slot."""
        return len(self._queue)

    @property
    def service_time(self) -> admission.ServiceTime:
        """How long attempts hold a slot."""
        return self._service_time

    def count_queued(self) -> collections.abc.Mapping[int, int]:
        """Return how many attempts wait, by priority."""
        return collections.Counter(-place.rank for place in self._waiters)

    def resize(self, count: int) -> None:
        """Set how many attempts run at once.

        :param count: the new number.
        """
        self._count = count
        self._admit()

    async def acquire(self, applicant: Applicant) -> Verdict:
        """Wait for a slot, or return why there is none; cancelling is safe.

        Whoever is let in calls :meth:`release` in the end.

        :param applicant: who asks.
        """
        occupancy = self._find_occupancy(applicant)
        now = self._clock.wall()
        late = admission.check_deadline(
            occupancy, applicant.deadline, now, self._rng
        )
        if late is not None:
            return expression.Error(Rejection(Cause.LATE, late.retry_at))
        place = self._queue.push(applicant.priority, applicant.customer)
        future: asyncio.Future[Verdict] = (
            asyncio.get_running_loop().create_future()
        )
        self._waiters[place] = future
        if applicant.is_suspect:
            self._suspects.add(place)
        self._admit()
        self._evict(occupancy, now)
        return await self._wait(place, future, applicant)

    def _find_occupancy(self, applicant: Applicant) -> admission.Occupancy:
        place = self._queue.find_place(applicant.priority, applicant.customer)
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
            expression.Error(Rejection(Cause.FULL, retry_at))
        )

    async def _wait(
        self,
        place: admission.Place,
        future: "asyncio.Future[Verdict]",
        applicant: Applicant,
    ) -> Verdict:
        seconds = applicant.deadline - self._clock.wall()
        limit = max(0.0, seconds - self._service_time.bound)
        try:
            await asyncio.wait([future], timeout=limit)
        except asyncio.CancelledError:
            if future.done() and future.result().is_ok():
                if applicant.is_suspect:
                    self.end_trial()
                self._free()
            self._give_up(place)
            raise
        if future.done():
            return future.result()
        self._give_up(place)
        retry_at = admission.find_retry_at(
            self._service_time.bound, self._clock.wall(), self._rng
        )
        return expression.Error(Rejection(Cause.LATE, retry_at))

    def _give_up(self, place: admission.Place) -> None:
        self._queue.remove(place)
        self._waiters.pop(place, None)
        self._suspects.discard(place)

    def release(self, held_seconds: float) -> None:
        """Give a slot back.

        :param held_seconds: how long it was held.
        """
        self._service_time.note(held_seconds)
        self._free()

    def _free(self) -> None:
        self._running -= 1
        self._admit()

    def end_trial(self) -> None:
        """Let the next suspect in."""
        self._is_trial_open = True
        self._admit()

    def _admit(self) -> None:
        while self._running < self._count:
            place = self._queue.pop_if(self._may_serve)
            if place is None:
                return
            if place in self._suspects:
                self._suspects.discard(place)
                self._is_trial_open = False
            self._running += 1
            self._waiters.pop(place).set_result(_ADMITTED)

    def _may_serve(self, place: admission.Place) -> bool:
        return self._is_trial_open or place not in self._suspects
