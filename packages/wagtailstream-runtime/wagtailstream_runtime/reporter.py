"""Sends an instance's gauges periodically, off the request path."""

import asyncio
import collections.abc
import dataclasses

from wagtailstream_core import freshness
from wagtailstream_runtime import metrics

INTERVAL_SECONDS = 1.0

_FRESHNESS_VALUES = {
    freshness.Freshness.FRESH: 1.0,
    freshness.Freshness.LOG_DOWN: 0.5,
    freshness.Freshness.CUT_OFF: 0.0,
}


@dataclasses.dataclass(frozen=True)
class Reading:
    """The present gauge values of an instance.

    :param in_flight: number of running requests (entry) or attempts (agent).
    :param offset: log offset of the configuration in force.
    """

    in_flight: int
    offset: int
    freshness: freshness.Freshness


class Reporter:
    """Sends an instance's gauges.

    :param counters: the metrics to send the gauges to.
    :param read: returns the present gauge values.
    """

    def __init__(
        self,
        counters: metrics.Metrics,
        read: collections.abc.Callable[[], Reading],
    ) -> None:
        self._metrics = counters
        self._read = read

    async def run(self) -> None:
        """Send the gauges periodically until cancelled."""
        while True:
            self.report()
            await asyncio.sleep(INTERVAL_SECONDS)

    def report(self) -> None:
        """Send all gauges once."""
        reading = self._read()
        self._metrics.gauge(metrics.Metric.IN_FLIGHT, reading.in_flight)
        self._metrics.gauge(
            metrics.Metric.CONFIGURATION_OFFSET, reading.offset
        )
        self._metrics.gauge(
            metrics.Metric.FRESHNESS, _FRESHNESS_VALUES[reading.freshness]
        )
