"""Keeps a replica of a topic up to date, across outages and compactions."""

import abc
import asyncio
import collections.abc
import dataclasses
import time

from wagtailstream_router import errors, event_log, replica, store

# Delay between reads while the store does not answer; well below the two
# seconds in which endpoints renew entries that lapsed during an outage.
RETRY_SECONDS = 0.4
# Interval between checks of peers' copies while they replace reads of the
# store; a third of the interval of gossip messages.
PEER_COPY_POLL_SECONDS = 0.07


@dataclasses.dataclass(frozen=True)
class ReadTiming:
    """How often a topic is read.

    :param wait_seconds: how long the store may hold a read open until there
        is a new record (long poll).
    :param pause_seconds: the pause after a read.
    """

    wait_seconds: float
    pause_seconds: float


@dataclasses.dataclass(frozen=True)
class PeerCopy:
    """A peer's copy of a topic, which can replace a read of the store.

    :param source: reads the peer's copy.
    :param end: where the peer's copy ends.
    :param changed_end: the offset in the same era after the last record that
        other instances have to read; heartbeats of endpoints don't count.
    :param at: when the peer's copy was last known to be complete, by this
        process's monotonic clock.
    """

    source: store.Topic
    end: store.Position
    changed_end: int
    at: float


class PeerCopySource(abc.ABC):
    """Finds copies of topics at peers."""

    @abc.abstractmethod
    def find(self, topic: str, end: store.Position) -> PeerCopy | None:
        """Return the newest copy of a topic among live peers, if any.

        One that has records that this instance has to read goes first.

        :param end: where this instance's copy ends.
        """

    @abc.abstractmethod
    def max_age_seconds(self, topic: str) -> float:
        """Return the age of the replica from which to read the store."""


class NoPeerCopies(PeerCopySource):
    """The source of a process without peers."""

    def find(self, topic: str, end: store.Position) -> PeerCopy | None:
        """Return None: there are no peers."""
        return None

    def max_age_seconds(self, topic: str) -> float:
        """Return 0: the store is always read."""
        return 0.0


