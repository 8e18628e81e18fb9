"""Counters, gauges and timings, sent by statsd over UDP.

Nothing on the request path waits for them. The same numbers are kept in the
process for its status page.
"""

import abc
import collections
import enum

import statsd


class Metric(enum.Enum):
    """Every metric that the two binaries send."""

    REQUESTS = "requests"
    COMPLETED = "completed"
    REFUSED = "refused"
    RETRIED = "retried"
    RETRY_DENIED = "retry_denied"
    HEDGED = "hedged"
    ESCALATED = "escalated"
    RATED = "ratings.counted"
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
    """Takes counts, timings and gauges."""

    def __init__(self) -> None:
        self._counts: collections.Counter[str] = collections.Counter()

    @property
    def counts(self) -> dict[str, int]:
        """All counters so far, by full name."""
        return dict(self._counts)

    def count(self, metric: Metric, label: str = "", amount: int = 1) -> None:
        """Add to a counter.

        :param metric: the counter.
        :param label: the reason or kind, which ends the counter's name.
        :param amount: how much to add.
        """
        name = f"{metric.value}.{label}" if label else metric.value
        self._counts[name] += amount
        self._send_count(name, amount)

    @abc.abstractmethod
    def time(self, metric: Metric, seconds: float) -> None:
        """Send a timing.

        :param metric: the timing.
        :param seconds: how long it took.
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
    """Only counts in the process; where no statsd server is set."""

    def time(self, metric: Metric, seconds: float) -> None:
        """Drop a timing.

        :param metric: the timing.
        :param seconds: how long it took.
        """

    def gauge(self, metric: Metric, value: float) -> None:
        """Drop a gauge.

        :param metric: the gauge.
        :param value: its present value.
        """

    def _send_count(self, name: str, amount: int) -> None:
        pass


class StatsdMetrics(Metrics):
    """Sends to a statsd server by UDP.

    :param host: the server's IP number.
    :param port: the server's port.
    :param prefix: the first part of each name.
    """

    def __init__(self, host: str, port: int, prefix: str) -> None:
        super().__init__()
        self._client = statsd.StatsClient(host, port, prefix=prefix)

    def time(self, metric: Metric, seconds: float) -> None:
        """Send a timing.

        :param metric: the timing.
        :param seconds: how long it took.
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
