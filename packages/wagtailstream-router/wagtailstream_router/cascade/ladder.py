"""Chooses a route's model, and when a larger one replaces an answer."""

import collections.abc
import dataclasses
import math

from wagtailstream_router import configuration

# The chance that the smallest model's answer is good, as a logistic function
# of its confidence (0 to 100), fitted to the credit that was earned with
# confidence thresholds of 0 to 80 on a calm day (docs/MEASUREMENTS.md,
# "confidence").
_CONFIDENCE_MIDPOINT = 46.0
_CONFIDENCE_SCALE = 8.0
# The chance that a middle model's answer is good where the smallest model's is
# bad: the difference of their shares of good answers.
_MIDDLE_CHANCE = 0.22
# The chance that the smallest model's answer is good, before its confidence is
# known. It need not be exact: the smallest model takes so little time that its
# answers gain several times as much a second as those of larger ones.
_FIRST_CHANCE = 0.5
# The part of the credit that an answer of a too weak model still earns.
_POOR_CREDIT = 0.05
# The chance that a larger model's first token is in time, as a logistic
# function of its expected time divided by the time left, fitted to the shares
# of first tokens in time (docs/measurements/platform.md, "First tokens").
_TIME_SHARE_MIDPOINT = 0.9
_TIME_SHARE_SCALE = 0.1
# Caps the exponent of the logistic function: it is near 0 there, and exp() of
# large values overflows.
_MAX_EXPONENT = 50.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A larger model that could be asked.

    :param first_ms: the estimated time to its first token.
    :param work_ms: the server time for the prefill of the prompt.
    :param price: the price per 1,000 generated tokens.
    """

    model: str
    first_ms: float
    work_ms: float
    price: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The smaller model's answer, and the state that the choice depends on.

    :param confidence: the model's confidence in its answer, 0 to 100.
    :param credit: the credit of a good answer in time.
    :param left_ms: the time left for full credit.
    :param tokens: the tokens that a larger model would charge for.
    """

    confidence: float
    credit: float
    left_ms: float
    tokens: float


def choose_first(route: configuration.Route) -> str:
    """Return the model to ask first; "" if the caller chooses the model."""
    return route.sizes[0] if route.sizes else ""


def value_first(route: configuration.Route, credit: float) -> float:
    """Return what a request's first answer is expected to earn.

    :param credit: the credit of a good answer in time.
    """
    return _FIRST_CHANCE * credit if route.sizes else credit


def list_gains(
    answered: Answered,
    candidates: collections.abc.Sequence[Candidate],
    late_share: float,
) -> list[float]:
    """Return what each larger model is expected to gain over keeping.

    That is the credit gained, less the model's price. The price of engine
    time is not taken off.

    :param answered: the answer that could be kept.
    :param candidates: the larger models, the largest last.
    :param late_share: the part of the credit that a late answer earns.
    """
    good = chance_of_good(answered.confidence)
    kept = good + _POOR_CREDIT * (1.0 - good)
    gains = []
    for place, candidate in enumerate(candidates):
        is_largest = place == len(candidates) - 1
        chance = 1.0 if is_largest else good + _MIDDLE_CHANCE * (1.0 - good)
        earned = chance + _POOR_CREDIT * (1.0 - chance)
        in_time = chance_in_time(candidate.first_ms, answered.left_ms)
        earned *= in_time + late_share * (1.0 - in_time)
        gain = (earned - kept) * answered.credit
        gains.append(gain - candidate.price * answered.tokens / 1000.0)
    return gains


def choose_next(
    answered: Answered,
    candidates: collections.abc.Sequence[Candidate],
    late_share: float,
    time_price: float,
) -> str | None:
    """Return the model to ask instead of keeping an answer; None to keep it.

    The model with the largest expected gain is chosen, less the price of the
    engine time that it takes.

    :param answered: the answer that could be kept.
    :param candidates: the larger models, the largest last.
    :param late_share: the part of the credit that a late answer earns.
    :param time_price: the credit that a second of engine time costs.
    """
    best: str | None = None
    best_gain = 0.0
    gains = list_gains(answered, candidates, late_share)
    for candidate, gain in zip(candidates, gains, strict=True):
        net = gain - candidate.work_ms / 1000.0 * time_price
        if net > best_gain:
            best = candidate.model
            best_gain = net
    return best


def chance_of_good(confidence: float) -> float:
    """Return the chance, 0 to 1, that the smallest model's answer is good.

    :param confidence: the model's confidence, 0 to 100.
    """
    return 1.0 / (
        1.0 + math.exp((_CONFIDENCE_MIDPOINT - confidence) / _CONFIDENCE_SCALE)
    )


def chance_in_time(first_ms: float, left_ms: float) -> float:
    """Return the chance, 0 to 1, that a first token comes in time.

    :param first_ms: the estimated time to the first token.
    :param left_ms: the time left for full credit.
    """
    if left_ms <= 0.0:
        return 0.0
    excess = (first_ms / left_ms - _TIME_SHARE_MIDPOINT) / _TIME_SHARE_SCALE
    return 1.0 / (1.0 + math.exp(min(excess, _MAX_EXPONENT)))
