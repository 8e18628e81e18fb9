"""Measures how far behind an instance is."""

import asyncio
import dataclasses
import time

# The interval between samples of the event loop's delay.
SAMPLE_SECONDS = 0.1
# A longer delay counts as this: a process that was paused is not behind.
MAX_DELAY_SECONDS = 0.5
# The weight of the newest sample: the mean covers about a second.
_NEWEST_WEIGHT = 0.1
# The mean delay that callers bear: half of the 120 ms in which an event has to
# be passed on.
FULL_DELAY_SECONDS = 0.06


@dataclasses.dataclass(frozen=True, slots=True)
class StrainReport:
    """What an instance reports of itself to its peers.

    :param value: how far behind it is; 1 is as much as callers bear.
    :param asked_seconds: how long ago it asked to turn callers away; None if
        it did not, or takes them again.
    """

    value: float = 0.0
    asked_seconds: float | None = None


class LoopDelay:
    """The mean delay of the event loop's timers."""

    def __init__(self) -> None:
        self._mean_seconds = 0.0

    @property
    def mean_seconds(self) -> float:
        """The mean delay of the last second or so."""
        return self._mean_seconds

    def record(self, delay_seconds: float) -> None:
        """Record by how much a timer was late."""
        delay_seconds = min(max(delay_seconds, 0.0), MAX_DELAY_SECONDS)
        step = delay_seconds - self._mean_seconds
        self._mean_seconds += _NEWEST_WEIGHT * step

    async def sample(self) -> None:
        """Wait for one interval and record the delay of its timer."""
        due = time.monotonic() + SAMPLE_SECONDS
        await asyncio.sleep(SAMPLE_SECONDS)
        self.record(time.monotonic() - due)


def compute_strain(delay_seconds: float, held_share: float) -> float:
    """Return how far behind an instance is; 1 is as much as callers bear.

    :param delay_seconds: the mean delay of the event loop.
    :param held_share: the bytes held, as a share of the process bound.
    """
    return max(delay_seconds / FULL_DELAY_SECONDS, held_share)
