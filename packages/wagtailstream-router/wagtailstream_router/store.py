"""Interfaces of the platform's store, and an in-memory topic."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses

from wagtailstream_router import errors


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a keyed topic.

    :param value: the content; None if the record removes the key.
    :param offset: the record's position in the topic.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True, order=True)
class Position:
    """A position in a topic.

    Each time the store comes back from an older copy, a new era begins in
    which it gives offsets out again. Only offsets of one era can be compared.

    :param era: the era; 0 before the store first came back.
    """

    era: int
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records, and where the next read continues.

    :param era: the store's era in which the records were read.
    """

    records: tuple[Record, ...]
    next_offset: int
    era: int = 0

    @property
    def end(self) -> Position:
        """The position at which the next read continues."""
        return Position(self.era, self.next_offset)


class Topic(abc.ABC):
    """One keyed topic of the store."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The router's name for the topic."""

    @abc.abstractmethod
    async def read_newest(self) -> Page:
        """Return the newest record of each key.

        :raises errors.StoreError: there was no usable answer.
        """

    @abc.abstractmethod
    async def read_from(self, offset: int, wait_seconds: float) -> Page:
        """Return the records from an offset on.

        :param wait_seconds: how long to wait for a record; 0 returns at once.
        :raises errors.StoreCompactedError: the store does not have the
            offset: the records were compacted away, or it came back from an
            older copy.
        :raises errors.StoreError: there was no usable answer.
        """

    @abc.abstractmethod
    async def append(
        self, key: str, value: bytes, expected_end: Position
    ) -> None:
        """Append a record if the topic ends at a position.

        :param value: the content; empty to remove the key.
        :param expected_end: where the topic has to end.
        :raises errors.StoreConflictError: the topic ends at another offset.
        :raises errors.StoreEraError: the store is in another era, in which the
            offset may be that of other records; the record may have been
            appended.
        :raises errors.StoreError: there was no usable answer; the record may
            have been appended.
        """


@dataclasses.dataclass(frozen=True)
class Store:
    """The topics that the router uses.

    :param operator: the operator's records; only read by the router.
    :param endpoints: the endpoints' entries; only read by the router.
    :param status: the roll-outs' status, written for the operator.
    :param crashes: what is refused because of crashes, for other instances.
    :param close: closes the connections to the store.
    """

    operator: Topic
    endpoints: Topic
    status: Topic
    crashes: Topic
    close: collections.abc.Callable[[], None] = lambda: None


class MemoryTopic(Topic):
    """A topic in memory; for tests and single processes.

    :param name: the topic's name.
    """

    def __init__(self, name: str) -> None:
        self._name = name
        self._records: list[Record] = []
        self._newest: dict[str, Record] = {}
        self._first = 0
        self._era = 0
        self._appended = asyncio.Event()
        self.fault: errors.StoreError | None = None

    @property
    def name(self) -> str:
        """The topic's name."""
        return self._name

    def put(self, key: str, value: bytes | None) -> None:
        """Append a record; the value None removes the key."""
        offset = self._first + len(self._records)
        self._records.append(Record(key, value, offset))
        self._appended.set()
        self._appended = asyncio.Event()

    def restore(self, end: int) -> None:
        """Drop the records from an offset on, and begin a new era."""
        del self._records[max(0, end - self._first) :]
        self._era += 1
        self._appended.set()
        self._appended = asyncio.Event()

    def compact(self) -> None:
        """Drop the history; the newest record of each key stays readable."""
        self._newest = {record.key: record for record in self._list_newest()}
        self._first += len(self._records)
        self._records = []

    async def read_newest(self) -> Page:
        """Return the newest record of each key."""
        self._check()
        end = self._first + len(self._records)
        return Page(tuple(self._list_newest()), end, self._era)

    async def read_from(self, offset: int, wait_seconds: float) -> Page:
        """Return the records from an offset on."""
        self._check()
        self._check_kept(offset)
        place = offset - self._first
        if place >= len(self._records) and wait_seconds:
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(wait_seconds):
                    await self._appended.wait()
            self._check()
        self._check_kept(offset)
        records = tuple(self._records[offset - self._first :])
        return Page(records, offset + len(records), self._era)

    async def append(
        self, key: str, value: bytes, expected_end: Position
    ) -> None:
        """Append a record if the topic ends at a position."""
        self._check()
        end = Position(self._era, self._first + len(self._records))
        if end.era != expected_end.era:
            raise errors.StoreEraError(
                "append", self._name, f"era {end.era}, not {expected_end.era}"
            )
        if end != expected_end:
            raise errors.StoreConflictError(
                "append",
                self._name,
                f"topic ends at offset {end.offset}, not"
                f" {expected_end.offset}",
            )
        self.put(key, value or None)

    def _check_kept(self, offset: int) -> None:
        if not self._first <= offset <= self._first + len(self._records):
            raise errors.StoreCompactedError(
                "read",
                self._name,
                f"records from offset {offset} are not kept",
            )

    def _check(self) -> None:
        if self.fault is not None:
            raise self.fault

    def _list_newest(self) -> list[Record]:
        newest = dict(self._newest)
        for record in self._records:
            newest[record.key] = record
        return [
            stored for stored in newest.values() if stored.value is not None
        ]
