"""Estimates of a model server's time for a prompt."""

import dataclasses

from wagtailstream_router import configuration


@dataclasses.dataclass(frozen=True, slots=True)
class ModelSpeed:
    """How fast a model works.

    :param prefill_ms: for a token of the prompt.
    :param pairs_ms: for a million pairs of a new token and one before it.
    :param decode_ms: for a token of the answer.
    """

    prefill_ms: float
    pairs_ms: float
    decode_ms: float


# The sheets' 63.9 prompt tokens a ms and 3.7 ms a step; the time of pairs is
# fitted to first tokens of long prompts.
_BASE_SPEED = ModelSpeed(1.0 / 63.9, 0.367, 3.7)
# Beside the tokens, until a first token: a step that is under way.
FIXED_MS = 8.0
# Times of the models of a route against the base, smallest first, as first
# tokens and pauses showed them.
_PACE_FACTORS = (0.3, 0.8, 3.0)


def estimate_speed(route: configuration.Route, model: str) -> ModelSpeed:
    """Return the speed that a model of a route is expected to have."""
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
    """Return the time to read a prompt.

    :param total_tokens: the prompt's length.
    :param kept: how many of its first tokens the server knows.
    """
    fresh = max(0, total_tokens - kept)
    pairs = fresh * (kept + fresh / 2.0) / 1e6
    return FIXED_MS + fresh * speed.prefill_ms + pairs * speed.pairs_ms
