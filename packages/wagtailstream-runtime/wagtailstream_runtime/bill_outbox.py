"""Bounded outbox that holds bills until the log has them."""

import asyncio
import collections.abc
import logging

from wagtailstream_core import billing, errors
from wagtailstream_runtime import log_client, metrics

RETRY_SECONDS = 0.25
DRAIN_LIMIT_SECONDS = 5.0
DRAIN_POLL_SECONDS = 0.05
MAX_BILLS_PER_APPEND = 500

_LOGGER = logging.getLogger(__name__)


class BillOutbox:
    """Appends bills to the log in batches; keeps each until it is durable.

    :param log: the platform's log.
    :param capacity: number of waiting bills at which the outbox is full. The
        outbox still accepts bills then, but no new work may start.
    :param window_seconds: how long a batch collects bills before its append.
    :param counters: metrics to count bills and failures in.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        capacity: int,
        window_seconds: float,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._capacity = capacity
        self._window_seconds = window_seconds
        self._metrics = counters
        self._waiting: dict[billing.BillKey, _PendingBill] = {}
        self._added = asyncio.Event()
        self._append_lock = asyncio.Lock()

    @property
    def is_full(self) -> bool:
        """Whether new work must be refused to bound the waiting bills."""
        return len(self._waiting) >= self._capacity

    @property
    def waiting_count(self) -> int:
        """Number of bills that are not durable yet."""
        return len(self._waiting)

    def add(self, bill: billing.Bill) -> asyncio.Future[None]:
        """Add a bill and return a future that resolves once it is durable.

        :param bill: the bill; merged with a waiting bill of the same request.
        """
        key = billing.BillKey(bill.customer, bill.request_id)
        pending = self._waiting.get(key)
        future = asyncio.get_running_loop().create_future()
        if pending is None:
            self._waiting[key] = _PendingBill(bill, [future])
        else:
            pending.merge(bill, future)
        self._metrics.count(metrics.Metric.BILLS_HELD)
        self._added.set()
        return future

    async def run(self) -> None:
        """Append waiting bills until cancelled."""
        while True:
            await self._added.wait()
            await asyncio.sleep(self._window_seconds)
            self._added.clear()
            if not await self.flush():
                self._added.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def drain(
        self,
        has_other_pending: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        """Append all waiting bills before a planned shutdown.

        Returns after DRAIN_LIMIT_SECONDS at the latest.

        :param has_other_pending: returns whether other data still waits for
            the log; draining goes on until it does not.
        """
        try:
            async with asyncio.timeout(DRAIN_LIMIT_SECONDS):
                while self._waiting or has_other_pending():
                    await self.flush()
                    await asyncio.sleep(DRAIN_POLL_SECONDS)
        except TimeoutError:
            _LOGGER.error(
                "bills not durable at shutdown",
                extra={"bills": len(self._waiting)},
            )

    async def flush(self) -> bool:
        """Append one batch of waiting bills.

        Return whether the log accepted it; true if no bill waits.
        """
        async with self._append_lock:
            return await self._flush()

    async def _flush(self) -> bool:
        batch = dict(list(self._waiting.items())[:MAX_BILLS_PER_APPEND])
        if not batch:
            return True
        sent = {key: pending.bill for key, pending in batch.items()}
        try:
            await self._log.append(
                billing.STREAM, billing.encode_batch(list(sent.values()))
            )
        except errors.LogUnavailableError as error:
            self._metrics.count(metrics.Metric.LOG_FAILURES)
            _LOGGER.debug("bill append failed", extra={"detail": str(error)})
            return False
        self._metrics.count(metrics.Metric.BILLS_APPENDED, amount=len(sent))
        self._resolve_durable(sent)
        if self._waiting:
            self._added.set()
        return True

    def _resolve_durable(
        self, sent: collections.abc.Mapping[billing.BillKey, billing.Bill]
    ) -> None:
        for key, bill in sent.items():
            pending = self._waiting[key]
            if pending.bill != bill:
                # Merged with another bill during the append: not durable yet.
                continue
            del self._waiting[key]
            for future in pending.futures:
                if not future.done():
                    future.set_result(None)


class _PendingBill:
    """A bill that waits for the log, and the futures to resolve for it."""

    def __init__(
        self, bill: billing.Bill, futures: list[asyncio.Future[None]]
    ) -> None:
        self.bill = bill
        self.futures = futures

    def merge(self, bill: billing.Bill, future: asyncio.Future[None]) -> None:
        fold = billing.BillFold()
        fold.fold(self.bill)
        fold.fold(bill)
        merged = fold.find_bill(
            billing.BillKey(bill.customer, bill.request_id)
        )
        self.bill = merged or bill
        self.futures.append(future)
