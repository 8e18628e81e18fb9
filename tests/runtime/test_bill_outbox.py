"""Tests of the bill outbox with a log that fails, loses answers or is slow."""

import asyncio
import random

import hypothesis
import hypothesis.strategies as st

from wagtailstream_core import billing, errors
from wagtailstream_runtime import bill_outbox, log_client, metrics

TIMEOUT_SECONDS = 20.0


class FaultyLog(log_client.MemoryLog):
    """A log whose first appends fail; half of these are stored nevertheless.

    :param rng: decides which failed appends are stored.
    :param faults: number of consecutive appends that fail.
    """

    def __init__(self, rng: random.Random, faults: int) -> None:
        super().__init__()
        self._rng = rng
        self.faults = faults
        self.is_slow = False

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        await asyncio.sleep(0.002 if self.is_slow else 0)
        if self.faults <= 0:
            return await super().append(stream, payload)
        self.faults -= 1
        if self._rng.random() < 0.5:
            await super().append(stream, payload)
            raise errors.AppendUncertainError("append", "log", "lost")
        raise errors.LogUnavailableError("append", "log", "outage")


def make_bill(request: int, *attempts: int) -> billing.Bill:
    return billing.Bill(
        customer="c",
        request_id=str(request),
        attempts=tuple(
            billing.AttemptCost(attempt=n, endpoint="e") for n in attempts
        ),
    )


def make_outbox(
    log: log_client.LogClient, capacity: int = 100
) -> bill_outbox.BillOutbox:
    return bill_outbox.BillOutbox(log, capacity, 0.0, metrics.MemoryMetrics())


async def fold_log(log: log_client.LogClient) -> dict[str, set[int]]:
    fold = billing.BillFold()
    for record in (await log.read_all(billing.STREAM)).records:
        for bill in billing.decode_batch(record.payload):
            fold.fold(bill)
    bills = [fold.find_bill(key) for key in fold.keys]
    return {
        bill.request_id: {cost.attempt for cost in bill.attempts}
        for bill in bills
        if bill is not None
    }


@hypothesis.settings(derandomize=True, max_examples=60, deadline=None)
@hypothesis.given(
    st.lists(st.tuples(st.integers(0, 3), st.integers(0, 2)), max_size=12),
    st.integers(0, 5),
    st.integers(0, 2**32 - 1),
)
def test_every_bill_reaches_the_log_and_folds_like_a_dict(
    added: list[tuple[int, int]], faults: int, seed: int
) -> None:
    # Hypothesis records the draws of its own generators, so one must not be
    # used in tasks whose order depends on timing.
    rng = random.Random(seed)

    async def run() -> dict[str, set[int]]:
        log = FaultyLog(rng, faults)
        log.is_slow = True
        outbox = make_outbox(log)
        futures = []
        for request, attempt in added:
            futures.append(outbox.add(make_bill(request, attempt)))
            if rng.random() < 0.5:
                # Two concurrent flushes, as at shutdown, while more bills are
                # added and merged.
                futures += [
                    asyncio.ensure_future(outbox.flush()) for _ in range(2)
                ]
                await asyncio.sleep(0)
        async with asyncio.timeout(TIMEOUT_SECONDS):
            while outbox.waiting_count:
                await outbox.flush()
        await asyncio.gather(*futures)
        return await fold_log(log)

    naive: dict[str, set[int]] = {}
    for request, attempt in added:
        naive.setdefault(str(request), set()).add(attempt)
    assert asyncio.run(run()) == naive


def test_future_waits_for_bills_merged_during_the_append() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1), 0)
        log.is_slow = True
        outbox = make_outbox(log)
        first = outbox.add(make_bill(1, 0))
        flush = asyncio.ensure_future(outbox.flush())
        await asyncio.sleep(0)
        second = outbox.add(make_bill(1, 1))
        await flush
        assert not first.done()
        assert not second.done()
        await outbox.flush()
        assert first.done()
        assert second.done()
        assert await fold_log(log) == {"1": {0, 1}}

    asyncio.run(run())


def test_full_outbox_drops_nothing() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1), 3)
        outbox = make_outbox(log, capacity=2)
        for request in range(4):
            outbox.add(make_bill(request, 0))
            assert outbox.is_full == (request >= 1)
        while not await outbox.flush():
            assert outbox.is_full
        assert outbox.waiting_count == 0
        assert len(await fold_log(log)) == 4

    asyncio.run(run())
