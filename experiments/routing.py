"""Compares load-balancing algorithms on simulated engines.

It measures the time to first token, cache hits and the balance of the load.
Entries know the load of an endpoint as of the last heartbeat. While a data
centre is cut off, its entries receive no requests. Requests that other entries
send there are sent again after SILENCE_SECONDS.
"""

import collections.abc
import dataclasses
import random

import numpy

from experiments import (
    base,
    engine_model,
    routing_ways,
    simulation,
    workload,
)
from wagtailstream_core import routing

# Offered load, as a fraction of the engines' capacity.
UTILISATION = 0.6
RUN_SECONDS = 150.0
FAULT_AT_SECONDS = 40.0
# An endpoint without heartbeats for this long, plus the time between them, is
# no candidate.
SILENCE_SECONDS = 3.0
# An endpoint is suspect if it gives neither a first token nor an answer for
# this long while it has requests, or if its last heartbeat is more than two
# intervals old.
STALL_SECONDS = 2.0
# The latency between data centres.
ONE_WAY_SECONDS = 0.0015
# The factor by which the fault "slow" lengthens all processing times.
SLOWNESS = 4.0
# Times between heartbeats, in seconds.
LAGS_SECONDS = (0.1, 1.0, 5.0)
FAULTS = ("none", "slow", "frozen", "cut")
FEW_ENTRIES = 3
MANY_ENTRIES = 30
REPETITIONS = 4
ENGINE = engine_model.EngineShape()


@dataclasses.dataclass(frozen=True)
class RoutingRow(base.Row):
    """Measurements of an algorithm, as means over several seeds.

    ``p50``, ``p95`` and ``p99`` are percentiles of the time to first token in
    seconds. A request without a first token counts with the time until its
    deadline.

    :param shape: the name of the deployment.
    :param entries: the number of entries that share the endpoints.
    :param lag: the time between load reports, in seconds.
    :param hits: the fraction of prompts whose prefix was cached.
    :param worst_share: the busiest endpoint's fraction of the requests, times
        the number of endpoints; 1 is perfect balance.
    :param lost: the fraction of requests without a first token by their
        deadline.
    """

    shape: str
    entries: str
    lag: str
    fault: str
    p50: float
    p95: float
    p99: float
    hits: float
    worst_share: float
    lost: float


class _Endpoint:
    """An engine and its data centre."""

    def __init__(self, engine: engine_model.Engine, data_centre: int) -> None:
        self.engine = engine
        self.data_centre = data_centre


class _Entry:
    """An entry, with what it knows of the endpoints.

    :param trial: the run that the entry belongs to.
    :param data_centre: the number of the entry's data centre.
    :param phase: when its first heartbeats come, in seconds.
    :param balancer: chooses endpoints.
    """

    def __init__(
        self,
        trial: "_Trial",
        data_centre: int,
        phase: float,
        balancer: routing_ways.Balancer,
    ) -> None:
        self.data_centre = data_centre
        self._trial = trial
        self._phase = phase
        self._balancer = balancer
        self._in_flight = dict.fromkeys(trial.endpoints, 0)
        self._in_flight_at_report = dict.fromkeys(trial.endpoints, 0)
        self._reported_load = dict.fromkeys(trial.endpoints, 0)
        self._progress_at = dict.fromkeys(trial.endpoints, 0.0)
        self._heartbeat_at = dict.fromkeys(trial.endpoints, 0.0)
        trial.clock.at(phase, self._exchange_heartbeats)

    def _exchange_heartbeats(self) -> None:
        for name, endpoint in self._trial.endpoints.items():
            if self._trial.is_cut(self.data_centre, endpoint.data_centre):
                continue
            self._reported_load[name] = endpoint.engine.load
            self._in_flight_at_report[name] = self._in_flight[name]
            self._heartbeat_at[name] = self._trial.clock.now
        self._trial.clock.after(self._trial.lag, self._exchange_heartbeats)

    def _make_candidates(self) -> list[routing.Candidate]:
        now = self._trial.clock.now
        candidates = []
        for name, endpoint in self._trial.endpoints.items():
            silence = now - self._heartbeat_at[name]
            if silence > SILENCE_SECONDS + self._trial.lag:
                continue
            is_stalled = (
                self._in_flight[name] > 0
                and now - self._progress_at[name] > STALL_SECONDS
            )
            candidates.append(
                routing.Candidate(
                    name,
                    self._reported_load[name],
                    self._in_flight[name],
                    self._in_flight_at_report[name],
                    endpoint.engine.slots,
                    endpoint.data_centre == self.data_centre,
                    is_stalled or silence > 2.0 * self._trial.lag + 0.1,
                )
            )
        return candidates

    def send(self, request: workload.Request) -> None:
        """Send a request to the endpoint that the algorithm chooses."""
        candidates = self._make_candidates()
        name = self._balancer.choose(candidates, request.prefix)
        endpoint = self._trial.endpoints[name]
        now = self._trial.clock.now
        if self._in_flight[name] == 0:
            self._progress_at[name] = now
        self._in_flight[name] += 1
        self._trial.sent[name] += 1
        if self._trial.is_cut(self.data_centre, endpoint.data_centre):
            self._trial.clock.after(
                SILENCE_SECONDS, lambda: self._resend(name, request)
            )
            return
        hop = (
            ONE_WAY_SECONDS
            if endpoint.data_centre != self.data_centre
            else 0.0
        )
        self._trial.clock.after(
            hop, lambda: self._submit(name, endpoint, request, hop)
        )

    def _resend(self, name: str, request: workload.Request) -> None:
        self._in_flight[name] -= 1
        self.send(request)

    def _submit(
        self,
        name: str,
        endpoint: _Endpoint,
        request: workload.Request,
        hop: float,
    ) -> None:
        def record_first_token() -> None:
            self._progress_at[name] = self._trial.clock.now
            self._trial.record_first_token(request, hop)

        def record_completion() -> None:
            self._progress_at[name] = self._trial.clock.now
            self._in_flight[name] -= 1

        endpoint.engine.submit(
            engine_model.Job(request, record_first_token, record_completion)
        )


