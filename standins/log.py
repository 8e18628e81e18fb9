"""Stand-in for the platform's append-only log service."""

import asyncio
import base64
import bisect
import collections.abc
import dataclasses
import time
import typing

import click
import tornado.web

import standins.service as service

APPEND_BURST = 100
APPENDS_PER_SECOND = 400.0
DEFAULT_LIMIT = 1000
MAX_PAYLOAD_BYTES = 1024 * 1024
RETENTION_SECONDS = 86400.0


class Faults(service.Faults):
    """Faults that a test injects into the log.

    :param outage: appends, reads and deletes are answered 503.
    :param lose_answers: number of next appends that take effect while their
        connection is closed without an answer.
    :param append_delay_seconds: delay before an append takes effect.
    :param read_lag_seconds: minimum age of the records that reads return.
    :param replica_lag_seconds: the same for reads from the replica.
    :param append_rate: appends a second over all streams.
    :param retention_seconds: age at which records are dropped.
    """

    outage: bool = False
    lose_answers: int = 0
    append_delay_seconds: float = 0.0
    read_lag_seconds: float = 0.0
    replica_lag_seconds: float = 0.0
    append_rate: float = APPENDS_PER_SECOND
    retention_seconds: float = RETENTION_SECONDS


@dataclasses.dataclass
class Record:
    """An appended record.

    :param time: Unix time of the append, seconds.
    """

    offset: int
    time: float
    payload: bytes


@dataclasses.dataclass
class Stats:
    """Counters of the log since its start."""

    appends: int = 0
    rejected: int = 0
    reads: int = 0
    bytes: int = 0


class Stream:
    """The records of one stream."""

    def __init__(self) -> None:
        self.tail = 0
        self.records: list[Record] = []
        self._changed = asyncio.Event()

    @property
    def first(self) -> int:
        """The offset of the earliest retained record."""
        return self.records[0].offset if self.records else self.tail

    def append(self, payload: bytes) -> Record:
        """Append a record."""
        record = Record(self.tail, time.time(), payload)
        self.tail += 1
        self.records.append(record)
        self.wake()
        return record

    def wake(self) -> None:
        """Wake all waiting readers."""
        self._changed.set()
        self._changed = asyncio.Event()

    def drop_before_offset(self, before: int) -> None:
        """Drop the records below an offset."""
        del self.records[: max(0, before - self.first)]

    def drop_before_time(self, cutoff_time: float) -> None:
        """Drop the records that were appended before a time."""
        if self.records and self.records[0].time < cutoff_time:
            index = bisect.bisect_left(
                self.records, cutoff_time, key=lambda record: record.time
            )
            del self.records[:index]

    def visible_end(self, latest_time: float) -> int:
        """Return the offset after the last record appended by a time."""
        end = self.tail
        for record in reversed(self.records):
            if record.time <= latest_time:
                break
            end = record.offset
        return end

    def slice(self, start: int, end: int) -> list[Record]:
        """Return the records from offset start up to, not including, end."""
        skipped = max(0, start - self.first)
        stop = max(skipped, end - self.first)
        return self.records[skipped:stop]

    async def wait(self, seconds: float) -> None:
        """Wait until the stream is woken or the time is over."""
        try:
            await asyncio.wait_for(self._changed.wait(), seconds)
        except TimeoutError:
            return


