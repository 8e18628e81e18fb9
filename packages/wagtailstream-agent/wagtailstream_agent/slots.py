"""Admits attempts to the endpoint's slots, by priority."""

import asyncio
import dataclasses
import heapq
import itertools

SLOT_STEP = "admit"


@dataclasses.dataclass(order=True)
class _Waiter:
    rank: int
    order: int
    admitted: asyncio.Future[None] = dataclasses.field(compare=False)


class Slots:
    """A bounded number of slots with a bounded priority queue.

    :param count: how many attempts run at once.
    :param queue: how many may wait.
    """

    def __init__(self, count: int, queue: int) -> None:
        self._count = count
        self._queue = queue
        self._running = 0
        self._waiters: list[_Waiter] = []
        self._order = itertools.count()

    @property
    def count(self) -> int:
        """How many attempts run at once."""
        return self._count

    @property
    def running(self) -> int:
        """How many attempts hold a slot."""
        return self._running

    @property
    def queued(self) -> int:
        """How many attempts wait for a slot."""
        return sum(not w.admitted.done() for w in self._waiters)

    @property
    def is_full(self) -> bool:
        """Whether a further attempt would find no place in the queue."""
        return self._running >= self._count and self.queued >= self._queue

    def resize(self, count: int) -> None:
        """Set how many attempts run at once.

        :param count: the new number.
        """
        self._count = count
        self._admit()

    async def acquire(self, priority: int) -> None:
        """Wait for a slot; cancelling gives the place up.

        :param priority: higher goes first.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(-priority, next(self._order), future)
        heapq.heappush(self._waiters, waiter)
        self._admit()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                self.release()
            raise

    def release(self) -> None:
        """Give a slot back."""
        self._running -= 1
        self._admit()

    def _admit(self) -> None:
        while self._waiters and self._running < self._count:
            waiter = heapq.heappop(self._waiters)
            if not waiter.admitted.done():
                self._running += 1
                waiter.admitted.set_result(None)
