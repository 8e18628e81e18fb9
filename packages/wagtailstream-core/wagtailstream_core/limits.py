"""Customers' limits: token buckets, and their split among live entries.

No entry coordinates. Each measures how much a customer asks of it, tells the
agents with its heartbeats, and hears from them how much all others are asked
for. From that it works out its own share of the customer's limit.
"""

import dataclasses
import math

# The part of a limit that is split evenly, so that an entry which a customer
# turns to only now can serve it before the others have heard of it.
EVEN_SHARE = 0.05
DEMAND_SECONDS = 1.0


@dataclasses.dataclass
class TokenBucket:
    """A bucket that fills at a rate up to a capacity.

    :param rate: tokens a second.
    :param capacity: the most tokens it holds.
    :param tokens: how many it holds as of ``updated_at``.
    :param updated_at: monotonic seconds.
    """

    rate: float
    capacity: float
    tokens: float
    updated_at: float

    def refill(self, now: float) -> None:
        """Add the tokens that have come since the last update.

        :param now: monotonic seconds.
        """
        elapsed = max(0.0, now - self.updated_at)
        self.tokens = min(self.capacity, self.tokens + elapsed * self.rate)
        self.updated_at = now

    def take(self, now: float, amount: float = 1.0) -> bool:
        """Take tokens if there are enough, and return whether there were.

        :param now: monotonic seconds.
        :param amount: how many.
        """
        self.refill(now)
        if self.tokens < amount:
            return False
        self.tokens -= amount
        return True

    def find_wait(self, now: float, amount: float = 1.0) -> float:
        """Return the seconds until there are enough tokens.

        :param now: monotonic seconds.
        :param amount: how many.
        """
        self.refill(now)
        if self.tokens >= amount:
            return 0.0
        return (amount - self.tokens) / self.rate


@dataclasses.dataclass
class DemandMeter:
    """How many requests a second are asked for, refused ones included.

    :param weight: past requests, each fading with its age.
    :param updated_at: monotonic seconds.
    """

    weight: float = 0.0
    updated_at: float = 0.0

    def note(self, now: float) -> None:
        """Count a request.

        :param now: monotonic seconds.
        """
        self._fade(now)
        self.weight += 1.0

    def read(self, now: float) -> float:
        """Return the demand in requests a second.

        :param now: monotonic seconds.
        """
        self._fade(now)
        return self.weight / DEMAND_SECONDS

    def _fade(self, now: float) -> None:
        elapsed = max(0.0, now - self.updated_at)
        self.weight *= math.exp(-elapsed / DEMAND_SECONDS)
        self.updated_at = now


@dataclasses.dataclass(frozen=True)
class Demand:
    """What is known of a customer's demand.

    :param own: requests a second at this entry.
    :param others: requests a second at all other live entries; None where
        nothing was heard of them.
    :param entries: how many live entries there are, this one included.
    """

    own: float
    others: float | None
    entries: int


def find_share(demand: Demand) -> float:
    """Return an entry's share of a customer's limit, from 0 to 1.

    While all entries hear of each other, their shares add up to 1.

    :param demand: what is known of the customer's demand.
    """
    entries = max(1, demand.entries)
    if demand.others is None or demand.own + demand.others <= 0.0:
        return 1.0 / entries
    asked = demand.own / (demand.own + demand.others)
    return EVEN_SHARE / entries + (1.0 - EVEN_SHARE) * asked


def adjust_bucket(
    bucket: TokenBucket, limit: float, burst: float, share: float, now: float
) -> None:
    """Set a bucket to an entry's share of a limit.

    :param bucket: the bucket.
    :param limit: the customer's requests a second over all entries.
    :param burst: the customer's burst over all entries.
    :param share: the entry's share, from 0 to 1.
    :param now: monotonic seconds.
    """
    bucket.refill(now)
    bucket.rate = limit * share
    bucket.capacity = max(1.0, burst * share)
    bucket.tokens = min(bucket.tokens, bucket.capacity)
