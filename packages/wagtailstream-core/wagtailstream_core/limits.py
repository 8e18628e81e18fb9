"""Customers' rate limits: token buckets, split among the live entries.

There is no coordinator. Each entry measures a customer's demand and reports
it to the agents in its heartbeats; the agents reply with the demand at all
other entries. From both an entry computes its own share of the customer's
limit.
"""

import dataclasses
import math

# Fraction of a limit that is split evenly, so that an entry can serve a
# customer that is new to it before the other entries know of the demand.
EVEN_SHARE = 0.05
# Time constant of the demand's exponential moving average.
DEMAND_TIME_CONSTANT_SECONDS = 1.0


@dataclasses.dataclass
class TokenBucket:
    """A token bucket.

    :param rate: tokens added per second.
    :param capacity: the maximum number of tokens.
    :param tokens: the number of tokens at ``updated_at``.
    :param updated_at: monotonic seconds.
    """

    rate: float
    capacity: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add the tokens for the time since the last update.

        :param now: monotonic seconds.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.updated_at = now

    def try_take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens if there are enough, and return whether there were.

        :param now: monotonic seconds.
        :param amount: the number of tokens.
        """
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def find_wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until there are enough tokens.

        :param now: monotonic seconds.
        :param amount: the number of tokens.
        """
        self.refill(now)
        if self.tokens >= amount:
            return 0.0
        return (amount - self.tokens) / self.rate


@dataclasses.dataclass
class DemandMeter:
    """Measures a request rate, including refused requests.

    :param weight: the number of past requests, each discounted exponentially
        by its age.
    :param updated_at: monotonic seconds.
    """

    weight: float = 0.0
    updated_at: float = 0.0

    def count_request(self, now: float) -> None:
        """Count a request.

        :param now: monotonic seconds.
        """
        self._decay(now)
        self.weight += 1.0

    def read(self, now: float) -> float:
        """Return the demand in requests per second.

        :param now: monotonic seconds.
        """
        self._decay(now)
        return self.weight / DEMAND_TIME_CONSTANT_SECONDS

    def _decay(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.weight *= math.exp(-elapsed / DEMAND_TIME_CONSTANT_SECONDS)
        self.updated_at = now


@dataclasses.dataclass(frozen=True)
class Demand:
    """A customer's demand as one entry knows it.

    :param own: requests per second at this entry.
    :param others: requests per second at all other live entries; None if no
        report on them has arrived.
    :param entries: the number of live entries, including this one.
    """

    own: float
    others: float | None
    entries: int


def find_share(demand: Demand) -> float:
    """Return an entry's share of a customer's limit, from 0 to 1.

    If all entries know each other's demand, their shares add up to 1.

    :param demand: the customer's demand as the entry knows it.
    """
    entries = max(1, demand.entries)
    if demand.others is None or demand.own + demand.others <= 0.0:
        return 1.0 / entries
    demand_share = demand.own / (demand.own + demand.others)
    return EVEN_SHARE / entries + (1.0 - EVEN_SHARE) * demand_share


def adjust_bucket(
    bucket: TokenBucket, limit: float, burst: float, share: float, now: float
) -> None:
    """Set a bucket to an entry's share of a limit.

    :param bucket: the bucket.
    :param limit: the customer's requests per second over all entries.
    :param burst: the customer's burst over all entries.
    :param share: the entry's share, from 0 to 1.
    :param now: monotonic seconds.
    """
    bucket.refill(now)
    bucket.rate = limit * share
    bucket.capacity = max(1.0, burst * share)
    bucket.tokens = min(bucket.tokens, bucket.capacity)
