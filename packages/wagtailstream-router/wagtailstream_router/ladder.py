"""Chooses among a route's models, and whether an answer is good enough."""

import collections.abc
import dataclasses
import math

from wagtailstream_router import configuration, request

# The smallest model's chance of a good answer, by its confidence: a logistic
# curve through what callers earned at thresholds of 0 to 80 on a calm day
# (docs/MEASUREMENTS.md, "confidence").
_CONFIDENCE_MIDPOINT = 46.0
_CONFIDENCE_SCALE = 8.0
# The middle model's chance where the smallest one is bad: the difference of
# their shares of good answers.
_MIDDLE_CHANCE = 0.22
# What an answer of a model that was too weak still earns.
_POOR_CREDIT = 0.05
# Tokens read count as this part of a token generated (the users' pages).
_READ_SHARE = 0.25
# An output token weighs this many prompt tokens in a request's size.
_OUTPUT_WEIGHT = 10.0
# The chance that a larger model's first token is in time, by the part of the
# time left that it is expected to take: a logistic curve through the shares
# that were (docs/measurements/platform.md, "First tokens").
_TIME_SHARE_MIDPOINT = 0.9
_TIME_SHARE_SCALE = 0.1
# Beyond it a logistic curve is at its end, and exp() would overflow.
_MAX_EXPONENT = 50.0
# What a second of a model server's time is worth while all have queues, and
# the queue at which that is so: about the credit that a second earns.
_CREDIT_PER_SERVER_SECOND = 4.0
_FULL_QUEUE_MS = 800.0


@dataclasses.dataclass(frozen=True, slots=True)
class Credits:
    """What answers earn, as the operators' settings state.

    :param by_priority: the mean credit of a stream, by its route's rank.
    :param late_share: the part that a late answer earns.
    """

    by_priority: tuple[float, ...]
    late_share: float

    def of_priority(self, priority: int) -> float:
        """Return the mean credit of a rank; the last for ranks beyond."""
        return self.by_priority[
            min(max(priority, 0), len(self.by_priority) - 1)
        ]


class SizeMeans:
    """The running mean of request sizes of each route."""

    # Weight of the newest request: about the last fifty count.
    _NEWEST_WEIGHT = 0.02

    def __init__(self) -> None:
        self._means: dict[str, float] = {}

    def relative(self, route: str, call: request.Request) -> float:
        """Return a request's size against its route's mean, and count it."""
        size = call.prompt_tokens + _OUTPUT_WEIGHT * call.max_output_tokens
        mean = self._means.get(route, float(size))
        mean += self._NEWEST_WEIGHT * (size - mean)
        self._means[route] = mean
        return size / mean if mean else 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Candidate:
    """A larger model that could be asked.

    :param first_ms: when its first token is expected.
    :param work_ms: the server's time until then.
    :param price: what its use costs per 1,000 tokens.
    """

    model: str
    first_ms: float
    work_ms: float
    price: float


@dataclasses.dataclass(frozen=True, slots=True)
class Answered:
    """The answer that could be kept, and what else decides.

    :param confidence: the model's opinion of it, 0 to 100.
    :param credit: what a good answer in time earns.
    :param left_ms: what is left of the time for full credit.
    :param tokens: tokens that a model would be paid for.
    :param queue_ms: the mean queue of the model servers.
    """

    confidence: float
    credit: float
    left_ms: float
    tokens: float
    queue_ms: float


def compute_credit(
    credits_: Credits, priority: int, relative_size: float
) -> float:
    """Return what a good answer in time earns.

    :param relative_size: the request's size against its route's mean.
    """
    factor = min(0.3 + 0.7 * relative_size, 4.0)
    return credits_.of_priority(priority) * factor


def paid_tokens(call: request.Request) -> float:
    """Return the tokens that a model is paid for, in generated ones."""
    output = call.expected_output_tokens or call.max_output_tokens
    return output + _READ_SHARE * call.prompt_tokens


def choose_first(route: configuration.Route) -> str:
    """Return the model to ask first; "" where the caller names it."""
    return route.sizes[0] if route.sizes else ""


def choose_next(
    answered: Answered,
    candidates: collections.abc.Sequence[Candidate],
    late_share: float,
) -> str | None:
    """Return a larger model to ask in place of an answer; None to keep it.

    :param candidates: the larger models, the largest last.
    :param late_share: the part of the credit that a late answer earns.
    """
    good = chance_of_good(answered.confidence)
    kept = good + _POOR_CREDIT * (1.0 - good)
    best: str | None = None
    best_gain = 0.0
    for place, candidate in enumerate(candidates):
        is_largest = place == len(candidates) - 1
        chance = 1.0 if is_largest else good + _MIDDLE_CHANCE * (1.0 - good)
        earned = chance + _POOR_CREDIT * (1.0 - chance)
        in_time = chance_in_time(candidate.first_ms, answered.left_ms)
        earned *= in_time + late_share * (1.0 - in_time)
        gain = (earned - kept) * answered.credit
        gain -= candidate.price * answered.tokens / 1000.0
        gain -= _time_price(candidate.work_ms, answered.queue_ms)
        if gain > best_gain:
            best = candidate.model
            best_gain = gain
    return best


def chance_of_good(confidence: float) -> float:
    """Return the smallest model's chance of a good answer, 0 to 1."""
    return 1.0 / (
        1.0 + math.exp((_CONFIDENCE_MIDPOINT - confidence) / _CONFIDENCE_SCALE)
    )


def chance_in_time(first_ms: float, left_ms: float) -> float:
    """Return the chance that a first token comes in time, 0 to 1.

    :param first_ms: when it is expected.
    :param left_ms: what is left of the time for full credit.
    """
    if left_ms <= 0.0:
        return 0.0
    excess = (first_ms / left_ms - _TIME_SHARE_MIDPOINT) / _TIME_SHARE_SCALE
    return 1.0 / (1.0 + math.exp(min(excess, _MAX_EXPONENT)))


def _time_price(work_ms: float, queue_ms: float) -> float:
    fullness = min(1.0, queue_ms / _FULL_QUEUE_MS)
    return work_ms / 1000.0 * _CREDIT_PER_SERVER_SECOND * fullness
