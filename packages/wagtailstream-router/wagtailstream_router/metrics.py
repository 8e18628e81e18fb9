"""Counters, gauges and latency histograms, served as text."""

import bisect
import collections
import enum


class Counter(enum.Enum):
    """The counters; each reason of a refusal, failure or retry has its own."""

    REQUESTS = "requests"
    ANSWERED = "answered"
    REFUSED_NO_CONFIGURATION = "refused_no_configuration"
    REFUSED_NO_ROUTE = "refused_no_route"
    REFUSED_CREDENTIAL = "refused_credential"
    REFUSED_MALFORMED = "refused_malformed"
    REFUSED_TOO_LARGE = "refused_too_large"
    REFUSED_LONG_HEAD = "refused_long_head"
    REFUSED_NO_ENDPOINT = "refused_no_endpoint"
    REFUSED_BY_ENDPOINT = "refused_by_endpoint"
    REFUSED_LIMITED = "refused_limited"
    REFUSED_LEAVING = "refused_leaving"
    REFUSED_FULL = "refused_full"
    REFUSED_EMPTIED = "refused_emptied"
    REFUSED_COLD = "refused_cold"
    REFUSED_DEADLINE = "refused_deadline"
    REFUSED_DRAINING = "refused_draining"
    REFUSED_CRASHING = "refused_crashing"
    REFUSED_NO_ROOM = "refused_no_room"
    REFUSED_NOT_IN_TIME = "refused_not_in_time"
    REFUSED_QUEUE_FULL = "refused_queue_full"
    REFUSED_NEVER_FITS = "refused_never_fits"
    FAILED_UNKNOWN = "failed_unknown"
    FAILED_TIMEOUT = "failed_timeout"
    FAILED_BY_ENDPOINT = "failed_by_endpoint"
    FAILED_CUT = "failed_cut"
    FAILED_INTERNAL = "failed_internal"
    CALLER_LEFT = "caller_left"
    WAITED_FOR_CALLER = "waited_for_caller"
    ENDED_UNREAD = "ended_unread"
    PASSED_ON_EARLY = "passed_on_early"
    TURNED_AWAY = "turned_away"
    RETRIED_UNREACHABLE = "retried_unreachable"
    RETRIED_SILENT = "retried_silent"
    RETRIED_BROKEN = "retried_broken"
    RETRIED_ERROR = "retried_error"
    RETRIED_SHED = "retried_shed"
    RETRIED_LEAVING = "retried_leaving"
    RETRIED_FULL = "retried_full"
    RETRIED_EMPTIED = "retried_emptied"
    RETRIED_COLD = "retried_cold"
    RETRIED_HELD_BACK = "retried_held_back"
    RETRY_DENIED = "retry_denied"
    CLIMBED = "climbed"
    CLIMB_DENIED = "climb_denied"
    CLIMB_DENIED_PRICE = "climb_denied_price"
    CLIMB_NOT_WORTH = "climb_not_worth"
    RESUMED = "resumed"
    STORE_CALLS = "store_calls"
    STORE_RESTORES = "store_restores"
    CONNECTIONS_OPENED = "connections_opened"
    ENDPOINTS_PAUSED = "endpoints_paused"
    ENDPOINTS_CRASHED = "endpoints_crashed"
    ENDPOINTS_LEAVING = "endpoints_leaving"
    ENDPOINTS_FULL = "endpoints_full"
    WAITED_FULL = "waited_full"
    SENDS_STOPPED_EMPTIED = "sends_stopped_emptied"
    SENDS_STOPPED_COLD = "sends_stopped_cold"
    WAITED = "waited"
    LEAVING_IGNORED = "leaving_ignored"
    RETRY_AFTERS_IGNORED = "retry_afters_ignored"
    RETRY_AFTERS_CLAMPED = "retry_afters_clamped"
    RATE_LIMITS_IGNORED = "rate_limits_ignored"
    LOG_LINES_DROPPED = "log_lines_dropped"


class Gauge(enum.Enum):
    """The names of the values that rise and fall."""

    ZONES_EMPTIED = "zones_emptied"
    ENDPOINTS_COLD = "endpoints_cold"
    # Credit a second, of the service whose answer was judged last.
    TIME_PRICE = "engine_time_price"
    HELD_BYTES = "held_bytes"
    WAITING = "waiting"
    WAITING_BYTES = "waiting_bytes"
    STRAIN = "strain"


class Histogram(enum.Enum):
    """The names of the latency histograms, in seconds."""

    FIRST_BYTE = "first_byte_seconds"
    WHOLE_ANSWER = "whole_answer_seconds"
    WAIT = "wait_seconds"


# Upper bounds of the buckets in seconds, around the latency objectives of the
# users' specification.
_BOUNDS = (0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 15.0)
_PREFIX = "wagtailstream_"


class Metrics:
    """The counters and histograms of one process."""

    def __init__(self) -> None:
        self._counts: collections.Counter[Counter] = collections.Counter()
        self._gauges = dict.fromkeys(Gauge, 0.0)
        self._buckets = {
            histogram: [0] * (len(_BOUNDS) + 1) for histogram in Histogram
        }
        self._sums = dict.fromkeys(Histogram, 0.0)
        self._gauges = dict.fromkeys(Gauge, 0)

    def count(self, counter: Counter, amount: int = 1) -> None:
        """Increase a counter by an amount."""
        self._counts[counter] += amount

    def set(self, counter: Counter, value: int) -> None:
        """Set a counter that another part of the process maintains."""
        self._counts[counter] = value

    def read(self, counter: Counter) -> int:
        """Return a counter's value."""
        return self._counts[counter]

    def set_gauge(self, gauge: Gauge, value: float) -> None:
        """Set a gauge."""
        self._gauges[gauge] = value

    def read_gauge(self, gauge: Gauge) -> float:
        """Return a gauge's value."""
        return self._gauges[gauge]

    def observe(self, histogram: Histogram, seconds: float) -> None:
        """Add a duration to a histogram."""
        place = bisect.bisect_left(_BOUNDS, seconds)
        self._buckets[histogram][place] += 1
        self._sums[histogram] += seconds

    def render(self) -> str:
        """Return all metrics in the Prometheus text exposition format."""
        lines = []
        for counter in Counter:
            name = f"{_PREFIX}{counter.value}_total"
            lines.append(f"# TYPE {name} counter")
            lines.append(f"{name} {self._counts[counter]}")
        for gauge, value in self._gauges.items():
            name = f"{_PREFIX}{gauge.value}"
            lines.append(f"# TYPE {name} gauge")
            lines.append(f"{name} {value:.6g}")
        for histogram in Histogram:
            lines.extend(self._render_histogram(histogram))
        return "\n".join(lines) + "\n"

    def _render_histogram(self, histogram: Histogram) -> list[str]:
        name = _PREFIX + histogram.value
        lines = [f"# TYPE {name} histogram"]
        total = 0
        for bound, count in zip(
            [*map(str, _BOUNDS), "+Inf"],
            self._buckets[histogram],
            strict=True,
        ):
            total += count
            lines.append(f'{name}_bucket{{le="{bound}"}} {total}')
        lines.append(f"{name}_sum {self._sums[histogram]:.6f}")
        lines.append(f"{name}_count {total}")
        return lines
