"""Keeps the copy of one topic current, through outages and compactions."""

import abc
import asyncio
import collections.abc
import dataclasses
import time

from wagtailstream_router import errors, event_log, replica, store

# Between tries while the store gives no answer: well under the two seconds
# within which lapsed entries are back.
RETRY_SECONDS = 0.4
# Between looks at peers' copies: a third of the pause between their messages.
PEER_COPY_POLL_SECONDS = 0.07


@dataclasses.dataclass(frozen=True)
class Pace:
    """How often a topic is read.

    :param wait_seconds: how long the store may hold a read.
    :param pause_seconds: the pause after a read.
    """

    wait_seconds: float
    pause_seconds: float


@dataclasses.dataclass(frozen=True)
class Cover:
    """A peer's copy that spares a read of the store.

    :param source: reads the peer's copy.
    :param end: the offset up to which the peer knows the topic.
    :param changed_end: the offset after the last record that matters.
    :param at: when the peer's copy was whole, by our monotonic clock.
    """

    source: store.Topic
    end: int
    changed_end: int
    at: float


class CoverSource(abc.ABC):
    """Tells whether a peer's copy will do."""

    @abc.abstractmethod
    def find(self, topic: str) -> Cover | None:
        """Return the newest copy of a topic among the peers."""

    @abc.abstractmethod
    def patience_seconds(self, topic: str) -> float:
        """Return the age of a copy from which this process reads itself."""


class NoPeerCopies(CoverSource):
    """A process without peers."""

    def find(self, topic: str) -> Cover | None:
        """Return None."""
        return None

    def patience_seconds(self, topic: str) -> float:
        """Return that it reads itself at once."""
        return 0.0


class Follower:
    """Keeps one topic's replica current, from the store or from peers.

    :param topic: the topic.
    :param copy: the replica to keep current.
    :param pace: how often to read.
    :param log: takes what the process comes to believe.
    :param on_change: is called when records have changed.
    :param covers: finds peers' copies.
    :param takes_peer_records: whether changes are read from the peer; where
        they are long, they come from the store while it answers.
    """

    def __init__(
        self,
        topic: store.Topic,
        copy: replica.Replica,
        pace: Pace,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[], object] = lambda: None,
        covers: CoverSource | None = None,
        takes_peer_records: bool = True,
    ) -> None:
        self._topic = topic
        self._copy = copy
        self._pace = pace
        self._log = log
        self._on_change = on_change
        self._peer_copies = covers or NoPeerCopies()
        self._takes_peer_records = takes_peer_records
        self._lost_at: float | None = None
        self._notified_change = 0

    @property
    def copy(self) -> replica.Replica:
        """The replica that is kept current."""
        return self._copy

    @property
    def topic_name(self) -> str:
        """The topic's name."""
        return self._topic.name

    @property
    def is_lost(self) -> bool:
        """Whether the store gives no usable answers at present."""
        return self._lost_at is not None

    async def run(self) -> None:
        """Keep the replica current until cancelled."""
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
                await asyncio.sleep(self._pace.pause_seconds)

    async def _refresh_from_peer(self) -> bool:
        """Return whether peers keep the replica current for now."""
        cover = self._peer_copies.find(self._topic.name)
        if cover is not None and self._copy.is_loaded:
            if cover.changed_end <= self._copy.end:
                self._copy.skip_to(cover.end, cover.at)
            elif self._takes_peer_records or self.is_lost:
                await self._read_peer(cover)
            else:
                return False
        patience = self._peer_copies.patience_seconds(self._topic.name)
        return self._copy.is_loaded and self._copy.age() < patience

    async def _read_peer(self, cover: Cover) -> None:
        try:
            page = await cover.source.read_newest()
        except errors.StoreError as error:
            # The store itself is asked next.
            self._log.write_routine("peer_copy_failed", detail=str(error))
            return
        self._copy.reset(page, cover.at)
        self._log.write_routine(
            "peer_copy_taken", topic=self._topic.name, offset=page.next_offset
        )
        self._notify_change()

    async def read_once(self) -> None:
        """Read what is new, or all where the copy is empty or outdated.

        :raises errors.StoreError: there was no usable answer.
        """
        began = time.monotonic()
        if not self._copy.is_loaded:
            self._copy.reset(await self._topic.read_newest(), began)
            return
        wait = self._pace.wait_seconds
        try:
            page = await self._topic.read_from(self._copy.end, wait)
        except errors.StoreCompactedError as error:
            self._log.write(
                "history_lost", topic=self._topic.name, detail=error.detail
            )
            began = time.monotonic()
            self._copy.reset(await self._topic.read_newest(), began)
            return
        # A read that was held to its end vouches for the copy until then.
        self._copy.extend(page, began if page.records else began + wait)

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
            offset=self._copy.end,
        )
        self._lost_at = None
