"""A log in memory that drops records, loses answers and lags."""

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
    """Keeps one stream, with the faults of the platform's log.

    :param system_clock: tells the time of records.
    """

    def __init__(self, system_clock: clock.Clock) -> None:
        self._clock = system_clock
        self.records: list[configuration.LogRecord] = []
        self.tail = 0
        self.lag = 0
        self.lost_answers = 0
        self.is_down = False

    def drop_before(self, oldest: float) -> None:
        """Drop the records from before a moment."""
        self.records = [r for r in self.records if r.time >= oldest]

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        """Append one record, perhaps without an answer."""
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
        """Read what a replica that lags shows; each read catches up."""
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
    """Return a follower in Rennes."""
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
    """Append a sealed record."""
    await log.append(
        records.STREAM, records.seal(record, support.SIGNERS[signer])
    )


async def publish(log: log_client.LogClient, base: int = -1) -> None:
    """Publish and sign off the test bundle."""
    document = support.make_bundle()
    digest = canonical.digest(document)
    await append(log, records.Publish(base=base, bundle=document), "alice")
    await append(log, records.Approve(base=base + 1, digest=digest), "bob")
