"""Compares ways to detect a bad model version during a roll-out.

It measures how many answers a bad version gives before it is stopped, and how
often a good version is stopped, over many seeds.
"""

import collections
import collections.abc
import dataclasses
import math

import numpy
import numpy.typing

from experiments import base
from wagtailstream_core import bundle, configuration, suspension, tallies

# Seeded runs of a case, and of one whose candidate is as good as the stable
# version.
SEEDS = 20
HEALTHY_SEEDS = 30
NODES = 3
REQUESTS_PER_SECOND = 20.0
HEALTHY_QUALITY = 0.8
FAILED_QUALITY = 0.05
# The sum of both parameters of the beta distribution of ratings.
RATING_CONCENTRATION = 4.0
# The fraction of the stable version's answers that are rated while no version
# is under suspicion.
STABLE_RATED_SHARE = 0.2
# Ratings of the stable version from before the roll-out.
PAST_ANSWERS = 4000
# From sufficient evidence to the version's last answer: the decision, the
# append to the log and the distribution of the record.
STOP_SECONDS = 1.0
# The time until an operator stops a bad version by hand.
OPERATOR_SECONDS = 600.0
# The naive fixed threshold applies to the mean rating of the last answers.
FIXED_WINDOW_ANSWERS = 50
FIXED_THRESHOLD = 0.7
COMMON_CAUSE_SECONDS = 60.0
RUN_SECONDS = 1800.0

Ratings = numpy.typing.NDArray[numpy.float64]

STABLE = configuration.ModelVersion("drafter", "1")
CANDIDATE = configuration.ModelVersion("drafter", "2")


def make_configuration(share: float) -> configuration.Configuration:
    """Return the configuration at a stage of the roll-out.

    :param share: the fraction of new sessions that use the candidate.
    """
    model = bundle.ServedModel(
        name="drafter",
        versions=("1", "2"),
        stable="1",
        rollout=bundle.Rollout(candidate="2", stages=(share,)),
    )
    model_bundle = bundle.Bundle(
        name="experiment", data_centres=("rennes",), models=(model,)
    )
    return configuration.Configuration(bundle=model_bundle)


@dataclasses.dataclass(frozen=True)
class Row(base.Row):
    """The measurements of one algorithm in one case.

    :param version: the name of the candidate's quality.
    :param stage: the fraction of traffic on the candidate.
    :param seeds: the number of seeded runs; 0 for a calculated row.
    :param exposure: the mean number of answers by the candidate until it was
        stopped.
    :param worst: the highest such number of all seeds.
    :param seconds: the mean time until the stop, of the runs with a stop.
    :param stops: the fraction of the seeds in which it was stopped.
    """

    version: str
    stage: str
    condition: str
    seeds: int
    exposure: float
    worst: float
    seconds: float
    stops: float


@dataclasses.dataclass(frozen=True)
class Quality:
    """The quality of a candidate version.

    :param mean: the mean rating of its answers.
    :param tick_seconds: the time step of the simulation.
    """

    name: str
    mean: float
    tick_seconds: float


QUALITIES = (
    Quality("fails outright", FAILED_QUALITY, 0.25),
    Quality("20 % worse", HEALTHY_QUALITY * 0.8, 2.0),
    Quality("5 % worse", HEALTHY_QUALITY * 0.95, 4.0),
    Quality("as good", HEALTHY_QUALITY, 4.0),
)
COMMON_CAUSE_QUALITY = Quality("as good", HEALTHY_QUALITY, 0.25)


@dataclasses.dataclass(frozen=True)
class Condition:
    """The circumstances of a run.

    :param lag_seconds: the delay of tallies between nodes.
    :param cut: the number of nodes that exchange no tallies with the others.
    :param has_past: whether the stable version has ratings from before the
        roll-out.
    :param good_seconds: how long the candidate is good at first.
    :param is_common: whether the answers of both versions are bad for the
        first COMMON_CAUSE_SECONDS.
    :param garbled_share: the fraction of answers, of both versions, that are
        garbled and rated FAILED_QUALITY.
    :param run_seconds: the length of the run after ``good_seconds``.
    """

    name: str
    lag_seconds: float = 1.0
    cut: int = 0
    has_past: bool = True
    good_seconds: float = 0.0
    is_common: bool = False
    garbled_share: float = 0.0
    run_seconds: float = RUN_SECONDS


