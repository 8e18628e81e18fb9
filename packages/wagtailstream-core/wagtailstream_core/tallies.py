"""Counts of good and bad answers per version, pooled over all instances.

The counts are a grow-only counter (a CRDT): an instance increments only its
own counters, and others merge them by their maximum, so that repeats and the
order of arrival do not matter. When an operator reinstates a version, its
counts start from zero under a new epoch.
"""

import collections.abc
import dataclasses

from wagtailstream_core import configuration

UNITS_PER_ANSWER = 1000
# A tally that has not changed for this time is no longer sent to others.
RELAY_SECONDS = 600.0
# A tally that has not changed for this time is dropped. It is much longer
# than RELAY_SECONDS, so that no instance still sends a dropped tally, which
# would be counted twice.
FORGET_SECONDS = 3600.0
# Maximum number of tallies in a heartbeat.
MAX_SHARED = 64


@dataclasses.dataclass(frozen=True)
class Counts:
    """Counts of answers, in units of a thousandth of an answer.

    An answer rated 0.7 adds 700 good and 300 bad units.

    :param squares: the sum of the squared ratings, in the same units.
    """

    good: int = 0
    bad: int = 0
    squares: int = 0

    def __add__(self, other: "Counts") -> "Counts":
        return Counts(
            self.good + other.good,
            self.bad + other.bad,
            self.squares + other.squares,
        )

    def __sub__(self, other: "Counts") -> "Counts":
        return Counts(
            self.good - other.good,
            self.bad - other.bad,
            self.squares - other.squares,
        )

    @property
    def units(self) -> int:
        """Good and bad units together."""
        return self.good + self.bad

    @property
    def answers(self) -> float:
        """The number of answers counted."""
        return self.units / UNITS_PER_ANSWER

    @property
    def quality(self) -> float:
        """The mean rating; 0 if nothing was counted."""
        return self.good / self.units if self.units else 0.0

    @property
    def variance(self) -> float:
        """The variance of the ratings; 0 if nothing was counted."""
        if not self.units:
            return 0.0
        return max(0.0, self.squares / self.units - self.quality**2)

    def trim(self, answers: int) -> "Counts":
        """Return the counts scaled down to at most a number of answers.

        :param answers: the maximum number of answers.
        """
        if self.answers <= answers:
            return self
        share = answers / self.answers
        return Counts(
            round(self.good * share),
            round(self.bad * share),
            round(self.squares * share),
        )


def count_rating(score: float) -> Counts:
    """Return the counts of one rated answer.

    :param score: the rating, 0 to 1.
    """
    good = round(score * UNITS_PER_ANSWER)
    squares = round(score * score * UNITS_PER_ANSWER)
    return Counts(good, UNITS_PER_ANSWER - good, squares)


# The counts of one answer that failed.
FAILED = Counts(0, UNITS_PER_ANSWER)


@dataclasses.dataclass(frozen=True)
class Tally:
    """The counts of one version by one instance.

    :param instance: unique to the counting process. A process that replaces
        another one has a new name, because its counters start from zero.
    :param epoch: the offset of the version's last reinstatement.
    """

    instance: str
    version: configuration.ModelVersion
    epoch: int
    counts: Counts


@dataclasses.dataclass(frozen=True)
class Increase:
    """An increase of the pooled counts of a version."""

    version: configuration.ModelVersion
    counts: Counts


@dataclasses.dataclass(frozen=True)
class _Key:
    instance: str
    version: configuration.ModelVersion


@dataclasses.dataclass(frozen=True)
class _StoredTally:
    tally: Tally
    changed_at: float


class TallyBoard:
    """All tallies that an instance knows, including its own.

    A tally that no longer changes is relayed for RELAY_SECONDS and dropped
    after FORGET_SECONDS, so that it can't come back from another instance
    and be counted twice.

    :param instance: the name of this process in its own tallies.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._tallies: dict[_Key, _StoredTally] = {}
        self._next_shared = 0

    def count(
        self,
        version: configuration.ModelVersion,
        epoch: int,
        counts: Counts,
        now: float,
    ) -> None:
        """Increment this instance's own counters.

        :param version: the version.
        :param epoch: the offset of the version's last reinstatement.
        :param counts: the counts to add.
        :param now: monotonic seconds.
        """
        key = _Key(self._instance, version)
        stored = self._tallies.get(key)
        previous = Counts()
        if stored is not None and stored.tally.epoch == epoch:
            previous = stored.tally.counts
        tally = Tally(self._instance, version, epoch, previous + counts)
        self._tallies[key] = _StoredTally(tally, now)

    def merge(
        self, updates: collections.abc.Iterable[Tally], now: float
    ) -> list[Increase]:
        """Merge other instances' tallies and return what they add.

        :param updates: tallies in any order, including repeats.
        :param now: monotonic seconds.
        """
        self._forget(now)
        return [
            increase
            for tally in updates
            if tally.instance != self._instance
            for increase in self._merge_tally(tally, now)
        ]

    def _merge_tally(self, tally: Tally, now: float) -> list[Increase]:
        key = _Key(tally.instance, tally.version)
        stored = self._tallies.get(key)
        previous = Counts()
        if stored is not None:
            if tally.epoch < stored.tally.epoch:
                return []
            if tally.epoch == stored.tally.epoch:
                previous = stored.tally.counts
        latest = Counts(
            max(previous.good, tally.counts.good),
            max(previous.bad, tally.counts.bad),
            max(previous.squares, tally.counts.squares),
        )
        if latest == previous:
            return []
        merged = dataclasses.replace(tally, counts=latest)
        self._tallies[key] = _StoredTally(merged, now)
        return [Increase(tally.version, latest - previous)]

    def _forget(self, now: float) -> None:
        self._tallies = {
            key: stored
            for key, stored in self._tallies.items()
            if now - stored.changed_at <= FORGET_SECONDS
        }

    def list_shared(self, now: float, limit: int = MAX_SHARED) -> list[Tally]:
        """Return the tallies for the next heartbeat.

        If there are more than the limit, other instances' tallies take turns.

        :param now: monotonic seconds.
        :param limit: the maximum number of tallies.
        """
        recent = [
            stored.tally
            for stored in self._tallies.values()
            if now - stored.changed_at <= RELAY_SECONDS
        ]
        if len(recent) <= limit:
            return recent
        own = [t for t in recent if t.instance == self._instance][:limit]
        others = [t for t in recent if t.instance != self._instance]
        first = self._next_shared % len(others)
        remaining = limit - len(own)
        self._next_shared = first + remaining
        return own + (others[first:] + others[:first])[:remaining]
