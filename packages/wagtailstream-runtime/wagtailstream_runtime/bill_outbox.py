"""Holds bills until the log has them, within a bound."""

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
    """Appends bills in batches; a bill leaves only once it is durable.

    :param log: the platform's log.
    :param capacity: how many bills may wait.
    :param window_seconds: how long a batch gathers before its append.
    :param counters: takes the counts.
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
        self._waiting: dict[billing.BillKey, _Held] = {}
        self._added = asyncio.Event()
        self._appending = asyncio.Lock()

    @property
    def is_full(self) -> bool:
        """Whether new work must be refused, since its bill has no room."""
        return len(self._waiting) >= self._capacity

    @property
    def waiting_count(self) -> int:
        """How many bills are not durable yet."""
        return len(self._waiting)

    def add(self, bill: billing.Bill) -> asyncio.Future[None]:
        """Hold a bill, and return what is done once it is durable.

        :param bill: the bill; one with the same key is joined with it.
        """
        key = billing.BillKey(bill.customer, bill.request_id)
        held = self._waiting.get(key)
        future = asyncio.get_running_loop().create_future()
        if held is None:
            self._waiting[key] = _Held(bill, [future])
        else:
            held.join(bill, future)
        self._metrics.count(metrics.Metric.BILLS_HELD)
        self._added.set()
        return future

    async def run(self) -> None:
        """Append what waits until cancelled."""
        while True:
            await self._added.wait()
            await asyncio.sleep(self._window_seconds)
            self._added.clear()
            if not await self.flush():
                self._added.set()
                await asyncio.sleep(RETRY_SECONDS)

    async def drain(
        self, has_more: collections.abc.Callable[[], bool] = lambda: False
    ) -> None:
        """Append until nothing waits, within a limit; for a planned stop.

        :param has_more: whether something else still waits for the log.
        """
        try:
            async with asyncio.timeout(DRAIN_LIMIT_SECONDS):
                while self._waiting or has_more():
                    await self.flush()
                    await asyncio.sleep(DRAIN_POLL_SECONDS)
        except TimeoutError:
            _LOGGER.error(
                "bills not durable at stop",
                extra={"bills": len(self._waiting)},
            )

    async def flush(self) -> bool:
        """Append all that waits now; return whether the log took it."""
        async with self._appending:
            return await self._flush()

    async def _flush(self) -> bool:
        batch = dict(list(self._waiting.items())[:MAX_BILLS_PER_APPEND])
        if not batch:
            return True
        sent = {key: held.bill for key, held in batch.items()}
        try:
            await self._log.append(
                billing.STREAM, billing.encode_batch(list(sent.values()))
            )
        except errors.LogUnavailableError as error:
            self._metrics.count(metrics.Metric.LOG_FAILURES)
            _LOGGER.debug("bills wait", extra={"detail": str(error)})
            return False
        self._metrics.count(metrics.Metric.BILLS_APPENDED, amount=len(sent))
        self._release(sent)
        if self._waiting:
            self._added.set()
        return True

    def _release(
        self, sent: collections.abc.Mapping[billing.BillKey, billing.Bill]
    ) -> None:
        for key, bill in sent.items():
            held = self._waiting[key]
            if held.bill != bill:
                # Joined with more attempts while the append was under way.
                continue
            del self._waiting[key]
            for future in held.futures:
                if not future.done():
                    future.set_result(None)


class _Held:
    def __init__(
        self, bill: billing.Bill, futures: list[asyncio.Future[None]]
    ) -> None:
        self.bill = bill
        self.futures = futures

    def join(self, bill: billing.Bill, future: asyncio.Future[None]) -> None:
        fold = billing.BillFold()
        fold.fold(self.bill)
        fold.fold(bill)
        joined = fold.find_bill(
            billing.BillKey(bill.customer, bill.request_id)
        )
        self.bill = joined or bill
        self.futures.append(future)