PLAIN = Condition("plain")
CONDITIONS = (
    Condition("counts 10 s late", lag_seconds=10.0),
    Condition("one node of 3 cut off", cut=1),
    Condition("stable not rated yet", has_past=False),
    Condition("1 % of all garbled", garbled_share=0.01),
    Condition("turns bad after 10 min", good_seconds=600.0),
)
COMMON_CAUSE = Condition(
    "all bad for 1 min", is_common=True, run_seconds=120.0
)
STAGES = (0.01, 0.1, 0.5, 1.0)
MIDDLE_STAGE = 0.1


@dataclasses.dataclass(frozen=True)
class Case:
    """A quality of the candidate, a stage of the roll-out and a condition."""

    quality: Quality
    stage: float
    condition: Condition

    @property
    def seeds(self) -> int:
        """The number of seeded runs."""
        is_healthy = self.quality.mean == HEALTHY_QUALITY
        return HEALTHY_SEEDS if is_healthy else SEEDS

    def list_means(self, now: float) -> list[float]:
        """Return the mean ratings of the stable version and the candidate.

        :param now: seconds since the start.
        """
        if self.condition.is_common and now < COMMON_CAUSE_SECONDS:
            return [FAILED_QUALITY, FAILED_QUALITY]
        if now < self.condition.good_seconds:
            return [HEALTHY_QUALITY, HEALTHY_QUALITY]
        return [HEALTHY_QUALITY, self.quality.mean]


def list_cases() -> list[Case]:
    """Return all cases."""
    cases = [
        Case(quality, stage, PLAIN)
        for quality in QUALITIES
        for stage in STAGES
    ]
    cases += [
        Case(quality, MIDDLE_STAGE, condition)
        for condition in CONDITIONS
        for quality in QUALITIES
    ]
    cases += [
        Case(COMMON_CAUSE_QUALITY, stage, COMMON_CAUSE) for stage in STAGES
    ]
    return cases


@dataclasses.dataclass
class Stop:
    """The stop of the candidate by an algorithm.

    :param seconds: the time from when the candidate turns bad until the stop.
    :param exposure: the answers that the candidate gave until then.
    """

    seconds: float
    exposure: float


