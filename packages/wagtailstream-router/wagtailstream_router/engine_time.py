"""Estimates how long a model server takes to read a prompt."""

import dataclasses

from wagtailstream_router import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpeed:
    """A model's processing times in milliseconds.

    :param prefill_ms: per prompt token.
    :param pairs_ms: attention: per million pairs of a new prompt token and an
        earlier one.
    :param decode_ms: per token of the answer.
    """

    prefill_ms: float
    pairs_ms: float
    decode_ms: float


# The users' sheets state 63.9 prompt tokens per ms and 3.7 ms per decoding
# step; the time of pairs is fitted to first tokens of long prompts.
_BASE_SPEED = ModelSpeed(1.0 / 63.9, 0.367, 3.7)
# Added to each first token: the wait for the engine step that is running.
FIXED_MS = 8.0
# Processing times relative to the base speed, as first tokens and pauses show
# them: of a route's smallest, middle and largest model.
_PACE_FACTORS = (0.3, 0.8, 3.0)


def estimate_speed(route: configuration.Route, model: str) -> ModelSpeed:
    """Return the expected processing times of a route's model."""
    pace = _pace_factor(route, model)
    return ModelSpeed(
        _BASE_SPEED.prefill_ms * pace,
        _BASE_SPEED.pairs_ms * pace,
        _BASE_SPEED.decode_ms * pace,
    )


def _pace_factor(route: configuration.Route, model: str) -> float:
    if not route.sizes or model == route.sizes[-1]:
        return _PACE_FACTORS[-1]
    if model == route.sizes[0]:
        return _PACE_FACTORS[0]
    return _PACE_FACTORS[1]


def prefill_ms(speed: ModelSpeed, total_tokens: int, kept: int) -> float:
    """Return the time to read a prompt, in milliseconds.

    :param total_tokens: the prompt's length in tokens.
    :param kept: how many of its leading tokens the server has cached.
    """
    fresh = max(0, total_tokens - kept)
    pairs = fresh * (kept + fresh / 2.0) / 1e6
    return FIXED_MS + fresh * speed.prefill_ms + pairs * speed.pairs_ms
