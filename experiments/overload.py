"""Compares admission queues for one overloaded endpoint.

Brokers offer a fixed fifth of the capacity and have priority. Buyers offer the
rest of the load, half of it from one customer. A refused caller retries up to
three times, at the time given in the refusal or after a second. A caller whose
deadline passes cancels its attempt and retries once.
"""

import abc
import collections
import collections.abc
import dataclasses
import random

import numpy

from experiments import base, simulation
from wagtailstream_core import admission

SLOTS = 8
# The number of attempts that a bounded queue holds.
QUEUE_CAPACITY = 64
SERVICE_SECONDS = 1.0
RUN_SECONDS = 240.0
BROKER_SHARE = 0.2
BROKER_PRIORITY = 5
BROKER_PATIENCE_SECONDS = 5.0
BUYER_PATIENCE_SECONDS = 10.0
BUYERS = 8
LARGE_BUYER_SHARE = 0.5
MAX_RETRIES_AFTER_REFUSAL = 3
NAIVE_BACKOFF_SECONDS = 1.0
# Offered load of first attempts, as multiples of the endpoint's capacity.
LOADS = (0.5, 1.0, 2.0, 5.0)


@dataclasses.dataclass(frozen=True)
class OverloadRow(base.Row):
    """The measurements of an endpoint's queue under a load.

    :param load: the offered load of first attempts, as a multiple of the
        capacity.
    :param goodput: work for answers in time, as a fraction of the capacity.
    :param wasted: work for answers that were too late, as a fraction of the
        capacity.
    :param broker_success: the fraction of the brokers' requests that are
        completed.
    :param broker_wait_p99: the 99th percentile of the time from a broker's
        first attempt to the answer, of completed requests, in seconds.
    :param light_success: the fraction of completed requests of the seven small
        buyers.
    :param heavy_success: the fraction of completed requests of the large
        buyer.
    :param fairness: Jain's fairness index of the buyers' completed requests
        as fractions of their max-min fair shares.
    :param given_up_seconds: the mean time from sending an attempt until it is
        refused or its deadline passes, of attempts without an answer.
    :param tries: the mean number of attempts per request.
    """

    load: str
    goodput: float
    wasted: float
    broker_success: float
    broker_wait_p99: float
    light_success: float
    heavy_success: float
    fairness: float
    given_up_seconds: float
    tries: float


@dataclasses.dataclass(eq=False)
class _Attempt:
    customer: str
    priority: int
    deadline: float
    service_seconds: float
    request: "_Request"
    arrived_at: float
    is_over: bool = False


@dataclasses.dataclass(eq=False)
class _Request:
    customer: str
    priority: int
    patience: float
    first_at: float
    refused: int = 0
    timed_out: int = 0
    tries: int = 0
    done_at: float | None = None


class Queue(abc.ABC):
    """Orders waiting attempts and refuses those that it has no room for.

    :param rng: the generator for jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def offer(
        self, item: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        """Queue an attempt; return refused attempts and when to retry them.

        The refused attempts may include others than the new one. The time is
        in seconds since the start, None if the queue doesn't give one.

        :param item: the new attempt.
        :param running: how many attempts hold slots.
        :param now: seconds since the start.
        """

    @abc.abstractmethod
    def pop(self) -> _Attempt | None:
        """Remove and return the next attempt to run, None if there is none."""

    @abc.abstractmethod
    def remove(self, item: _Attempt) -> None:
        """Remove an attempt whose time is over, if it is queued."""

    @abc.abstractmethod
    def record_service_time(self, seconds: float) -> None:
        """Record how long an attempt held its slot."""

    def find_queue_deadline(self, item: _Attempt) -> float:
        """Return when an attempt that still waits is refused."""
        return item.deadline


class Fifo(Queue):
    """Naive: first come, first served.

    :param rng: unused.
    :param capacity: how many attempts may wait.
    """

    def __init__(self, rng: random.Random, capacity: float) -> None:
        super().__init__(rng)
        self._capacity = capacity
        self._items: collections.deque[_Attempt] = collections.deque()

    def offer(
        self, item: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        if len(self._items) >= self._capacity:
            return [item], None
        self._items.append(item)
        return [], None

    def pop(self) -> _Attempt | None:
        return self._items.popleft() if self._items else None

    def remove(self, item: _Attempt) -> None:
        if item in self._items:
            self._items.remove(item)

    def record_service_time(self, seconds: float) -> None:
        pass


class PriorityOnly(Fifo):
    """Naive: serve by priority; a full queue refuses any new attempt."""

    def pop(self) -> _Attempt | None:
        if not self._items:
            return None
        best = max(self._items, key=lambda item: item.priority)
        self._items.remove(best)
        return best


class Admission(Queue):
    """The router's admission queue.

    :param rng: the generator for jitter of retry times.
    :param is_fair: whether customers of the same priority are served in turn.
    :param has_deadlines: whether attempts that would miss their deadline are
        refused early.
    """

    def __init__(
        self,
        rng: random.Random,
        is_fair: bool = True,
        has_deadlines: bool = True,
    ) -> None:
        super().__init__(rng)
        self._is_fair = is_fair
        self._has_deadlines = has_deadlines
        self._service = admission.ServiceTime()
        self._queue = admission.AdmissionQueue(QUEUE_CAPACITY)
        self._items: dict[admission.Place, _Attempt] = {}
        self._places: dict[_Attempt, admission.Place] = {}

    def offer(
        self, item: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        customer = item.customer if self._is_fair else "all"
        place = self._queue.find_place(item.priority, customer)
        occupancy = admission.Occupancy(
            SLOTS,
            running,
            self._queue.count_ahead(place),
            self._service.mean or 0.0,
            self._service.bound,
        )
        if self._has_deadlines:
            late = admission.check_deadline(
                occupancy, item.deadline, now, self.rng
            )
            if late is not None:
                return [item], late.retry_at
        place = self._queue.push(item.priority, customer)
        self._items[place] = item
        self._places[item] = place
        excess = self._queue.pop_excess()
        if excess is None:
            return [], None
        evicted = self._items.pop(excess)
        del self._places[evicted]
        wait = admission.estimate_wait(occupancy)
        return [evicted], admission.find_retry_at(wait, now, self.rng)

    def pop(self) -> _Attempt | None:
        if not len(self._queue):
            return None
        item = self._items.pop(self._queue.pop())
        del self._places[item]
        return item

    def remove(self, item: _Attempt) -> None:
        place = self._places.pop(item, None)
        if place is not None:
            self._queue.remove(place)
            del self._items[place]

    def find_queue_deadline(self, item: _Attempt) -> float:
        if not self._has_deadlines:
            return item.deadline
        return max(item.arrived_at, item.deadline - self._service.bound)

    def record_service_time(self, seconds: float) -> None:
        self._service.add_sample(seconds)


class ShareForOldest(Admission):
    """The router's queue, but each tenth slot goes to the oldest attempt.

    :param rng: the generator for jitter of retry times.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._popped = 0

    def pop(self) -> _Attempt | None:
        self._popped += 1
        if self._popped % 10 or not self._places:
            return super().pop()
        oldest = min(self._places, key=lambda item: item.arrived_at)
        self.remove(oldest)
        return oldest