class Run:
    """Runs all algorithms on the same simulated traffic.

    :param case: the case to simulate.
    :param seed: seed for the random generator.
    """

    def __init__(self, case: Case, seed: int) -> None:
        self._case = case
        self._configuration = make_configuration(case.stage)
        self._rng = numpy.random.default_rng(seed)
        # Nodes that exchange their tallies, and nodes that don't.
        self._pooled_monitors = [
            suspension.VersionMonitor(f"n{n}") for n in range(NODES)
        ]
        self._isolated_monitors = [
            suspension.VersionMonitor(f"n{n}") for n in range(NODES)
        ]
        self._sums_without_reset = (0.0,) * len(suspension.DEGRADATIONS)
        self._recent_ratings: collections.deque[float] = collections.deque(
            maxlen=FIXED_WINDOW_ANSWERS
        )
        self._in_transit: collections.deque[_Message] = collections.deque()
        self._candidate_answers = 0.0
        self.stops: dict[str, Stop] = {}
        if case.condition.has_past:
            self._add_past_ratings()

    def _add_past_ratings(self) -> None:
        ratings = self._draw_ratings(HEALTHY_QUALITY, PAST_ANSWERS)
        past = tallies.Tally("past", STABLE, -1, _count(ratings))
        for monitor in self._pooled_monitors + self._isolated_monitors:
            monitor.merge(self._configuration, [past], 0.0)

    def run(self) -> None:
        """Run until every algorithm stopped the candidate or time is over."""
        step = self._case.quality.tick_seconds
        start = self._case.condition.good_seconds
        ticks = round((self._case.condition.run_seconds + start) / step)
        for tick in range(ticks):
            now = tick * step
            if now < start:
                self._candidate_answers = 0.0
            self._serve(now, step)
            self._exchange_tallies(now)
            for way in self._list_stopping_ways(now + step):
                self._record_stop(way, now + step - start)
            if len(self.stops) == len(RATING_WAYS):
                return

    def _record_stop(self, way: str, seconds: float) -> None:
        if way in self.stops:
            return
        rate = REQUESTS_PER_SECOND * self._case.stage
        delay = STOP_SECONDS
        self.stops[way] = Stop(
            seconds + delay, self._candidate_answers + rate * delay
        )

    def find_stop(self, way: str) -> Stop | None:
        """Return an algorithm's stop of the candidate, or None.

        :param way: the name of the algorithm.
        """
        return self.stops.get(way)

    @property
    def candidate_answers(self) -> float:
        """The number of answers by the candidate so far."""
        return self._candidate_answers

    def _serve(self, now: float, step: float) -> None:
        stage = self._case.stage
        means = self._case.list_means(now)
        needs_all_ratings = self._pooled_monitors[0].needs_all_ratings(
            STABLE.model
        )
        stable_share = 1.0 if needs_all_ratings else STABLE_RATED_SHARE
        rated_shares = ((1 - stage) * stable_share, stage)
        for node in range(NODES):
            for version, mean, share in zip(
                (STABLE, CANDIDATE), means, rated_shares, strict=True
            ):
                rate = REQUESTS_PER_SECOND / NODES * share
                answers = int(self._rng.poisson(rate * step))
                if answers:
                    self._rate_answers(node, version, mean, answers, now)

    def _rate_answers(
        self,
        node: int,
        version: configuration.ModelVersion,
        mean: float,
        answers: int,
        now: float,
    ) -> None:
        ratings = self._draw_ratings(mean, answers)
        counts = _count(ratings)
        for monitors in (self._pooled_monitors, self._isolated_monitors):
            monitors[node].count(self._configuration, version, counts, now)
        if version == CANDIDATE:
            self._candidate_answers += answers
            self._recent_ratings.extend(ratings.tolist())
            self._sums_without_reset = suspension.add_evidence(
                self._sums_without_reset,
                counts,
                self._find_stable_counts(),
                -math.inf,
            )

    def _draw_ratings(self, mean: float, answers: int) -> Ratings:
        concentration = RATING_CONCENTRATION
        ratings = self._rng.beta(
            mean * concentration, (1 - mean) * concentration, answers
        )
        drawn = self._rng.random(answers)
        is_garbled = drawn < self._case.condition.garbled_share
        ratings[is_garbled] = FAILED_QUALITY
        return ratings

    def _suspends(self, monitor: suspension.VersionMonitor) -> bool:
        return any(
            finding.version == CANDIDATE
            and finding.action is suspension.Action.SUSPEND
            for finding in monitor.evaluate(self._configuration)
        )

    def _find_stable_counts(self) -> tallies.Counts:
        return (
            self._pooled_monitors[0]
            .tracks.get(STABLE, suspension.Track())
            .counts
        )

    def _exchange_tallies(self, now: float) -> None:
        condition = self._case.condition
        connected = self._pooled_monitors[condition.cut :]
        for monitor in connected:
            sent = monitor.list_shared(self._configuration, now)
            self._in_transit.append(
                _Message(now + condition.lag_seconds, sent)
            )
        while self._in_transit and self._in_transit[0].arrives_at <= now:
            message = self._in_transit.popleft()
            for monitor in connected:
                monitor.merge(self._configuration, message.tallies, now)

    def _list_stopping_ways(self, now: float) -> collections.abc.Iterator[str]:
        if any(self._suspends(monitor) for monitor in self._pooled_monitors):
            yield POOLED
        if any(self._suspends(monitor) for monitor in self._isolated_monitors):
            yield PER_NODE
        if max(self._sums_without_reset) >= suspension.BOUND:
            yield NO_RESET
        is_full = len(self._recent_ratings) == FIXED_WINDOW_ANSWERS
        mean = sum(self._recent_ratings) / max(1, len(self._recent_ratings))
        if is_full and mean < FIXED_THRESHOLD:
            yield FIXED


