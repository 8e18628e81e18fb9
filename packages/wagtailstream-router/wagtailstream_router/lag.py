"""How much later than expected an endpoint's answers begin of late.

Estimates rest on what instances know to be under way. What they do not know,
such as an endpoint that is slower than its fellows or work of instances that
were not heard, shows in first tokens that come late. The lateness is a mean
whose samples fade, so that it follows an endpoint within seconds; instances
add each other's samples, since each alone has few on any one endpoint.
"""

import collections.abc
import dataclasses
import math
import time

# A sample counts e times less after this: queues of the engines change within
# some seconds.
FADE_SECONDS = 3.0
# Samples of no lateness that every endpoint starts with, so that one late
# token alone decides nothing.
PRIOR_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LagNews:
    """The samples of one instance on one endpoint.

    :param mean_ms: their faded mean.
    :param weight: how many samples it stands for, faded.
    """

    mean_ms: float = 0.0
    weight: float = 0.0


class Lag:
    """The samples that this instance took of one endpoint."""

    def __init__(self) -> None:
        self._sum_ms = 0.0
        self._weight = 0.0
        self._at = time.monotonic()

    @property
    def news(self) -> LagNews:
        """What peers are told; its weight is rounded to 0 when it is old."""
        self._fade()
        weight = round(self._weight, 2)
        if not weight:
            return LagNews()
        return LagNews(self._sum_ms / self._weight, weight)

    def note(self, late_ms: float) -> None:
        """Take a sample.

        :param late_ms: how much later than expected an answer began; what
            came sooner counts as in time.
        """
        self._fade()
        self._sum_ms += max(0.0, late_ms)
        self._weight += 1.0

    def _fade(self) -> None:
        now = time.monotonic()
        factor = math.exp((self._at - now) / FADE_SECONDS)
        self._sum_ms *= factor
        self._weight *= factor
        self._at = now


def combine(news: collections.abc.Iterable[LagNews]) -> float:
    """Return the lateness to expect, in milliseconds.

    :param news: the samples of each instance.
    """
    total_ms = 0.0
    weight = PRIOR_WEIGHT
    for one in news:
        total_ms += one.mean_ms * one.weight
        weight += one.weight
    return total_ms / weight
