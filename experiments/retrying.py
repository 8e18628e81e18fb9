"""Compares retry policies while endpoints fail, and afterwards.

There are six endpoints with slots and queues. During the fault window a
fraction of all attempts fails halfway or gets stuck, or half of the endpoints
refuse all work. An endpoint that refuses work is avoided for SUSPECT_SECONDS.
Each request consists of one or more calls: a caller whose call fails calls
again, up to three times. Each call consists of one or more attempts.
"""

import collections
import collections.abc
import dataclasses
import random

import numpy

from experiments import base, retry_ways, simulation
from wagtailstream_core import retries

ENDPOINTS = 6
SLOTS = 8
SERVICE_SECONDS = 1.0
# The fraction of the service time that passes before the first token.
FIRST_TOKEN_SHARE = 0.2
# Offered load, as a fraction of the endpoints' capacity.
LOAD = 0.7
PATIENCE_SECONDS = 10.0
CUSTOMERS = 4
FAULT_FROM_SECONDS = 60.0
FAULT_TO_SECONDS = 100.0
RUN_SECONDS = 240.0
CALLER_RETRIES = 3
CALLER_BACKOFF_SECONDS = 1.0
# The factor by which the service time of a stuck attempt is multiplied.
STUCK_FACTOR = 20.0
STORM_ATTEMPTS_PER_CALL = 1.3
SUSPECT_SECONDS = 3.0
REPETITIONS = 3


@dataclasses.dataclass(frozen=True)
class Fault:
    """What happens in the fault window.

    :param failing_share: the fraction of attempts that fail halfway.
    :param stuck_share: the fraction of attempts that take STUCK_FACTOR times
        as long.
    :param refusing_endpoints: the number of endpoints that refuse all work.
    """

    name: str
    failing_share: float = 0.0
    stuck_share: float = 0.0
    refusing_endpoints: int = 0


FAULTS = (
    Fault("fail 1 %", failing_share=0.01),
    Fault("fail 10 %", failing_share=0.1),
    Fault("fail 50 %", failing_share=0.5),
    Fault("stuck 1 %", stuck_share=0.01),
    Fault("stuck 10 %", stuck_share=0.1),
    Fault("half gone", refusing_endpoints=3),
)


@dataclasses.dataclass(frozen=True)
class RetryRow(base.Row):
    """The measurements of a policy, as means over several seeds.

    Fields with ``_in`` are about requests that arrived in the fault window,
    those with ``_after`` about later ones.

    :param success_in: the fraction of requests that are answered within
        PATIENCE_SECONDS of their arrival.
    :param first_try_in: the fraction that are answered in that time by the
        caller's first call.
    :param p99_in: the 99th percentile of the time to first token of the
        requests that count as success, in seconds.
    :param attempts_in: the mean number of attempts per call.
    :param extra_work: the work of attempts without a result, as a fraction of
        the useful work.
    :param success_after: as ``success_in``, after the fault window.
    :param storm: the seconds after the end of the fault until there are at
        most STORM_ATTEMPTS_PER_CALL attempts per call and no endpoint has a
        queue longer than twice its slots.
    """

    fault: str
    success_in: float
    first_try_in: float
    p99_in: float
    attempts_in: float
    extra_work: float
    success_after: float
    storm: float


@dataclasses.dataclass(eq=False)
class _Request:
    customer: str
    arrived_at: float
    calls: int = 0
    done_at: float | None = None
    first_token_seconds: float = 0.0


@dataclasses.dataclass(eq=False)
class _Call:
    """One call of a caller, with all its attempts."""

    request: _Request
    deadline: float
    attempts: int = 0
    open_attempts: "list[_Attempt]" = dataclasses.field(default_factory=list)
    is_over: bool = False
    has_first_token: bool = False


@dataclasses.dataclass(eq=False)
class _Attempt:
    call: _Call
    endpoint: "_Endpoint"
    service_seconds: float
    will_fail: bool
    sent_at: float
    started_at: float | None = None
    is_over: bool = False


class _Endpoint:
    """An endpoint with slots and a first-come, first-served queue."""

    def __init__(self, trial: "_Trial") -> None:
        self._trial = trial
        self.running = 0
        self.failed_at = -SUSPECT_SECONDS
        self.queue: collections.deque[_Attempt] = collections.deque()

    @property
    def load(self) -> int:
        """The number of attempts running and waiting."""
        return self.running + len(self.queue)

    def submit(self, attempt: _Attempt) -> None:
        """Queue an attempt, which starts as soon as it gets a slot."""
        self.queue.append(attempt)
        self.start_next()

    def start_next(self) -> None:
        """Start queued attempts while there are free slots."""
        while self.queue and self.running < SLOTS:
            attempt = self.queue.popleft()
            if not attempt.is_over:
                self.running += 1
                self._trial.start(attempt)

    def release(self, attempt: _Attempt) -> None:
        """Remove an ended attempt from the queue, or free its slot."""
        if attempt.started_at is None:
            if attempt in self.queue:
                self.queue.remove(attempt)
            return
        self.running -= 1
        self.start_next()


