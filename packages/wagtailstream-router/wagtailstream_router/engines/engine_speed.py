"""Learns how fast engines are, from first tokens of requests that ran alone.

With other requests beside it a first token shows the load of the engine, not
its speed (docs/design/engine-speeds.md).
"""

import collections.abc
import dataclasses
import math
import time

from wagtailstream_router import configuration, engine_time

# With less prefill, a first token shows the time before any first token; with
# more, the speed of the prefill.
START_PREFILL_MS = 15.0
SPEED_PREFILL_MS = 30.0
# Steps of one size towards each sample follow the median.
_START_STEP_MS = 1.0
MAX_START_MS = 100.0
_SERVICE_STEP = 0.01
_MODEL_STEP = 0.0025
# Bounds of the factors on the assumed times.
MAX_SERVICE_FACTOR = 3.0
MAX_MODEL_FACTOR = 2.0
MAX_ENGINE_FACTOR = 4.0
# Time constant of the decay of an engine's samples, and the weight of the
# assumption that it is as fast as its service.
_DECAY_SECONDS = 30.0
_PRIOR_WEIGHT = 3.0
# Samples of an engine with less weight are dropped.
_MIN_WEIGHT = 0.05
# Upper bound on the engines whose samples a message holds.
MAX_REPORTED = 32


@dataclasses.dataclass(frozen=True, slots=True)
class FirstToken:
    """The first token of a request, and what was expected of it.

    :param engine: the id of the engine.
    :param prefill_ms: the expected time of the prefill, without the engine's
        own factor.
    :param observed_ms: from its sending to the first token.
    :param is_alone: whether nothing else is known to have run there.
    :param is_cached: whether all its shared parts are believed cached.
    """

    service: str
    model: str
    engine: str
    prefill_ms: float
    observed_ms: float
    is_alone: bool
    is_cached: bool


@dataclasses.dataclass(frozen=True, slots=True)
class SpeedReport:
    """One instance's samples of one engine.

    :param mean_log: the decayed mean of the logarithm of an engine's time
        relative to its service.
    :param weight: the decayed number of samples.
    """

    mean_log: float
    weight: float


class _Samples:
    """Decaying samples of one engine."""

    def __init__(self, now: float) -> None:
        self._at = now
        self._sum = 0.0
        self.weight = 0.0

    def add(self, now: float, value: float) -> None:
        self.decay(now)
        self._sum += value
        self.weight += 1.0

    def decay(self, now: float) -> None:
        factor = math.exp((self._at - now) / _DECAY_SECONDS)
        self._sum *= factor
        self.weight *= factor
        self._at = now

    @property
    def report(self) -> SpeedReport:
        return SpeedReport(self._sum / self.weight, self.weight)


