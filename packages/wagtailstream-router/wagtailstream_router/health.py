"""Judges an endpoint by what callers got from it."""

import enum
import time

# Weight of the newest outcome: about the last dozen count.
_NEWEST_WEIGHT = 0.15
# Outcomes of one kind in a row after which an endpoint gets no work.
_MAX_CONSECUTIVE_FAILURES = 3
_MAX_CONSECUTIVE_UNREACHABLE = 1
_MAX_CONSECUTIVE_SILENT = 2
# The first pause of an endpoint without work, doubled each time up to the
# last: a crashed endpoint is back after some seconds.
_FIRST_PAUSE_SECONDS = 0.5
_LAST_PAUSE_SECONDS = 4.0
# Share of failures from which an endpoint is used only where none is better.
BAD_SHARE = 0.35


class Fault(enum.Enum):
    """How an attempt at an endpoint failed."""

    UNREACHABLE = "unreachable"
    SILENT = "silent"
    BROKEN = "broken"
    ERROR = "error"
    SHED = "shed"


class Health:
    """What one endpoint's last answers were like."""

    def __init__(self) -> None:
        self._bad_share = 0.0
        self._consecutive_failures: dict[Fault, int] = {}
        self._paused_until = float("-inf")
        self._pause_seconds = _FIRST_PAUSE_SECONDS
        self._duration_ms = 0.0

    @property
    def bad_share(self) -> float:
        """The share of failures among the last answers, 0 to 1."""
        return self._bad_share

    @property
    def duration_ms(self) -> float:
        """The usual time of an answer; 0 before the first."""
        return self._duration_ms

    @property
    def is_paused(self) -> bool:
        """Whether the endpoint gets no work at present."""
        return time.monotonic() < self._paused_until

    def note_success(self, duration_ms: float | None) -> None:
        """Count an answer.

        :param duration_ms: how long it took; None where that says nothing
            of the endpoint.
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

    def note_failure(self, fault: Fault) -> bool:
        """Count a failure.

        :returns: whether the endpoint gets no work from now on.
        """
        self._bad_share += _NEWEST_WEIGHT * (1.0 - self._bad_share)
        count = self._consecutive_failures.get(fault, 0) + 1
        self._consecutive_failures[fault] = count
        if count < _consecutive_limit(fault) or self.is_paused:
            return False
        self._consecutive_failures.clear()
        self._paused_until = time.monotonic() + self._pause_seconds
        self._pause_seconds = min(
            _LAST_PAUSE_SECONDS, self._pause_seconds * 2.0
        )
        return True


def _consecutive_limit(fault: Fault) -> int:
    if fault is Fault.UNREACHABLE:
        return _MAX_CONSECUTIVE_UNREACHABLE
    if fault is Fault.SILENT:
        return _MAX_CONSECUTIVE_SILENT
    return _MAX_CONSECUTIVE_FAILURES
