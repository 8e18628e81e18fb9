"""Learns from first tokens how fast the model servers of a service are."""

import dataclasses

from wagtailstream_router import configuration, engine_time

# Samples with more known work ahead say little about the servers' speed.
MAX_QUEUE_MS = 5.0
# Prompts with less estimated work tell the time before any first token, those
# with more the speed of the prefill.
SHORT_WORK_MS = 50.0
# Each sample moves an estimate by one step towards its own value, whatever the
# distance, so that the estimates follow the medians and outliers don't count.
START_STEP_MS = 1.0
SCALE_STEP = 1.01
MAX_START_MS = 250.0
MIN_SCALE = 0.25
MAX_SCALE = 4.0


class EngineLearning:
    """The learnt times of the model servers, by service and model."""

    def __init__(self) -> None:
        self._start_ms: dict[str, float] = {}
        self._scales: dict[tuple[str, str], float] = {}

    def estimate_speed(
        self, service: str, route: configuration.Route, model: str
    ) -> engine_time.ModelSpeed:
        """Return the expected processing times of a model at a service."""
        speed = engine_time.estimate_speed(route, model)
        scale = self._scales.get((service, model), 1.0)
        return dataclasses.replace(
            speed,
            prefill_ms=speed.prefill_ms * scale,
            pairs_ms=speed.pairs_ms * scale,
            start_ms=self._start_ms.get(service, 0.0),
        )

    def record(
        self,
        service: str,
        model: str,
        queue_ms: float,
        work_ms: float,
        late_ms: float,
    ) -> None:
        """Add the time of a first token.

        :param queue_ms: the known work ahead of the request.
        :param work_ms: the estimated time to prefill its prompt.
        :param late_ms: how much later than estimated the token came; negative
            if it came earlier.
        """
        if queue_ms > MAX_QUEUE_MS or not late_ms:
            return
        if work_ms < SHORT_WORK_MS:
            step = START_STEP_MS if late_ms > 0.0 else -START_STEP_MS
            start_ms = self._start_ms.get(service, 0.0) + step
            self._start_ms[service] = min(max(start_ms, 0.0), MAX_START_MS)
            return
        factor = SCALE_STEP if late_ms > 0.0 else 1.0 / SCALE_STEP
        scale = self._scales.get((service, model), 1.0) * factor
        self._scales[service, model] = min(max(scale, MIN_SCALE), MAX_SCALE)
