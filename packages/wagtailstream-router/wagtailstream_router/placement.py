"""Chooses the endpoint of one attempt."""

import collections.abc
import dataclasses
import random

import xxhash

from wagtailstream_router import directory, health

# How much longer the queue of an endpoint in another zone has to be spared to
# make up for the bytes between zones, as a factor on its score.
OTHER_ZONE_FACTOR = 1.5
# How much failures weigh in a plain endpoint's score.
FAILURE_FACTOR = 8.0
# An endpoint this many times slower than its fellows is slow.
SLOW_FACTOR = 2.5
# A queue must be longer by this much, beside the time that reading the prompt
# again takes, before a request leaves the endpoint that knows its prompt.
MOVE_MARGIN_MS = 60.0


@dataclasses.dataclass(frozen=True, slots=True)
class EngineWork:
    """What a request asks of a model server.

    :param key: names the model and the last shared part of the prompt.
    :param reread_ms: how long the shared parts take where they are unknown.
    """

    key: str
    reread_ms: float


def choose_plain(
    members: collections.abc.Sequence[directory.Member],
    zone: str,
    generator: random.Random,
) -> directory.Member | None:
    """Return the endpoint of a plain service that should answer soonest.

    :param members: those that may be asked.
    :param zone: this process's zone.
    """
    usable = _prefer_healthy(members)
    if not usable:
        return None
    return min(
        usable,
        key=lambda member: (
            _score_plain(member, zone),
            generator.random(),
        ),
    )


def choose_engine(
    members: collections.abc.Sequence[directory.Member],
    work: EngineWork,
) -> directory.Member | None:
    """Return the model server that should give the first token soonest.

    The server that the prompt's last shared part hashes to is taken, unless
    its queue is longer than another's by more than reading the prompt anew.

    :param members: those that may be asked.
    """
    usable = _prefer_healthy(members)
    if not usable:
        return None
    ranked = sorted(usable, key=lambda member: -_rank(member, work.key))
    shortest = min(member.queue_ms for member in ranked)
    bound = shortest + MOVE_MARGIN_MS + work.reread_ms
    for member in ranked:
        if member.queue_ms <= bound:
            return member
    return ranked[0]


def _rank(member: directory.Member, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member.identity}".encode())


def _score_plain(member: directory.Member, zone: str) -> float:
    factor = 1.0 if member.entry.zone == zone else OTHER_ZONE_FACTOR
    factor *= 1.0 + FAILURE_FACTOR * member.health.bad_share**2
    duration = max(member.health.duration_ms, 1.0)
    return (member.load + 1) * duration * factor


def _prefer_healthy(
    members: collections.abc.Sequence[directory.Member],
) -> list[directory.Member]:
    """Leave out paused, failing and slow members where others remain."""
    awake = [one for one in members if not one.health.is_paused]
    sound = [one for one in awake if one.health.bad_share < health.BAD_SHARE]
    usable = sound or awake or list(members)
    durations = sorted(
        one.health.duration_ms for one in usable if one.health.duration_ms
    )
    if len(durations) < 2:
        return usable
    bound = SLOW_FACTOR * durations[(len(durations) - 1) // 2]
    return [one for one in usable if one.health.duration_ms <= bound]