@dataclasses.dataclass(frozen=True)
class _Case:
    """The settings of a trial.

    :param entries: the number of entries.
    :param lag: the time between load reports, in seconds.
    :param fault: the name of the injected fault.
    """

    shape: workload.Shape
    entries: int
    lag: float
    fault: str


class _Trial:
    """One simulated run of one algorithm."""

    def __init__(
        self, case: _Case, factory: routing_ways.BalancerFactory, seed: int
    ) -> None:
        self.clock = simulation.Simulation()
        self.lag = case.lag
        self._case = case
        self._fault = case.fault
        shape = case.shape
        rng = random.Random(seed)
        rate = UTILISATION * engine_model.find_capacity(
            shape, ENGINE, shape.engines
        )
        self._requests = workload.generate(shape, rate, RUN_SECONDS, rng)
        self.endpoints = {
            f"engine-{index}": _Endpoint(
                engine_model.Engine(f"engine-{index}", self.clock, ENGINE),
                index % shape.data_centres,
            )
            for index in range(shape.engines)
        }
        self.sent = dict.fromkeys(self.endpoints, 0)
        self._first_token_at: dict[int, float] = {}
        self._entries = [
            _Entry(
                self,
                index % shape.data_centres,
                rng.random() * case.lag,
                factory(rng),
            )
            for index in range(case.entries)
        ]
        self._rng = rng

    def is_cut(self, data_centre: int, other_data_centre: int) -> bool:
        """Return whether the link between two data centres is cut now.

        The fault "cut" separates data centre 1 from the others.
        """
        return (
            self._fault == "cut"
            and self.clock.now >= FAULT_AT_SECONDS
            and data_centre != other_data_centre
            and 1 in (data_centre, other_data_centre)
        )

    def record_first_token(
        self, request: workload.Request, hop: float
    ) -> None:
        """Record the time of a request's first token, unless it has one.

        :param request: the request.
        :param hop: the latency from the endpoint to the entry, in seconds.
        """
        self._first_token_at.setdefault(request.number, self.clock.now + hop)

    def run(self) -> None:
        """Run the simulation until all requests are over."""
        for request in self._requests:
            self.clock.at(
                request.arrives_at,
                lambda request=request: self._receive(request),  # type: ignore
            )
        self.clock.at(FAULT_AT_SECONDS, self._begin_fault)
        self.clock.run(RUN_SECONDS + 60.0)

    def _receive(self, request: workload.Request) -> None:
        reachable_entries = self._entries
        if self._fault == "cut" and self.clock.now >= FAULT_AT_SECONDS:
            reachable_entries = [
                e for e in self._entries if e.data_centre != 1
            ]
        self._rng.choice(reachable_entries).send(request)

    def _begin_fault(self) -> None:
        engine = self.endpoints["engine-0"].engine
        if self._fault == "slow":
            engine.slowness = SLOWNESS
        elif self._fault == "frozen":
            engine.is_frozen = True

    def measure(self) -> numpy.ndarray:
        """Return the run's measurements, in the order of the row's fields."""
        first_token_times = []
        lost = 0
        for request in self._requests:
            first_token_at = self._first_token_at.get(
                request.number, request.deadline
            )
            lost += first_token_at >= request.deadline
            first_token_times.append(
                min(first_token_at, request.deadline) - request.arrives_at
            )
        p50, p95, p99 = numpy.percentile(first_token_times, (50, 95, 99))
        engines = [e.engine for e in self.endpoints.values()]
        served = sum(engine.served for engine in engines)
        total = sum(self.sent.values())
        return numpy.array(
            [
                p50,
                p95,
                p99,
                sum(engine.hits for engine in engines) / served,
                max(self.sent.values()) / total * len(engines),
                lost / len(first_token_times),
            ]
        )


def _measure_balancer(
    name: str, factory: routing_ways.BalancerFactory, case: _Case, seed: int
) -> RoutingRow:
    measured = []
    for repetition in range(REPETITIONS):
        trial = _Trial(case, factory, seed * REPETITIONS + repetition)
        trial.run()
        measured.append(trial.measure())
    means = [float(value) for value in numpy.mean(measured, axis=0)]
    return RoutingRow(
        name,
        case.shape.name,
        str(case.entries),
        f"{case.lag:g}",
        case.fault,
        *means,
    )


def _list_cases() -> collections.abc.Iterator[_Case]:
    for shape in workload.SHAPES:
        for lag in LAGS_SECONDS:
            for fault in FAULTS:
                yield _Case(shape, FEW_ENTRIES, lag, fault)
            yield _Case(shape, MANY_ENTRIES, lag, "none")


class RoutingExperiment(base.Experiment):
    """Compares all algorithms for all lags, faults and deployments."""

    @property
    def name(self) -> str:
        return "routing"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        return tuple(
            base.Chart(
                measure,
                "fault",
                "way",
                unit,
                measure != "hits",
                (
                    ("shape", shape.name),
                    ("lag", "1"),
                    ("entries", str(FEW_ENTRIES)),
                ),
            )
            for shape in workload.SHAPES
            for measure, unit in (("p99", "s"), ("hits", "share"))
        )

    def run(self, seed: int) -> collections.abc.Sequence[base.Row]:
        return [
            _measure_balancer(name, factory, case, seed)
            for case in _list_cases()
            for name, factory in routing_ways.list_balancers().items()
        ]