class EngineSpeeds:
    """The learnt times of the engines.

    Answers engines that are faster or slower than assumed as a whole, models
    of other sizes, and single engines that differ.

    :param clock: the monotonic clock.
    """

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self.is_enabled = False
        self._clock = clock
        self._starts_ms: dict[str, float] = {}
        self._services: dict[str, float] = {}
        self._models: dict[tuple[str, str], float] = {}
        self._samples: dict[str, _Samples] = {}
        self._peers: dict[str, SpeedReport] = {}

    def estimate(
        self, service: str, route: configuration.Route, model: str
    ) -> engine_time.ModelSpeed:
        """Return the expected times of a route's model at a service."""
        speed = engine_time.estimate_speed(route, model)
        if not self.is_enabled:
            return speed
        factor = self._services.get(service, 1.0)
        factor *= self._models.get((service, model), 1.0)
        return dataclasses.replace(
            speed,
            prefill_ms=speed.prefill_ms * factor,
            pairs_ms=speed.pairs_ms * factor,
            start_ms=self._starts_ms.get(service, speed.start_ms),
        )

    def factor(self, engine: str) -> float:
        """Return an engine's time relative to that of its service."""
        if not self.is_enabled:
            return 1.0
        total = 0.0
        weight = _PRIOR_WEIGHT
        for report in self._list_reports(engine):
            total += report.mean_log * report.weight
            weight += report.weight
        return math.exp(total / weight)

    def _list_reports(self, engine: str) -> list[SpeedReport]:
        reports = []
        own = self._samples.get(engine)
        if own is not None:
            own.decay(self._clock())
            reports.append(own.report)
        peers = self._peers.get(engine)
        if peers is not None:
            reports.append(peers)
        return reports

    def record(self, token: FirstToken) -> None:
        """Learn from a first token, if it shows the engine's speed."""
        if not (self.is_enabled and token.is_alone and token.is_cached):
            return
        start_ms = self._starts_ms.get(token.service, engine_time.STEP_WAIT_MS)
        if token.prefill_ms < START_PREFILL_MS:
            late_ms = token.observed_ms - token.prefill_ms - start_ms
            start_ms += math.copysign(_START_STEP_MS, late_ms)
            self._starts_ms[token.service] = _bound(
                start_ms, 0.0, MAX_START_MS
            )
        elif token.prefill_ms >= SPEED_PREFILL_MS:
            took_ms = max(token.observed_ms - start_ms, 1.0)
            self._record_ratio(token, took_ms / token.prefill_ms)

    def _record_ratio(self, token: FirstToken, ratio: float) -> None:
        ratio = _bound(ratio, 1.0 / MAX_ENGINE_FACTOR, MAX_ENGINE_FACTOR)
        samples = self._samples.get(token.engine)
        if samples is None:
            samples = _Samples(self._clock())
            self._samples[token.engine] = samples
        samples.add(self._clock(), math.log(ratio))
        direction = math.copysign(1.0, math.log(ratio))
        key = (token.service, token.model)
        self._services[token.service] = _step(
            self._services.get(token.service, 1.0),
            direction * _SERVICE_STEP,
            MAX_SERVICE_FACTOR,
        )
        self._models[key] = _step(
            self._models.get(key, 1.0),
            direction * _MODEL_STEP,
            MAX_MODEL_FACTOR,
        )

    def prune(self, engines: collections.abc.Container[str]) -> None:
        """Remove engines that are gone and samples that faded.

        :param engines: the ids of the endpoints in the directory.
        """
        now = self._clock()
        for engine, samples in list(self._samples.items()):
            samples.decay(now)
            if engine not in engines or samples.weight < _MIN_WEIGHT:
                del self._samples[engine]

    def make_report(self) -> dict[str, SpeedReport]:
        """Return the engines with most weight, for peers."""
        now = self._clock()
        for samples in self._samples.values():
            samples.decay(now)
        newest = sorted(
            self._samples.items(), key=lambda item: -item[1].weight
        )
        return {
            engine: samples.report
            for engine, samples in newest[:MAX_REPORTED]
            if samples.weight >= _MIN_WEIGHT
        }

    def set_peer_reports(
        self,
        reports: collections.abc.Iterable[
            collections.abc.Mapping[str, SpeedReport]
        ],
    ) -> None:
        """Replace the samples of all live peers.

        :param reports: for each peer, its samples by engine.
        """
        if not self.is_enabled:
            return
        sums: dict[str, tuple[float, float]] = {}
        for report in reports:
            for engine, sample in report.items():
                total, weight = sums.get(engine, (0.0, 0.0))
                sums[engine] = (
                    total + sample.mean_log * sample.weight,
                    weight + sample.weight,
                )
        self._peers = {
            engine: SpeedReport(total / weight, weight)
            for engine, (total, weight) in sums.items()
            if weight > 0.0
        }


def _bound(value: float, least: float, most: float) -> float:
    return min(max(value, least), most)


def _step(factor: float, log_step: float, most: float) -> float:
    return _bound(factor * math.exp(log_step), 1.0 / most, most)
