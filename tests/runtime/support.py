"""Test support: a faulty log in memory, and followers and records for it."""

from tests.core import support
from wagtailstream_core import (
    canonical,
    clock,
    configuration,
    errors,
    records,
)
from wagtailstream_runtime import follower, log_client, metrics


class FaultyLog(log_client.LogClient):
    """A log of one stream that simulates the faults of the platform's log.

    It drops records by retention, loses answers of appends, serves reads from
    a lagging replica and may be down.

    :param system_clock: source of the records' append times.
    """

    def __init__(self, system_clock: clock.Clock) -> None:
        self._clock = system_clock
        self.records: list[configuration.LogRecord] = []
        self.tail = 0
        self.lag = 0
        self.lost_answers = 0
        self.is_down = False

    def drop_before(self, oldest: float) -> None:
        """Drop the records that were appended before a time.

        :param oldest: Unix time in seconds.
        """
        self.records = [r for r in self.records if r.time >= oldest]

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        """Append one record; its answer is lost if ``lost_answers`` is set."""
        if self.is_down:
            raise errors.LogUnavailableError("append", "log", "down")
        now = self._clock.wall()
        self.records.append(configuration.LogRecord(self.tail, payload, now))
        self.tail += 1
        if self.lost_answers:
            self.lost_answers -= 1
            raise errors.AppendUncertainError("append", "log", "lost")
        return log_client.AppendResult(self.tail - 1, now)

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> log_client.Slice:
        """Read from a replica that is ``lag`` records behind.

        Each read reduces the lag by one.
        """
        if self.is_down:
            raise errors.LogUnavailableError("read", "log", "down")
        end = self.tail - self.lag
        self.lag = max(0, self.lag - 1)
        first = self.records[0].offset if self.records else self.tail
        found = [r for r in self.records if offset <= r.offset < end]
        return log_client.Slice(first, end, tuple(found))


def make_follower(
    log: log_client.LogClient, system_clock: clock.Clock
) -> follower.Follower:
    """Return a follower in the data centre rennes."""
    return follower.Follower(
        log,
        support.KEYRING,
        support.SIGNERS["fleet"],
        "rennes",
        system_clock,
        metrics.MemoryMetrics(),
    )


async def append(
    log: log_client.LogClient, record: records.Record, signer: str
) -> None:
    """Seal a record with a signer's key and append it."""
    await log.append(
        records.STREAM, records.seal(record, support.SIGNERS[signer])
    )


async def publish(log: log_client.LogClient, base: int = -1) -> None:
    """Append the records that publish and approve the test bundle."""
    document = support.make_bundle()
    digest = canonical.digest(document)
    await append(log, records.Publish(base=base, bundle=document), "alice")
    await append(log, records.Approve(base=base + 1, digest=digest), "bob")
