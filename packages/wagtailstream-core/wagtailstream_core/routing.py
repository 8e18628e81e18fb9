"""Chooses the endpoint for an attempt.

Power of two choices over the reported load plus the entry's own requests in
flight, with a bonus for a warm prompt prefix and a malus for distance.
"""

import collections.abc
import dataclasses
import random

import xxhash

PREFIX_CHARACTERS = 256
AFFINITY_BONUS = 0.25
DISTANCE_PENALTY = 0.05
SUSPECT_PENALTY = 4.0


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that could take the attempt.

    :param reported: requests running and queued, as last reported.
    :param in_flight: this entry's own requests sent since.
    :param slots: how many requests it runs at once.
    :param is_near: whether it stands in the entry's data centre.
    :param is_suspect: whether its heartbeats are late.
    """

    endpoint: str
    reported: int
    in_flight: int
    slots: int
    is_near: bool = True
    is_suspect: bool = False


def hash_prefix(prompt: str) -> int:
    """Return the hash of the part of a prompt that engines may cache.

    :param prompt: the whole prompt.
    """
    return xxhash.xxh64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


def find_home(
    prefix_hash: int, endpoints: collections.abc.Iterable[str]
) -> str:
    """Return the endpoint that a prefix prefers, by rendezvous hashing.

    :param prefix_hash: the hash of the prompt's prefix.
    :param endpoints: the names to choose from; at least one.
    """
    return max(
        endpoints,
        key=lambda name: xxhash.xxh64_intdigest(name.encode(), prefix_hash),
    )


def score(candidate: Candidate, home: str) -> float:
    """Return the cost of sending an attempt to a candidate; less is better.

    :param candidate: the candidate.
    :param home: the endpoint that the prefix prefers.
    """
    load = max(candidate.reported, candidate.in_flight)
    cost = load / max(candidate.slots, 1)
    if candidate.endpoint == home:
        cost -= AFFINITY_BONUS
    if not candidate.is_near:
        cost += DISTANCE_PENALTY
    if candidate.is_suspect:
        cost += SUSPECT_PENALTY
    return cost


def choose_endpoint(
    candidates: collections.abc.Sequence[Candidate],
    prefix_hash: int,
    rng: random.Random,
) -> str | None:
    """Return the endpoint for an attempt, or None without candidates.

    :param candidates: the endpoints that could take it.
    :param prefix_hash: the hash of the prompt's prefix.
    :param rng: draws the two choices.
    """
    if not candidates:
        return None
    home = find_home(prefix_hash, (c.endpoint for c in candidates))
    drawn = list(rng.sample(candidates, min(2, len(candidates))))
    drawn += [c for c in candidates if c.endpoint == home]
    return min(drawn, key=lambda c: score(c, home)).endpoint
