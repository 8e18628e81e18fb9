"""Strikes: endpoint crashes counted against the bodies of requests.

When an endpoint crashes, the body of each request in flight there gets a
strike. A successful answer clears the body's earlier strikes. A strike is
withdrawn if only the agent had failed. Instances exchange strikes, clearings
and withdrawals. The merge is commutative and idempotent, so all instances
reach the same count in whatever order updates arrive.
"""

import collections.abc
import dataclasses

# Strikes at one endpoint within this time are reports of the same crash.
SAME_CRASH_SECONDS = 5.0
# Default capacity of a strike table, in body digests.
MAX_DIGESTS = 2048


@dataclasses.dataclass(frozen=True, order=True)
class Strike:
    """An endpoint crashed while it ran a request with a body digest.

    :param struck_at: Unix time in seconds.
    """

    digest: str
    endpoint: str
    struck_at: float


@dataclasses.dataclass(frozen=True, order=True)
class Clearing:
    """A request with a body digest was answered.

    :param cleared_at: Unix time in seconds.
    """

    digest: str
    cleared_at: float


@dataclasses.dataclass(frozen=True, order=True)
class Withdrawal:
    """Revokes a strike: only the agent failed, the endpoint did not."""

    strike: Strike


StrikeUpdate = Strike | Clearing | Withdrawal


@dataclasses.dataclass(frozen=True)
class StrikeChanges:
    """A part of the changes to a table.

    :param updates: the changes after the requested position, oldest first.
    :param position: the position after the last of them.
    """

    updates: tuple[StrikeUpdate, ...]
    position: int


def count_crashes(counted: collections.abc.Iterable[Strike]) -> int:
    """Return the number of endpoint crashes that strikes report.

    :param counted: the strikes of one digest.
    """
    crashes = 0
    last: Strike | None = None
    for strike in sorted(counted, key=lambda s: (s.endpoint, s.struck_at)):
        if (
            last is None
            or strike.endpoint != last.endpoint
            or strike.struck_at - last.struck_at > SAME_CRASH_SECONDS
        ):
            crashes += 1
            last = strike
    return crashes


class StrikeTable:
    """The strikes that currently count, by digest.

    :param capacity: the maximum number of digests; the oldest are dropped
        first.
    """

    def __init__(self, capacity: int = MAX_DIGESTS) -> None:
        self._capacity = capacity
        self._strikes: dict[str, set[Strike]] = {}
        self._cleared_at: dict[str, float] = {}
        self._withdrawn: set[Strike] = set()
        self._position = 0
        self._changes: dict[StrikeUpdate, int] = {}

    @property
    def position(self) -> int:
        """The number of changes so far."""
        return self._position

    def merge(self, updates: collections.abc.Iterable[StrikeUpdate]) -> bool:
        """Merge updates and return whether any of them was new.

        :param updates: updates in any order; repeats change nothing.
        """
        before = self._position
        for item in updates:
            match item:
                case Strike():
                    self._add(item)
                case Clearing():
                    self._clear(item)
                case Withdrawal():
                    self._withdraw(item)
        self._enforce_capacity()
        return self._position > before

    def _add(self, strike: Strike) -> None:
        current = self._strikes.get(strike.digest, set())
        cleared_at = self._cleared_at.get(strike.digest)
        if strike in current or strike in self._withdrawn:
            return
        if cleared_at is not None and strike.struck_at <= cleared_at:
            return
        self._strikes.setdefault(strike.digest, set()).add(strike)
        self._record_change(strike)

    def _clear(self, clearing: Clearing) -> None:
        digest = clearing.digest
        previous = self._cleared_at.get(digest)
        if previous is not None and previous >= clearing.cleared_at:
            return
        if previous is not None:
            self._changes.pop(Clearing(digest, previous), None)
        self._cleared_at[digest] = clearing.cleared_at
        for strike in list(self._strikes.get(digest, ())):
            if strike.struck_at <= clearing.cleared_at:
                self._drop(strike)
        self._record_change(clearing)

    def _withdraw(self, withdrawal: Withdrawal) -> None:
        strike = withdrawal.strike
        if strike in self._withdrawn:
            return
        self._withdrawn.add(strike)
        if strike in self._strikes.get(strike.digest, ()):
            self._drop(strike)
        self._record_change(withdrawal)

    def _drop(self, strike: Strike) -> None:
        self._changes.pop(strike, None)
        kept = self._strikes[strike.digest]
        kept.discard(strike)
        if not kept:
            del self._strikes[strike.digest]

    def _record_change(self, item: StrikeUpdate) -> None:
        self._position += 1
        self._changes[item] = self._position

    def _enforce_capacity(self) -> None:
        while len(self._strikes) > self._capacity:
            for strike in list(self._strikes[next(iter(self._strikes))]):
                self._drop(strike)
        while len(self._cleared_at) > self._capacity:
            digest = next(iter(self._cleared_at))
            cleared_at = self._cleared_at.pop(digest)
            self._changes.pop(Clearing(digest, cleared_at), None)
        while len(self._withdrawn) > self._capacity:
            self._forget_withdrawn(
                min(self._withdrawn, key=lambda strike: strike.struck_at)
            )

    def _forget_withdrawn(self, strike: Strike) -> None:
        self._withdrawn.discard(strike)
        self._changes.pop(Withdrawal(strike), None)

    def find_strikes(self, digest: str) -> frozenset[Strike]:
        """Return the strikes that count against a digest.

        :param digest: the body's digest.
        """
        return frozenset(self._strikes.get(digest, ()))

    def count_crashes(self, digest: str) -> int:
        """Return the number of endpoint crashes counted for a digest.

        :param digest: the body's digest.
        """
        return count_crashes(self._strikes.get(digest, ()))

    def find_quarantine_end(
        self, digest: str, limit: int, seconds: float
    ) -> float | None:
        """Return when a digest's quarantine ends, or None if there is none.

        :param digest: the body's digest.
        :param limit: the number of crashes from which it is quarantined.
        :param seconds: how long the quarantine lasts after the last strike.
        """
        if self.count_crashes(digest) < limit:
            return None
        return max(s.struck_at for s in self._strikes[digest]) + seconds

    def read_since(self, position: int, limit: int) -> StrikeChanges:
        """Return the changes after a position, oldest first.

        :param position: the position of an earlier result; 0 for all changes.
        :param limit: the maximum number of changes.
        """
        found = (
            sorted(
                (item_position, item)
                for item, item_position in self._changes.items()
                if item_position > position
            )
            if position < self._position
            else []
        )
        if len(found) <= limit:
            return StrikeChanges(
                tuple(item for _, item in found), self._position
            )
        part = found[:limit]
        return StrikeChanges(tuple(item for _, item in part), part[-1][0])

    def forget(self, before: float) -> None:
        """Drop strikes, clearings and withdrawals older than a time.

        :param before: Unix time in seconds.
        """
        for counted in list(self._strikes.values()):
            for strike in list(counted):
                if strike.struck_at < before:
                    self._drop(strike)
        for strike in list(self._withdrawn):
            if strike.struck_at < before:
                self._forget_withdrawn(strike)
        for digest, cleared_at in list(self._cleared_at.items()):
            if cleared_at < before:
                del self._cleared_at[digest]
                self._changes.pop(Clearing(digest, cleared_at), None)