def _count(ratings: Ratings) -> tallies.Counts:
    units = len(ratings) * tallies.UNITS_PER_ANSWER
    good = round(float(ratings.sum()) * tallies.UNITS_PER_ANSWER)
    squares = float((ratings * ratings).sum()) * tallies.UNITS_PER_ANSWER
    return tallies.Counts(good, units - good, round(squares))


@dataclasses.dataclass(frozen=True)
class _Message:
    arrives_at: float
    tallies: list[tallies.Tally]


POOLED = "pooled, cumulative sums"
NO_RESET = "pooled, one sum without reset"
PER_NODE = "naive: per-node counts"
FIXED = "naive: fixed threshold"
OPERATOR = "naive: operator after 10 min"
# The algorithms that decide by ratings; the operator's row is calculated.
RATING_WAYS = (POOLED, NO_RESET, PER_NODE, FIXED)


def measure(case: Case, seed: int) -> list[Row]:
    """Return a row for each algorithm in one case.

    :param case: the case.
    :param seed: the number from which the seeds of all runs are derived.
    """
    runs = [Run(case, seed * 1000 + number) for number in range(case.seeds)]
    for run in runs:
        run.run()
    rows = [_make_row(case, way, runs) for way in RATING_WAYS]
    if case.quality.mean < HEALTHY_QUALITY:
        rows.append(_make_operator_row(case))
    return rows


def _make_operator_row(case: Case) -> Row:
    """Return the row for an operator who acts after a fixed time."""
    exposure = REQUESTS_PER_SECOND * case.stage * OPERATOR_SECONDS
    return Row(
        way=OPERATOR,
        version=case.quality.name,
        stage=f"{case.stage:.0%}",
        condition=case.condition.name,
        seeds=0,
        exposure=exposure,
        worst=exposure,
        seconds=OPERATOR_SECONDS,
        stops=1.0,
    )


def _make_row(case: Case, way: str, runs: list[Run]) -> Row:
    stops = [run.find_stop(way) for run in runs]
    exposures = [
        stop.exposure if stop else run.candidate_answers
        for run, stop in zip(runs, stops, strict=True)
    ]
    seconds = [stop.seconds for stop in stops if stop]
    return Row(
        way=way,
        version=case.quality.name,
        stage=f"{case.stage:.0%}",
        condition=case.condition.name,
        seeds=case.seeds,
        exposure=sum(exposures) / len(runs),
        worst=max(exposures),
        seconds=sum(seconds) / len(seconds) if seconds else 0.0,
        stops=len(seconds) / len(runs),
    )


class BadVersions(base.Experiment):
    """Compares the exposure to bad versions and the stops of good ones."""

    @property
    def name(self) -> str:
        """The experiment's name, as given to ``--only``."""
        return "bad-versions"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts to draw from the rows."""
        charts = [
            base.Chart(
                measure="exposure",
                x="stage",
                series="way",
                unit="answers",
                is_logarithmic=True,
                where=(("version", name), ("condition", "plain")),
            )
            for name in ("fails outright", "20 % worse", "5 % worse")
        ]
        false_stops = base.Chart(
            measure="stops",
            x="stage",
            series="way",
            unit="share of seeds",
            where=(("version", "as good"), ("condition", "plain")),
        )
        return (*charts, false_stops)

    def run(self, seed: int) -> list[Row]:
        """Measure every algorithm and return the rows.

        :param seed: seed for all random generators.
        """
        return [row for case in list_cases() for row in measure(case, seed)]
