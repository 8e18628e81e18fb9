"""Follows the configuration stream and keeps the configuration in force."""

import asyncio
import collections.abc
import logging

from wagtailstream_core import (
    clock,
    configuration,
    errors,
    freshness,
    records,
    signing,
)
from wagtailstream_platform import log_client, metrics

RETRY_SECONDS = 0.2
KEPT_RECORDS = 2000

_LOGGER = logging.getLogger(__name__)

Listener = collections.abc.Callable[[configuration.Configuration], None]


class Follower:
    """Holds the configuration, from the log or from peers that are ahead.

    :param log: the platform's log.
    :param keyring: the keys that are trusted.
    :param data_centre: where this instance stands.
    :param system_clock: tells the wall clock's time.
    :param counters: takes the verdicts' counts.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        keyring: signing.Keyring,
        data_centre: str,
        system_clock: clock.Clock,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._keyring = keyring
        self._data_centre = data_centre
        self._clock = system_clock
        self._metrics = counters
        self._state = configuration.Configuration()
        self._records: list[configuration.LogRecord] = []
        self._contacts: dict[str, freshness.LogContact] = {}
        self._listeners: list[Listener] = []
        self._changed = asyncio.Event()

    @property
    def state(self) -> configuration.Configuration:
        """The configuration in force here."""
        return self._state

    @property
    def contacts(self) -> tuple[freshness.LogContact, ...]:
        """The latest news of the log, one a data centre."""
        return tuple(self._contacts.values())

    def add_listener(self, listener: Listener) -> None:
        """Call a function with each new configuration.

        :param listener: the function.
        """
        self._listeners.append(listener)

    def judge(self) -> freshness.Freshness:
        """Return how far the configuration may be trusted now."""
        known = self._state.bundle
        return freshness.judge(
            self._contacts,
            known.data_centres if known else (),
            self._state.offset,
            self._clock.wall(),
        )

    def merge_contacts(
        self, news: collections.abc.Iterable[freshness.LogContact]
    ) -> None:
        """Take in a peer's news of the log.

        :param news: contacts, one a data centre.
        """
        self._contacts = freshness.merge(self._contacts, news)

    def read_since(self, offset: int) -> list[configuration.LogRecord] | None:
        """Return the records after an offset, or None if some are missing.

        :param offset: the last offset that the asking peer holds.
        """
        if offset >= self._state.offset:
            return []
        found = [r for r in self._records if r.offset > offset]
        if not found or found[0].offset != offset + 1:
            return None
        return found

    def read_all_kept(self) -> list[configuration.LogRecord]:
        """Return all records kept, for a peer that starts with nothing."""
        return list(self._records)

    def adopt(
        self, news: collections.abc.Sequence[configuration.LogRecord]
    ) -> None:
        """Start from a peer's records, where nothing is held yet.

        :param news: the peer's records, without gaps.
        """
        if self._state.offset != configuration.NO_OFFSET or not news:
            self.take_records(news)
            return
        found = configuration.restore(news, news[0].offset, self._keyring)
        if found is not None:
            self._state = found
            self._records = list(news)[-KEPT_RECORDS:]
            self._publish()

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

    def _take(self, record: configuration.LogRecord) -> None:
        folded = configuration.fold(self._state, record, self._keyring)
        self._state = folded.configuration
        self._records.append(record)
        del self._records[:-KEPT_RECORDS]
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
                await self._follow_once()
            except errors.LogUnavailableError:
                self._metrics.count(metrics.Metric.LOG_FAILURES)
                self._note_failure()
                await asyncio.sleep(RETRY_SECONDS)

    async def _follow_once(self) -> None:
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
        if self._state.offset + 1 >= part.next:
            self._note_contact(started_at)
        if part.next == 0:
            await asyncio.sleep(RETRY_SECONDS)

    async def _restore(self) -> None:
        whole = await self._log.read_all(records.STREAM)
        found = configuration.restore(
            whole.records, whole.first, self._keyring
        )
        if found is None or found.offset <= self._state.offset:
            raise errors.LogUnavailableError(
                "restore", "log", "no snapshot covers the retained records"
            )
        self._state = found
        self._records = list(whole.records)[-KEPT_RECORDS:]
        self._publish()

    def _note_contact(self, read_at: float) -> None:
        # The read's start counts: what came later may not be in its answer.
        self.merge_contacts(
            [
                freshness.LogContact(
                    self._data_centre, read_at, self._state.offset
                )
            ]
        )

    def _note_failure(self) -> None:
        self.merge_contacts(
            [
                freshness.LogContact(
                    self._data_centre, failed_at=self._clock.wall()
                )
            ]
        )
