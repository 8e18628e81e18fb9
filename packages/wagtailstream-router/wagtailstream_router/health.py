"""Tracks an endpoint's health by the outcomes of its attempts."""

import enum
import time

# Weight of the newest outcome: averages over about the last dozen.
_NEWEST_WEIGHT = 0.15
# Consecutive failures of one kind after which an endpoint is paused.
_MAX_CONSECUTIVE_FAILURES = 3
_MAX_CONSECUTIVE_UNREACHABLE = 1
_MAX_CONSECUTIVE_SILENT = 2
# Length of an endpoint's first pause; it doubles with each further pause up
# to the maximum. A crashed endpoint is back after a few seconds.
_FIRST_PAUSE_SECONDS = 0.5
_MAX_PAUSE_SECONDS = 4.0
# Endpoints with at least this share of failures are used only if no better
# one is available.
BAD_SHARE = 0.35


class Fault(enum.Enum):
    """The kind of failure of an attempt at an endpoint."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    ERROR = "error"
    SHED = "shed"
    # Not sent: the endpoint reported it after it had been chosen.
    LEAVING = "leaving"
    FULL = "full"
    # Not sent: an order or the start of the endpoint became known after it
    # had been chosen.
    EMPTIED = "emptied"
    COLD = "cold"
    # The endpoint cut off an answer that the caller had not read.
    HELD_BACK = "held_back"


class Health:
    """The recent outcomes and durations of one endpoint's answers."""

    def __init__(self) -> None:
        self._bad_share = 0.0
        self._consecutive_failures: dict[Fault, int] = {}
        self._paused_until = float("-inf")
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._duration_ms = 0.0

    @property
    def bad_share(self) -> float:
        """The moving average of failures, 0 to 1."""
        return self._bad_share

    @property
    def duration_ms(self) -> float:
        """The moving average of an answer's duration; 0 before the first.

        For model servers it is the pause between events instead, relative to
        the model's expected one; only comparisons between endpoints use it.
        """
        return self._duration_ms

    @property
    def is_paused(self) -> bool:
        """Whether the endpoint is paused and should get no requests."""
        return time.monotonic() < self._paused_until

    def record_success(self, duration_ms: float | None) -> None:
        """Record a successful answer.

        :param duration_ms: its duration; None if it says nothing about the
            endpoint's speed.
        """
        self._consecutive_failures.clear()
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._bad_share *= 1.0 - _NEWEST_WEIGHT
        if duration_ms is None:
            return
        if self._duration_ms == 0.0:
            self._duration_ms = duration_ms
        else:
            step = duration_ms - self._duration_ms
            self._duration_ms += _NEWEST_WEIGHT * step

    def record_failure(self, fault: Fault) -> bool:
        """Record a failed attempt.

        :returns: whether this failure paused the endpoint.
        """
        self._bad_share += _NEWEST_WEIGHT * (1.0 - self._bad_share)
        count = self._consecutive_failures.get(fault, 0) + 1
        self._consecutive_failures[fault] = count
        if count < _consecutive_limit(fault) or self.is_paused:
            return False
        self._consecutive_failures.clear()
        self._paused_until = time.monotonic() + self._pause_seconds
        self._pause_seconds = min(
            _MAX_PAUSE_SECONDS, self._pause_seconds * 2.0
        )
        return True


def _consecutive_limit(fault: Fault) -> int:
    if fault is Fault.UNREACHABLE:
        return _MAX_CONSECUTIVE_UNREACHABLE
    if fault is Fault.SILENT:
        return _MAX_CONSECUTIVE_SILENT
    return _MAX_CONSECUTIVE_FAILURES
