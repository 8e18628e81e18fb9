"""Chooses among a route's models, and whether an answer is good enough."""

import dataclasses

from wagtailstream_router import configuration, request

# Confidence from which the smallest model's answer is kept, by the rank of
# the route: what is worth most is asked again soonest (measured: see
# docs/MEASUREMENTS.md).
KEEP_CONFIDENCE = (60.0, 50.0, 40.0)
# Queue of the least loaded model server, in ms, from which thresholds fall,
# and at which no answer is asked again.
BUSY_MS = 300.0
FULL_MS = 1500.0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpeed:
    """How fast a model works.

    :param prefill_ms: for a token of the prompt.
    :param decode_ms: for a token of the answer.
    """

    prefill_ms: float
    decode_ms: float


# By place on the ladder, for the engines of the sheets: 63.9 prompt tokens
# and 3.7 ms a step, times the pace that answers showed for each model.
SMALLEST_SPEED = ModelSpeed(0.3 / 63.9, 0.3 * 3.7)
MIDDLE_SPEED = ModelSpeed(0.8 / 63.9, 0.8 * 3.7)
LARGEST_SPEED = ModelSpeed(3.0 / 63.9, 3.0 * 3.7)


def speed_of(route: configuration.Route, model: str) -> ModelSpeed:
    """Return the speed that a model of a route is expected to have."""
    if not route.sizes or model == route.sizes[-1]:
        return LARGEST_SPEED
    if model == route.sizes[0]:
        return SMALLEST_SPEED
    return MIDDLE_SPEED


def choose_first(route: configuration.Route, call: request.Request) -> str:
    """Return the model to ask first; "" where the caller names it."""
    return route.sizes[0] if route.sizes else ""


def choose_next(
    route: configuration.Route,
    model: str,
    confidence: float | None,
    queue_ms: float,
) -> str | None:
    """Return a larger model to ask in place of an answer; None to keep it.

    :param model: the model that answers.
    :param confidence: its opinion of its answer, 0 to 100.
    :param queue_ms: the shortest queue of the service's model servers.
    """
    if not route.sizes or model == route.sizes[-1] or confidence is None:
        return None
    rank = min(max(route.priority, 0), len(KEEP_CONFIDENCE) - 1)
    threshold = KEEP_CONFIDENCE[rank] * _relax(queue_ms)
    return route.sizes[-1] if confidence < threshold else None


def _relax(queue_ms: float) -> float:
    if queue_ms <= BUSY_MS:
        return 1.0
    return max(0.0, 1.0 - (queue_ms - BUSY_MS) / (FULL_MS - BUSY_MS))
