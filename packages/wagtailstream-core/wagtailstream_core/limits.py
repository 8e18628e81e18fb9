"""Token buckets, by which customers' limits and retry budgets are kept."""

import dataclasses


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
