"""Compares ways to split a customer's rate limit among entries.

The load balancer distributes the customer's requests unequally over the
entries. The entries' shares of the traffic are shuffled every SHIFT_SECONDS.
Entries learn each other's demand only every REPORT_SECONDS.
"""

import abc
import collections
import collections.abc
import dataclasses
import random

from experiments import base
from wagtailstream_core import limits

# Requests per second, and the capacity of a token bucket in requests.
LIMIT = 50.0
BURST = 50.0
RUN_SECONDS = 120.0
WARM_UP_SECONDS = 10.0
SHIFT_SECONDS = 20.0
LOADS = (0.5, 0.9, 1.0, 2.0, 5.0)
ENTRY_COUNTS = (3, 20)
REPORT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class SplitRow(base.Row):
    """How well a split enforces the limit.

    :param entries: the number of entries.
    :param load: the offered rate as a multiple of the limit.
    :param used: admitted requests as a fraction of those that the limit
        allows.
    :param worst_second: the most requests admitted in one second, as a
        multiple of the limit.
    :param wrongly_refused: the fraction of requests that were refused although
        the customer used less than 90 % of its limit in the last
        WARM_UP_SECONDS.
    :param messages: messages between entries that a request waits for, mean
        per request.
    """

    entries: str
    load: str
    used: float
    worst_second: float
    wrongly_refused: float
    messages: float


class Split(abc.ABC):
    """Splits a limit among entries and admits requests at each of them.

    :param entries: the number of entries.
    """

    def __init__(self, entries: int) -> None:
        self.entries = entries
        self.messages = 0
        self.buckets = [
            limits.TokenBucket(
                LIMIT / entries, BURST / entries, BURST / entries, 0.0
            )
            for _ in range(entries)
        ]

    @abc.abstractmethod
    def admit(self, entry: int, now: float) -> bool:
        """Return whether a request is admitted.

        :param entry: the number of the entry that received it.
        :param now: seconds since the start.
        """


class NoSplit(Split):
    """Naive: each entry applies the whole limit."""

    def admit(self, entry: int, now: float) -> bool:
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, 1.0, now)
        return bucket.try_take(now)


class EqualSplit(Split):
    """Naive: each entry applies an equal part of the limit."""

    def admit(self, entry: int, now: float) -> bool:
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, 1.0 / self.entries, now)
        return bucket.try_take(now)


class Borrowing(Split):
    """Equal parts; an entry without tokens asks the others one by one."""

    def admit(self, entry: int, now: float) -> bool:
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, 1.0 / self.entries, now)
        if bucket.try_take(now):
            return True
        for other in self.buckets:
            if other is not bucket:
                self.messages += 2
                if other.try_take(now):
                    return True
        return False


class ByDemand(Split):
    """The router's algorithm: shares by the demand that entries report.

    :param entries: the number of entries.
    """

    def __init__(self, entries: int) -> None:
        super().__init__(entries)
        self._meters = [limits.DemandMeter() for _ in range(entries)]
        self._reported_demands: list[float] | None = None
        self._reported_at = 0.0

    def admit(self, entry: int, now: float) -> bool:
        if now - self._reported_at >= REPORT_SECONDS:
            self._reported_demands = [
                meter.read(now) for meter in self._meters
            ]
            self._reported_at = now
        self._meters[entry].count_request(now)
        share = limits.find_share(
            limits.Demand(
                self._meters[entry].read(now),
                self._sum_others(entry),
                self.entries,
            )
        )
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, share, now)
        return bucket.try_take(now)

    def _sum_others(self, entry: int) -> float | None:
        if self._reported_demands is None:
            return None
        return sum(self._reported_demands) - self._reported_demands[entry]


SPLITS: dict[str, collections.abc.Callable[[int], Split]] = {
    "whole-each": NoSplit,
    "equal": EqualSplit,
    "borrowing": Borrowing,
    "by-demand": ByDemand,
}


def _run_split(
    name: str, split: Split, load: float, rng: random.Random
) -> SplitRow:
    weights = [0.5**rank for rank in range(split.entries)]
    now, shifted_at = 0.0, 0.0
    offered = admitted = wrongly_refused = 0
    by_second: collections.Counter[int] = collections.Counter()
    recent_admissions: collections.deque[float] = collections.deque()
    # The window of recent admissions is as long as the warm-up, so that it is
    # full when the measurement begins.
    while now < RUN_SECONDS:
        now += rng.expovariate(load * LIMIT)
        if now - shifted_at > SHIFT_SECONDS:
            rng.shuffle(weights)
            shifted_at = now
        entry = rng.choices(range(split.entries), weights)[0]
        is_admitted = split.admit(entry, now)
        while (
            recent_admissions and recent_admissions[0] < now - WARM_UP_SECONDS
        ):
            recent_admissions.popleft()
        if is_admitted:
            recent_admissions.append(now)
        if now < WARM_UP_SECONDS:
            continue
        offered += 1
        admitted += is_admitted
        by_second[int(now)] += is_admitted
        is_below_limit = len(recent_admissions) < 0.9 * LIMIT * WARM_UP_SECONDS
        wrongly_refused += not is_admitted and is_below_limit
    allowed = min(1.0, load) * LIMIT * (RUN_SECONDS - WARM_UP_SECONDS)
    return SplitRow(
        name,
        str(split.entries),
        f"{load:g}",
        admitted / allowed,
        max(by_second.values()) / LIMIT,
        wrongly_refused / offered,
        split.messages / offered,
    )


class LimitsSplitExperiment(base.Experiment):
    """Compares all splits at all loads, with few and with many entries."""

    @property
    def name(self) -> str:
        return "limits-split"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        where = (("entries", "3"),)
        return (
            base.Chart("used", "load", "way", "share", where=where),
            base.Chart("worst_second", "load", "way", "limits", where=where),
        )

    def run(self, seed: int) -> collections.abc.Sequence[base.Row]:
        return [
            _run_split(name, make_split(entries), load, random.Random(seed))
            for entries in ENTRY_COUNTS
            for load in LOADS
            for name, make_split in SPLITS.items()
        ]
