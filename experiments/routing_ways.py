"""The load-balancing algorithms that the routing experiment compares."""

import abc
import collections.abc
import itertools
import random

from wagtailstream_core import routing


class Balancer(abc.ABC):
    """Chooses endpoints on behalf of one entry.

    :param rng: the generator for random choices.
    """

    def __init__(self, rng: random.Random) -> None:
        self._rng = rng

    @abc.abstractmethod
    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        """Return the chosen endpoint's name.

        :param candidates: at least one.
        :param prefix_hash: the hash of the prompt's prefix.
        """


class RoundRobin(Balancer):
    """Naive: round robin from a random start."""

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng)
        self._turn = itertools.count(rng.randrange(100))

    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        return candidates[next(self._turn) % len(candidates)].endpoint


class LeastReported(Balancer):
    """Naive: choose the endpoint with the lowest reported load."""

    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        least = min(c.reported for c in candidates)
        best = [c for c in candidates if c.reported == least]
        return self._rng.choice(best).endpoint


class PreferredOnly(Balancer):
    """Naive: always choose the endpoint that the prefix hashes to."""

    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        return routing.find_preferred_endpoint(
            prefix_hash, (c.endpoint for c in candidates)
        )


class Weighted(Balancer):
    """The router's algorithm with configurable weights.

    :param rng: the generator for random choices.
    :param weights: the weights of the cost function.
    """

    def __init__(self, rng: random.Random, weights: routing.Weights) -> None:
        super().__init__(rng)
        self._weights = weights

    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        chosen = routing.choose_endpoint(
            candidates, prefix_hash, self._rng, self._weights
        )
        return chosen or candidates[0].endpoint


class LargerOfTwo(Balancer):
    """Power of two choices, with a simpler estimate of the load.

    The load of an endpoint is its reported load or this entry's requests in
    flight, whichever is larger. The endpoint that the prefix hashes to is
    compared too, with a bonus.

    :param rng: the generator for random choices.
    """

    def choose(
        self,
        candidates: collections.abc.Sequence[routing.Candidate],
        prefix_hash: int,
    ) -> str:
        preferred = routing.find_preferred_endpoint(
            prefix_hash, (c.endpoint for c in candidates)
        )
        drawn = self._rng.sample(candidates, min(2, len(candidates)))
        drawn += [c for c in candidates if c.endpoint == preferred]
        return min(
            drawn, key=lambda c: self._compute_cost(c, preferred)
        ).endpoint

    def _compute_cost(
        self, candidate: routing.Candidate, preferred: str
    ) -> float:
        load = max(candidate.reported, candidate.in_flight)
        bonus = 0.25 if candidate.endpoint == preferred else 0.0
        return load / candidate.slots - bonus


BalancerFactory = collections.abc.Callable[[random.Random], Balancer]


def list_balancers() -> dict[str, BalancerFactory]:
    """Return a factory for each algorithm by its name."""
    return {
        "round-robin": RoundRobin,
        "least-reported": LeastReported,
        "home-only": PreferredOnly,
        "larger-of-two": LargerOfTwo,
        "no-affinity": lambda rng: Weighted(
            rng, routing.Weights(affinity=0.0)
        ),
        "all-compared": lambda rng: Weighted(rng, routing.Weights(choices=99)),
        "chosen": lambda rng: Weighted(rng, routing.Weights()),
    }
