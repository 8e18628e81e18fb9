"""Stand-in for the platform's rate-limited store of model weights."""

import asyncio
import dataclasses
import time

import click
import tornado.iostream
import tornado.web

import standins.service as service

CHUNK_BYTES = 16 * 1024
RATE_BYTES_PER_SECOND = 4 * 1024 * 1024
SIZE_BYTES = 256 * 1024


class Faults(service.Faults):
    """Faults that a test injects into the store.

    :param rate_bytes: bytes a second over all downloads.
    :param outage: new downloads are answered 503.
    """

    rate_bytes: float = RATE_BYTES_PER_SECOND
    outage: bool = False


@dataclasses.dataclass
class Stats:
    """Counters of the store since its start."""

    downloads: int = 0
    most_concurrent: int = 0
    bytes: int = 0


class Weights(service.Service):
    """The weight store, with one rate limit for all downloads.

    :param size_bytes: size of the weights of every version.
    """

    def __init__(self, size_bytes: int, faults: Faults) -> None:
        super().__init__(faults)
        self.size_bytes = size_bytes
        self.faults = faults
        self.stats = Stats()
        self._concurrent = 0
        self._free_at = 0.0

    def routes(self) -> service.Rules:
        """Return the URL rules of the store."""
        return [
            (r"/weights/([^/]+)/([^/]+)", DownloadHandler),
            (r"/stats", StatsHandler),
        ]

    def begin(self) -> None:
        """Count the start of a download."""
        self.stats.downloads += 1
        self._concurrent += 1
        most = max(self.stats.most_concurrent, self._concurrent)
        self.stats.most_concurrent = most

    def end(self) -> None:
        """Count the end of a download."""
        self._concurrent -= 1

    async def reserve(self, size: int) -> None:
        """Wait until the rate limit allows to send ``size`` bytes."""
        start = max(time.monotonic(), self._free_at)
        self._free_at = start + size / self.faults.rate_bytes
        self.stats.bytes += size
        await asyncio.sleep(self._free_at - time.monotonic())


class DownloadHandler(service.Handler[Weights]):
    """Streams the weights of one version."""

    async def get(self, model: str, version: str) -> None:
        """Stream the weights at the shared rate."""
        if self.service.faults.outage:
            raise tornado.web.HTTPError(503, reason="outage")
        self.set_header("Content-Type", "application/octet-stream")
        self.set_header("Content-Length", str(self.service.size_bytes))
        self.service.begin()
        try:
            await self._stream()
        except tornado.iostream.StreamClosedError:
            return
        finally:
            self.service.end()

    async def _stream(self) -> None:
        remaining = self.service.size_bytes
        while remaining > 0:
            size = min(CHUNK_BYTES, remaining)
            await self.service.reserve(size)
            self.write(b"w" * size)
            await self.flush()
            remaining -= size


class StatsHandler(service.Handler[Weights]):
    """Serves the counters."""

    def get(self) -> None:
        """Return the counters."""
        self.reply(dataclasses.asdict(self.service.stats))


@click.command()
@service.port_option
@click.option("--size-bytes", default=SIZE_BYTES, show_default=True)
@click.option("--rate-bytes", default=RATE_BYTES_PER_SECOND)
def main(port: int, size_bytes: int, rate_bytes: int) -> None:
    """Run the weight store."""
    faults = Faults(rate_bytes=rate_bytes)
    service.run(Weights(size_bytes, faults), port)


if __name__ == "__main__":
    main()
