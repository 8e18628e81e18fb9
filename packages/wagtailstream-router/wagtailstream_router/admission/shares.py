"""Customers' recent use of engine time, over all instances."""

import collections.abc
import math
import time

# Time constant of the decay of uses: longer than a burst of one customer needs
# to fill a queue, and no customer pays for it much longer.
DECAY_SECONDS = 10.0
# Customers in one message to peers, those with the largest use.
MAX_REPORTED = 64
# Uses below this many milliseconds are forgotten.
MIN_USE_MS = 1.0
# Uses are decayed in steps of this time at the least.
DECAY_STEP_SECONDS = 0.05
# A customer's part of all uses below which it doesn't count as competing.
MIN_COMPETING_SHARE = 0.01


class CustomerShares:
    """The use of engine time by customer, own and peers'.

    The load that it answers: one customer sends many times its usual, to a few
    of the instances, while all engines are busy.

    :param weights: by customer; 1 for all others.
    :param clock: the monotonic clock.
    """

    def __init__(
        self,
        weights: collections.abc.Mapping[str, float] | None = None,
        clock: collections.abc.Callable[[], float] = time.monotonic,
    ) -> None:
        self.weights = weights or {}
        self._clock = clock
        self._own: dict[str, float] = {}
        self._decayed_at = clock()
        self._peers: list[tuple[float, collections.abc.Mapping[str, float]]]
        self._peers = []
        self._peer_sums: dict[str, float] = {}
        self._peer_total = 0.0
        self._summed_at = self._decayed_at

    def record_use(self, customer: str, work_ms: float) -> None:
        """Count what a request for a customer takes of an engine's time."""
        self._decay()
        self._own[customer] = self._own.get(customer, 0.0) + work_ms

    def rank(self, customer: str) -> float:
        """Return the fleet's recent use for a customer, by its weight."""
        return self._use_of(customer) / self._weight_of(customer)

    def make_report(self) -> dict[str, int]:
        """Return this instance's uses in ms for its peers, largest first."""
        self._decay()
        largest = sorted(self._own.items(), key=lambda item: -item[1])
        return {
            customer: round(use)
            for customer, use in largest[:MAX_REPORTED]
            if use >= MIN_USE_MS
        }

    def set_peer_uses(
        self,
        reports: collections.abc.Iterable[
            tuple[float, collections.abc.Mapping[str, float]]
        ],
    ) -> None:
        """Replace the uses of the live peers.

        :param reports: when each was heard, by the monotonic clock, and its
            uses in ms by customer.
        """
        self._peers = list(reports)
        self._sum_peers()

    def find_instance_share(self, count: int) -> float:
        """Return this instance's part, 0 to 1, of the fleet's recent use.

        It is at least half of an equal part, so that an instance that starts,
        or that got no room lately, finds some.

        :param count: the number of instances.
        """
        self._decay()
        own = sum(self._own.values())
        total = own + self._decayed(self._peer_total)
        least = 0.5 / max(1, count)
        if total <= 0.0:
            return 1.0 / max(1, count)
        return max(least, own / total)

    def find_excess_factor(self, customer: str) -> float:
        """Return a customer's equal share divided by its use, at most 1.

        Its chance of scarce room is lowered by that.
        """
        names = set(self._own) | set(self._peer_sums)
        uses = {name: self._use_of(name) for name in names}
        total = sum(uses.values())
        use = uses.get(customer, 0.0)
        if total <= 0.0 or use <= 0.0:
            return 1.0
        competing = [
            name
            for name, value in uses.items()
            if value >= MIN_COMPETING_SHARE * total
        ]
        weights = sum(map(self._weight_of, competing)) or 1.0
        fair = total * self._weight_of(customer) / weights
        return min(1.0, fair / use)

    def _use_of(self, customer: str) -> float:
        self._decay()
        peers = self._decayed(self._peer_sums.get(customer, 0.0))
        return self._own.get(customer, 0.0) + peers

    def _weight_of(self, customer: str) -> float:
        return max(1e-6, self.weights.get(customer, 1.0))

    def _decayed(self, peers_use: float) -> float:
        passed = self._clock() - self._summed_at
        return peers_use * math.exp(-passed / DECAY_SECONDS)

    def _sum_peers(self) -> None:
        now = self._clock()
        self._summed_at = now
        sums: dict[str, float] = {}
        for heard_at, uses in self._peers:
            factor = math.exp((heard_at - now) / DECAY_SECONDS)
            for customer, use in uses.items():
                sums[customer] = sums.get(customer, 0.0) + use * factor
        self._peer_sums = sums
        self._peer_total = sum(sums.values())

    def _decay(self) -> None:
        now = self._clock()
        if now - self._decayed_at < DECAY_STEP_SECONDS:
            return
        factor = math.exp((self._decayed_at - now) / DECAY_SECONDS)
        self._decayed_at = now
        self._own = {
            customer: use * factor
            for customer, use in self._own.items()
            if use * factor >= MIN_USE_MS
        }
