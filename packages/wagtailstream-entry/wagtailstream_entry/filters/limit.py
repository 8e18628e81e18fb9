"""Limits the request rate of customers.

A customer's limit holds for the fleet. Entries divide it by the demand that
each of them sees, as reported through the agents.
"""

import abc

import expression

from wagtailstream_core import bundle, clock, demand, errors, limits
from wagtailstream_entry.filters import exchange, pipeline

STEP = "limit"
# Customers with fewer requests per second are left out of heartbeats.
MIN_REPORTED_RATE = 0.05


class OtherEntries(abc.ABC):
    """The number of live entries, and the demand at the other ones."""

    @property
    @abc.abstractmethod
    def entry_count(self) -> int:
        """The number of live entries, including this one."""

    @abc.abstractmethod
    def find_other_entries_rate(self, customer: str) -> float | None:
        """Return a customer's requests per second at all other entries.

        None means that no recent report is available.

        :param customer: the customer's name.
        """


class LimitCustomer(pipeline.Filter):
    """Refuses requests over the customer's share of its limit at this entry.

    :param other_entries: the number and the demand of the other entries.
    :param system_clock: the clock for buckets and meters.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self, other_entries: OtherEntries, system_clock: clock.Clock, peer: str
    ) -> None:
        self._other_entries = other_entries
        self._clock = system_clock
        self._peer = peer
        self._buckets: dict[str, limits.TokenBucket] = {}
        self._meters: dict[str, limits.DemandMeter] = {}

    def list_demands(self) -> list[demand.CustomerDemand]:
        """Return the current demand of each customer at this entry.

        Refused requests count too.
        """
        now = self._clock.monotonic()
        rates = {name: m.read(now) for name, m in self._meters.items()}
        return [
            demand.CustomerDemand(name, rate)
            for name, rate in rates.items()
            if rate >= MIN_REPORTED_RATE
        ]

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Take a token from the customer's bucket, or refuse the request.

        :param request: the request.
        """
        if request.customer is None:
            return pipeline.PASSED
        now = self._clock.monotonic()
        bucket = self._find_bucket(request.customer, now)
        if bucket.try_take(now):
            return pipeline.PASSED
        retry_at = request.received_at + bucket.find_wait(now)
        return expression.Error(
            errors.not_run(
                errors.Reason.OVER_LIMIT,
                f"customer {request.customer.name} exceeds its request limit",
                STEP,
                self._peer,
                retry_at,
            )
        )

    def _find_bucket(
        self, customer: bundle.Customer, now: float
    ) -> limits.TokenBucket:
        share = self._find_share(customer.name, now)
        bucket = self._buckets.get(customer.name)
        if bucket is None:
            full = max(1.0, customer.burst * share)
            bucket = limits.TokenBucket(1.0, full, full, now)
            self._buckets[customer.name] = bucket
        limits.adjust_bucket(
            bucket, customer.requests_per_second, customer.burst, share, now
        )
        return bucket

    def _find_share(self, customer: str, now: float) -> float:
        """Count a request, and return this entry's share of the limit."""
        meter = self._meters.setdefault(customer, limits.DemandMeter(0.0, now))
        meter.count_request(now)
        return limits.find_share(
            limits.Demand(
                meter.read(now),
                self._other_entries.find_other_entries_rate(customer),
                self._other_entries.entry_count,
            )
        )
