"""Counters, gauges and timings, sent to statsd over UDP.

Sending never blocks the request path. The counters are also kept in memory
for the process's status page.
"""

import abc
import collections
import enum

import statsd


class Metric(enum.Enum):
    """The metrics that entry and agent send."""

    REQUESTS = "requests"
    COMPLETED = "completed"
    REFUSED = "refused"
    RETRIED = "retried"
    RETRY_DENIED = "retry_denied"
    HEDGED = "hedged"
    ESCALATED = "escalated"
    RATINGS_COUNTED = "ratings.counted"
    RATINGS_SKIPPED = "ratings.skipped"
    RATINGS_MISSED = "ratings.missed"
    BAD_VERSIONS = "versions.bad"
    LADDER = "ladder"
    RECORDS_COLLECTED = "collector.records"
    COLLECTED_APPENDS = "collector.appends"
    COLLECTORS_FAILED = "collector.failed"
    RESUMED = "resumed"
    RECORDS_ACCEPTED = "configuration.accepted"
    RECORDS_REJECTED = "configuration.rejected"
    LOG_FAILURES = "log.failures"
    LOG_LAGGING = "log.lagging"
    SNAPSHOTS_APPENDED = "configuration.snapshots"
    BILLS_APPENDED = "bills.appended"
    BILLS_HELD = "bills.held"
    PEERS_REFUSED = "peers.refused"
    STRIKES = "strikes"
    FIRST_TOKEN = "first_token"
    DURATION = "duration"
    IN_FLIGHT = "in_flight"
    CONFIGURATION_OFFSET = "configuration.offset"
    FRESHNESS = "configuration.fresh"


class Metrics(abc.ABC):
    """Interface for recording counts, timings and gauges."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> dict[str, int]:
        """The present value of each counter by its full name."""
        return dict(self._counts)

    def count(self, metric: Metric, label: str = "", amount: int = 1) -> None:
        """Add to a counter.

        :param metric: the counter.
        :param label: appended to the counter's name, such as a reason.
        :param amount: the amount to add.
        """
        name = f"{metric.value}.{label}" if label else metric.value
        self._counts[name] += amount
        self._send_count(name, amount)

    @abc.abstractmethod
    def time(self, metric: Metric, seconds: float) -> None:
        """Send a timing.

        :param metric: the timing.
        :param seconds: the measured time.
        """

    @abc.abstractmethod
    def gauge(self, metric: Metric, value: float) -> None:
        """Send a gauge.

        :param metric: the gauge.
        :param value: its present value.
        """

    @abc.abstractmethod
    def _send_count(self, name: str, amount: int) -> None: ...


class MemoryMetrics(Metrics):
    """Keeps counters in memory only; used if no statsd server is set."""

    def time(self, metric: Metric, seconds: float) -> None:
        """Drop a timing.

        :param metric: the timing.
        :param seconds: the measured time.
        """

    def gauge(self, metric: Metric, value: float) -> None:
        """Drop a gauge.

        :param metric: the gauge.
        :param value: its present value.
        """

    def _send_count(self, name: str, amount: int) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends all metrics to a statsd server over UDP.

    :param host: the server's IP address.
    :param port: the server's port.
    :param prefix: prefix of each metric's name.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def time(self, metric: Metric, seconds: float) -> None:
        """Send a timing.

        :param metric: the timing.
        :param seconds: the measured time.
        """
        self._client.timing(metric.value, seconds * 1000.0)

    def gauge(self, metric: Metric, value: float) -> None:
        """Send a gauge.

        :param metric: the gauge.
        :param value: its present value.
        """
        self._client.gauge(metric.value, value)

    def _send_count(self, name: str, amount: int) -> None:
        self._client.incr(name, amount)
