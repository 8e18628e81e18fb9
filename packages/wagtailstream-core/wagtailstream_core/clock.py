"""Clocks: monotonic within a process, wall clock across processes."""

import abc
import time

# Deadlines that cross processes are judged with this bound on the difference
# between two instances' wall clocks.
MAX_CLOCK_SKEW_SECONDS = 0.5


class Clock(abc.ABC):
    """Tells the time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return monotonic seconds, comparable within this process."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, comparable across processes."""


class SystemClock(Clock):
    """Reads the machine's clocks."""

    def monotonic(self) -> float:
        """Return monotonic seconds, comparable within this process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds, comparable across processes."""
        return time.time()


class ManualClock(Clock):
    """Stands still until it is moved; for tests and experiments.

    :param now: the time that both clocks show at first, in seconds.
    """

    def __init__(self, now: float = 0.0) -> None:
        self._now = now

    def monotonic(self) -> float:
        """Return the current manual time."""
        return self._now

    def wall(self) -> float:
        """Return the current manual time."""
        return self._now

    def advance(self, seconds: float) -> None:
        """Move both clocks forward.

        :param seconds: by how much.
        """
        self._now += seconds
