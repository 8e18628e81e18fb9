"""Claims non-idempotent requests in the platform's log."""

import asyncio
import collections.abc
import dataclasses
import logging
import typing

from wagtailstream_core import clock, configuration, errors, ledger
from wagtailstream_runtime import log_client

APPEND_RETRY_SECONDS = 0.1
ABANDON_RETRY_SECONDS = 0.25
COMPLETION_WAIT_SECONDS = 0.5
READ_RETRY_SECONDS = 0.2
BATCH_WINDOW_SECONDS = 0.005
MAX_BATCH_ENTRIES = 200

_LOGGER = logging.getLogger(__name__)


class ClaimLedger:
    """Tails one service's claims stream and appends to it.

    :param log: the platform's log.
    :param service: the plain service.
    :param window_seconds: how old a key may be when it is claimed.
    :param system_clock: tells the time.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        service: str,
        window_seconds: float,
        system_clock: clock.Clock,
    ) -> None:
        self._log = log
        self._stream = ledger.stream_name(service)
        self._window_seconds = window_seconds
        self._clock = system_clock
        self._ledger = ledger.Ledger(window_seconds)
        self._next_offset = 0
        self._last_time = 0.0
        self._started_at = system_clock.wall()
        self._misses_earlier = False
        self._has_read = False
        self._moved = asyncio.Event()
        self._batch: list[_Pending] = []
        self._batch_added = asyncio.Event()
        self._abandoning: dict[str, ledger.Abandonment] = {}
        self._abandon_added = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether every claim that may still count was folded."""
        if not self._has_read:
            return False
        if not self._misses_earlier:
            return True
        waited = self._clock.wall() - self._started_at
        return waited > self._horizon_seconds

    @property
    def _horizon_seconds(self) -> float:
        """Beyond which age a claim can't count by anybody's clock."""
        return self._window_seconds + 2 * clock.MAX_CLOCK_SKEW_SECONDS

    @property
    def abandoning_count(self) -> int:
        """How many abandonments the log does not hold yet."""
        return len(self._abandoning)

    @property
    def window_seconds(self) -> float:
        """How old a key may be when it is claimed."""
        return self._window_seconds

    def find_winner(self, key: ledger.ClaimKey) -> ledger.Claim | None:
        """Return the claim that holds a key, or None.

        :param key: the key.
        """
        return self._ledger.find_winner(key)

    def find_completion(
        self, key: ledger.ClaimKey
    ) -> ledger.Completion | None:
        """Return the answer kept for a key, or None.

        :param key: the key.
        """
        return self._ledger.find_completion(key)

    async def claim(
        self, claim: ledger.Claim, deadline: float
    ) -> ledger.ClaimState:
        """Append a claim and return where it stands in log order.

        A lost answer is followed by the same claim again, which is harmless
        to the fold.

        :param claim: the claim.
        :param deadline: Unix time after which to give up.
        :raises errors.LogUnavailableError: it can't be told in time; the
            claim is being abandoned and must not be dispatched.
        """
        self._require_complete()
        try:
            async with asyncio.timeout(deadline - self._clock.wall()):
                state = await self._claim_until_known(claim)
            # The reader may have fallen behind retention meanwhile.
            self._require_complete()
        except TimeoutError as error:
            self.abandon(claim)
            raise errors.LogUnavailableError(
                "claim", self._stream, "no verdict in time"
            ) from error
        except (asyncio.CancelledError, errors.LogUnavailableError):
            self.abandon(claim)
            raise
        return state

    def _require_complete(self) -> None:
        if not self.is_complete:
            raise errors.LogUnavailableError(
                "claim", self._stream, "the ledger is not complete"
            )

    async def _claim_until_known(
        self, claim: ledger.Claim
    ) -> ledger.ClaimState:
        while True:
            try:
                appended = await self._append(claim)
            except errors.LogUnavailableError:
                await asyncio.sleep(APPEND_RETRY_SECONDS)
                continue
            await self._wait_folded(appended.offset)
            state = self._ledger.find_state(claim)
            if state is ledger.ClaimState.UNSEEN:
                raise errors.LogUnavailableError(
                    "claim", self._stream, "the claim was dropped unread"
                )
            return state

    def abandon(self, claim: ledger.Claim) -> None:
        """Give a claim up before its dispatch; appended in the background.

        :param claim: the claim.
        """
        self._abandoning[claim.claim_id] = ledger.Abandonment(
            customer=claim.customer,
            service=claim.service,
            idempotency_key=claim.idempotency_key,
            claim_id=claim.claim_id,
        )
        self._abandon_added.set()

    async def complete(self, completion: ledger.Completion) -> None:
        """Append the answer of a claimed request; losing it is harmless.

        A slow log holds the caller up for a short time only.

        :param completion: the answer to keep.
        """
        try:
            async with asyncio.timeout(COMPLETION_WAIT_SECONDS):
                await self._append(completion, is_kept=True)
        except (errors.LogUnavailableError, TimeoutError) as error:
            _LOGGER.debug("completion lost", extra={"detail": str(error)})

    async def _append(
        self, entry: ledger.Entry, is_kept: bool = False
    ) -> log_client.Appended:
        future = asyncio.get_running_loop().create_future()
        pending = _Pending(entry, future, is_kept)
        self._batch.append(pending)
        self._batch_added.set()
        return await pending.appended

    async def _wait_folded(self, offset: int) -> None:
        while self._next_offset <= offset:
            await self._moved.wait()

    async def run_reader(self) -> None:
        """Fold the stream until cancelled."""
        while True:
            try:
                await self._read_once()
            except errors.LogUnavailableError:
                await asyncio.sleep(READ_RETRY_SECONDS)

    async def _read_once(self) -> None:
        wait = log_client.MAX_LONG_POLL_SECONDS if self._has_read else 0.0
        part = await self._log.read(self._stream, self._next_offset, wait)
        if part.first > self._next_offset:
            self._note_gap(part)
        for record in part.records:
            self._fold(record)
        self._next_offset = max(
            self._next_offset, part.first if not part.records else 0
        )
        if self._next_offset >= part.next:
            self._has_read = True
        self._ledger.forget(self._last_time)
        self._moved.set()
        self._moved = asyncio.Event()

    def _note_gap(self, part: log_client.Slice) -> None:
        """Judge whether claims that may still count were dropped."""
        times = [record.time for record in part.records]
        if times and times[0] < self._clock.wall() - self._horizon_seconds:
            return
        self._misses_earlier = True
        self._started_at = self._clock.wall()

    def _fold(self, record: configuration.LogRecord) -> None:
        self._next_offset = record.offset + 1
        self._last_time = record.time
        try:
            entries = ledger.decode_batch(record.payload)
        except errors.WagtailstreamError as error:
            _LOGGER.warning("claims skipped", extra={"detail": str(error)})
            return
        for entry in entries:
            self._ledger.fold(entry, record.time)

    async def run_writer(self) -> None:
        """Append batches of entries until cancelled."""
        while True:
            await self._batch_added.wait()
            await asyncio.sleep(BATCH_WINDOW_SECONDS)
            wanted = [p for p in self._batch if p.is_wanted]
            batch, self._batch = (
                wanted[:MAX_BATCH_ENTRIES],
                wanted[MAX_BATCH_ENTRIES:],
            )
            if not self._batch:
                self._batch_added.clear()
            if batch:
                await self._write(batch)

    async def _write(self, batch: "list[_Pending]") -> None:
        try:
            appended = await self._log.append(
                self._stream,
                ledger.encode_batch([pending.entry for pending in batch]),
            )
        except errors.LogUnavailableError as error:
            for pending in batch:
                if not pending.appended.done():
                    pending.appended.set_exception(error)
            return
        for pending in batch:
            if not pending.appended.done():
                pending.appended.set_result(appended)

    async def run_abandoner(self) -> None:
        """Append abandonments until the log has them, until cancelled."""
        while True:
            await self._abandon_added.wait()
            self._abandon_added.clear()
            await self.flush_abandonments()
            if self._abandoning:
                self._abandon_added.set()
                await asyncio.sleep(ABANDON_RETRY_SECONDS)

    async def flush_abandonments(self) -> None:
        """Append the abandonments that wait, if the log takes them."""
        waiting = dict(self._abandoning)
        if not waiting:
            return
        try:
            await self._log.append(
                self._stream, ledger.encode_batch(list(waiting.values()))
            )
        except errors.LogUnavailableError:
            return
        for claim_id in waiting:
            self._abandoning.pop(claim_id, None)

    def list_tasks(
        self,
    ) -> list[collections.abc.Coroutine[typing.Any, typing.Any, None]]:
        """Return what must run for the ledger to work."""
        return [self.run_reader(), self.run_writer(), self.run_abandoner()]


@dataclasses.dataclass(frozen=True)
class _Pending:
    entry: ledger.Entry
    appended: asyncio.Future[log_client.Appended]
    is_kept: bool

    @property
    def is_wanted(self) -> bool:
        """Whether it is still to be appended."""
        return self.is_kept or not self.appended.cancelled()
