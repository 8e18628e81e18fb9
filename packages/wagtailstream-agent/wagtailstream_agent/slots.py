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
    is_suspect: bool = dataclasses.field(compare=False, default=False)


class Slots:
    """A bounded number of slots with a bounded priority queue.

    An attempt under whose body an endpoint died before is a suspect. One
    suspect at a time is on trial, until its first sign of progress; the
    others wait. So a death tells which of them it was.

    :param count: how many attempts run at once.
    :param queue: how many may wait.
    """

    def __init__(self, count: int, queue: int) -> None:
        self._count = count
        self._queue = queue
        self._running = 0
        self._is_trial_open = True
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

    async def acquire(self, priority: int, is_suspect: bool = False) -> None:
        """Wait for a slot; cancelling gives the place up.

        :param priority: higher goes first.
        :param is_suspect: whether to wait for the trial too; its holder
            calls :meth:`end_trial`.
        """
        future = asyncio.get_running_loop().create_future()
        waiter = _Waiter(-priority, next(self._order), future, is_suspect)
        heapq.heappush(self._waiters, waiter)
        self._admit()
        try:
            await future
        except asyncio.CancelledError:
            if future.done() and not future.cancelled():
                if is_suspect:
                    self.end_trial()
                self.release()
            raise

    def release(self) -> None:
        """Give a slot back."""
        self._running -= 1
        self._admit()

    def end_trial(self) -> None:
        """Let the next suspect in."""
        self._is_trial_open = True
        self._admit()

    def _admit(self) -> None:
        held_back: list[_Waiter] = []
        while self._waiters and self._running < self._count:
            waiter = heapq.heappop(self._waiters)
            if waiter.admitted.done():
                continue
            if waiter.is_suspect and not self._is_trial_open:
                held_back.append(waiter)
                continue
            if waiter.is_suspect:
                self._is_trial_open = False
            self._running += 1
            waiter.admitted.set_result(None)
        for waiter in held_back:
            heapq.heappush(self._waiters, waiter)
