"""A clock that jumps from event to event."""

import collections.abc
import heapq
import itertools


class Simulation:
    """Runs callbacks in the order of their times."""

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []

    @property
    def now(self) -> float:
        """Seconds since the start."""
        return self._now

    def at(
        self, time: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Run a callback at a time.

        :param time: seconds since the start.
        :param callback: the callback.
        """
        event = (max(time, self._now), next(self._order), callback)
        heapq.heappush(self._events, event)

    def after(
        self, seconds: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Run a callback later.

        :param seconds: from now.
        :param callback: the callback.
        """
        self.at(self._now + seconds, callback)

    def run(self, until: float) -> None:
        """Run all events up to a time.

        :param until: seconds since the start.
        """
        while self._events and self._events[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        self._now = until