class _Trial:
    """One simulated run of one policy."""

    def __init__(
        self, fault: Fault, policy: retry_ways.RetryPolicy, seed: int
    ) -> None:
        self.clock = simulation.Simulation()
        self._fault = fault
        self._policy = policy
        self._arrival_rng = random.Random(seed)
        self._rng = random.Random(seed + 1)
        self._endpoints = [_Endpoint(self) for _ in range(ENDPOINTS)]
        self._requests: list[_Request] = []
        self._attempts_by_second: collections.Counter[int] = (
            collections.Counter()
        )
        self._calls_by_second: collections.Counter[int] = collections.Counter()
        self._last_long_queue_at = 0.0
        self._useful_seconds = 0.0
        self._wasted_seconds = 0.0

    @property
    def _is_faulty(self) -> bool:
        return FAULT_FROM_SECONDS <= self.clock.now < FAULT_TO_SECONDS

    def run(self) -> None:
        """Run the simulation until all requests are over."""
        rate = LOAD * ENDPOINTS * SLOTS / SERVICE_SECONDS
        now = 0.0
        while (now := now + self._arrival_rng.expovariate(rate)) < RUN_SECONDS:
            request = _Request(
                f"customer-{self._arrival_rng.randrange(CUSTOMERS)}", now
            )
            self._requests.append(request)
            self.clock.at(
                now,
                lambda request=request: self._submit(request),  # type: ignore
            )
        self.clock.run(RUN_SECONDS + 60.0)

    def _submit(self, request: _Request) -> None:
        now = self.clock.now
        request.calls += 1
        self._calls_by_second[int(now)] += 1
        call = _Call(request, now + PATIENCE_SECONDS)
        self._policy.record_request(request.customer, now)
        self.clock.at(call.deadline, lambda: self._cancel_at_deadline(call))
        self._send(call)

    def _choose_endpoint(self, call: _Call) -> _Endpoint:
        used = [attempt.endpoint for attempt in call.open_attempts]
        unused = [e for e in self._endpoints if e not in used]
        suspect_since = self.clock.now - SUSPECT_SECONDS
        healthy = [e for e in unused if e.failed_at <= suspect_since]
        unused = healthy if len(healthy) > 1 else unused
        drawn = self._rng.sample(unused, 2)
        return min(drawn, key=lambda endpoint: endpoint.load)

    def _send(self, call: _Call) -> None:
        if call.is_over:
            return
        now = self.clock.now
        self._attempts_by_second[int(now)] += 1
        call.attempts += 1
        endpoint = self._choose_endpoint(call)
        service_seconds = self._rng.expovariate(1.0 / SERVICE_SECONDS)
        will_fail = False
        if self._is_faulty:
            draw = self._rng.random()
            will_fail = draw < self._fault.failing_share
            if draw < self._fault.stuck_share:
                service_seconds *= STUCK_FACTOR
        attempt = _Attempt(call, endpoint, service_seconds, will_fail, now)
        call.open_attempts.append(attempt)
        index = self._endpoints.index(endpoint)
        if self._is_faulty and index < self._fault.refusing_endpoints:
            self.clock.after(0.01, lambda: self._refuse_attempt(attempt))
            return
        endpoint.submit(attempt)
        if len(endpoint.queue) > 2 * SLOTS:
            self._last_long_queue_at = now
        self._schedule_timers(call, attempt)

    def _refuse_attempt(self, attempt: _Attempt) -> None:
        """End an attempt that was refused, and suspect its endpoint."""
        attempt.endpoint.failed_at = self.clock.now
        self._fail_attempt(attempt)

    def _schedule_timers(self, call: _Call, attempt: _Attempt) -> None:
        timeout = self._policy.attempt_timeout
        if timeout is not None:
            self.clock.after(timeout, lambda: self._fail_attempt(attempt))
        delay = self._policy.find_hedge_delay()
        if delay is not None and call.attempts == 1:
            self.clock.after(delay, lambda: self._hedge(call))

    def _hedge(self, call: _Call) -> None:
        if call.is_over or call.has_first_token or call.attempts > 1:
            return
        if min(e.load for e in self._endpoints) >= SLOTS:
            return
        if self._policy.may_hedge(call.request.customer, self.clock.now):
            self._send(call)

    def start(self, attempt: _Attempt) -> None:
        """Run an attempt that has got a slot."""
        now = self.clock.now
        attempt.started_at = now
        if attempt.will_fail:
            self.clock.after(
                attempt.service_seconds / 2.0,
                lambda: self._fail_attempt(attempt),
            )
            return
        self.clock.after(
            FIRST_TOKEN_SHARE * attempt.service_seconds,
            lambda: self._record_first_token(attempt),
        )
        self.clock.after(
            attempt.service_seconds, lambda: self._finish(attempt)
        )

    def _record_first_token(self, attempt: _Attempt) -> None:
        call = attempt.call
        if attempt.is_over or call.has_first_token:
            return
        call.has_first_token = True
        now = self.clock.now
        self._policy.record_first_token(now - attempt.sent_at)
        call.request.first_token_seconds = now - call.request.arrived_at
        for other in list(call.open_attempts):
            if other is not attempt:
                self._end_attempt(other)

    def _end_attempt(self, attempt: _Attempt, is_useful: bool = False) -> None:
        if attempt.is_over:
            return
        attempt.is_over = True
        attempt.call.open_attempts.remove(attempt)
        if attempt.started_at is not None:
            held = self.clock.now - attempt.started_at
            self._useful_seconds += held * is_useful
            self._wasted_seconds += held * (not is_useful)
        attempt.endpoint.release(attempt)

    def _finish(self, attempt: _Attempt) -> None:
        if attempt.is_over:
            return
        self._end_attempt(attempt, True)
        attempt.call.is_over = True
        attempt.call.request.done_at = self.clock.now

    def _fail_attempt(self, attempt: _Attempt) -> None:
        """End an attempt that failed or timed out; retry it if allowed."""
        if attempt.is_over:
            return
        call = attempt.call
        self._end_attempt(attempt)
        if call.is_over or call.open_attempts:
            return
        call.has_first_token = False
        now = self.clock.now
        delay = self._policy.find_delay(
            call.request.customer, call.attempts, call.deadline, now
        )
        if delay is None:
            self._fail_call(call)
        else:
            self.clock.after(delay, lambda: self._send(call))

    def _cancel_at_deadline(self, call: _Call) -> None:
        if call.is_over:
            return
        for attempt in list(call.open_attempts):
            self._end_attempt(attempt)
        self._fail_call(call)

    def _fail_call(self, call: _Call) -> None:
        """End a call without an answer; its caller may call again."""
        call.is_over = True
        request = call.request
        if request.calls <= CALLER_RETRIES:
            wait = CALLER_BACKOFF_SECONDS * (1.0 + 0.5 * self._rng.random())
            self.clock.after(wait, lambda: self._submit(request))

    def measure(self) -> numpy.ndarray:
        """Return the run's measurements, in the order of the row's fields."""
        in_window = [
            r
            for r in self._requests
            if FAULT_FROM_SECONDS <= r.arrived_at < FAULT_TO_SECONDS
        ]
        after = [r for r in self._requests if r.arrived_at > FAULT_TO_SECONDS]
        in_time = [r for r in in_window if is_in_time(r)]
        window = range(int(FAULT_FROM_SECONDS), int(FAULT_TO_SECONDS))
        attempts = sum(self._attempts_by_second[second] for second in window)
        calls = sum(self._calls_by_second[second] for second in window)
        first_token_times = [r.first_token_seconds for r in in_time]
        return numpy.array(
            [
                len(in_time) / len(in_window),
                sum(r.calls == 1 for r in in_time) / len(in_window),
                numpy.percentile(first_token_times, 99),
                attempts / calls,
                self._wasted_seconds / self._useful_seconds,
                sum(map(is_in_time, after)) / len(after),
                self._find_storm_seconds(),
            ]
        )

    def _find_storm_seconds(self) -> float:
        """Return the row's ``storm``, from sums over windows of 5 s."""
        end = int(FAULT_TO_SECONDS)
        last = self._last_long_queue_at
        for second in range(end, int(RUN_SECONDS) - 5):
            attempts = sum(
                self._attempts_by_second[second + i] for i in range(5)
            )
            calls = sum(self._calls_by_second[second + i] for i in range(5))
            if attempts > STORM_ATTEMPTS_PER_CALL * calls:
                last = max(last, second + 5.0)
        return max(0.0, last - end)


