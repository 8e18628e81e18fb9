"""Measures the batching of bills: rate of log appends and added delay.

Senders batch the bills of their requests for a time window. They append each
batch to the log, or send it to a collector that merges batches of several
senders.
"""

import bisect
import collections
import dataclasses
import random

from experiments import base

SIMULATED_SECONDS = 8.0
# Latency of one message.
HOP_SECONDS = 0.0015
# The log's throughput, and how long one append takes.
LOG_APPENDS_PER_SECOND = 400.0
APPEND_SECONDS = 0.004
MAX_RECORDS_PER_APPEND = 500
# How long an entry holds back the end of an answer until its bill is durable.
DURABLE_WAIT_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Size:
    """The size of a fleet.

    :param senders: the number of entries that produce bills.
    :param requests_per_second: the total of all senders; each request gives
        one bill.
    """

    name: str
    senders: int
    requests_per_second: float


SIZES = (Size("today", 3, 40.0), Size("two years on", 390, 7700.0))


@dataclasses.dataclass(frozen=True)
class Plan:
    """How bills are batched.

    :param sender_window: how long a sender keeps a batch open, in seconds.
    :param collectors: the number of collectors; 0 for none.
    :param collector_window: how long a collector keeps a batch open, in
        seconds.
    """

    name: str
    sender_window: float
    collectors: int = 0
    collector_window: float = 0.0


PLANS = (
    Plan("naive: each bill alone", 0.0),
    Plan("each sender, 20 ms", 0.02),
    Plan("each sender, 1 s", 1.0),
    *(
        Plan("collectors", 0.02, count, window)
        for count in (2, 4, 8, 16)
        for window in (0.005, 0.02, 0.05)
    ),
)


@dataclasses.dataclass(frozen=True)
class Row(base.Row):
    """The load on the log and the delay for callers under a plan.

    :param collectors: the number of collectors.
    :param window_ms: the collectors' batching window.
    :param appends: appends per second that are offered to the log.
    :param median_ms: median time from the creation of a bill until it is
        durable.
    :param p99_ms: the 99th percentile of that time.
    :param late: the fraction of bills that take longer than
        DURABLE_WAIT_SECONDS.
    :param log_use: the offered appends as a fraction of the log's throughput.
    """

    size: str
    collectors: str
    window_ms: str
    appends: float
    median_ms: float
    p99_ms: float
    late: float
    log_use: float


@dataclasses.dataclass(frozen=True)
class _Batch:
    """Bills that are sent together.

    :param made_at: when each bill was created, in seconds.
    :param sent_at: when the batch is sent, in seconds.
    """

    made_at: tuple[float, ...]
    sent_at: float


def _merge(batches: list[_Batch], window: float) -> list[_Batch]:
    """Return the batches that a sender or collector sends for its input.

    The first input opens a window. When it closes, all input since then is
    sent as one batch. If that batch is full, the next input opens a new one.
    """
    merged: list[_Batch] = []
    waiting: list[float] = []
    closes_at = 0.0
    for batch in sorted(batches, key=lambda item: item.sent_at):
        is_full = len(waiting) >= MAX_RECORDS_PER_APPEND
        if waiting and (batch.sent_at > closes_at or is_full):
            merged.append(_Batch(tuple(waiting), closes_at))
            waiting = []
        if not waiting:
            closes_at = batch.sent_at + window
        waiting += batch.made_at
    if waiting:
        merged.append(_Batch(tuple(waiting), closes_at))
    return merged


def _simulate_appends(batches: list[_Batch]) -> list[float]:
    """Return the delays of all bills; appends queue at the log."""
    delays: list[float] = []
    free_at = 0.0
    for batch in sorted(batches, key=lambda item: item.sent_at):
        starts_at = max(batch.sent_at, free_at)
        free_at = starts_at + 1.0 / LOG_APPENDS_PER_SECOND
        done_at = starts_at + APPEND_SECONDS + HOP_SECONDS
        delays += [done_at - made_at for made_at in batch.made_at]
    return delays


def _draw_bills(size: Size, rng: random.Random) -> list[list[float]]:
    """Return the creation times of the bills of each sender."""
    by_sender: list[list[float]] = [[] for _ in range(size.senders)]
    now = 0.0
    while now < SIMULATED_SECONDS:
        now += rng.expovariate(size.requests_per_second)
        by_sender[rng.randrange(size.senders)].append(now)
    return by_sender


def measure(size: Size, plan: Plan, seed: int) -> Row:
    """Simulate a plan and return its row.

    :param size: the size of the fleet.
    :param plan: how bills are batched.
    :param seed: seed for the random generator.
    """
    rng = random.Random(seed)
    # By the collector or, without collectors, the sender that appends them.
    by_appender: dict[int, list[_Batch]] = collections.defaultdict(list)
    for sender, times in enumerate(_draw_bills(size, rng)):
        bills = [_Batch((time,), time) for time in times]
        appender = sender % plan.collectors if plan.collectors else sender
        by_appender[appender] += _merge(bills, plan.sender_window)
    batches = []
    for outgoing in by_appender.values():
        if plan.collectors:
            arrived = [
                _Batch(b.made_at, b.sent_at + HOP_SECONDS) for b in outgoing
            ]
            outgoing = _merge(arrived, plan.collector_window)
        batches += outgoing
    response_hop = HOP_SECONDS if plan.collectors else 0.0
    delays = sorted(
        delay + response_hop for delay in _simulate_appends(batches)
    )
    offered = len(batches) / SIMULATED_SECONDS
    return Row(
        way=plan.name,
        size=size.name,
        collectors=str(plan.collectors),
        window_ms=f"{plan.collector_window * 1000:.0f}",
        appends=offered,
        median_ms=delays[len(delays) // 2] * 1000.0,
        p99_ms=delays[len(delays) * 99 // 100] * 1000.0,
        late=1 - bisect.bisect(delays, DURABLE_WAIT_SECONDS) / len(delays),
        log_use=offered / LOG_APPENDS_PER_SECOND,
    )


class AppendBatching(base.Experiment):
    """Compares batching plans at 40 and at 7,700 requests per second."""

    @property
    def name(self) -> str:
        """The experiment's name, as given to ``--only``."""
        return "append-batching"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts to draw from the rows."""
        return tuple(
            base.Chart(
                measure=measure_name,
                x="collectors",
                series="window_ms",
                unit=unit,
                is_logarithmic=True,
                where=(("size", "two years on"), ("way", "collectors")),
            )
            for measure_name, unit in (
                ("appends", "appends/s"),
                ("p99_ms", "ms"),
            )
        )

    def run(self, seed: int) -> list[Row]:
        """Measure every plan and return the rows.

        :param seed: seed for all random generators.
        """
        return [measure(size, plan, seed) for size in SIZES for plan in PLANS]
