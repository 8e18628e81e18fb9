"""Follows the configuration stream and keeps the configuration in force."""

import asyncio
import collections
import collections.abc
import logging

from wagtailstream_core import (
    clock,
    configuration,
    errors,
    freshness,
    records,
    signing,
    snapshots,
)
from wagtailstream_runtime import log_client, metrics

RETRY_SECONDS = 0.2
KEPT_RECORDS = 200
KEPT_BYTES = 1024 * 1024

_LOGGER = logging.getLogger(__name__)

Listener = collections.abc.Callable[[configuration.Configuration], None]


class Follower:
    """Holds the configuration, from the log or from peers that are ahead.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :param signer: signs the snapshots for peers that start late.
    :param data_centre: where this instance stands.
    :param system_clock: tells the time.
    :param counters: takes the verdicts' counts.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        keyring: signing.Keyring,
        signer: signing.Signer,
        data_centre: str,
        system_clock: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._keyring = keyring
        self._signer = signer
        self._data_centre = data_centre
        self._clock = system_clock
        self._metrics = counters
        self._state = configuration.Configuration()
        self._records: collections.deque[configuration.LogRecord] = (
            collections.deque()
        )
        self._kept_bytes = 0
        self._anchor_at: float | None = None
        self._standing = freshness.Standing()
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def state(self) -> configuration.Configuration:
        """The configuration in force here."""
        return self._state

    @property
    def contacts(self) -> tuple[freshness.LogContact, ...]:
        """The latest news of the log, one a data centre."""
        return tuple(self._standing.contacts.values())

    @property
    def anchor_at(self) -> float | None:
        """When the oldest record was appended that a late reader needs.

        Unix seconds by the log's clock; None while that is not known, as
        after a start from a peer's snapshot.
        """
        return self._anchor_at

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each new configuration.

        :param listener: the function.
        """
        self._listeners.append(listener)

    def judge(self) -> freshness.Freshness:
        """Return how far the configuration may be trusted now."""
        known = self._state.bundle
        return freshness.judge(
            self._standing,
            known.data_centres if known else (),
            self._state.offset,
            self._clock.monotonic(),
        )

    def merge_contacts(
        self, news: collections.abc.Iterable[freshness.LogContact]
    ) -> None:
        """Take in a peer's news of the log.

        :param news: contacts, one a data centre.
        """
        self._observe(news, is_from_peer=True)

    def _observe(
        self,
        news: collections.abc.Iterable[freshness.LogContact],
        is_from_peer: bool,
    ) -> None:
        moment = freshness.Moment(self._clock.wall(), self._clock.monotonic())
        self._standing = freshness.prove(
            freshness.observe(self._standing, news, moment, is_from_peer),
            self._state.offset,
        )

    def make_offer(self, offset: int) -> snapshots.Offer:
        """Return what brings a peer up to this instance.

        :param offset: the last offset that the peer holds.
        """
        if offset >= self._state.offset:
            return snapshots.Offer()
        found = tuple(r for r in self._records if r.offset > offset)
        if found and found[0].offset == offset + 1:
            return snapshots.Offer(found)
        return snapshots.Offer(
            snapshot=snapshots.seal(self._state, self._signer)
        )

    def take_offer(self, offer: snapshots.Offer) -> None:
        """Catch up from a peer; what is not newer changes nothing.

        :param offer: the peer's snapshot, if any, and records.
        """
        found = snapshots.read(offer.snapshot, self._keyring)
        if found is not None and found.offset > self._state.offset:
            self._start_from(found, (), None)
        self.take_records(offer.records)

    def take_records(
        self, news: collections.abc.Iterable[configuration.LogRecord]
    ) -> None:
        """Fold records, whether they came from the log or from a peer.

        :param news: records in log order; known ones are passed over.
        """
        before = self._state
        for record in news:
            if record.offset != self._state.offset + 1:
                continue
            self._take(record)
        if self._state is not before:
            self._publish()

    def _start_from(
        self,
        state: configuration.Configuration,
        log_records: collections.abc.Iterable[configuration.LogRecord],
        anchor_at: float | None,
    ) -> None:
        self._state = state
        self._records.clear()
        self._kept_bytes = 0
        for record in log_records:
            self._keep(record)
        self._anchor_at = anchor_at
        self._publish()

    def _keep(self, record: configuration.LogRecord) -> None:
        self._records.append(record)
        self._kept_bytes += len(record.payload)
        while (
            len(self._records) > KEPT_RECORDS or self._kept_bytes > KEPT_BYTES
        ):
            self._kept_bytes -= len(self._records.popleft().payload)

    def _take(self, record: configuration.LogRecord) -> None:
        folded = configuration.fold(self._state, record, self._keyring)
        self._state = folded.configuration
        self._keep(record)
        if record.offset == 0:
            self._anchor_at = record.time
        if folded.verdict is configuration.Verdict.IGNORED:
            self._note_snapshot(record)
        self._count(folded, record)

    def _note_snapshot(self, record: configuration.LogRecord) -> None:
        found = snapshots.read(record.payload, self._keyring)
        if found is None:
            return
        needed = [r.time for r in self._records if r.offset > found.offset]
        if needed and self._records[0].offset <= found.offset + 1:
            self._anchor_at = needed[0]

    def _count(
        self, folded: configuration.Folded, record: configuration.LogRecord
    ) -> None:
        if folded.verdict is configuration.Verdict.ACCEPTED:
            self._metrics.count(metrics.Metric.RECORDS_ACCEPTED)
            return
        if folded.verdict is not configuration.Verdict.IGNORED:
            self._metrics.count(
                metrics.Metric.RECORDS_REJECTED, folded.verdict.value
            )
            _LOGGER.warning(
                "configuration record rejected",
                extra={
                    "offset": record.offset,
                    "verdict": folded.verdict.value,
                    "detail": folded.detail,
                },
            )

    def _publish(self) -> None:
        self._standing = freshness.prove(self._standing, self._state.offset)
        self._metrics.gauge(
            metrics.Metric.CONFIGURATION_OFFSET, self._state.offset
        )
        for listener in self._listeners:
            listener(self._state)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self) -> None:
        """Wait until the configuration moves up."""
        await self._changed.wait()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.follow_once()
            except errors.LogUnavailableError:
                self._metrics.count(metrics.Metric.LOG_FAILURES)
                self._note_failure()
                await asyncio.sleep(RETRY_SECONDS)

    async def follow_once(self) -> None:
        """Read the stream once and take in what is new.

        :raises errors.LogUnavailableError: the log did not answer.
        """
        started_at = self._clock.wall()
        wait = (
            log_client.MAX_LONG_POLL_SECONDS
            if self._state.offset >= 0
            else 0.0
        )
        part = await self._log.read(
            records.STREAM, self._state.offset + 1, wait
        )
        if part.first > self._state.offset + 1:
            await self._restore()
        else:
            self.take_records(part.records)
        self._note_tail(started_at, part.next - 1)
        if part.next == 0:
            await asyncio.sleep(RETRY_SECONDS)

    async def _restore(self) -> None:
        whole = await self._log.read_all(records.STREAM)
        found = snapshots.restore(whole.records, whole.first, self._keyring)
        if found is None or found.configuration.offset <= self._state.offset:
            raise errors.LogUnavailableError(
                "restore", "log", "no snapshot covers the retained records"
            )
        self._start_from(found.configuration, whole.records, found.anchor_at)

    def _note_tail(self, read_at: float, tail_offset: int) -> None:
        if tail_offset < self._state.offset:
            # A replica that lags tells nothing of the log's tail.
            self._metrics.count(metrics.Metric.LOG_LAGGING)
            return
        # The read's start counts: what came later may not be in its answer.
        self._observe(
            [freshness.LogContact(self._data_centre, read_at, tail_offset)],
            is_from_peer=False,
        )

    def _note_failure(self) -> None:
        self._observe(
            [
                freshness.LogContact(
                    self._data_centre, failed_at=self._clock.wall()
                )
            ],
            is_from_peer=False,
        )
