"""Estimates the prefill time of a prompt at a model server."""

import dataclasses

from wagtailstream_router import configuration

# Added to each first token: the wait for the engine step that is running.
STEP_WAIT_MS = 8.0


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpeed:
    """A model's processing times in milliseconds.

    :param prefill_ms: per prompt token.
    :param pairs_ms: attention: per million pairs of a new prompt token and an
        earlier one.
    :param decode_ms: per token of the answer.
    :param start_ms: before any first token, beside the prefill.
    """

    prefill_ms: float
    pairs_ms: float
    decode_ms: float
    start_ms: float


# The users' specification states 63.9 prompt tokens per ms and 3.7 ms per
# decoding step; the time of pairs is fitted to the times to first token of
# long prompts.
_BASE_SPEED = ModelSpeed(1.0 / 63.9, 0.367, 3.7, STEP_WAIT_MS)
# Processing times of a route's smallest, middle and largest model relative to
# the base speed, derived from times to first token and between tokens.
_TIME_FACTORS = (0.3, 0.8, 3.0)


def estimate_speed(route: configuration.Route, model: str) -> ModelSpeed:
    """Return the expected processing times of a route's model."""
    factor = _time_factor(route, model)
    return ModelSpeed(
        _BASE_SPEED.prefill_ms * factor,
        _BASE_SPEED.pairs_ms * factor,
        _BASE_SPEED.decode_ms * factor,
        _BASE_SPEED.start_ms,
    )


def _time_factor(route: configuration.Route, model: str) -> float:
    if not route.sizes or model == route.sizes[-1]:
        return _TIME_FACTORS[-1]
    if model == route.sizes[0]:
        return _TIME_FACTORS[0]
    return _TIME_FACTORS[1]


def prefill_ms(
    speed: ModelSpeed, total_tokens: int, cached_tokens: int
) -> float:
    """Return the time to prefill a prompt, in milliseconds.

    It includes the time before any first token.

    :param total_tokens: the prompt's length in tokens.
    :param cached_tokens: how many of its leading tokens the server has
        cached.
    """
    new_tokens = max(0, total_tokens - cached_tokens)
    pairs = new_tokens * (cached_tokens + new_tokens / 2.0) / 1e6
    return (
        speed.start_ms + new_tokens * speed.prefill_ms + pairs * speed.pairs_ms
    )
