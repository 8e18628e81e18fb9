"""Appends a second and added delay of bills, by window and collectors."""

import bisect
import collections
import dataclasses
import random

from experiments import base

SIMULATED_SECONDS = 8.0
HOP_SECONDS = 0.0015
# What the log takes, and how long one append lasts there.
LOG_APPENDS_PER_SECOND = 400.0
APPEND_SECONDS = 0.004
MAX_RECORDS_PER_APPEND = 500
SETTLE_SECONDS = 0.5


@dataclasses.dataclass(frozen=True)
class Size:
    """How much is appended, by how many.

    :param senders: entries that hold bills.
    :param requests_per_second: of all together; one bill each.
    """

    name: str
    senders: int
    requests_per_second: float


SIZES = (Size("today", 3, 40.0), Size("two years on", 390, 7700.0))


@dataclasses.dataclass(frozen=True)
class Plan:
    """How bills are batched.

    :param sender_window: how long each sender gathers, in seconds.
    :param collectors: how many there are; 0 for none.
    :param collector_window: how long each collector gathers, in seconds.
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
    """What a plan costs the log and the callers.

    :param appends: a second, as offered to the log.
    :param median_ms: from a bill to its durability.
    :param late: the share that is durable after the time that an answer's
        end waits for its bill.
    :param log_use: the offered share of what the log takes.
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
    """Bills that travel together.

    :param made_at: when each was made.
    :param sent_at: when the batch leaves.
    """

    made_at: tuple[float, ...]
    sent_at: float


def _gather(batches: list[_Batch], window: float) -> list[_Batch]:
    """Return what one place makes of the batches that come to it."""
    joined: list[_Batch] = []
    waiting: list[float] = []
    closes_at = 0.0
    for batch in sorted(batches, key=lambda item: item.sent_at):
        is_full = len(waiting) >= MAX_RECORDS_PER_APPEND
        if waiting and (batch.sent_at > closes_at or is_full):
            joined.append(_Batch(tuple(waiting), closes_at))
            waiting = []
        if not waiting:
            closes_at = batch.sent_at + window
        waiting += batch.made_at
    if waiting:
        joined.append(_Batch(tuple(waiting), closes_at))
    return joined


def _append(batches: list[_Batch]) -> list[float]:
    """Return the delays of all bills behind the log's bounded rate."""
    delays: list[float] = []
    free_at = 0.0
    for batch in sorted(batches, key=lambda item: item.sent_at):
        starts_at = max(batch.sent_at, free_at)
        free_at = starts_at + 1.0 / LOG_APPENDS_PER_SECOND
        done_at = starts_at + APPEND_SECONDS + HOP_SECONDS
        delays += [done_at - made_at for made_at in batch.made_at]
    return delays


def _draw_bills(size: Size, rng: random.Random) -> list[list[float]]:
    """Return the times of each sender's bills."""
    by_sender: list[list[float]] = [[] for _ in range(size.senders)]
    now = 0.0
    while now < SIMULATED_SECONDS:
        now += rng.expovariate(size.requests_per_second)
        by_sender[rng.randrange(size.senders)].append(now)
    return by_sender


def measure(size: Size, plan: Plan, seed: int) -> Row:
    """Return a plan's row.

    :param size: how much is appended.
    :param plan: how it is batched.
    :param seed: seeds the generator.
    """
    rng = random.Random(seed)
    by_batcher: dict[int, list[_Batch]] = collections.defaultdict(list)
    for sender, times in enumerate(_draw_bills(size, rng)):
        bills = [_Batch((time,), time) for time in times]
        batcher = sender % plan.collectors if plan.collectors else sender
        by_batcher[batcher] += _gather(bills, plan.sender_window)
    batches = []
    for gathered in by_batcher.values():
        if plan.collectors:
            arrived = [
                _Batch(b.made_at, b.sent_at + HOP_SECONDS) for b in gathered
            ]
            gathered = _gather(arrived, plan.collector_window)
        batches += gathered
    response_hop = HOP_SECONDS if plan.collectors else 0.0
    delays = sorted(delay + response_hop for delay in _append(batches))
    offered = len(batches) / SIMULATED_SECONDS
    return Row(
        way=plan.name,
        size=size.name,
        collectors=str(plan.collectors),
        window_ms=f"{plan.collector_window * 1000:.0f}",
        appends=offered,
        median_ms=delays[len(delays) // 2] * 1000.0,
        p99_ms=delays[len(delays) * 99 // 100] * 1000.0,
        late=1 - bisect.bisect(delays, SETTLE_SECONDS) / len(delays),
        log_use=offered / LOG_APPENDS_PER_SECOND,
    )


class AppendBatching(base.Experiment):
    """Bills at today's size and at 7,700 requests a second."""

    @property
    def name(self) -> str:
        """The name for ``--only``."""
        return "append-batching"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts of the rows."""
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
        """Run every plan and return the rows.

        :param seed: seeds all random generators.
        """
        return [measure(size, plan, seed) for size in SIZES for plan in PLANS]
