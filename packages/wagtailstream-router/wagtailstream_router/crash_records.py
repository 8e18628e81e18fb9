"""Keeps what is refused because of crashes in the store.

Peers report to each other what is refused. The records are for instances that
start when no peer knows it any more: a start reads them, and so does each
instance once the store has come back from an older copy. While the store is
away, peers alone pass it on, and it is written afterwards.
"""

import collections.abc
import random
import time

import orjson

from wagtailstream_router import (
    crash_board,
    errors,
    event_log,
    part_board,
    store,
    suspects,
)

# Interval between checks for something to write or to read again.
STEP_SECONDS = 0.5
# Delay after a failed call of the store, which others call as well.
RETRY_SECONDS = 2.0
# A write waits for up to this time at random, so that few instances of a
# fleet write the same.
SPREAD_SECONDS = 1.0
# Upper bound of the records; the oldest are removed.
MAX_RECORDS = 1024
REQUEST_PREFIX = "request/"
PART_PREFIX = "part/"


class CrashRecords:
    """Writes what this instance refuses, and reads what others refused.

    :param topic: the topic of these records; shared by all instances.
    :param crashes: what is refused; gets what the records say.
    :param read_era: returns the store's era.
    :param log: gets a line for each record that is written or ignored.
    """

    def __init__(
        self,
        topic: store.Topic,
        crashes: crash_board.CrashBoard,
        read_era: collections.abc.Callable[[], int],
        log: event_log.EventLog,
    ) -> None:
        self._topic = topic
        self._crashes = crashes
        self._read_era = read_era
        self._log = log
        self._random = random.Random()
        # The number of crashes in each record, in the order of the offsets.
        self._stored: dict[str, int] = {}
        self._era: int | None = None
        self._write_from: float | None = None

    async def step(self) -> None:
        """Read the records if that is due, and write what they lack.

        :raises errors.StoreError: the store gave no usable answer.
        """
        if self._era is None or self._read_era() > self._era:
            await self._read()
        if not self._list_changes():
            self._write_from = None
            return
        now = time.monotonic()
        if self._write_from is None:
            self._write_from = now + self._random.uniform(0.0, SPREAD_SECONDS)
        if now < self._write_from:
            return
        # Another instance may have written the same meanwhile.
        end = await self._read()
        try:
            for key, value in self._list_changes().items():
                await self._topic.append(key, value, end)
                end = store.Position(end.era, end.offset + 1)
                self._record_written(key, value)
        except errors.StoreConflictError:
            # Another instance wrote first; the next step reads its record.
            return

    def _record_written(self, key: str, value: bytes) -> None:
        self._stored.pop(key, None)
        if value:
            self._stored[key] = len(_decode(value))
        self._log.write("crash_record_written", key=key, is_removed=not value)

    def _list_changes(self) -> dict[str, bytes]:
        """Return the records to write, by key; removals are empty."""
        changes = {
            key: _encode(crashes)
            for key, crashes in self._list_refused().items()
            if len(crashes) > self._stored.get(key, 0)
        }
        for place, key in enumerate(self._stored):
            is_excess = place < len(self._stored) - MAX_RECORDS
            if key not in changes and (is_excess or self._is_cleared(key)):
                changes[key] = b""
        return changes

    def _list_refused(self) -> dict[str, dict[str, float]]:
        refused = {
            f"{REQUEST_PREFIX}{digest:016x}": crashes
            for digest, crashes in self._crashes.refused.items()
        }
        for part, crashes in self._crashes.parts.blocked.items():
            refused[PART_PREFIX + part] = crashes
        return refused

    def _is_cleared(self, key: str) -> bool:
        if key.startswith(PART_PREFIX):
            return self._crashes.parts.is_cleared(
                key.removeprefix(PART_PREFIX)
            )
        return self._crashes.is_cleared(
            int(key.removeprefix(REQUEST_PREFIX), 16)
        )

    async def _read(self) -> store.Position:
        """Read all records; return where the topic ends.

        :raises errors.StoreError: the store gave no usable answer.
        """
        page = await self._topic.read_newest()
        self._era = page.era
        self._stored = {}
        requests = {}
        parts = []
        for record in sorted(page.records, key=lambda each: each.offset):
            if not record.value:
                continue
            try:
                ages = _decode(record.value)
                if record.key.startswith(PART_PREFIX):
                    part = record.key.removeprefix(PART_PREFIX)
                    parts.append(part_board.Suspicion(part, 0, ages))
                else:
                    digest = record.key.removeprefix(REQUEST_PREFIX)
                    requests[int(digest, 16)] = ages
            except ValueError as error:
                self._log.write(
                    "crash_record_ignored", key=record.key, detail=str(error)
                )
                continue
            self._stored[record.key] = len(ages)
        self._crashes.merge_report(suspects.Report(requests))
        self._crashes.parts.merge_report(part_board.PartsReport(tuple(parts)))
        return page.end


def _encode(crashes: collections.abc.Mapping[str, float]) -> bytes:
    """Return a record: the Unix time in ms of each crash, by start."""
    now, wall_now = time.monotonic(), time.time()
    return orjson.dumps(
        {
            start: round((wall_now - (now - at)) * 1000.0)
            for start, at in crashes.items()
        }
    )


def _decode(value: bytes) -> dict[str, float]:
    """Return the seconds since each crash of a record, by start.

    :raises ValueError: the value is no such record.
    """
    fields = orjson.loads(value)
    if not isinstance(fields, dict) or not fields:
        raise ValueError("not an object with crashes")
    if not all(type(at_ms) is int for at_ms in fields.values()):
        raise ValueError("a time of a crash is no integer")
    wall_now = time.time()
    # Clocks differ: a crash in the future counts as just happened.
    return {
        start: max(0.0, wall_now - at_ms / 1000.0)
        for start, at_ms in fields.items()
    }
