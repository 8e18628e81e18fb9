"""Claims idempotency keys in the platform's log.

An agent claims the key of a non-idempotent request before it dispatches the
request. Of several claims of one key the log's order decides which one wins,
so that at most one agent runs the request.
"""

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
    """Reads and appends to the claims stream of one service.

    :param log: the platform's log.
    :param service: the name of the plain service.
    :param window_seconds: maximum age of a key when it is claimed.
    :param system_clock: source of the current time.
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
        self._gapless_since = system_clock.wall()
        self._has_gap = False
        self._has_read = False
        self._advanced = asyncio.Event()
        self._batch: list[_PendingEntry] = []
        self._batch_added = asyncio.Event()
        self._pending_abandonments: dict[str, ledger.Abandonment] = {}
        self._abandon_added = asyncio.Event()

    @property
    def is_complete(self) -> bool:
        """Whether every claim that can still be valid has been read.

        After a gap in the stream the missed claims are unknown, so this is
        false until all of them must have expired.
        """
        if not self._has_read:
            return False
        if not self._has_gap:
            return True
        gapless_seconds = self._clock.wall() - self._gapless_since
        return gapless_seconds > self._max_claim_age_seconds

    @property
    def _max_claim_age_seconds(self) -> float:
        """Age above which a claim has expired by the clock of any instance."""
        return self._window_seconds + 2 * clock.MAX_CLOCK_SKEW_SECONDS

    @property
    def pending_abandonment_count(self) -> int:
        """Number of abandonments that are not in the log yet."""
        return len(self._pending_abandonments)

    @property
    def window_seconds(self) -> float:
        """Maximum age of a key, in seconds, when it is claimed."""
        return self._window_seconds

    def find_winner(self, key: ledger.ClaimKey) -> ledger.Claim | None:
        """Return the claim that holds a key, or None.

        :param key: the key.
        """
        return self._ledger.find_winner(key)

    def find_completion(
        self, key: ledger.ClaimKey
    ) -> ledger.Completion | None:
        """Return the completion stored for a key, or None.

        :param key: the key.
        """
        return self._ledger.find_completion(key)

    async def claim(
        self, claim: ledger.Claim, deadline: float
    ) -> ledger.ClaimState:
        """Append a claim and return its state once it was read back.

        If the log's answer is lost, the same claim is appended again; a
        repeated claim does not change the ledger.

        :param claim: the claim.
        :param deadline: Unix time in seconds at which to stop waiting.
        :raises errors.LogUnavailableError: the state is not known by the
            deadline; the claim is being abandoned and its request must not
            be dispatched.
        """
        self._require_complete()
        try:
            async with asyncio.timeout(deadline - self._clock.wall()):
                state = await self._claim_until_folded(claim)
            # Retention may have dropped claims before the reader got to them.
            self._require_complete()
        except TimeoutError as error:
            self.abandon(claim)
            raise errors.LogUnavailableError(
                "claim",
                self._stream,
                "the claim was not read back before the deadline",
            ) from error
        except (asyncio.CancelledError, errors.LogUnavailableError):
            self.abandon(claim)
            raise
        return state

    def _require_complete(self) -> None:
        if not self.is_complete:
            raise errors.LogUnavailableError(
                "claim", self._stream, "not all unexpired claims were read"
            )

    async def _claim_until_folded(
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
                    "claim", self._stream, "retention dropped the claim unread"
                )
            return state

    def abandon(self, claim: ledger.Claim) -> None:
        """Release a claim whose request was not dispatched.

        The abandonment is appended in the background and retried until the
        log has it.

        :param claim: the claim.
        """
        self._pending_abandonments[claim.claim_id] = ledger.Abandonment(
            customer=claim.customer,
            service=claim.service,
            idempotency_key=claim.idempotency_key,
            claim_id=claim.claim_id,
        )
        self._abandon_added.set()

    async def complete(self, completion: ledger.Completion) -> None:
        """Append the answer of a claimed request, on a best-effort basis.

        Return after COMPLETION_WAIT_SECONDS at the latest, so that a slow
        log does not delay the caller's answer. Without the completion, an
        attempt that loses the claim is answered from the claimant's result
        table.

        :param completion: the answer to store.
        """
        try:
            async with asyncio.timeout(COMPLETION_WAIT_SECONDS):
                await self._append(completion, outlives_caller=True)
        except (errors.LogUnavailableError, TimeoutError) as error:
            _LOGGER.debug(
                "completion not stored", extra={"detail": str(error)}
            )

    async def _append(
        self, entry: ledger.Entry, outlives_caller: bool = False
    ) -> log_client.AppendResult:
        future = asyncio.get_running_loop().create_future()
        pending = _PendingEntry(entry, future, outlives_caller)
        self._batch.append(pending)
        self._batch_added.set()
        return await pending.appended

    async def _wait_folded(self, offset: int) -> None:
        while self._next_offset <= offset:
            await self._advanced.wait()

    async def run_reader(self) -> None:
        """Read the stream into the ledger until cancelled."""
        while True:
            try:
                await self._read_once()
            except errors.LogUnavailableError:
                await asyncio.sleep(READ_RETRY_SECONDS)

    async def _read_once(self) -> None:
        wait = log_client.MAX_LONG_POLL_SECONDS if self._has_read else 0.0
        log_slice = await self._log.read(self._stream, self._next_offset, wait)
        if log_slice.first > self._next_offset:
            self._check_gap(log_slice)
        for record in log_slice.records:
            self._fold(record)
        # If retention dropped all unread records, skip their offsets.
        self._next_offset = max(
            self._next_offset, log_slice.first if not log_slice.records else 0
        )
        if self._next_offset >= log_slice.next:
            self._has_read = True
        self._ledger.forget(self._last_time)
        self._advanced.set()
        self._advanced = asyncio.Event()

    def _check_gap(self, log_slice: log_client.Slice) -> None:
        """Record a gap if retention may have dropped an unexpired claim."""
        times = [record.time for record in log_slice.records]
        if (
            times
            and times[0] < self._clock.wall() - self._max_claim_age_seconds
        ):
            return
        self._has_gap = True
        self._gapless_since = self._clock.wall()

    def _fold(self, record: configuration.LogRecord) -> None:
        self._next_offset = record.offset + 1
        self._last_time = record.time
        try:
            entries = ledger.decode_batch(record.payload)
        except errors.WagtailstreamError as error:
            _LOGGER.warning(
                "malformed claims record skipped", extra={"detail": str(error)}
            )
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

    async def _write(self, batch: "list[_PendingEntry]") -> None:
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
        """Append abandonments, retrying until cancelled."""
        while True:
            await self._abandon_added.wait()
            self._abandon_added.clear()
            await self.flush_abandonments()
            if self._pending_abandonments:
                self._abandon_added.set()
                await asyncio.sleep(ABANDON_RETRY_SECONDS)

    async def flush_abandonments(self) -> None:
        """Try once to append all pending abandonments."""
        waiting = dict(self._pending_abandonments)
        if not waiting:
            return
        try:
            await self._log.append(
                self._stream, ledger.encode_batch(list(waiting.values()))
            )
        except errors.LogUnavailableError:
            return
        for claim_id in waiting:
            self._pending_abandonments.pop(claim_id, None)

    def list_tasks(
        self,
    ) -> list[collections.abc.Coroutine[typing.Any, typing.Any, None]]:
        """Return the background coroutines that the ledger needs."""
        return [self.run_reader(), self.run_writer(), self.run_abandoner()]


@dataclasses.dataclass(frozen=True)
class _PendingEntry:
    """An entry that waits for its batch to be appended.

    :param appended: resolves to the append's position in the log.
    :param outlives_caller: whether to append it even if the caller stopped
        waiting.
    """

    entry: ledger.Entry
    appended: asyncio.Future[log_client.AppendResult]
    outlives_caller: bool

    @property
    def is_wanted(self) -> bool:
        """Whether the entry must still be appended."""
        return self.outlives_caller or not self.appended.cancelled()
