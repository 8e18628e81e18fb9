"""The rate at which waiters proceed, and when refused callers may return."""

import math
import random

# Time constant of the rate's exponential decay: queues change within seconds.
DECAY_SECONDS = 3.0
# The time for which waiters have to be seen before their rate means anything.
MIN_SEEN_SECONDS = 0.5
# Weight of the newest answer in the means of a route's times.
NEWEST_WEIGHT = 0.05
# Most answers end within the mean and this many mean deviations.
DEVIATIONS = 2.0
# A caller honours a Retry-After up to this part of the time that it has left.
MAX_LEFT_SHARE = 1.0 / 3.0
# A Retry-After is drawn from this part of its full value up to the value.
SPREAD_SHARE = 0.5


class UsualTime:
    """The time that the answers of a route usually take, in seconds."""

    def __init__(self, mean: float = 0.0) -> None:
        self.mean = mean
        self._deviation = 0.0
        self._is_known = bool(mean)

    @property
    def bound(self) -> float:
        """The time within which most answers end."""
        return self.mean + DEVIATIONS * self._deviation

    def record(self, seconds: float) -> None:
        """Add the time that an answer took."""
        if not self._is_known:
            self._is_known = True
            self.mean = seconds
            return
        error = seconds - self.mean
        self.mean += NEWEST_WEIGHT * error
        self._deviation += NEWEST_WEIGHT * (abs(error) - self._deviation)


class Pace:
    """The work that waiters took with them, per second.

    It is measured only while there are waiters.
    """

    def __init__(self) -> None:
        self._work_ms = 0.0
        self._seconds = 0.0
        self._at: float | None = None
        self._ended_at = -math.inf

    def record_grant(self, work_ms: float, now: float) -> None:
        """Count a waiter that proceeds."""
        self._advance(now)
        self._work_ms += work_ms

    def set_waiting(self, is_waiting: bool, now: float) -> None:
        """Record whether there are waiters from now on."""
        self._advance(now)
        if not is_waiting:
            if self._at is not None:
                self._ended_at = now
            self._at = None
        elif self._at is None:
            if now - self._ended_at > DECAY_SECONDS:
                self._work_ms = self._seconds = 0.0
            self._at = now

    def estimate_seconds(self, work_ms: float, now: float) -> float | None:
        """Return the time until some work has gone on.

        :returns: None while too little has been seen.
        """
        self._advance(now)
        if self._seconds < MIN_SEEN_SECONDS:
            return None
        if not self._work_ms:
            return math.inf if work_ms else 0.0
        return work_ms * self._seconds / self._work_ms

    def _advance(self, now: float) -> None:
        if self._at is None:
            return
        passed = max(0.0, now - self._at)
        factor = math.exp(-passed / DECAY_SECONDS)
        self._work_ms *= factor
        self._seconds = self._seconds * factor + passed
        self._at = now


class ReturnPlan:
    """Spaces the returns of refused callers by the queue's own rate.

    The load that it answers: hundreds of callers refused within a moment, who
    would come back together and be refused again.

    :param generator: spreads the returns.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._next_at = -math.inf

    def choose_seconds(
        self,
        wait_seconds: float,
        step_seconds: float,
        left_seconds: float,
        least_seconds: float,
        now: float,
    ) -> float:
        """Return when a caller may return.

        :param wait_seconds: the expected wait in the queue.
        :param step_seconds: the time in which the queue lets one proceed.
        :param left_seconds: the time until the caller's deadline.
        :param least_seconds: the least time, unless the caller has less left.
        """
        most = MAX_LEFT_SHARE * left_seconds
        earliest = now + max(wait_seconds * SPREAD_SHARE, least_seconds)
        self._next_at = max(self._next_at, earliest) + step_seconds
        seconds = self._next_at - now
        if seconds >= most:
            # There is no turn for it within the time it would wait.
            self._next_at = now + most
            low = min(most, max(SPREAD_SHARE * most, least_seconds))
            return self._random.uniform(low, most)
        high = min(most, seconds + max(step_seconds, least_seconds))
        return self._random.uniform(seconds, high)
