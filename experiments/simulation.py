"""A discrete-event simulation with a virtual clock."""

import collections.abc
import heapq
import itertools


class Simulation:
    """Runs callbacks in the order of their scheduled times.

    Callbacks with the same time run in the order in which they were scheduled.
    """

    def __init__(self) -> None:
        self._now = 0.0
        self._order = itertools.count()
        self._events: list[
            tuple[float, int, collections.abc.Callable[[], None]]
        ] = []

    @property
    def now(self) -> float:
        """The virtual time, in seconds since the start."""
        return self._now

    def at(
        self, time: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule a callback for a point in time.

        :param time: seconds since the start; a time in the past means now.
        :param callback: called without arguments.
        """
        event = (max(time, self._now), next(self._order), callback)
        heapq.heappush(self._events, event)

    def after(
        self, seconds: float, callback: collections.abc.Callable[[], None]
    ) -> None:
        """Schedule a callback after a delay.

        :param seconds: the delay from now.
        :param callback: called without arguments.
        """
        self.at(self._now + seconds, callback)

    def run(self, until: float) -> None:
        """Run all callbacks that are due up to a point in time.

        :param until: seconds since the start.
        """
        while self._events and self._events[0][0] <= until:
            self._now, _, callback = heapq.heappop(self._events)
            callback()
        self._now = until
