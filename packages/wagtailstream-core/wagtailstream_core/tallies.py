"""Counts of good and bad answers per version, pooled over all instances.

Each instance raises counters of its own only; everybody else merges them by
their maximum, so that repeats and the order of arrival do not matter. Counts
start anew, under a new epoch, when an operator reinstates a version.
"""

import collections.abc
import dataclasses

from wagtailstream_core import configuration

UNITS_PER_ANSWER = 1000
RELAY_SECONDS = 600.0
FORGET_SECONDS = 3600.0
MAX_SHARED = 64


@dataclasses.dataclass(frozen=True)
class Counts:
    """Answers counted, in thousandths of an answer.

    An answer rated 0.7 adds 700 to the good and 300 to the bad units.

    :param squares: the sum of the ratings' squares.
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
        """How many answers were counted."""
        return self.units / UNITS_PER_ANSWER

    @property
    def quality(self) -> float:
        """The mean rating; 0 where nothing was counted."""
        return self.good / self.units if self.units else 0.0

    @property
    def variance(self) -> float:
        """The variance of the ratings."""
        if not self.units:
            return 0.0
        return max(0.0, self.squares / self.units - self.quality**2)

    def trim(self, answers: int) -> "Counts":
        """Return the counts scaled down to a number of answers.

        :param answers: the most answers to keep.
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


FAILED = Counts(0, UNITS_PER_ANSWER)


@dataclasses.dataclass(frozen=True)
class Tally:
    """What one instance counted of one version.

    :param instance: unique to the counting process, not only to its slot.
    :param epoch: the offset of the version's last reinstatement.
    """

    instance: str
    version: configuration.ModelVersion
    epoch: int
    counts: Counts


@dataclasses.dataclass(frozen=True)
class Increase:
    """By how much the pooled counts of a version rose."""

    version: configuration.ModelVersion
    counts: Counts


@dataclasses.dataclass(frozen=True)
class _Key:
    instance: str
    version: configuration.ModelVersion


@dataclasses.dataclass(frozen=True)
class _Held:
    tally: Tally
    changed_at: float


class TallyBoard:
    """All tallies that an instance knows, its own ones included.

    A tally that stands still is relayed for a while only, and forgotten much
    later, so that it can't return and be counted twice.

    :param instance: the name under which this process counts.
    """

    def __init__(self, instance: str) -> None:
        self._instance = instance
        self._held: dict[_Key, _Held] = {}
        self._next_shared = 0

    def count(
        self,
        version: configuration.ModelVersion,
        epoch: int,
        counts: Counts,
        now: float,
    ) -> None:
        """Raise this instance's own counters.

        :param version: the version.
        :param epoch: the offset of its last reinstatement.
        :param counts: what to add.
        :param now: monotonic seconds.
        """
        key = _Key(self._instance, version)
        held = self._held.get(key)
        known = Counts()
        if held is not None and held.tally.epoch == epoch:
            known = held.tally.counts
        tally = Tally(self._instance, version, epoch, known + counts)
        self._held[key] = _Held(tally, now)

    def merge(
        self, news: collections.abc.Iterable[Tally], now: float
    ) -> list[Increase]:
        """Take in others' tallies and return what they add.

        :param news: tallies in any order, repeats included.
        :param now: monotonic seconds.
        """
        self._forget(now)
        return [
            increase
            for tally in news
            if tally.instance != self._instance
            for increase in self._merge_one(tally, now)
        ]

    def _merge_one(self, tally: Tally, now: float) -> list[Increase]:
        key = _Key(tally.instance, tally.version)
        held = self._held.get(key)
        known = Counts()
        if held is not None:
            if tally.epoch < held.tally.epoch:
                return []
            if tally.epoch == held.tally.epoch:
                known = held.tally.counts
        latest = Counts(
            max(known.good, tally.counts.good),
            max(known.bad, tally.counts.bad),
            max(known.squares, tally.counts.squares),
        )
        if latest == known:
            return []
        merged = dataclasses.replace(tally, counts=latest)
        self._held[key] = _Held(merged, now)
        return [Increase(tally.version, latest - known)]

    def _forget(self, now: float) -> None:
        self._held = {
            key: held
            for key, held in self._held.items()
            if now - held.changed_at <= FORGET_SECONDS
        }

    def list_shared(self, now: float, limit: int = MAX_SHARED) -> list[Tally]:
        """Return the tallies for the next heartbeat, in turn.

        :param now: monotonic seconds.
        :param limit: the most tallies that a heartbeat carries.
        """
        recent = [
            held.tally
            for held in self._held.values()
            if now - held.changed_at <= RELAY_SECONDS
        ]
        if len(recent) <= limit:
            return recent
        own = [t for t in recent if t.instance == self._instance][:limit]
        others = [t for t in recent if t.instance != self._instance]
        first = self._next_shared % len(others)
        room = limit - len(own)
        self._next_shared = first + room
        return own + (others[first:] + others[:first])[:room]
