"""Retries and hedges: whether a further attempt may be made.

Retries are bounded to a share of each customer's traffic, so that they can't
multiply the load while endpoints fail. A hedge is a second attempt beside a
slow first one; only idempotent work that sent nothing yet is hedged, only on
an endpoint with a free slot, and out of a smaller budget.
"""

import collections
import dataclasses

from wagtailstream_core import errors, limits

MAX_ATTEMPTS = 4
RETRY_SHARE = 0.2
HEDGE_SHARE = 0.15
BURST = 10.0
# Lets a customer with little traffic retry at all.
FLOOR_PER_SECOND = 0.1
MAX_CUSTOMERS = 10000

HEDGE_QUANTILE = 0.95
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
    """Bounds further attempts to a share of each customer's traffic.

    :param share: further attempts for each request.
    """

    def __init__(self, share: float) -> None:
        self._share = share
        self._buckets: collections.OrderedDict[str, limits.TokenBucket] = (
            collections.OrderedDict()
        )

    def note_request(self, customer: str, now: float) -> None:
        """Add a request's share to its customer's budget.

        :param customer: the customer's name.
        :param now: monotonic seconds.
        """
        bucket = self._find(customer, now)
        bucket.refill(now)
        bucket.tokens = min(bucket.capacity, bucket.tokens + self._share)

    def take(self, customer: str, now: float) -> bool:
        """Take a further attempt from a customer's budget, if there is one.

        :param customer: the customer's name.
        :param now: monotonic seconds.
        """
        return self._find(customer, now).take(now)

    def _find(self, customer: str, now: float) -> limits.TokenBucket:
        bucket = self._buckets.get(customer)
        if bucket is None:
            bucket = limits.TokenBucket(FLOOR_PER_SECOND, BURST, BURST, now)
            self._buckets[customer] = bucket
        self._buckets.move_to_end(customer)
        while len(self._buckets) > MAX_CUSTOMERS:
            self._buckets.popitem(last=False)
        return bucket


@dataclasses.dataclass(frozen=True)
class Failed:
    """An attempt that did not complete.

    :param attempts: how many were made, this one included.
    :param deadline: the request's, on the clock of ``now``.
    """

    refusal: errors.Refusal
    attempts: int
    deadline: float


def is_worth_retrying(failed: Failed, now: float) -> bool:
    """Return whether a further attempt could help; the budget decides next.

    :param failed: the attempt that did not complete.
    :param now: on the deadline's clock, in seconds.
    """
    return (
        failed.refusal.reason in RETRIABLE
        and failed.attempts < MAX_ATTEMPTS
        and now < failed.deadline
    )


class LatencyWindow:
    """The latest times to the first piece of an answer."""

    def __init__(self) -> None:
        self._samples: collections.deque[float] = collections.deque(
            maxlen=WINDOW_SAMPLES
        )
        self._is_stale = False
        self._quantile: float | None = None

    def note(self, seconds: float) -> None:
        """Take in a time.

        :param seconds: from the dispatch to the first piece.
        """
        self._samples.append(seconds)
        self._is_stale = True

    def find_hedge_delay(self) -> float | None:
        """Return after how many seconds to hedge; None knows too little."""
        if len(self._samples) < MIN_SAMPLES:
            return None
        if self._is_stale:
            index = int(HEDGE_QUANTILE * len(self._samples))
            self._quantile = sorted(self._samples)[index]
            self._is_stale = False
        return self._quantile
