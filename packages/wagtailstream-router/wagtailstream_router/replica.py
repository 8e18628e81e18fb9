"""A replica of a keyed topic, read from the store or from a peer."""

import collections.abc
import dataclasses
import time

from wagtailstream_router import store

# A replica that was not confirmed for longer may have missed entries that
# lapsed during an outage of the store. The limit is shorter than three
# heartbeats of the endpoints in the users' specification.
STALE_SECONDS = 1.9
# How long after the store came back from an older copy records may still be
# written again: five times the two seconds of the users' specification.
SETTLE_SECONDS = 10.0
# How much later than a newer write an older one may still be carried out, some
# seconds in the users' specification. A number that another writer gave an
# entry holds the endpoint's own writes up no longer.
LATE_WRITE_SECONDS = 10.0

# The start of a record's writer and the number of the write since; a later
# write is greater.
WriteOrder = tuple[int, int]
ReadOrder = collections.abc.Callable[[bytes], WriteOrder | None]


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """The latest write of a key.

    :param at: when it was read, by the monotonic clock.
    """

    order: WriteOrder
    at: float


class Replica:
    """The newest record of each key, up to an offset.

    Its end never moves back, except to that of the store itself: outdated
    copies of peers are ignored. Of two writes of a key the later one stays,
    also if the store carried the earlier one out after it; so peers that read
    the replica get the later one too.

    :param read_order: returns when a value was written; None if that can't be
        told, and the record that comes last stays.
    """

    def __init__(self, read_order: ReadOrder = lambda value: None) -> None:
        self._read_order = read_order
        # In the order in which they were read.
        self._writes: dict[str, _Write] = {}
        # The keys whose last record was an older write.
        self._superseded: set[str] = set()
        self._corrected_end = 0
        self._records: dict[str, store.Record] = {}
        self._end = store.Position(0, -1)
        self._era_began_at = float("-inf")
        self._current_at = float("-inf")
        self._change = 0
        self._reconfirmed_at = float("-inf")

    @property
    def reconfirmed_at(self) -> float:
        """Monotonic time at which the replica last stopped being stale."""
        return self._reconfirmed_at

    @property
    def is_stale(self) -> bool:
        """Whether the replica was not confirmed for `STALE_SECONDS`."""
        return self.age() > STALE_SECONDS

    @property
    def is_settling(self) -> bool:
        """Whether lost records may still be written again in this era."""
        return time.monotonic() - self._era_began_at < SETTLE_SECONDS

    @property
    def end(self) -> store.Position:
        """Where the copy ends; offset -1 before any read."""
        return self._end

    @property
    def corrected_end(self) -> int:
        """The offset after the last record that followed an older write.

        An instance that has read the older write only needs that record,
        also if it changes nothing here.
        """
        return self._corrected_end

    @property
    def is_loaded(self) -> bool:
        """Whether the topic was read completely at least once."""
        return self._end.offset >= 0

    @property
    def change(self) -> int:
        """A counter that increases whenever a record changes."""
        return self._change

    @property
    def records(self) -> dict[str, store.Record]:
        """The records by key."""
        return self._records

    def age(self) -> float:
        """Return the seconds since the replica was known to be complete."""
        return time.monotonic() - self._current_at

    def confirm(self, at: float) -> None:
        """Record that the replica was complete at a time.

        :param at: the time, by the monotonic clock.
        """
        if self.is_loaded and self.is_stale and at > self._current_at:
            self._reconfirmed_at = time.monotonic()
        self._current_at = max(self._current_at, at)

    def skip_to(self, end: store.Position, at: float) -> None:
        """Skip records up to a position without reading them.

        A peer has read them, and they changed nothing.

        :param end: where the peer's copy ends, in the same era.
        :param at: when the peer's copy was known to be complete.
        """
        self._end = max(self._end, end)
        self.confirm(at)

    def reset(self, page: store.Page, at: float) -> None:
        """Replace all records by a peer's, unless they are older.

        :param page: the newest record of each key.
        :param at: when the read began, by the monotonic clock.
        """
        if page.end < self._end:
            return
        if page.era == self._end.era:
            page = self._add_newer_records(page)
        self.reload(page, at)

    def _add_newer_records(self, page: store.Page) -> store.Page:
        """Return a page with the records that were appended after it.

        A read of several pages ends before the last record that it returns.
        """
        keys = {record.key for record in page.records}
        newer = tuple(
            record
            for record in self._records.values()
            if record.offset >= page.next_offset and record.key not in keys
        )
        return dataclasses.replace(page, records=page.records + newer)

    def reload(self, page: store.Page, at: float) -> None:
        """Replace all records by those in the store.

        :param page: the newest record of each key.
        :param at: when the read began, by the monotonic clock.
        """
        if self.is_loaded and page.era != self._end.era:
            now = time.monotonic()
            # Entries that are missing may be written again, as after an
            # outage.
            self._era_began_at = self._reconfirmed_at = now
            self._writes = {}
            self._superseded = set()
            self._corrected_end = 0
        records = {record.key: record for record in page.records}
        for record in page.records:
            if not self._accept(record):
                held = self._records.get(record.key)
                if held is None:
                    del records[record.key]
                else:
                    records[record.key] = held
        if records != self._records:
            self._change += 1
        self.confirm(at)
        self._records = records
        self._end = page.end

    def count_missing(self, page: store.Page) -> int:
        """Return how many of the records a page of newest records lacks."""
        values = {record.key: record.value for record in page.records}
        return sum(
            values.get(key) != record.value
            for key, record in self._records.items()
        )

    def extend(self, page: store.Page, at: float) -> None:
        """Apply the records that follow the replica's end, in its era.

        :param page: the records from `end` on.
        :param at: when the replica was complete, by the monotonic clock.
        """
        for record in page.records:
            if record.offset >= self._end.offset:
                self._apply(record)
        self._end = max(self._end, page.end)
        self.confirm(at)

    def _accept(self, record: store.Record) -> bool:
        """Return whether a record is no older write than the one before."""
        order = self._read_order(record.value or b"")
        if order is None:
            return True
        now = time.monotonic()
        latest = self._writes.get(record.key)
        if latest is not None and order < latest.order:
            if now - latest.at < LATE_WRITE_SECONDS:
                self._superseded.add(record.key)
                return False
        elif latest is not None and order == latest.order:
            return True
        if record.key in self._superseded:
            self._superseded.remove(record.key)
            self._corrected_end = max(self._corrected_end, record.offset + 1)
        self._writes.pop(record.key, None)
        self._writes[record.key] = _Write(order, now)
        for key, write in list(self._writes.items()):
            if now - write.at < LATE_WRITE_SECONDS:
                break
            del self._writes[key]
        return True

    def _apply(self, record: store.Record) -> None:
        if record.value is not None and not self._accept(record):
            return
        self._change += 1
        if record.value is None:
            self._records.pop(record.key, None)
        else:
            self._records[record.key] = record