class Follower:
    """Keeps a topic's replica up to date, from the store or from peers.

    While a peer's copy is recent enough the store is not read.

    :param topic: the topic in the store.
    :param copy: the replica to update.
    :param read_timing: how often to read.
    :param log: gets a line when the store is lost or regained.
    :param on_change: called when records have changed.
    :param peer_copies: finds peers' copies.
    :param takes_peer_records: whether to read changes from a peer; if False,
        as for topics with long records, they are read from a peer only while
        the store does not answer.
    """

    def __init__(
        self,
        topic: store.Topic,
        copy: replica.Replica,
        read_timing: ReadTiming,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[], object] = lambda: None,
        peer_copies: PeerCopySource | None = None,
        takes_peer_records: bool = True,
    ) -> None:
        self._topic = topic
        self._copy = copy
        self._read_timing = read_timing
        self._log = log
        self._on_change = on_change
        self._peer_copies = peer_copies or NoPeerCopies()
        self._takes_peer_records = takes_peer_records
        self._lost_at: float | None = None
        self._notified_change = 0
        self._restores = 0

    @property
    def restores(self) -> int:
        """How often the store came back from an older copy."""
        return self._restores

    @property
    def copy(self) -> replica.Replica:
        """The replica that this follower updates."""
        return self._copy

    @property
    def topic_name(self) -> str:
        """The topic's name."""
        return self._topic.name

    @property
    def is_lost(self) -> bool:
        """Whether the last read of the store failed."""
        return self._lost_at is not None

    async def run(self) -> None:
        """Keep the replica up to date until cancelled."""
        while True:
            if await self._refresh_from_peer():
                await asyncio.sleep(PEER_COPY_POLL_SECONDS)
                continue
            try:
                await self.read_once()
            except errors.StoreError as error:
                self._record_lost(error)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self._record_regained()
                self._notify_change()
                await asyncio.sleep(self._read_timing.pause_seconds)

    async def _refresh_from_peer(self) -> bool:
        """Update the replica from peers.

        :returns: whether the replica is recent enough to skip the store.
        """
        peer_copy = self._peer_copies.find(self._topic.name, self._copy.end)
        if (
            peer_copy is not None
            and self._copy.is_loaded
            and peer_copy.end.era >= self._copy.end.era
        ):
            changed_end = store.Position(
                peer_copy.end.era, peer_copy.changed_end
            )
            if changed_end <= self._copy.end:
                self._copy.skip_to(peer_copy.end, peer_copy.at)
            elif self._takes_peer_records or self.is_lost:
                await self._read_peer(peer_copy)
            else:
                return False
        max_age = self._peer_copies.max_age_seconds(self._topic.name)
        return self._copy.is_loaded and self._copy.age() < max_age

    async def _read_peer(self, peer_copy: PeerCopy) -> None:
        try:
            page = await peer_copy.source.read_newest()
        except errors.StoreError as error:
            # The store is read instead, once the replica is too old.
            self._log.write_routine("peer_copy_failed", detail=str(error))
            return
        if page.end < self._copy.end:
            return
        if page.era != self._copy.end.era:
            self._log_reload(page)
        self._copy.reset(page, peer_copy.at)
        self._log.write_routine(
            "peer_copy_taken", topic=self._topic.name, offset=page.next_offset
        )
        self._notify_change()

    async def read_once(self) -> None:
        """Read new records from the store, or all if that is not possible.

        All are read if the replica is empty, the store does not have the
        records that follow it, or the store's era has changed.

        :raises errors.StoreError: there was no usable answer.
        """
        if self._copy.is_loaded and await self._read_changes():
            return
        began = time.monotonic()
        page = await self._topic.read_newest()
        if page.era < self._copy.end.era:
            raise errors.StoreError(
                "read",
                self._topic.name,
                f"era {page.era} after era {self._copy.end.era}",
            )
        if self._copy.is_loaded:
            self._log_reload(page)
        self._copy.reload(page, began)

    async def _read_changes(self) -> bool:
        """Read the records that follow the replica.

        :returns: whether they do; offsets of another era are given out again.
        :raises errors.StoreError: there was no usable answer.
        """
        began = time.monotonic()
        wait = self._read_timing.wait_seconds
        end = self._copy.end
        try:
            page = await self._topic.read_from(end.offset, wait)
        except errors.StoreCompactedError:
            return False
        if page.era != end.era:
            return False
        # A long poll that returns nothing confirms the replica up to its end.
        self._copy.extend(page, began if page.records else began + wait)
        return True

    def _log_reload(self, page: store.Page) -> None:
        """Log why all records are read: a restored store, or a compaction."""
        before = self._copy.end
        if page.era == before.era and page.next_offset >= before.offset:
            self._log.write(
                "history_lost",
                topic=self._topic.name,
                offset_before=before.offset,
                offset_after=page.next_offset,
            )
            return
        self._restores += 1
        self._log.write(
            "store_restored",
            topic=self._topic.name,
            era_before=before.era,
            era_after=page.era,
            offset_before=before.offset,
            offset_after=page.next_offset,
            records_lost=self._copy.count_missing(page),
        )

    def _notify_change(self) -> None:
        if self._copy.change != self._notified_change:
            self._notified_change = self._copy.change
            self._on_change()

    def _record_lost(self, error: errors.StoreError) -> None:
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            self._log.write(
                "store_lost", topic=self._topic.name, detail=str(error)
            )

    def _record_regained(self) -> None:
        if self._lost_at is None:
            return
        self._log.write(
            "store_regained",
            topic=self._topic.name,
            after_seconds=round(time.monotonic() - self._lost_at, 3),
            offset=self._copy.end.offset,
        )
        self._lost_at = None
