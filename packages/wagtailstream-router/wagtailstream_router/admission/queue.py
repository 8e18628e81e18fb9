"""The order of the requests that wait for room, and who is dropped."""

import collections.abc
import dataclasses
import heapq
import typing

# Every so many grants belong to the waiter that has waited longest for its
# possibilities, whatever its priority and customer: the most urgent lose at
# most this part of the room by it.
GRANTS_PER_AGED = 4
# A waiter counts as aged after this part of the time that it can wait.
AGED_SHARE = 0.75
# Waiters without room that are looked at in one pass: those behind them need
# room of the same endpoints.
MAX_LOOKS = 16

Rank = collections.abc.Callable[[str], float]


@dataclasses.dataclass(eq=False, slots=True)
class Waiter:
    """A request that waits; all times are of the monotonic clock.

    :param priority: 0 is the highest.
    :param customer: the name of its customer; "" if it has none.
    :param arrived: when it came to the queue.
    :param target_at: when it has to proceed to be in time for full credit.
    :param latest_at: when it has to proceed at the latest to be answered.
    :param size_bytes: the memory that it takes while it waits.
    :param work_ms: the endpoint's estimated time for it.
    """

    priority: int
    customer: str
    arrived: float
    target_at: float
    latest_at: float
    size_bytes: int
    work_ms: float

    def spent_share(self, now: float) -> float:
        """Return the spent part of the time that it can wait."""
        can_wait = self.latest_at - self.arrived
        return (now - self.arrived) / can_wait if can_wait > 0.0 else 1.0

    def is_aged(self, now: float) -> bool:
        """Return whether it may no longer be overtaken."""
        return self.spent_share(now) >= AGED_SHARE

    def time_key(self, now: float) -> tuple[bool, float]:
        """Return its place among the waiters of its customer and priority.

        Those that can still be in time come first, the earliest first.
        """
        is_late = now > self.target_at
        return is_late, self.latest_at if is_late else self.target_at


W = typing.TypeVar("W", bound=Waiter)


class WaitQueue(typing.Generic[W]):
    """Orders waiters: priority, then customers by recent use, then time.

    The load that it answers: one customer sends many times its usual, and
    long requests wait beside short ones, while endpoints have room for a part
    of them.
    """

    def __init__(self) -> None:
        self._groups: dict[tuple[int, str], list[W]] = {}
        self._count = 0
        self._bytes = 0
        self._grants_since_aged = 0

    def __len__(self) -> int:
        return self._count

    @property
    def size_bytes(self) -> int:
        """The bytes of all waiters."""
        return self._bytes

    def list_waiters(self) -> list[W]:
        """Return all waiters, in no particular order."""
        return [waiter for group in self._groups.values() for waiter in group]

    def push(self, waiter: W) -> None:
        """Add a waiter; `pop_excess` keeps the bounds."""
        key = waiter.priority, waiter.customer
        self._groups.setdefault(key, []).append(waiter)
        self._count += 1
        self._bytes += waiter.size_bytes

    def remove(self, waiter: W) -> None:
        """Remove a waiter; does nothing if it was removed before."""
        key = waiter.priority, waiter.customer
        group = self._groups.get(key, [])
        if waiter not in group:
            return
        group.remove(waiter)
        self._count -= 1
        self._bytes -= waiter.size_bytes
        if not group:
            del self._groups[key]

    def pop_excess(
        self, most: int, most_bytes: int, now: float, rank: Rank
    ) -> list[W]:
        """Remove and return the waiters over the bounds, the last in order.

        :param most: the bound of waiters.
        :param most_bytes: the bound of their bytes.
        :param rank: the recent use of a customer.
        """
        excess: list[W] = []
        while self._count and (self._count > most or self._bytes > most_bytes):
            last_key = max(
                self._groups, key=lambda key: (key[0], rank(key[1]))
            )
            last = max(
                self._groups[last_key], key=lambda waiter: waiter.time_key(now)
            )
            self.remove(last)
            excess.append(last)
        return excess

    def count_ahead_ms(self, waiter: W, now: float, rank: Rank) -> float:
        """Return the work of the waiters that proceed before one.

        :param rank: the recent use of a customer.
        """
        own = (waiter.priority, rank(waiter.customer))
        own_time = waiter.time_key(now)
        total = 0.0
        for (priority, customer), group in self._groups.items():
            place = (priority, rank(customer))
            if place < own:
                total += sum(other.work_ms for other in group)
            elif customer == waiter.customer and place == own:
                total += sum(
                    other.work_ms
                    for other in group
                    if other is not waiter and other.time_key(now) <= own_time
                )
        return total

    def grant(
        self,
        now: float,
        rank: Rank,
        try_grant: collections.abc.Callable[[W, bool], bool],
        keep_room: collections.abc.Callable[[W], None],
    ) -> None:
        """Let waiters proceed in their order, as far as there is room.

        :param rank: the recent use of a customer; it is asked again after
            each grant.
        :param try_grant: lets a waiter proceed; returns whether there was
            room. It receives whether it is the turn of a waiter that may no
            longer be overtaken, not in engines' queues either.
        :param keep_room: keeps the others of this pass from room of one
            endpoint, for a waiter that no longer may be overtaken.
        """
        order = _PassOrder(self._groups, now, rank)
        looks = 0
        kept: W | None = None
        while looks < MAX_LOOKS:
            waiter = None
            if kept is None and self._is_aged_turn():
                waiter = self._find_aged(now)
            is_aged_turn = waiter is not None
            if waiter is None:
                waiter = order.pop()
            if waiter is None:
                return
            if try_grant(waiter, is_aged_turn):
                order.remove(waiter)
                self.remove(waiter)
                self._grants_since_aged += 1
                if is_aged_turn:
                    self._grants_since_aged = 0
                continue
            looks += 1
            if is_aged_turn:
                kept = waiter
                order.remove(waiter)
                keep_room(waiter)

    def _is_aged_turn(self) -> bool:
        return self._grants_since_aged >= GRANTS_PER_AGED - 1

    def _find_aged(self, now: float) -> W | None:
        """Return the waiter that has spent most of its time, if it is aged."""
        return max(
            (waiter for waiter in self.list_waiters() if waiter.is_aged(now)),
            key=lambda waiter: waiter.spent_share(now),
            default=None,
        )


class _PassOrder(typing.Generic[W]):
    """The waiters of one pass, in the order in which they are looked at.

    :param groups: the waiters by priority and customer.
    :param rank: the recent use of a customer; it may change between waiters.
    """

    def __init__(
        self,
        groups: collections.abc.Mapping[tuple[int, str], list[W]],
        now: float,
        rank: Rank,
    ) -> None:
        self._rank = rank
        self._waiters = {
            key: sorted(group, key=lambda waiter: waiter.time_key(now))
            for key, group in groups.items()
        }
        self._order = [
            (priority, rank(customer), customer)
            for priority, customer in groups
        ]
        heapq.heapify(self._order)

    def pop(self) -> W | None:
        """Remove and return the next waiter; None if there is none."""
        while self._order:
            priority, seen_rank, customer = heapq.heappop(self._order)
            waiters = self._waiters[priority, customer]
            if not waiters:
                continue
            place = (priority, self._rank(customer), customer)
            if place[1] > seen_rank:
                # Its customer's use grew in this pass.
                heapq.heappush(self._order, place)
                continue
            heapq.heappush(self._order, place)
            return waiters.pop(0)
        return None

    def remove(self, waiter: W) -> None:
        """Remove a waiter, if it was not popped yet."""
        waiters = self._waiters[waiter.priority, waiter.customer]
        if waiter in waiters:
            waiters.remove(waiter)
