"""Keeps customers within their share of requests."""

import collections.abc

import expression

from wagtailstream_core import bundle, clock, errors, limits
from wagtailstream_entry import exchange, pipeline

STEP = "limit"


class LimitCustomer(pipeline.Filter):
    """Refuses what exceeds the customer's share at this entry.

    :param count_entries: how many entries share the customers' limits.
    :param system_clock: tells the time.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        count_entries: collections.abc.Callable[[], int],
        system_clock: clock.Clock,
        peer: str,
    ) -> None:
        self._count_entries = count_entries
        self._clock = system_clock
        self._peer = peer
        self._buckets: dict[str, limits.TokenBucket] = {}

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Take a token from the customer's bucket, or refuse.

        :param request: the request.
        """
        if request.customer is None:
            return pipeline.PASSED
        now = self._clock.monotonic()
        bucket = self._find_bucket(request.customer, now)
        if bucket.take(now):
            return pipeline.PASSED
        retry_at = request.received_at + bucket.find_wait(now)
        return expression.Error(
            errors.not_run(
                errors.Reason.OVER_LIMIT,
                f"{request.customer.name} exceeds its request limit",
                STEP,
                self._peer,
                retry_at,
            )
        )

    def _find_bucket(
        self, customer: bundle.Customer, now: float
    ) -> limits.TokenBucket:
        entries = max(1, self._count_entries())
        rate = customer.requests_per_second / entries
        capacity = max(1.0, customer.burst / entries)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            bucket = limits.TokenBucket(rate, capacity, capacity, now)
            self._buckets[customer.name] = bucket
        bucket.refill(now)
        bucket.rate = rate
        bucket.capacity = capacity
        return bucket
