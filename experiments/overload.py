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
    patience_seconds: float
    first_sent_at: float
    refusals: int = 0
    timeouts: int = 0
    attempts: int = 0
    done_at: float | None = None


class Queue(abc.ABC):
    """Orders waiting attempts and refuses those that it has no room for.

    :param rng: the generator for jitter.
    """

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def offer(
        self, attempt: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        """Queue an attempt; return refused attempts and when to retry them.

        The refused attempts may include others than the new one. The time is
        in seconds since the start, None if the queue doesn't give one.

        :param attempt: the new attempt.
        :param running: how many attempts hold slots.
        :param now: seconds since the start.
        """

    @abc.abstractmethod
    def pop(self) -> _Attempt | None:
        """Remove and return the next attempt to run, None if there is none."""

    @abc.abstractmethod
    def remove(self, attempt: _Attempt) -> None:
        """Remove an attempt, if it is queued."""

    @abc.abstractmethod
    def record_service_time(self, seconds: float) -> None:
        """Record how long an attempt held its slot."""

    def find_queue_deadline(self, attempt: _Attempt) -> float:
        """Return when an attempt that still waits is refused."""
        return attempt.deadline


class Fifo(Queue):
    """Naive: first come, first served.

    :param rng: unused.
    :param capacity: how many attempts may wait.
    """

    def __init__(self, rng: random.Random, capacity: float) -> None:
        super().__init__(rng)
        self._capacity = capacity
        self._attempts: collections.deque[_Attempt] = collections.deque()

    def offer(
        self, attempt: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        if len(self._attempts) >= self._capacity:
            return [attempt], None
        self._attempts.append(attempt)
        return [], None

    def pop(self) -> _Attempt | None:
        return self._attempts.popleft() if self._attempts else None

    def remove(self, attempt: _Attempt) -> None:
        if attempt in self._attempts:
            self._attempts.remove(attempt)

    def record_service_time(self, seconds: float) -> None:
        pass


class PriorityOnly(Fifo):
    """Naive: serve by priority; a full queue refuses any new attempt."""

    def pop(self) -> _Attempt | None:
        if not self._attempts:
            return None
        best = max(self._attempts, key=lambda attempt: attempt.priority)
        self._attempts.remove(best)
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
        self._service_time = admission.ServiceTime()
        self._queue = admission.AdmissionQueue(QUEUE_CAPACITY)
        self._attempts: dict[admission.Place, _Attempt] = {}
        self._places: dict[_Attempt, admission.Place] = {}

    def offer(
        self, attempt: _Attempt, running: int, now: float
    ) -> tuple[list[_Attempt], float | None]:
        customer = attempt.customer if self._is_fair else "all"
        place = self._queue.find_place(attempt.priority, customer)
        occupancy = admission.Occupancy(
            SLOTS,
            running,
            self._queue.count_ahead(place),
            self._service_time.mean or 0.0,
            self._service_time.bound,
        )
        if self._has_deadlines:
            late = admission.check_deadline(
                occupancy, attempt.deadline, now, self.rng
            )
            if late is not None:
                return [attempt], late.retry_at
        place = self._queue.push(attempt.priority, customer)
        self._attempts[place] = attempt
        self._places[attempt] = place
        excess = self._queue.pop_excess()
        if excess is None:
            return [], None
        evicted = self._attempts.pop(excess)
        del self._places[evicted]
        wait = admission.estimate_wait(occupancy)
        return [evicted], admission.find_retry_at(wait, now, self.rng)

    def pop(self) -> _Attempt | None:
        if not len(self._queue):
            return None
        attempt = self._attempts.pop(self._queue.pop())
        del self._places[attempt]
        return attempt

    def remove(self, attempt: _Attempt) -> None:
        place = self._places.pop(attempt, None)
        if place is not None:
            self._queue.remove(place)
            del self._attempts[place]

    def find_queue_deadline(self, attempt: _Attempt) -> float:
        if not self._has_deadlines:
            return attempt.deadline
        return max(
            attempt.arrived_at, attempt.deadline - self._service_time.bound
        )

    def record_service_time(self, seconds: float) -> None:
        self._service_time.add_sample(seconds)


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
        oldest = min(self._places, key=lambda attempt: attempt.arrived_at)
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
        self._arrival_rng = random.Random(seed)
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
        buyer_rate = (self._load - BROKER_SHARE) * capacity
        for index in range(BUYERS):
            share = (
                LARGE_BUYER_SHARE
                if index == 0
                else (1.0 - LARGE_BUYER_SHARE) / (BUYERS - 1)
            )
            self._generate(
                f"buyer-{index}", share * buyer_rate, 0, BUYER_PATIENCE_SECONDS
            )
        self._clock.run(RUN_SECONDS + 120.0)

    def _generate(
        self,
        customer: str,
        rate: float,
        priority: int,
        patience_seconds: float,
    ) -> None:
        now = 0.0
        while (now := now + self._arrival_rng.expovariate(rate)) < RUN_SECONDS:
            request = _Request(customer, priority, patience_seconds, now)
            self._requests.append(request)
            self._clock.at(
                now,
                lambda request=request: self._send(request),  # type: ignore
            )

    def _send(self, request: _Request) -> None:
        now = self._clock.now
        request.attempts += 1
        attempt = _Attempt(
            request.customer,
            request.priority,
            now + request.patience_seconds,
            self._rng.expovariate(1.0 / SERVICE_SECONDS),
            request,
            now,
        )
        refused, retry_at = self._queue.offer(attempt, self._running, now)
        for other in refused:
            self._refuse(other, retry_at)
        if attempt not in refused:
            self._clock.at(
                self._queue.find_queue_deadline(attempt),
                lambda: self._refuse_waiting(attempt),
            )
            self._clock.at(
                attempt.deadline, lambda: self._cancel_at_deadline(attempt)
            )
        self._start_next()

    def _refuse(self, attempt: _Attempt, retry_at: float | None) -> None:
        attempt.is_over = True
        now = self._clock.now
        self._unserved_delays.append(now - attempt.arrived_at)
        request = attempt.request
        request.refusals += 1
        if request.refusals <= MAX_RETRIES_AFTER_REFUSAL:
            resend_at = retry_at or now + NAIVE_BACKOFF_SECONDS
            self._clock.at(resend_at, lambda: self._send(request))

    def _refuse_waiting(self, attempt: _Attempt) -> None:
        if attempt.is_over or self._clock.now >= attempt.deadline:
            return
        attempt.is_over = True
        self._queue.remove(attempt)
        self._refuse(attempt, None)

    def _cancel_at_deadline(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        self._queue.remove(attempt)
        self._unserved_delays.append(self._clock.now - attempt.arrived_at)
        request = attempt.request
        request.timeouts += 1
        if request.timeouts == 1:
            self._send(request)

    def _start_next(self) -> None:
        while self._running < SLOTS:
            attempt = self._queue.pop()
            if attempt is None:
                return
            if not attempt.is_over:
                self._start(attempt)

    def _start(self, attempt: _Attempt) -> None:
        """Run an attempt until it completes or its deadline passes."""
        # While the attempt runs, is_over disables the timers set on queueing.
        now = self._clock.now
        end = now + attempt.service_seconds
        self._running += 1
        is_in_time = end <= attempt.deadline
        held = min(end, attempt.deadline) - now
        attempt.is_over = True
        if not is_in_time:
            self._clock.at(
                attempt.deadline, lambda: self._cancel_running(attempt)
            )
        self._clock.after(
            held, lambda: self._finish(attempt, held, is_in_time)
        )

    def _cancel_running(self, attempt: _Attempt) -> None:
        attempt.is_over = False
        self._cancel_at_deadline(attempt)

    def _finish(
        self, attempt: _Attempt, held: float, is_in_time: bool
    ) -> None:
        self._running -= 1
        self._queue.record_service_time(held)
        if self._clock.now <= RUN_SECONDS:
            self._work_in_time += held * is_in_time
            self._work_wasted += held * (not is_in_time)
        if is_in_time:
            attempt.request.done_at = self._clock.now
        self._start_next()

    def make_row(self, name: str) -> OverloadRow:
        """Return the run's measurements."""
        brokers = [r for r in self._requests if r.priority]
        small_buyers = [
            r
            for r in self._requests
            if not r.priority and r.customer != "buyer-0"
        ]
        large_buyer = [r for r in self._requests if r.customer == "buyer-0"]
        waits = [
            r.done_at - r.first_sent_at
            for r in brokers
            if r.done_at is not None
        ]
        total_capacity = SLOTS * RUN_SECONDS
        return OverloadRow(
            name,
            f"{self._load:g}",
            self._work_in_time / total_capacity,
            self._work_wasted / total_capacity,
            _find_success(brokers),
            float(numpy.percentile(waits, 99)) if waits else 0.0,
            _find_success(small_buyers),
            _find_success(large_buyer),
            self._find_fairness(),
            float(numpy.mean(self._unserved_delays or [0.0])),
            sum(r.attempts for r in self._requests) / len(self._requests),
        )

    def _find_fairness(self) -> float:
        demands: collections.Counter[str] = collections.Counter()
        completed: collections.Counter[str] = collections.Counter()
        for request in self._requests:
            if not request.priority:
                demands[request.customer] += 1
                completed[request.customer] += request.done_at is not None
        capacity = (1.0 - BROKER_SHARE) * SLOTS * RUN_SECONDS / SERVICE_SECONDS
        fair_shares = find_fair_shares(dict(demands), capacity)
        ratios = [completed[name] / fair_shares[name] for name in demands]
        squares = sum(ratio * ratio for ratio in ratios)
        return sum(ratios) ** 2 / (len(ratios) * squares) if squares else 0.0


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
