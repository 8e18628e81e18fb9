"""A copy of one keyed topic, as read from the store or from a peer."""

import time

from wagtailstream_router import store

# A copy that is not confirmed for longer missed what may have lapsed with the
# store: three heartbeats of the sheets' endpoints are longer still.
STALE_SECONDS = 1.9


class Replica:
    """The newest record of each key, up to an offset.

    The offset never moves down: a slow reader or a late peer can't take the
    copy back.
    """

    def __init__(self) -> None:
        self._records: dict[str, store.Record] = {}
        self._end = -1
        self._current_at = float("-inf")
        self._change = 0
        self._reconfirmed_at = float("-inf")

    @property
    def reconfirmed_at(self) -> float:
        """When the copy was last confirmed after a time without."""
        return self._reconfirmed_at

    @property
    def is_stale(self) -> bool:
        """Whether the copy was not confirmed for long."""
        return self.age() > STALE_SECONDS

    @property
    def end(self) -> int:
        """The offset up to which the topic is known; -1 before any read."""
        return self._end

    @property
    def is_loaded(self) -> bool:
        """Whether the whole topic was read once."""
        return self._end >= 0

    @property
    def change(self) -> int:
        """A number that rises whenever a record changes."""
        return self._change

    @property
    def records(self) -> dict[str, store.Record]:
        """The records by key."""
        return self._records

    def age(self) -> float:
        """Return the seconds since the copy was known to be whole."""
        return time.monotonic() - self._current_at

    def confirm(self, at: float) -> None:
        """Note that the copy was whole at a moment.

        :param at: the moment, by the monotonic clock.
        """
        if self.is_loaded and self.is_stale and at > self._current_at:
            self._reconfirmed_at = time.monotonic()
        self._current_at = max(self._current_at, at)

    def skip_to(self, end: int, at: float) -> None:
        """Note that records up to an offset change nothing that matters.

        :param end: the offset up to which a peer knows the topic.
        :param at: when the peer's copy was whole.
        """
        self._end = max(self._end, end)
        self.confirm(at)

    def reset(self, page: store.Page, at: float) -> None:
        """Take the newest record of each key in place of what is held.

        :param page: all newest records.
        :param at: when the read began.
        """
        if page.next_offset < self._end:
            return
        records = {record.key: record for record in page.records}
        for key, record in self._records.items():
            # Pages are no snapshot: a newer record may have come meanwhile.
            if record.offset >= page.next_offset and key not in records:
                records[key] = record
        if records != self._records:
            self._change += 1
        self.confirm(at)
        self._records = records
        self._end = page.next_offset

    def extend(self, page: store.Page, at: float) -> None:
        """Take the records that follow what is held.

        :param page: records from `end` on.
        :param at: when the read began.
        """
        for record in page.records:
            if record.offset >= self._end:
                self._take(record)
        self._end = max(self._end, page.next_offset)
        self.confirm(at)

    def _take(self, record: store.Record) -> None:
        self._change += 1
        if record.value is None:
            self._records.pop(record.key, None)
        else:
            self._records[record.key] = record
