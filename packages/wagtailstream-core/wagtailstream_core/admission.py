"""Admission to an endpoint's slots: order of the queue, and early refusal.

Higher priorities go first; within a priority, customers take turns. What can
no longer be done by its deadline is refused at once, with the time at which
the queue will have room for a request that can wait as long.
"""

import bisect
import collections.abc
import dataclasses
import random

# How much a new measurement counts in the mean service time.
SERVICE_TIME_GAIN = 0.1
# How many mean deviations above the mean a request is given to be done.
SERVICE_DEVIATIONS = 2.0
# Retry-After times are spread over this share beyond the estimate, so that
# callers refused together don't come back together.
RETRY_SPREAD = 0.5
MIN_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, order=True)
class Place:
    """Where a waiter stands in the queue; less is served earlier.

    :param rank: the negated priority.
    :param turn: the customer's turn within the priority.
    :param order: the order of arrival.
    """

    rank: int
    turn: int
    order: int


class AdmissionQueue:
    """The waiters of one endpoint, in the order in which they are served.

    Fair queueing: a customer's n-th waiter stands n turns behind the turn
    that is being served, so that one customer's flood delays only itself.

    :param capacity: how many may wait.
    """

    def __init__(self, capacity: int) -> None:
        self._capacity = capacity
        self._places: list[Place] = []
        self._customers: dict[Place, tuple[int, str]] = {}
        self._last_turns: dict[tuple[int, str], int] = {}
        self._served_turns: dict[int, int] = {}
        self._count = 0

    def __len__(self) -> int:
        return len(self._places)

    def find_place(self, priority: int, customer: str) -> Place:
        """Return where a new waiter would stand.

        :param priority: higher goes first.
        :param customer: the customer's name.
        """
        served = self._served_turns.get(priority, 0)
        last = self._last_turns.get((priority, customer), 0)
        return Place(-priority, max(served, last) + 1, self._count)

    def count_ahead(self, place: Place) -> int:
        """Return how many waiters stand before a place.

        :param place: the place.
        """
        return bisect.bisect_left(self._places, place)

    def push(self, priority: int, customer: str) -> Place:
        """Add a waiter; the queue may then hold one too many.

        :param priority: higher goes first.
        :param customer: the customer's name.
        """
        place = self.find_place(priority, customer)
        self._count += 1
        self._last_turns[priority, customer] = place.turn
        self._customers[place] = (priority, customer)
        bisect.insort(self._places, place)
        return place

    def pop_excess(self) -> Place | None:
        """Remove and return the last waiter if there are too many."""
        if len(self._places) <= self._capacity:
            return None
        place = self._places[-1]
        self.remove(place)
        return place

    def pop(self) -> Place:
        """Remove and return the waiter whose turn it is.

        :raises IndexError: nobody waits.
        """
        place = self._places[0]
        self._serve(place)
        return place

    def pop_if(
        self, may_serve: collections.abc.Callable[[Place], bool]
    ) -> Place | None:
        """Remove and return the first waiter that may be served, or None.

        :param may_serve: tells whether a waiter may be served now.
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
        """Remove a waiter that gave up; one that is gone is let be.

        :param place: its place.
        """
        customer = self._customers.pop(place, None)
        if customer is None:
            return
        del self._places[bisect.bisect_left(self._places, place)]
        if self._last_turns.get(customer) == place.turn:
            self._forget_turn(customer, place)

    def _forget_turn(self, customer: tuple[int, str], place: Place) -> None:
        """Drop a customer's last turn once it lies in the past."""
        if place.turn <= self._served_turns.get(-place.rank, 0):
            del self._last_turns[customer]
        else:
            self._last_turns[customer] = place.turn - 1


@dataclasses.dataclass
class ServiceTime:
    """How long requests hold a slot, as measured.

    :param mean: in seconds; None before the first measurement.
    :param deviation: the mean absolute deviation, in seconds.
    """

    mean: float | None = None
    deviation: float = 0.0

    @property
    def bound(self) -> float:
        """The seconds within which most requests are done."""
        return (self.mean or 0.0) + SERVICE_DEVIATIONS * self.deviation

    def note(self, seconds: float) -> None:
        """Take in a measurement.

        :param seconds: how long a slot was held.
        """
        if self.mean is None:
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += SERVICE_TIME_GAIN * error
        self.deviation += SERVICE_TIME_GAIN * (abs(error) - self.deviation)


@dataclasses.dataclass(frozen=True)
class Occupancy:
    """What stands before a request at an endpoint.

    :param running: requests that hold slots.
    :param ahead: waiters that are served earlier.
    :param mean_seconds: the mean time that a request holds a slot.
    :param bound_seconds: the time within which most are done.
    """

    slots: int
    running: int
    ahead: int
    mean_seconds: float
    bound_seconds: float


def estimate_wait(occupancy: Occupancy) -> float:
    """Return the seconds until a slot will be free for a request.

    :param occupancy: what stands before it.
    """
    slots = max(1, occupancy.slots)
    excess = occupancy.running + occupancy.ahead + 1 - slots
    if excess <= 0:
        return 0.0
    return excess * occupancy.mean_seconds / slots


@dataclasses.dataclass(frozen=True)
class Late:
    """A request that cannot be done by its deadline.

    :param wait_seconds: until a slot would be free.
    :param retry_at: when to come back, on the clock of the deadline.
    """

    wait_seconds: float
    retry_at: float


def check_deadline(
    occupancy: Occupancy, deadline: float, now: float, rng: random.Random
) -> Late | None:
    """Return None if a request can probably be done in time.

    One that need not wait is let in whatever the mean service time.

    :param occupancy: what stands before the request.
    :param deadline: by when the whole answer is due.
    :param now: on the deadline's clock, in seconds.
    :param rng: spreads the times to come back.
    """
    wait = estimate_wait(occupancy)
    if wait <= 0.0:
        return None
    late = now + wait + occupancy.bound_seconds - deadline
    if late <= 0.0:
        return None
    # The queue drains by a second each second.
    return Late(wait, find_retry_at(min(late, wait), now, rng))


def find_retry_at(seconds: float, now: float, rng: random.Random) -> float:
    """Return when a refused caller should come back.

    :param seconds: the estimate of the time until there is room.
    :param now: in seconds.
    :param rng: spreads the times.
    """
    spread = 1.0 + RETRY_SPREAD * rng.random()
    return now + max(MIN_RETRY_SECONDS, seconds) * spread
