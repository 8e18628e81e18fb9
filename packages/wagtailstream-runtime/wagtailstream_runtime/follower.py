"""Follows the configuration stream and holds the configuration in force."""

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
# Bounds of the records that are retained in memory to bring peers up to date.
MAX_RETAINED_RECORDS = 200
MAX_RETAINED_BYTES = 1024 * 1024

_LOGGER = logging.getLogger(__name__)

Listener = collections.abc.Callable[[configuration.Configuration], None]


class Follower:
    """Holds the configuration, read from the log or from more recent peers.

    :param log: the platform's log.
    :param keyring: the trusted keys.
    :param signer: signs snapshots for peers that lack earlier records.
    :param data_centre: the data centre of this instance.
    :param system_clock: source of the current time.
    :param counters: metrics to count record verdicts and log failures in.
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
        self._retained_bytes = 0
        self._needed_since: float | None = None
        self._log_view = freshness.LogView()
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def state(self) -> configuration.Configuration:
        """The configuration that this instance applies."""
        return self._state

    @property
    def contacts(self) -> tuple[freshness.LogContact, ...]:
        """The latest contact with the log of each data centre."""
        return tuple(self._log_view.contacts.values())

    @property
    def needed_since(self) -> float | None:
        """Append time of the oldest record that a new reader needs.

        Unix time in seconds by the log's clock. None if unknown, for example
        after a start from a peer's snapshot.
        """
        return self._needed_since

    def add_listener(self, listener: Listener) -> None:
        """Register a function to call with each new configuration.

        :param listener: the function.
        """
        self._listeners.append(listener)

    def assess_freshness(self) -> freshness.Freshness:
        """Return the freshness: fresh, log-down or cut-off."""
        current_bundle = self._state.bundle
        return freshness.assess_freshness(
            self._log_view,
            current_bundle.data_centres if current_bundle else (),
            self._state.offset,
            self._clock.monotonic(),
        )

    def merge_contacts(
        self, contacts: collections.abc.Iterable[freshness.LogContact]
    ) -> None:
        """Merge the log contacts that a peer knows.

        :param contacts: the peer's contacts, one for each data centre.
        """
        self._observe(contacts, is_from_peer=True)

    def _observe(
        self,
        contacts: collections.abc.Iterable[freshness.LogContact],
        is_from_peer: bool,
    ) -> None:
        moment = freshness.ClockReading(
            self._clock.wall(), self._clock.monotonic()
        )
        self._log_view = freshness.update_proof(
            freshness.observe(self._log_view, contacts, moment, is_from_peer),
            self._state.offset,
        )

    def make_offer(self, offset: int) -> snapshots.Offer:
        """Return the records or the snapshot that bring a peer up to date.

        A snapshot is returned if the records after the peer's offset are no
        longer retained.

        :param offset: the last offset that the peer has applied.
        """
        if offset >= self._state.offset:
            return snapshots.Offer()
        newer_records = tuple(r for r in self._records if r.offset > offset)
        if newer_records and newer_records[0].offset == offset + 1:
            return snapshots.Offer(newer_records)
        return snapshots.Offer(
            snapshot=snapshots.seal(self._state, self._signer)
        )

    def apply_offer(self, offer: snapshots.Offer) -> None:
        """Apply a peer's snapshot and records where they are newer.

        :param offer: the peer's records, and its snapshot if there is one.
        """
        snapshot = snapshots.read(offer.snapshot, self._keyring)
        if snapshot is not None and snapshot.offset > self._state.offset:
            self._reset_to(snapshot, (), None)
        self.apply_records(offer.records)

    def apply_records(
        self, log_records: collections.abc.Iterable[configuration.LogRecord]
    ) -> None:
        """Apply records that were read from the log or sent by a peer.

        A record is skipped unless it directly follows the last applied one.

        :param log_records: records in log order.
        """
        previous = self._state
        for record in log_records:
            if record.offset != self._state.offset + 1:
                continue
            self._apply(record)
        if self._state is not previous:
            self._publish()

    def _reset_to(
        self,
        state: configuration.Configuration,
        log_records: collections.abc.Iterable[configuration.LogRecord],
        needed_since: float | None,
    ) -> None:
        self._state = state
        self._records.clear()
        self._retained_bytes = 0
        for record in log_records:
            self._retain(record)
        self._needed_since = needed_since
        self._publish()

    def _retain(self, record: configuration.LogRecord) -> None:
        self._records.append(record)
        self._retained_bytes += len(record.payload)
        while (
            len(self._records) > MAX_RETAINED_RECORDS
            or self._retained_bytes > MAX_RETAINED_BYTES
        ):
            self._retained_bytes -= len(self._records.popleft().payload)

    def _apply(self, record: configuration.LogRecord) -> None:
        folded = configuration.fold(self._state, record, self._keyring)
        self._state = folded.configuration
        self._retain(record)
        if record.offset == 0:
            self._needed_since = record.time
        if folded.verdict is configuration.Verdict.IGNORED:
            self._update_needed_since(record)
        self._count_verdict(folded, record)

    def _update_needed_since(self, record: configuration.LogRecord) -> None:
        snapshot = snapshots.read(record.payload, self._keyring)
        if snapshot is None:
            return
        needed_times = [
            r.time for r in self._records if r.offset > snapshot.offset
        ]
        if needed_times and self._records[0].offset <= snapshot.offset + 1:
            self._needed_since = needed_times[0]

    def _count_verdict(
        self, folded: configuration.FoldResult, record: configuration.LogRecord
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
        self._log_view = freshness.update_proof(
            self._log_view, self._state.offset
        )
        self._metrics.gauge(
            metrics.Metric.CONFIGURATION_OFFSET, self._state.offset
        )
        for listener in self._listeners:
            listener(self._state)
        self._changed.set()
        self._changed = asyncio.Event()

    async def wait_changed(self) -> None:
        """Wait until a newer configuration is in force."""
        await self._changed.wait()

    async def run(self) -> None:
        """Follow the stream until cancelled."""
        while True:
            try:
                await self.follow_once()
            except errors.LogUnavailableError:
                self._metrics.count(metrics.Metric.LOG_FAILURES)
                self._record_failure()
                await asyncio.sleep(RETRY_SECONDS)

    async def follow_once(self) -> None:
        """Read the stream once and apply its new records.

        :raises errors.LogUnavailableError: the log did not answer.
        """
        started_at = self._clock.wall()
        wait_seconds = (
            log_client.MAX_LONG_POLL_SECONDS
            if self._state.offset >= 0
            else 0.0
        )
        log_slice = await self._log.read(
            records.STREAM, self._state.offset + 1, wait_seconds
        )
        if log_slice.first > self._state.offset + 1:
            await self._restore()
        else:
            self.apply_records(log_slice.records)
        self._record_tail(started_at, log_slice.next - 1)
        if log_slice.next == 0:
            await asyncio.sleep(RETRY_SECONDS)

    async def _restore(self) -> None:
        log_slice = await self._log.read_all(records.STREAM)
        restored = snapshots.restore(
            log_slice.records, log_slice.first, self._keyring
        )
        if (
            restored is None
            or restored.configuration.offset <= self._state.offset
        ):
            raise errors.LogUnavailableError(
                "restore", "log", "no snapshot covers the retained records"
            )
        self._reset_to(
            restored.configuration, log_slice.records, restored.needed_since
        )

    def _record_tail(self, read_at: float, tail_offset: int) -> None:
        if tail_offset < self._state.offset:
            # The answer of a lagging replica does not show the log's tail.
            self._metrics.count(metrics.Metric.LOG_LAGGING)
            return
        # Use the time at which the read started: records appended after that
        # may be missing from its answer.
        self._observe(
            [freshness.LogContact(self._data_centre, read_at, tail_offset)],
            is_from_peer=False,
        )

    def _record_failure(self) -> None:
        self._observe(
            [
                freshness.LogContact(
                    self._data_centre, failed_at=self._clock.wall()
                )
            ],
            is_from_peer=False,
        )
