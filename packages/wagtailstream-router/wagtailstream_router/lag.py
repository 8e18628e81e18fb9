"""Lag: by how much an endpoint's recent answers started later than estimated.

Estimates are based on the requests that instances know to be in flight. Other
causes of delay, such as a slow endpoint or the load of instances whose gossip
was lost, show up as late first tokens. The lag is an exponentially decaying
mean, so it follows an endpoint within seconds; it combines the samples of all
instances, since a single one has few samples per endpoint.
"""

import collections.abc
import dataclasses
import math
import time

# Time constant of the exponential decay of samples: queues of the model
# servers change within a few seconds.
DECAY_SECONDS = 3.0
# Weight of an assumed sample of zero lag, so that a single late answer does
# not count in full.
PRIOR_WEIGHT = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class LagReport:
    """One instance's samples of one endpoint, for its peers.

    :param mean_ms: the decayed mean of the samples.
    :param weight: the decayed number of samples.
    """

    mean_ms: float = 0.0
    weight: float = 0.0


class Lag:
    """This instance's lag samples of one endpoint."""

    def __init__(self) -> None:
        self._sum_ms = 0.0
        self._weight = 0.0
        self._at = time.monotonic()

    @property
    def report(self) -> LagReport:
        """The samples for gossip; empty once their weight rounds to 0."""
        self._decay()
        weight = round(self._weight, 2)
        if not weight:
            return LagReport()
        return LagReport(self._sum_ms / self._weight, weight)

    def record(self, late_ms: float) -> None:
        """Add a sample.

        :param late_ms: how much later than estimated an answer started;
            negative values count as 0.
        """
        self._decay()
        self._sum_ms += max(0.0, late_ms)
        self._weight += 1.0

    def _decay(self) -> None:
        now = time.monotonic()
        factor = math.exp((self._at - now) / DECAY_SECONDS)
        self._sum_ms *= factor
        self._weight *= factor
        self._at = now


def combine(reports: collections.abc.Iterable[LagReport]) -> float:
    """Return the expected lag in milliseconds.

    :param reports: the samples of each instance.
    """
    total_ms = 0.0
    weight = PRIOR_WEIGHT
    for sample in reports:
        total_ms += sample.mean_ms * sample.weight
        weight += sample.weight
    return total_ms / weight