QUEUES: dict[str, collections.abc.Callable[[random.Random], Queue]] = {
    "fifo-unbounded": lambda rng: Fifo(rng, float("inf")),
    "fifo-bounded": lambda rng: Fifo(rng, QUEUE_CAPACITY),
    "priority-only": lambda rng: PriorityOnly(rng, QUEUE_CAPACITY),
    "no-deadlines": lambda rng: Admission(rng, has_deadlines=False),
    "no-turns": lambda rng: Admission(rng, is_fair=False),
    "share-for-oldest": ShareForOldest,
    "chosen": Admission,
}


class _Trial:
    """One simulated run of one queue at one load."""

    def __init__(self, queue: Queue, load: float, seed: int) -> None:
        self._queue = queue
        self._load = load
        self._clock = simulation.Simulation()
        # A separate generator gives all queues the same arrivals.
        self._arrivals = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._running = 0
        self._requests: list[_Request] = []
        self._work_in_time = 0.0
        self._work_wasted = 0.0
        self._unserved_delays: list[float] = []

    def run(self) -> None:
        """Run the simulation until all requests are over."""
        capacity = SLOTS / SERVICE_SECONDS
        self._generate(
            "broker",
            BROKER_SHARE * capacity,
            BROKER_PRIORITY,
            BROKER_PATIENCE_SECONDS,
        )
        rest = (self._load - BROKER_SHARE) * capacity
        for index in range(BUYERS):
            share = (
                LARGE_BUYER_SHARE
                if index == 0
                else (1.0 - LARGE_BUYER_SHARE) / (BUYERS - 1)
            )
            self._generate(
                f"buyer-{index}", share * rest, 0, BUYER_PATIENCE_SECONDS
            )
        self._clock.run(RUN_SECONDS + 120.0)

    def _generate(
        self, customer: str, rate: float, priority: int, patience: float
    ) -> None:
        now = 0.0
        while (now := now + self._arrivals.expovariate(rate)) < RUN_SECONDS:
            request = _Request(customer, priority, patience, now)
            self._requests.append(request)
            self._clock.at(
                now,
                lambda request=request: self._send(request),  # type: ignore
            )

    def _send(self, request: _Request) -> None:
        now = self._clock.now
        request.tries += 1
        item = _Attempt(
            request.customer,
            request.priority,
            now + request.patience,
            self._rng.expovariate(1.0 / SERVICE_SECONDS),
            request,
            now,
        )
        refused, retry_at = self._queue.offer(item, self._running, now)
        for other in refused:
            self._refuse(other, retry_at)
        if item not in refused:
            self._clock.at(
                self._queue.find_queue_deadline(item),
                lambda: self._drop_waiting(item),
            )
            self._clock.at(item.deadline, lambda: self._hang_up(item))
        self._start_next()

    def _refuse(self, item: _Attempt, retry_at: float | None) -> None:
        item.is_over = True
        now = self._clock.now
        self._unserved_delays.append(now - item.arrived_at)
        request = item.request
        request.refused += 1
        if request.refused <= MAX_RETRIES_AFTER_REFUSAL:
            resend_at = retry_at or now + NAIVE_BACKOFF_SECONDS
            self._clock.at(resend_at, lambda: self._send(request))

    def _drop_waiting(self, item: _Attempt) -> None:
        if item.is_over or self._clock.now >= item.deadline:
            return
        item.is_over = True
        self._queue.remove(item)
        self._refuse(item, None)

    def _hang_up(self, item: _Attempt) -> None:
        if item.is_over:
            return
        item.is_over = True
        self._queue.remove(item)
        self._unserved_delays.append(self._clock.now - item.arrived_at)
        request = item.request
        request.timed_out += 1
        if request.timed_out == 1:
            self._send(request)

    def _start_next(self) -> None:
        while self._running < SLOTS:
            item = self._queue.pop()
            if item is None:
                return
            if not item.is_over:
                self._start(item)

    def _start(self, item: _Attempt) -> None:
        """Run an attempt until it completes or its deadline passes."""
        # While the attempt runs, is_over disables the timers set on queueing.
        now = self._clock.now
        end = now + item.service_seconds
        self._running += 1
        is_in_time = end <= item.deadline
        held = min(end, item.deadline) - now
        item.is_over = True
        if not is_in_time:
            self._clock.at(item.deadline, lambda: self._hang_up_running(item))
        self._clock.after(held, lambda: self._finish(item, held, is_in_time))

    def _hang_up_running(self, item: _Attempt) -> None:
        item.is_over = False
        self._hang_up(item)

    def _finish(self, item: _Attempt, held: float, is_in_time: bool) -> None:
        self._running -= 1
        self._queue.record_service_time(held)
        if self._clock.now <= RUN_SECONDS:
            self._work_in_time += held * is_in_time
            self._work_wasted += held * (not is_in_time)
        if is_in_time:
            item.request.done_at = self._clock.now
        self._start_next()

    def make_row(self, name: str) -> OverloadRow:
        """Return the run's measurements."""
        brokers = [r for r in self._requests if r.priority]
        light = [
            r
            for r in self._requests
            if not r.priority and r.customer != "buyer-0"
        ]
        heavy = [r for r in self._requests if r.customer == "buyer-0"]
        waits = [
            r.done_at - r.first_at for r in brokers if r.done_at is not None
        ]
        total_capacity = SLOTS * RUN_SECONDS
        return OverloadRow(
            name,
            f"{self._load:g}",
            self._work_in_time / total_capacity,
            self._work_wasted / total_capacity,
            _find_success(brokers),
            float(numpy.percentile(waits, 99)) if waits else 0.0,
            _find_success(light),
            _find_success(heavy),
            self._find_fairness(),
            float(numpy.mean(self._unserved_delays or [0.0])),
            sum(r.tries for r in self._requests) / len(self._requests),
        )

    def _find_fairness(self) -> float:
        demands: collections.Counter[str] = collections.Counter()
        completed: collections.Counter[str] = collections.Counter()
        for request in self._requests:
            if not request.priority:
                demands[request.customer] += 1
                completed[request.customer] += request.done_at is not None
        capacity = (1.0 - BROKER_SHARE) * SLOTS * RUN_SECONDS / SERVICE_SECONDS
        fair = find_fair_shares(dict(demands), capacity)
        parts = [completed[name] / fair[name] for name in demands]
        squares = sum(part * part for part in parts)
        return sum(parts) ** 2 / (len(parts) * squares) if squares else 0.0