class Log(service.Service):
    """All streams and the append limit that they share."""

    def __init__(self, faults: Faults) -> None:
        super().__init__(faults)
        self.faults = faults
        self.stats = Stats()
        self._streams: dict[str, Stream] = {}
        self._tokens = float(APPEND_BURST)
        self._refilled_at = time.monotonic()

    def routes(self) -> service.Rules:
        """Return the URL rules of the log."""
        return [
            (r"/streams/([^/]+)/records", RecordsHandler),
            (r"/replica/streams/([^/]+)/records", ReplicaHandler),
            (r"/stats", StatsHandler),
        ]

    def faults_changed(self) -> None:
        """Wake waiting readers, so that an outage ends their wait."""
        for stream in self._streams.values():
            stream.wake()

    def stream(self, name: str) -> Stream:
        """Return a stream after dropping its expired records.

        The first use of a name creates the stream.
        """
        stream = self._streams.setdefault(name, Stream())
        stream.drop_before_time(time.time() - self.faults.retention_seconds)
        return stream

    def take_token(self) -> bool:
        """Take a token from the append limit's bucket.

        :returns: False if the bucket is empty.
        """
        now = time.monotonic()
        added = (now - self._refilled_at) * self.faults.append_rate
        self._tokens = min(APPEND_BURST, self._tokens + added)
        self._refilled_at = now
        if self._tokens < 1:
            return False
        self._tokens -= 1
        return True

    async def read(
        self,
        name: str,
        start: int,
        limit: int,
        deadline: float,
        get_lag: collections.abc.Callable[[], float],
    ) -> dict[str, typing.Any]:
        """Return the body of a read, long polling until the deadline.

        :param name: the stream.
        :param start: the first wanted offset.
        :param limit: maximum number of records.
        :param deadline: monotonic seconds.
        :param get_lag: returns the minimum age, in seconds, of the records to
            return; called again after each wait, as faults may change.
        """
        while True:
            if self.faults.outage:
                raise tornado.web.HTTPError(503, reason="outage")
            stream = self.stream(name)
            lag = get_lag()
            end = stream.visible_end(time.time() - lag)
            remaining = deadline - time.monotonic()
            if end > max(start, stream.first) or remaining <= 0:
                break
            await stream.wait(self._wait_seconds(stream, end, remaining, lag))
        stop = min(end, max(start, stream.first) + limit)
        return {
            "first": stream.first,
            "next": end,
            "records": [_encode(r) for r in stream.slice(start, stop)],
        }

    def _wait_seconds(
        self, stream: Stream, end: int, remaining: float, lag: float
    ) -> float:
        hidden = stream.slice(end, end + 1) if end < stream.tail else []
        if not hidden:
            return remaining
        visible_at = hidden[0].time + lag
        return max(0.001, min(remaining, visible_at - time.time()))


class RecordsHandler(service.Handler[Log]):
    """Appends, reads and deletes records of a stream."""

    def prepare(self) -> None:
        """Refuse every request during an outage."""
        if self.service.faults.outage:
            raise tornado.web.HTTPError(503, reason="outage")

    async def post(self, name: str) -> None:
        """Append the body as a record."""
        log = self.service
        if len(self.request.body) > MAX_PAYLOAD_BYTES:
            raise tornado.web.HTTPError(413, reason="too-large")
        if not log.take_token():
            log.stats.rejected += 1
            self.set_header("Retry-After", "1")
            self.reply({"error": "rate-limit"}, 429)
            return
        if log.faults.append_delay_seconds:
            await asyncio.sleep(log.faults.append_delay_seconds)
            # An outage may have begun during the delay.
            self.prepare()
        record = log.stream(name).append(self.request.body)
        log.stats.appends += 1
        log.stats.bytes += len(record.payload)
        if log.faults.lose_answers > 0:
            log.faults.lose_answers -= 1
            self.drop_connection()
            return
        self.reply({"offset": record.offset, "time": record.time})

    async def get(self, name: str) -> None:
        """Return the records from offset ``from`` on.

        If there are none, wait up to ``wait`` seconds for one.
        """
        self.service.stats.reads += 1
        start = int(self.number("from", 0))
        limit = int(self.number("limit", DEFAULT_LIMIT))
        deadline = time.monotonic() + self.number("wait", 0)
        self.reply(
            await self.service.read(
                name, start, limit, deadline, self._get_lag
            )
        )

    def _get_lag(self) -> float:
        return self.service.faults.read_lag_seconds

    def delete(self, name: str) -> None:
        """Drop the records below offset ``before``."""
        stream = self.service.stream(name)
        stream.drop_before_offset(int(self.number("before", 0)))
        self.reply({"first": stream.first, "next": stream.tail})


class ReplicaHandler(RecordsHandler):
    """Appends to the log itself, but reads from a lagging replica."""

    def _get_lag(self) -> float:
        return self.service.faults.replica_lag_seconds


class StatsHandler(service.Handler[Log]):
    """Serves the counters."""

    def get(self) -> None:
        """Return the counters."""
        self.reply(dataclasses.asdict(self.service.stats))


def _encode(record: Record) -> dict[str, typing.Any]:
    return {
        "offset": record.offset,
        "time": record.time,
        "payload": base64.b64encode(record.payload).decode(),
    }


@click.command()
@service.port_option
def main(port: int) -> None:
    """Run the log service."""
    service.run(Log(Faults()), port)


if __name__ == "__main__":
    main()
