"""Limits: one customer's limit, split among entries that see unequal traffic.

The balancer sends the customer's requests to entries by fixed shares, which
move on now and then. Entries hear of each other's demand late.
"""

import abc
import collections
import collections.abc
import dataclasses
import random

from experiments import base
from wagtailstream_core import limits

LIMIT = 50.0
BURST = 50.0
RUN_SECONDS = 120.0
WARM_UP_SECONDS = 10.0
SHIFT_SECONDS = 20.0
LOADS = (0.5, 0.9, 1.0, 2.0, 5.0)
ENTRIES = (3, 20)
REPORT_SECONDS = 1.0


@dataclasses.dataclass(frozen=True)
class SplitRow(base.Row):
    """How a split keeps to the limit.

    :param load: offered, in parts of the limit.
    :param used: admitted, in parts of what could be.
    :param worst_second: the most admitted in a second, in parts of the limit.
    :param wrongly_refused: the share refused although the customer was below
        its limit in the last ten seconds.
    :param messages: messages on the request path, for each request.
    """

    entries: str
    load: str
    used: float
    worst_second: float
    wrongly_refused: float
    messages: float


class Split(abc.ABC):
    """Decides at each entry.

    :param entries: how many there are.
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
        """Return whether a request may pass.

        :param entry: which entry it came to.
        :param now: in seconds.
        """


class NoSplit(Split):
    """Naive: each entry allows the whole limit."""

    def admit(self, entry: int, now: float) -> bool:
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, 1.0, now)
        return bucket.try_take(now)


class EqualSplit(Split):
    """Naive: each entry allows an equal part."""

    def admit(self, entry: int, now: float) -> bool:
        bucket = self.buckets[entry]
        limits.adjust_bucket(bucket, LIMIT, BURST, 1.0 / self.entries, now)
        return bucket.try_take(now)


class Borrowing(Split):
    """Equal parts; an empty entry asks the others, one after another."""

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
    """The core's way: shares by the demand that each entry hears of.

    :param entries: how many there are.
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


WAYS: dict[str, collections.abc.Callable[[int], Split]] = {
    "whole-each": NoSplit,
    "equal": EqualSplit,
    "borrowing": Borrowing,
    "by-demand": ByDemand,
}


def _run_way(
    name: str, split: Split, load: float, rng: random.Random
) -> SplitRow:
    weights = [0.5**rank for rank in range(split.entries)]
    now, shifted_at = 0.0, 0.0
    offered = admitted = wrongly_refused = 0
    by_second: collections.Counter[int] = collections.Counter()
    recent: collections.deque[float] = collections.deque()
    while now < RUN_SECONDS:
        now += rng.expovariate(load * LIMIT)
        if now - shifted_at > SHIFT_SECONDS:
            rng.shuffle(weights)
            shifted_at = now
        entry = rng.choices(range(split.entries), weights)[0]
        is_admitted = split.admit(entry, now)
        while recent and recent[0] < now - WARM_UP_SECONDS:
            recent.popleft()
        if is_admitted:
            recent.append(now)
        if now < WARM_UP_SECONDS:
            continue
        offered += 1
        admitted += is_admitted
        by_second[int(now)] += is_admitted
        is_below_limit = len(recent) < 0.9 * LIMIT * WARM_UP_SECONDS
        wrongly_refused += not is_admitted and is_below_limit
    possible = min(1.0, load) * LIMIT * (RUN_SECONDS - WARM_UP_SECONDS)
    return SplitRow(
        name,
        str(split.entries),
        f"{load:g}",
        admitted / possible,
        max(by_second.values()) / LIMIT,
        wrongly_refused / offered,
        split.messages / offered,
    )


class LimitsSplitExperiment(base.Experiment):
    """Every way at every load, with few and with many entries."""

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
            _run_way(name, make(entries), load, random.Random(seed))
            for entries in ENTRIES
            for load in LOADS
            for name, make in WAYS.items()
        ]
