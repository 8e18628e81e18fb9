"""Requests that wait until an endpoint that was full takes requests again."""

import asyncio
import collections.abc
import math
import random
import time

from wagtailstream_router import directory

# The largest factor by which the Retry-After of a refusal exceeds the time
# until an endpoint is free, so that callers don't return all at once.
MAX_SPREAD = 1.5


def free_at(members: collections.abc.Iterable[directory.Member]) -> float:
    """Return when the first of some endpoints takes a request again.

    :returns: a time by the monotonic clock; infinite if all of them may get
        requests from other instances only.
    """
    now = time.monotonic()
    return min(
        (
            max(
                member.notices.full_until,
                now + member.limit.wait_seconds,
                now + member.cold.wait_seconds,
            )
            for member in members
        ),
        default=math.inf,
    )


def spread_seconds(seconds: float, generator: random.Random) -> float:
    """Return a time after which a caller may return, not before `seconds`."""
    return seconds * generator.uniform(1.0, MAX_SPREAD)


class FullQueue:
    """Wakes the requests that wait for the same moment in their order.

    They are ordered by priority, then by the recent use of their customers: a
    flood of one customer does not go before the few requests of another.

    :param rank: returns the recent use of a customer.
    """

    def __init__(
        self, rank: collections.abc.Callable[[str], float] = lambda name: 0.0
    ) -> None:
        self._rank = rank
        self._waiting: dict[
            float, list[tuple[int, str, int, asyncio.Future[None]]]
        ] = {}
        self._count = 0

    async def wait(
        self, until: float, priority: int, customer: str = ""
    ) -> None:
        """Wait until a time; the most urgent requests go on first.

        :param until: by the monotonic clock.
        :param priority: the request's priority; 0 is the highest.
        :param customer: the name of its customer; "" if it has none.
        """
        loop = asyncio.get_running_loop()
        waiting = self._waiting.get(until)
        if waiting is None:
            waiting = self._waiting[until] = []
            loop.call_later(
                max(0.0, until - time.monotonic()), self._wake, until
            )
        self._count += 1
        woken: asyncio.Future[None] = loop.create_future()
        waiting.append((priority, customer, self._count, woken))
        await woken

    def wake_all(self) -> None:
        """Wake all requests, as they may have less time than before."""
        for until in list(self._waiting):
            self._wake(until)

    def _wake(self, until: float) -> None:
        ordered = sorted(
            self._waiting.pop(until, []),
            key=lambda row: (row[0], self._rank(row[1]), row[2]),
        )
        for _, _, _, woken in ordered:
            if not woken.done():
                woken.set_result(None)
