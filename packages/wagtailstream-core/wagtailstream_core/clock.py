"""Clocks: monotonic time within a process, wall time across processes."""

import abc
import time

# Assumed bound on the difference between the wall clocks of two instances,
# for comparing times that another process sent.
MAX_CLOCK_SKEW_SECONDS = 0.5


class Clock(abc.ABC):
    """A source of the current time."""

    @abc.abstractmethod
    def monotonic(self) -> float:
        """Return monotonic seconds, comparable within this process."""

    @abc.abstractmethod
    def wall(self) -> float:
        """Return Unix time in seconds, comparable across processes."""


class SystemClock(Clock):
    """The clocks of the operating system."""

    def monotonic(self) -> float:
        """Return monotonic seconds, comparable within this process."""
        return time.monotonic()

    def wall(self) -> float:
        """Return Unix time in seconds, comparable across processes."""
        return time.time()


class ManualClock(Clock):
    """A clock that is advanced by hand, for tests and experiments.

    :param now: the initial time of both clocks, in seconds.
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
