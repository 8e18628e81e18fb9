"""How much of what a cold endpoint bears this instance may send to it."""

import collections.abc
import math
import time

import xxhash

# How long an instance counts after its last message, so that its part is not
# passed on while it may still use it.
KNOWN_SECONDS = 20.0
# How long an instance that has others sends nothing to cold endpoints after
# its start. It does not know the fleet yet, nor what it sent before.
START_SECONDS = 2.0
# How long it waits after each new name while it learns the fleet.
NEW_NAME_SECONDS = 1.0
# The time in which it learns the fleet.
LEARNING_SECONDS = 10.0
# An instance that hears from fewer than this share of those that it knew,
# or that others listed, is probably cut off, together with few others.
MIN_HEARD_SHARE = 1.0 / 3.0
# How long it remembers how many it knew.
MOST_KNOWN_SECONDS = 60.0
# The number of instances that one assumes that got no message, though its
# settings name others.
ASSUMED_INSTANCES = 4
# The parts of the fleet that may know nothing of each other, and still keep
# the bound together.
VIEWS = 2


class ColdShare:
    """Divides what a cold endpoint bears between the instances.

    A few instances, chosen by rendezvous hashing, may send to it. It answers
    the load of a whole fleet that finds an endpoint without a queue.

    :param name: this instance's name.
    :param has_others: whether the settings name other instances.
    """

    def __init__(self, name: str = "", has_others: bool = False) -> None:
        self._name = name
        self._has_others = has_others
        self._started_at = time.monotonic()
        self._new_name_at = self._started_at
        self._heard_at: dict[str, float] = {}
        self._named_at: dict[str, float] = {}
        self._pruned_at = self._started_at
        self._most_known = ASSUMED_INSTANCES if has_others else 1
        self._most_known_at = self._started_at
        self._parts: dict[tuple[str, int], int] = {}

    @property
    def is_trusted(self) -> bool:
        """Whether this instance knows the fleet well enough to send."""
        now = time.monotonic()
        self._prune(now)
        age = now - self._started_at
        if self._has_others and age < START_SECONDS:
            return False
        if (
            age < LEARNING_SECONDS
            and self._heard_at
            and now - self._new_name_at < NEW_NAME_SECONDS
        ):
            return False
        return self._count >= MIN_HEARD_SHARE * self._most_known

    @property
    def _count(self) -> int:
        return 1 + len(self._heard_at)

    def record_heard(
        self, name: str, named: collections.abc.Iterable[str] = ()
    ) -> None:
        """Record that a message of another instance came.

        :param named: the addresses of instances that it lists.
        """
        now = time.monotonic()
        for address in named:
            self._named_at[address] = now
        self._prune(now)
        if name not in self._heard_at:
            self._new_name_at = now
            self._parts.clear()
        self._heard_at[name] = now
        known = max(self._count, len(self._named_at))
        if known >= self._most_known:
            self._most_known, self._most_known_at = known, now

    def part_of(self, endpoint: str, most_per_second: float) -> int:
        """Return how many requests this instance may send in any second.

        :param endpoint: the id of the cold endpoint.
        :param most_per_second: the bound for all instances together.
        :returns: 0 if others have the endpoint, or the fleet is not known.
        """
        if not self.is_trusted:
            return 0
        allowed = max(1, math.floor(most_per_second / VIEWS))
        part = self._parts.get((endpoint, allowed))
        if part is None:
            part = self._compute_part(endpoint, allowed)
            self._parts[endpoint, allowed] = part
        return part

    def _compute_part(self, endpoint: str, allowed: int) -> int:
        ranked = sorted(
            {self._name, *self._heard_at},
            key=lambda name: xxhash.xxh64_intdigest(
                f"{endpoint}|{name}".encode()
            ),
        )
        senders = ranked[: min(len(ranked), allowed)]
        return allowed // len(senders) if self._name in senders else 0

    def _prune(self, now: float) -> None:
        if now - self._pruned_at < NEW_NAME_SECONDS:
            return
        self._pruned_at = now
        self._named_at = _list_recent(self._named_at, now)
        known = _list_recent(self._heard_at, now)
        if len(known) < len(self._heard_at):
            self._heard_at = known
            self._parts.clear()
        if now - self._most_known_at > MOST_KNOWN_SECONDS:
            self._most_known, self._most_known_at = self._count, now


def _list_recent(times: dict[str, float], now: float) -> dict[str, float]:
    """Return the entries that are not older than `KNOWN_SECONDS`."""
    return {key: at for key, at in times.items() if now - at < KNOWN_SECONDS}
