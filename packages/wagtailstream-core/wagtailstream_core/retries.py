"""Budgets and conditions for retries and hedged requests.

Retries are limited to a fraction of each customer's requests, so that they
can't multiply the load while endpoints fail. A hedge is a second attempt in
parallel to a slow first one. Only idempotent work whose answer has not begun
is hedged, only on an endpoint with a free slot, and out of a smaller budget.
"""

import collections
import dataclasses

from wagtailstream_core import errors, limits

# Attempts per request, including the first.
MAX_ATTEMPTS = 4
# Retries and hedges per request of a customer.
RETRY_SHARE = 0.2
HEDGE_SHARE = 0.15
# Maximum number of further attempts that a customer can save up.
BURST = 10.0
# Minimum rate of further attempts, so that a customer with little traffic
# can retry at all.
FLOOR_PER_SECOND = 0.1
# Maximum number of customers whose budgets are kept.
MAX_CUSTOMERS = 10000

# A hedge is sent when the first token takes longer than this quantile of the
# latest times to the first token.
HEDGE_QUANTILE = 0.95
# Half of the target of 0.34 s for the first token. A request that is answered
# sooner gains nothing from a hedge, which would only add load.
MIN_HEDGE_DELAY_SECONDS = 0.17
# Number of latest times that are kept, and the number needed for a quantile.
WINDOW_SAMPLES = 200
MIN_SAMPLES = 20

RETRIABLE = frozenset(
    {
        errors.Reason.AGENT_BEHIND,
        errors.Reason.BILLING_FULL,
        errors.Reason.CLAIM_ABANDONED,
        errors.Reason.CUT_OFF,
        errors.Reason.DEADLINE_UNREACHABLE,
        errors.Reason.DRAINING,
        errors.Reason.ENDPOINT_FAILED,
        errors.Reason.ENDPOINT_FULL,
        errors.Reason.ENDPOINT_LOST,
        errors.Reason.ENDPOINT_STALLED,
        errors.Reason.NO_CONFIGURATION,
        errors.Reason.NOT_LOADED,
    }
)


class Budget:
    """Limits retries or hedges to a fraction of each customer's requests.

    :param share: the number of further attempts allowed per request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._buckets: collections.OrderedDict[str, limits.TokenBucket] = (
            collections.OrderedDict()
        )

    def record_request(self, customer: str, now: float) -> None:
        """Count a request, which adds a share to its customer's budget.

        :param customer: the customer's name.
        :param now: monotonic seconds.
        """
        bucket = self._get_bucket(customer, now)
        bucket.refill(now)
        bucket.tokens = min(bucket.capacity, bucket.tokens + self._share)

    def try_take(self, customer: str, now: float) -> bool:
        """Take one attempt from a customer's budget; return False if empty.

        :param customer: the customer's name.
        :param now: monotonic seconds.
        """
        return self._get_bucket(customer, now).try_take(now)

    def _get_bucket(self, customer: str, now: float) -> limits.TokenBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = limits.TokenBucket(FLOOR_PER_SECOND, BURST, BURST, now)
            self._buckets[customer] = bucket
        self._buckets.move_to_end(customer)
        while len(self._buckets) > MAX_CUSTOMERS:
            self._buckets.popitem(last=False)
        return bucket


@dataclasses.dataclass(frozen=True)
class FailedRequest:
    """A request whose last attempt did not complete.

    :param refusal: why the attempt did not complete.
    :param attempts: the number of attempts made, including the last.
    :param deadline: the request's deadline, in seconds.
    """

    refusal: errors.Refusal
    attempts: int
    deadline: float


def is_retriable(failed: FailedRequest, now: float) -> bool:
    """Return whether a further attempt could succeed.

    The retry budget is not checked.

    :param failed: the request whose last attempt did not complete.
    :param now: on the deadline's clock, in seconds.
    """
    return (
        failed.refusal.reason in RETRIABLE
        and failed.attempts < MAX_ATTEMPTS
        and now < failed.deadline
    )


class LatencyWindow:
    """A sliding window of times to the first chunk of an answer."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._is_stale = False
        self._quantile: float | None = None

    def add_sample(self, seconds: float) -> None:
        """Add a sample.

        :param seconds: the time from the dispatch to the first chunk.
        """
        self._samples.append(seconds)
        self._is_stale = True

    def find_hedge_delay(self) -> float | None:
        """Return the seconds to wait before a hedge, or None.

        It is None while there are too few samples.
        """
        if len(self._samples) < MIN_SAMPLES:
            return None
        if self._is_stale:
            index = int(HEDGE_QUANTILE * len(self._samples))
            found = sorted(self._samples)[index]
            self._quantile = max(found, MIN_HEDGE_DELAY_SECONDS)
            self._is_stale = False
        return self._quantile
