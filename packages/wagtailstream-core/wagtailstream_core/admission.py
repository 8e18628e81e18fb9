"""Admission control for an endpoint's slots: queue order and early refusal.

Requests of a higher priority are served first; within a priority, customers
take turns. A request that is unlikely to complete by its deadline is refused
immediately. The refusal holds the time from which a request with the same
time to its deadline can be expected to get through the queue.
"""

import bisect
import collections.abc
import dataclasses
import random

# Weight of a new sample in the moving averages of the service time.
SERVICE_TIME_SMOOTHING = 0.1
# A request is expected to complete within the mean service time plus this
# many mean absolute deviations.
SERVICE_DEVIATIONS = 2.0
# Retry-After delays are lengthened by a random part of up to this fraction,
# so that callers refused together don't retry together.
RETRY_SPREAD = 0.5
MIN_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, order=True)
class Place:
    """A waiter's sort key in the queue; the smallest is served first.

    :param rank: the negated priority.
    :param turn: the round in which the customer is served within the
        priority.
    :param order: the arrival number, which breaks ties.
    """

    rank: int
    turn: int
    order: int


class AdmissionQueue:
    """The requests that wait for one endpoint, in the order of service.

    Fair queueing: the n-th waiter of a customer gets the n-th turn after the
    one being served, so a customer that floods the queue delays only itself.

    :param capacity: the maximum number of waiters.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._places: list[Place] = []
        # A flow is a customer's waiters of one priority.
        self._flows: dict[Place, tuple[int, str]] = {}
        self._last_turns: dict[tuple[int, str], int] = {}
        self._served_turns: dict[int, int] = {}
        self._arrivals = 0

    def __len__(self) -> int:
        return len(self._places)

    def find_place(self, priority: int, customer: str) -> Place:
        """Return the place that a new waiter would get.

        :param priority: a higher one is served first.
        :param customer: the customer's name.
        """
        served = self._served_turns.get(priority, 0)
        last = self._last_turns.get((priority, customer), 0)
        return Place(-priority, max(served, last) + 1, self._arrivals)

    def count_ahead(self, place: Place) -> int:
        """Return how many waiters are ahead of a place.

        :param place: the place, which need not be taken.
        """
        return bisect.bisect_left(self._places, place)

    def push(self, priority: int, customer: str) -> Place:
        """Add a waiter and return its place.

        The queue may exceed its capacity by one until :meth:`pop_excess`.

        :param priority: a higher one is served first.
        :param customer: the customer's name.
        """
        place = self.find_place(priority, customer)
        self._arrivals += 1
        self._last_turns[priority, customer] = place.turn
        self._flows[place] = (priority, customer)
        bisect.insort(self._places, place)
        return place

    def pop_excess(self) -> Place | None:
        """Remove and return the last waiter if the queue is over capacity."""
        if len(self._places) <= self._capacity:
            return None
        place = self._places[-1]
        self.remove(place)
        return place

    def pop(self) -> Place:
        """Remove and return the first waiter.

        :raises IndexError: the queue is empty.
        """
        place = self._places[0]
        self._serve(place)
        return place

    def pop_if(
        self, may_serve: collections.abc.Callable[[Place], bool]
    ) -> Place | None:
        """Remove and return the first waiter that may be served, or None.

        :param may_serve: returns whether the waiter of a place may be served
            now.
        """
        for place in self._places:
            if may_serve(place):
                self._serve(place)
                return place
        return None

    def _serve(self, place: Place) -> None:
        served = self._served_turns.get(-place.rank, 0)
        self._served_turns[-place.rank] = max(served, place.turn)
        self.remove(place)

    def remove(self, place: Place) -> None:
        """Remove a waiter that no longer waits; do nothing if it is gone.

        :param place: its place.
        """
        flow = self._flows.pop(place, None)
        if flow is None:
            return
        del self._places[bisect.bisect_left(self._places, place)]
        if self._last_turns.get(flow) == place.turn:
            self._release_turn(flow, place)

    def _release_turn(self, flow: tuple[int, str], place: Place) -> None:
        """Return a flow's last turn if unused, or drop a turn that is past."""
        if place.turn <= self._served_turns.get(-place.rank, 0):
            del self._last_turns[flow]
        else:
            self._last_turns[flow] = place.turn - 1


@dataclasses.dataclass
class ServiceTime:
    """Moving averages of how long requests hold a slot.

    :param mean: in seconds; None before the first sample.
    :param deviation: the mean absolute deviation, in seconds.
    """

    mean: float | None = None
    deviation: float = 0.0

    @property
    def bound(self) -> float:
        """The time within which most requests complete, in seconds."""
        return (self.mean or 0.0) + SERVICE_DEVIATIONS * self.deviation

    def add_sample(self, seconds: float) -> None:
        """Add a sample.

        :param seconds: how long a slot was held.
        """
        if self.mean is None:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += SERVICE_TIME_SMOOTHING * error
        self.deviation += SERVICE_TIME_SMOOTHING * (
            abs(error) - self.deviation
        )


@dataclasses.dataclass(frozen=True)
class Occupancy:
    """The load that a request finds at an endpoint.

    :param slots: how many requests the endpoint runs at once.
    :param running: requests that hold slots.
    :param ahead: waiters that are served earlier.
    :param mean_seconds: the mean time that a request holds a slot.
    :param bound_seconds: the time within which most requests complete.
    """

    slots: int
    running: int
    ahead: int
    mean_seconds: float
    bound_seconds: float


def estimate_wait(occupancy: Occupancy) -> float:
    """Return the estimated seconds until a slot is free for a request.

    :param occupancy: the load ahead of the request.
    """
    slots = max(1, occupancy.slots)
    excess = occupancy.running + occupancy.ahead + 1 - slots
    if excess <= 0:
        return 0.0
    return excess * occupancy.mean_seconds / slots


@dataclasses.dataclass(frozen=True)
class MissedDeadline:
    """A request that is unlikely to complete by its deadline.

    :param wait_seconds: the estimated time until a slot is free.
    :param retry_at: the earliest time to retry, on the deadline's clock.
    """

    wait_seconds: float
    retry_at: float


def check_deadline(
    occupancy: Occupancy, deadline: float, now: float, rng: random.Random
) -> MissedDeadline | None:
    """Return None if a request will probably complete by its deadline.

    A request that need not wait is admitted whatever the service time is.

    :param occupancy: the load ahead of the request.
    :param deadline: when the whole answer is due, in seconds.
    :param now: on the deadline's clock, in seconds.
    :param rng: adds jitter to the retry time.
    """
    wait = estimate_wait(occupancy)
    if wait <= 0.0:
        return None
    overrun = now + wait + occupancy.bound_seconds - deadline
    if overrun <= 0.0:
        return None
    # Every second that passes shortens the queue's wait by one second. So a
    # request with the same time to its deadline would be in time after
    # `overrun` seconds.
    return MissedDeadline(wait, find_retry_at(min(overrun, wait), now, rng))


def find_retry_at(seconds: float, now: float, rng: random.Random) -> float:
    """Return the earliest time at which a refused caller should retry.

    :param seconds: the estimated time until the queue has a free place.
    :param now: the present time in seconds, on any clock.
    :param rng: adds jitter, so that callers don't retry together.
    """
    spread = 1.0 + RETRY_SPREAD * rng.random()
    return now + max(MIN_RETRY_SECONDS, seconds) * spread