def find_fair_shares(
    demands: dict[str, int], capacity: float
) -> dict[str, float]:
    """Return the max-min fair shares of a capacity.

    Demands below an equal share are met in full; the others share the rest
    equally.

    :param demands: the demand of each customer.
    :param capacity: the capacity to share, in the unit of the demands.
    """
    shares: dict[str, float] = {}
    remaining = sorted(demands, key=lambda name: demands[name])
    while remaining:
        equal = capacity / len(remaining)
        name = remaining.pop(0)
        shares[name] = min(float(demands[name]), equal)
        capacity -= shares[name]
    return shares


def _find_success(requests: list[_Request]) -> float:
    return sum(r.done_at is not None for r in requests) / len(requests)


class OverloadExperiment(base.Experiment):
    """Compares all queues at all loads."""

    @property
    def name(self) -> str:
        return "overload"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        return (
            base.Chart("goodput", "load", "way", "capacity"),
            base.Chart("broker_success", "load", "way", "share"),
            base.Chart("light_success", "load", "way", "share"),
        )

    def run(self, seed: int) -> collections.abc.Sequence[base.Row]:
        rows = []
        for load in LOADS:
            for name, make_queue in QUEUES.items():
                trial = _Trial(make_queue(random.Random(seed + 2)), load, seed)
                trial.run()
                rows.append(trial.make_row(name))
        return rows
