"""Picks the engines that a choice weighs, whatever their number."""

import bisect
import collections.abc
import random
import time

import xxhash

from wagtailstream_router import directory

# Up to this many engines are all weighed.
MAX_CANDIDATES = 24
# How many of them are the next on the ring, and how many were sent the prompt
# lately; the rest are drawn at random.
RING_CANDIDATES = 8
HOLDER_CANDIDATES = 4
# Points of an engine on the ring: more spread prompts more evenly.
_POINTS = 32
# Points that are looked at where many engines may not be asked.
_MAX_STEPS = 256
# Interval between comparisons of the ring with the engines that are given.
SYNC_SECONDS = 0.2
# An engine that was not given for this long leaves the ring. Others keep their
# places while one is only draining or of the other version.
KEEP_SECONDS = 10.0


class Candidates:
    """Picks the engines of one service that a choice weighs.

    The same few for the same prompts, at all instances, and a few others at
    random. Loads that this answers: hundreds of engines, of which some join,
    leave and crash at any time.

    :param generator: draws the others.
    :param clock: the monotonic clock.
    """

    def __init__(
        self,
        generator: random.Random,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self._generator = generator
        self._clock = clock
        self._synced_at = float("-inf")
        self._seen: dict[str, float] = {}
        self._members: dict[str, directory.Member] = {}
        self._points: list[tuple[int, str]] = []

    def pick(
        self,
        members: collections.abc.Sequence[directory.Member],
        key: str,
        holders: collections.abc.Iterable[str] = (),
    ) -> list[tuple[int, directory.Member]]:
        """Return the engines to weigh, each with its rank for the prompt.

        Ranks go from 0 to `RING_CANDIDATES`; the latter is that of all engines
        that are not among the next on the ring.

        :param members: the engines that may be asked.
        :param key: hashed to a place on the ring.
        :param holders: the ids of engines that were sent the prompt lately.
        """
        self._sync(members)
        allowed = set(members)
        ranked: dict[directory.Member, int] = {}
        for member in self._walk(key, allowed):
            ranked[member] = len(ranked)
        if len(members) <= MAX_CANDIDATES:
            others: collections.abc.Iterable[directory.Member] = members
        else:
            others = [
                *self._list_holders(holders, allowed),
                *self._draw(members, len(ranked)),
            ]
        for member in others:
            ranked.setdefault(member, RING_CANDIDATES)
        return [(rank, member) for member, rank in ranked.items()]

    def _list_holders(
        self,
        holders: collections.abc.Iterable[str],
        allowed: set[directory.Member],
    ) -> list[directory.Member]:
        found: list[directory.Member] = []
        for identity in holders:
            member = self._members.get(identity)
            if member is not None and member in allowed:
                found.append(member)
                if len(found) == HOLDER_CANDIDATES:
                    break
        return found

    def _draw(
        self,
        members: collections.abc.Sequence[directory.Member],
        ring_count: int,
    ) -> list[directory.Member]:
        count = MAX_CANDIDATES - HOLDER_CANDIDATES - ring_count
        return self._generator.sample(members, count)

    def _walk(
        self, key: str, allowed: set[directory.Member]
    ) -> list[directory.Member]:
        """Return the next engines on the ring that may be asked."""
        found: list[directory.Member] = []
        points = self._points
        if not points:
            return found
        seen: set[str] = set()
        place = bisect.bisect(points, (_hash_point(key), ""))
        for step in range(min(len(points), _MAX_STEPS)):
            _, identity = points[(place + step) % len(points)]
            if identity in seen:
                continue
            seen.add(identity)
            member = self._members[identity]
            if member in allowed:
                found.append(member)
                if len(found) == RING_CANDIDATES:
                    break
        return found

    def _sync(
        self, members: collections.abc.Sequence[directory.Member]
    ) -> None:
        """Put engines that joined on the ring; take off those that left."""
        now = self._clock()
        if now - self._synced_at < SYNC_SECONDS:
            return
        self._synced_at = now
        joined = []
        for member in members:
            identity = member.identity
            if identity not in self._seen:
                joined.append(identity)
            self._seen[identity] = now + KEEP_SECONDS
            self._members[identity] = member
        left = {
            identity for identity, until in self._seen.items() if until < now
        }
        for identity in left:
            del self._seen[identity]
            del self._members[identity]
        if left:
            self._points = [
                point for point in self._points if point[1] not in left
            ]
        if joined:
            self._points.extend(
                (_hash_point(f"{identity}|{number}"), identity)
                for identity in joined
                for number in range(_POINTS)
            )
            self._points.sort()


def _hash_point(text: str) -> int:
    return xxhash.xxh64_intdigest(text.encode())


class CandidatesByService:
    """The candidates of each service.

    :param generator: draws engines at random.
    """

    def __init__(self, generator: random.Random) -> None:
        self._generator = generator
        self._candidates: dict[str, Candidates] = {}

    def of(self, service: str) -> Candidates:
        """Return a service's candidates."""
        candidates = self._candidates.get(service)
        if candidates is None:
            candidates = Candidates(self._generator)
            self._candidates[service] = candidates
        return candidates
