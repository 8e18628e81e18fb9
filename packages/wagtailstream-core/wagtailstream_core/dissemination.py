"""Relays records of the configuration stream from a few tails to the rest.

A few instances of a region tail the log; the others form a tree below them.
Whoever takes a record passes it on to its children. A gap shows by a later
record or by a neighbour's digest. The missing record is asked from a replier
chosen for that gap among the neighbours known to hold it; while a request is
open no second one is sent, and what others ask for meanwhile waits for the
same answer, as in DyRAM (Maimour and Pham, 2002).
"""

import collections.abc
import dataclasses
import random

ASK_SECONDS = 0.5
MAX_ASKED = 64


@dataclasses.dataclass(frozen=True)
class Push:
    """Carries a record.

    :param offset: its offset.
    """

    offset: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """Says up to where the sender holds everything.

    :param next_offset: the first offset that it lacks.
    """

    next_offset: int


@dataclasses.dataclass(frozen=True)
class Ask:
    """Asks for records that the sender lacks."""

    offsets: tuple[int, ...]


Message = Push | Digest | Ask


@dataclasses.dataclass(frozen=True)
class Sent:
    """A message and where it goes."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Position:
    """A node's place in its region's tree.

    :param parents: whom it hears from, the preferred one first.
    :param children: whom it passes records on to.
    """

    name: str
    parents: tuple[str, ...]
    children: tuple[str, ...]

    @property
    def neighbours(self) -> tuple[str, ...]:
        """Parents and children."""
        return self.parents + self.children


def place(
    names: collections.abc.Sequence[str], tails: int, fan_out: int
) -> list[Position]:
    """Return the tree of a region.

    :param names: its instances in an order that all agree on.
    :param tails: how many of the first ones tail the log.
    :param fan_out: how many children a node has at most.
    """
    tails = min(tails, len(names))
    parents = [
        None if index < tails else (index - tails) // fan_out
        for index in range(len(names))
    ]
    children: list[list[str]] = [[] for _ in names]
    for name, parent in zip(names, parents, strict=True):
        if parent is not None:
            children[parent].append(name)
    positions = []
    for index, name in enumerate(names):
        parent = parents[index]
        others = [n for n in names[:tails] if n != name]
        preferred = [] if parent is None else [names[parent]]
        listed = tuple(dict.fromkeys(preferred + others))
        positions.append(Position(name, listed, tuple(children[index])))
    return positions


@dataclasses.dataclass(frozen=True)
class _Open:
    replier: str
    deadline: float


class Relay:
    """What one node holds, lacks and has asked for.

    :param position: the node's place.
    :param rng: chooses repliers.
    """

    def __init__(self, position: Position, rng: random.Random) -> None:
        self._position = position
        self._rng = rng
        self._held: set[int] = set()
        self._next = 0
        self._known_end = 0
        self._open: dict[int, _Open] = {}
        self._waiting: dict[int, set[str]] = {}
        self._ends: dict[str, int] = {}

    @property
    def next_offset(self) -> int:
        """The first offset that is not held."""
        return self._next

    def holds(self, offset: int) -> bool:
        """Return whether a record is held.

        :param offset: its offset.
        """
        return offset < self._next or offset in self._held

    def take_record(self, offset: int, now: float) -> list[Sent]:
        """Take a record, from the log or from a peer.

        :param offset: its offset.
        :param now: monotonic seconds.
        """
        if self.holds(offset):
            return []
        self._held.add(offset)
        self._open.pop(offset, None)
        while self._next in self._held:
            self._held.remove(self._next)
            self._next += 1
        self._known_end = max(self._known_end, offset + 1)
        targets = set(self._position.children)
        targets |= self._waiting.pop(offset, set())
        sent = [Sent(name, Push(offset)) for name in sorted(targets)]
        return sent + self._ask_missing(now)

    def take_digest(
        self, sender: str, digest: Digest, now: float
    ) -> list[Sent]:
        """Take a neighbour's digest.

        :param sender: the neighbour.
        :param digest: what it holds.
        :param now: monotonic seconds.
        """
        self._ends[sender] = digest.next_offset
        self._known_end = max(self._known_end, digest.next_offset)
        return self._ask_missing(now)

    def take_ask(self, sender: str, ask: Ask, now: float) -> list[Sent]:
        """Answer a neighbour, now or once the record is here.

        :param sender: the neighbour.
        :param ask: what it lacks.
        :param now: monotonic seconds.
        """
        sent = []
        for offset in ask.offsets[:MAX_ASKED]:
            if self.holds(offset):
                sent.append(Sent(sender, Push(offset)))
                continue
            self._waiting.setdefault(offset, set()).add(sender)
            self._known_end = max(self._known_end, offset + 1)
        return sent + self._ask_missing(now)

    def make_digests(self, now: float) -> list[Sent]:
        """Return the digests to send, and requests whose answer is overdue.

        :param now: monotonic seconds.
        """
        digest = Digest(self._next)
        sent = [
            Sent(name, digest)
            for name in (*self._position.parents[:1], *self._position.children)
        ]
        return sent + self._ask_missing(now)

    def _ask_missing(self, now: float) -> list[Sent]:
        by_replier: dict[str, list[int]] = {}
        for offset in range(self._next, self._known_end):
            if offset in self._held or self._is_open(offset, now):
                continue
            replier = self._choose_replier(offset)
            if replier is None:
                continue
            self._open[offset] = _Open(replier, now + ASK_SECONDS)
            by_replier.setdefault(replier, []).append(offset)
        return [
            Sent(replier, Ask(tuple(offsets[:MAX_ASKED])))
            for replier, offsets in by_replier.items()
        ]

    def _is_open(self, offset: int, now: float) -> bool:
        request = self._open.get(offset)
        return request is not None and request.deadline > now

    def _choose_replier(self, offset: int) -> str | None:
        """Prefer who is known to hold the record and did not fail last."""
        failed = self._open.get(offset)
        waiting = self._waiting.get(offset, set())
        candidates = [
            name
            for name in self._position.neighbours
            if name not in waiting and not (failed and name == failed.replier)
        ]
        holders = [n for n in candidates if self._ends.get(n, 0) > offset]
        if holders:
            return self._rng.choice(holders)
        parents = [n for n in candidates if n in self._position.parents]
        return parents[0] if parents else None