def is_in_time(request: _Request) -> bool:
    """Return whether a request was done within PATIENCE_SECONDS."""
    if request.done_at is None:
        return False
    return request.done_at - request.arrived_at <= PATIENCE_SECONDS


def _make_policies(rng: random.Random) -> dict[str, retry_ways.RetryPolicy]:
    return {
        "never": retry_ways.Never(rng),
        "always-3": retry_ways.Always(rng),
        "backoff-3": retry_ways.Backoff(rng),
        "budget-10": retry_ways.Budgeted(rng, 0.1),
        "budget-20": retry_ways.Budgeted(rng, retries.RETRY_SHARE),
        "chosen": retry_ways.Hedged(rng),
    }


def _measure_policy(name: str, fault: Fault, seed: int) -> RetryRow:
    measured = []
    for repetition in range(REPETITIONS):
        run_seed = seed * REPETITIONS + repetition
        policy = _make_policies(random.Random(run_seed))[name]
        trial = _Trial(fault, policy, run_seed)
        trial.run()
        measured.append(trial.measure())
    means = [float(value) for value in numpy.mean(measured, axis=0)]
    return RetryRow(name, fault.name, *means)


class RetryExperiment(base.Experiment):
    """Compares all retry policies in all faults."""

    @property
    def name(self) -> str:
        return "retries"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        return (
            base.Chart("success_in", "fault", "way", "share"),
            base.Chart("attempts_in", "fault", "way", "attempts"),
            base.Chart("storm", "fault", "way", "s"),
        )

    def run(self, seed: int) -> collections.abc.Sequence[base.Row]:
        return [
            _measure_policy(name, fault, seed)
            for fault in FAULTS
            for name in _make_policies(random.Random(seed))
        ]
