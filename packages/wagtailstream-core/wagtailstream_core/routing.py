"""Chooses the endpoint for an attempt.

Power of two choices over an estimate of the load: what others had there as
of the last report, plus the entry's own requests in flight now. A warm prompt
prefix earns a bonus that load can outvote; distance costs a little.
"""

import collections.abc
import dataclasses
import random

import xxhash

PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True)
class Weights:
    """How much each circumstance counts, in shares of an endpoint's slots.

    :param affinity: the bonus of the endpoint that the prefix prefers.
    :param distance: the cost of another data centre.
    :param suspect: the cost of an endpoint that may be failing.
    :param choices: how many endpoints are drawn to be compared.
    """

    affinity: float = 0.25
    distance: float = 0.05
    suspect: float = 4.0
    choices: int = 2


DEFAULT_WEIGHTS = Weights()


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that could take the attempt.

    :param reported: requests running and queued, as last reported.
    :param in_flight: this entry's own requests there now.
    :param in_flight_at_report: this entry's own when the report was made.
    :param slots: how many requests it runs at once.
    :param is_near: whether it stands in the entry's data centre.
    :param is_suspect: whether its heartbeats or answers are late.
    :param is_draining: whether it takes no new work.
    """

    endpoint: str
    reported: int
    in_flight: int
    in_flight_at_report: int
    slots: int
    is_near: bool = True
    is_suspect: bool = False
    is_draining: bool = False


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


def estimate_load(candidate: Candidate) -> int:
    """Return the requests that a candidate probably holds now.

    The report counts this entry's own requests as of its time; they are
    replaced by those in flight now, so that a burst is felt before the next
    report and a finished one is not counted on.

    :param candidate: the candidate.
    """
    others = max(0, candidate.reported - candidate.in_flight_at_report)
    return others + candidate.in_flight


def score(
    candidate: Candidate, home: str, weights: Weights = DEFAULT_WEIGHTS
) -> float:
    """Return the cost of sending an attempt to a candidate; less is better.

    :param candidate: the candidate.
    :param home: the endpoint that the prefix prefers.
    :param weights: how much each circumstance counts.
    """
    cost = estimate_load(candidate) / max(candidate.slots, 1)
    if candidate.endpoint == home:
        cost -= weights.affinity
    if not candidate.is_near:
        cost += weights.distance
    if candidate.is_suspect:
        cost += weights.suspect
    return cost


def choose_endpoint(
    candidates: collections.abc.Sequence[Candidate],
    prefix_hash: int,
    rng: random.Random,
    weights: Weights = DEFAULT_WEIGHTS,
) -> str | None:
    """Return the endpoint for an attempt, or None without candidates.

    :param candidates: the endpoints that could take it.
    :param prefix_hash: the hash of the prompt's prefix.
    :param rng: draws the choices.
    :param weights: how much each circumstance counts.
    """
    usable = [c for c in candidates if not c.is_draining]
    if not usable:
        return None
    home = find_home(prefix_hash, (c.endpoint for c in usable))
    drawn = _draw(usable, rng, weights.choices)
    drawn += [c for c in usable if c.endpoint == home]
    return min(drawn, key=lambda c: score(c, home, weights)).endpoint


def _draw(
    usable: collections.abc.Sequence[Candidate],
    rng: random.Random,
    choices: int,
) -> list[Candidate]:
    """Draw the endpoints to compare, from the healthy ones if there are."""
    healthy = [c for c in usable if not c.is_suspect] or list(usable)
    return rng.sample(healthy, min(choices, len(healthy)))
