"""A bounded table of what may crash endpoints: requests, or prompt parts.

A suspect is known by the starts of endpoints that crashed under it. Nothing
is forgotten after a time: what crashes endpoints may come again at any
interval. An answer ends a suspicion. When the table is full, the refused
suspect and the other suspect that came least recently are dropped, each for
one of its own kind only, so that many new suspects displace none that is
refused.

What changes is announced to peers in several messages, as one may be lost.
"""

import collections
import collections.abc
import dataclasses
import random
import time
import typing

# The messages in which a change is announced to peers.
ANNOUNCEMENTS = 10
# The messages in which all suspects are announced to a peer that may know
# none; others announce the same.
REPEATED_ANNOUNCEMENTS = 3

Key = typing.TypeVar("Key", int, str)


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Upper bounds of a table.

    :param refused: the suspects that are refused.
    :param suspects: the other suspects.
    :param answers: the answers that are remembered.
    :param crashes: the crashes of a suspect; the newest stay.
    :param reported: the suspects, and the answers, in one message.
    """

    refused: int
    suspects: int
    answers: int
    crashes: int
    reported: int


@dataclasses.dataclass(frozen=True)
class Report(typing.Generic[Key]):
    """What an instance reports of its table.

    :param crash_ages: by suspect, the seconds since the crash of each start
        of an endpoint.
    :param answer_ages: the seconds since the last answer to former suspects.
    """

    crash_ages: dict[Key, dict[str, float]] = dataclasses.field(
        default_factory=dict
    )
    answer_ages: dict[Key, float] = dataclasses.field(default_factory=dict)


class SuspectTable(typing.Generic[Key]):
    """The suspects that this instance and its peers know.

    :param bounds: bounds the memory.
    :param sound_seconds: crashes within this time after an answer are not
        counted.
    """

    def __init__(self, bounds: Bounds, sound_seconds: float = 0.0) -> None:
        self._bounds = bounds
        self._sound_seconds = sound_seconds
        # Each in the order in which they came last.
        self._refused: collections.OrderedDict[Key, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._others: collections.OrderedDict[Key, dict[str, float]] = (
            collections.OrderedDict()
        )
        self._answered_at: collections.OrderedDict[Key, float] = (
            collections.OrderedDict()
        )
        self._announcements: dict[Key, int] = {}
        self._random = random.Random()

    @property
    def has_suspects(self) -> bool:
        """Whether there are any suspects."""
        return bool(self._refused or self._others)

    @property
    def refused(self) -> collections.abc.Mapping[Key, dict[str, float]]:
        """The crashes of each refused suspect, by start of the endpoint."""
        return self._refused

    def crashes_of(self, key: Key) -> collections.abc.Mapping[str, float]:
        """Return when each start of an endpoint crashed under a suspect."""
        return self._refused.get(key) or self._others.get(key) or {}

    def list_suspects(
        self, least: int
    ) -> dict[Key, collections.abc.Mapping[str, float]]:
        """Return the suspects with at least so many crashes."""
        return {
            key: crashes
            for table in (self._refused, self._others)
            for key, crashes in table.items()
            if len(crashes) >= least
        }

    def record_arrival(self, key: Key) -> None:
        """Record that a suspect came again; it is dropped later then."""
        for table in (self._refused, self._others):
            if key in table:
                table.move_to_end(key)

    def is_sound(self, key: Key) -> bool:
        """Return whether an answer came too recently to suspect a key."""
        answered = self._answered_at.get(key, float("-inf"))
        return time.monotonic() < answered + self._sound_seconds

    def is_cleared(self, key: Key) -> bool:
        """Return whether an answer came, and no crash after it."""
        return key in self._answered_at and not self.crashes_of(key)

    def add_crash(self, key: Key, start: str, at: float) -> bool:
        """Count a crash.

        :param start: the start of the endpoint that crashed.
        :param at: when, by the monotonic clock; it may come from a peer, and
            the earliest time of a crash is the best.
        :returns: whether it was new.
        """
        if at <= self._answered_at.get(key, float("-inf")) + (
            self._sound_seconds
        ):
            return False
        table = self._refused if key in self._refused else self._others
        crashes = table.setdefault(key, {})
        table.move_to_end(key)
        is_new = start not in crashes
        crashes[start] = min(at, crashes.get(start, at))
        if len(crashes) > self._bounds.crashes:
            oldest = min(crashes, key=lambda name: crashes[name])
            del crashes[oldest]
            is_new = is_new and oldest != start
        if is_new:
            self._announcements[key] = ANNOUNCEMENTS
            self._drop_excess()
        return is_new

    def record_answer(self, key: Key, at: float | None = None) -> bool:
        """Record an answer: it ends the suspicions of before.

        :param at: when it came, by the monotonic clock; None for now.
        :returns: whether there were any.
        """
        answered = max(
            time.monotonic() if at is None else at,
            self._answered_at.get(key, float("-inf")),
        )
        self._answered_at[key] = answered
        self._answered_at.move_to_end(key)
        while len(self._answered_at) > self._bounds.answers:
            dropped, _ = self._answered_at.popitem(last=False)
            self._announcements.pop(dropped, None)
        crashes = self.crashes_of(key)
        left = {
            start: crashed
            for start, crashed in crashes.items()
            if crashed > answered + self._sound_seconds
        }
        if len(left) == len(crashes):
            return False
        for table in (self._refused, self._others):
            if key in table:
                table[key] = left
                if not left:
                    del table[key]
        self._announcements[key] = ANNOUNCEMENTS
        return True

    def set_refused(self, keys: collections.abc.Set[Key]) -> None:
        """Replace the suspects that are refused."""
        for key in [key for key in self._refused if key not in keys]:
            self._others[key] = self._refused.pop(key)
        for key in keys:
            if key in self._others:
                self._refused[key] = self._others.pop(key)
        self._drop_excess()

    def _drop_excess(self) -> None:
        """Drop what came least recently from a full table."""
        for table, limit in (
            (self._refused, self._bounds.refused),
            (self._others, self._bounds.suspects),
        ):
            while len(table) > limit:
                key, _ = table.popitem(last=False)
                self._announcements.pop(key, None)

    def announce_all(self) -> None:
        """Announce all suspects once more, for a peer that may know none."""
        for table in (self._refused, self._others):
            for key in table:
                self._announcements[key] = max(
                    REPEATED_ANNOUNCEMENTS, self._announcements.get(key, 0)
                )

    def make_report(self) -> Report[Key]:
        """Return what is to be announced; refused suspects come first."""
        now = time.monotonic()
        keys = list(self._announcements)
        self._random.shuffle(keys)
        keys.sort(key=lambda key: -len(self.crashes_of(key)))
        suspects = [key for key in keys if self.crashes_of(key)]
        answered = [key for key in keys if key in self._answered_at]
        report = Report[Key](
            {
                key: {
                    start: now - at
                    for start, at in self.crashes_of(key).items()
                }
                for key in suspects[: self._bounds.reported]
            },
            {
                key: now - self._answered_at[key]
                for key in answered[: self._bounds.reported]
            },
        )
        for key in report.crash_ages.keys() | report.answer_ages.keys():
            self._announcements[key] -= 1
            if not self._announcements[key]:
                del self._announcements[key]
        return report

    def merge_report(self, report: Report[Key]) -> bool:
        """Merge what a peer reported.

        :returns: whether the crashes of a suspect changed.
        """
        now = time.monotonic()
        is_changed = False
        for key, age in report.answer_ages.items():
            is_changed |= self.record_answer(key, now - age)
        for key, ages in report.crash_ages.items():
            for start, age in ages.items():
                is_changed |= self.add_crash(key, start, now - age)
            self._announce_answer(key, ages.values(), now)
        return is_changed

    def _announce_answer(
        self, key: Key, ages: collections.abc.Iterable[float], now: float
    ) -> None:
        """Announce an answer that is newer than a crash a peer reported."""
        answered = self._answered_at.get(key)
        if answered is not None and any(
            now - age <= answered + self._sound_seconds for age in ages
        ):
            self._announcements.setdefault(key, ANNOUNCEMENTS)
