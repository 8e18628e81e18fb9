"""Choice of the endpoint for an attempt.

Load balancing by the power of two choices. The load of an endpoint is
estimated as the requests of other entries at its last report plus this
entry's requests in flight now. The endpoint that probably has the prompt's
prefix in its cache gets a bonus, which a high load outweighs. An endpoint in
another data centre gets a small penalty.
"""

import collections.abc
import dataclasses
import random

import xxhash

# Length of the prompt prefix that decides the preferred endpoint.
PREFIX_CHARACTERS = 256


@dataclasses.dataclass(frozen=True)
class Weights:
    """The weights of the cost function, in fractions of an endpoint's slots.

    :param affinity: the bonus for the endpoint that the prefix prefers.
    :param distance: the penalty for an endpoint in another data centre.
    :param suspect: the penalty for an endpoint that may be failing.
    :param choices: the number of endpoints that are drawn and compared.
    """

    affinity: float = 0.25
    distance: float = 0.05
    suspect: float = 4.0
    choices: int = 2


DEFAULT_WEIGHTS = Weights()


@dataclasses.dataclass(frozen=True)
class Candidate:
    """An endpoint that could take the attempt.

    :param reported: running and queued requests in the endpoint's last
        report.
    :param in_flight: this entry's requests at the endpoint now.
    :param in_flight_at_report: this entry's requests at the endpoint when the
        report was made.
    :param slots: how many requests the endpoint runs at once.
    :param is_near: whether it is in the entry's data centre.
    :param is_suspect: whether its heartbeats or answers are late.
    :param is_draining: whether it accepts no new work.
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
    """Return the hash of a prompt's prefix, which engines may have cached.

    :param prompt: the whole prompt.
    """
    return xxhash.xxh64_intdigest(prompt[:PREFIX_CHARACTERS].encode())


def find_preferred_endpoint(
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
    """Return the estimated number of requests at a candidate now.

    The report includes this entry's own requests at that time. They are
    replaced by its requests in flight now, so that a burst is taken into
    account before the next report, and finished requests no longer count.

    :param candidate: the candidate.
    """
    others = max(0, candidate.reported - candidate.in_flight_at_report)
    return others + candidate.in_flight


def compute_cost(
    candidate: Candidate, preferred: str, weights: Weights = DEFAULT_WEIGHTS
) -> float:
    """Return the cost of sending an attempt to a candidate.

    The candidate with the lowest cost is the best.

    :param candidate: the candidate.
    :param preferred: the endpoint that the prefix prefers.
    :param weights: the weights of the cost function.
    """
    cost = estimate_load(candidate) / max(candidate.slots, 1)
    if candidate.endpoint == preferred:
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
    """Return the endpoint for an attempt, or None if there is none.

    The endpoint that the prefix prefers is compared with those drawn.

    :param candidates: the endpoints that could take it.
    :param prefix_hash: the hash of the prompt's prefix.
    :param rng: draws the endpoints to compare.
    :param weights: the weights of the cost function.
    """
    usable = [c for c in candidates if not c.is_draining]
    if not usable:
        return None
    preferred = find_preferred_endpoint(
        prefix_hash, (c.endpoint for c in usable)
    )
    drawn = _draw(usable, rng, weights.choices)
    drawn += [c for c in usable if c.endpoint == preferred]
    return min(
        drawn, key=lambda c: compute_cost(c, preferred, weights)
    ).endpoint


def _draw(
    usable: collections.abc.Sequence[Candidate],
    rng: random.Random,
    choices: int,
) -> list[Candidate]:
    """Draw endpoints to compare; suspect ones only if all are suspect."""
    healthy = [c for c in usable if not c.is_suspect] or list(usable)
    return rng.sample(healthy, min(choices, len(healthy)))
