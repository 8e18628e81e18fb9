"""Stand-in for a model engine with continuous batching."""

import asyncio
import dataclasses
import typing

import click
import orjson
import pydantic
import tornado.httpclient
import tornado.iostream
import tornado.web
import uuid_utils

import standins.answers as answers
import standins.batch as batch
import standins.prefix_cache as prefix_cache
import standins.service as service

DOWNLOAD_TIMEOUT_SECONDS = 3600.0
LOAD_SECONDS = 0.05
QUEUE_LENGTH = 64
REPORT_LAG_SECONDS = 0.1
SLOTS = 8
TOKEN_SECONDS = 0.002


class Faults(service.Faults):
    """Faults that a test injects into the engine.

    :param frozen: requests wait, and no tokens are generated.
    :param fail: requests to /generate are answered 500.
    :param bad_versions: ``MODEL@VERSION``; their answers are garbled.
    :param report_lag_seconds: age of the ``running`` and ``queued`` counts
        that /state reports.
    :param cache_event_gap: share of the cache events that are lost.
    """

    token_seconds: float = TOKEN_SECONDS
    frozen: bool = False
    fail: bool = False
    bad_versions: list[str] = []
    load_seconds: float = LOAD_SECONDS
    report_lag_seconds: float = REPORT_LAG_SECONDS
    cache_event_lag_seconds: float = 0.0
    cache_event_gap: float = 0.0


class CancelRequest(pydantic.BaseModel):
    """Body of POST /cancel."""

    request_id: str


class Order(pydantic.BaseModel):
    """Body of POST /orders: load or unload a version.

    :param fence: fencing token; an order whose token is below the highest
        one seen is refused.
    """

    order: typing.Literal["load", "unload"]
    model: str
    version: str
    fence: int = 0


@dataclasses.dataclass(frozen=True)
class Version:
    """Key of a model version."""

    model: str
    version: str


@dataclasses.dataclass
class Settings:
    """Command line options of the engine.

    :param queue_length: requests that may wait for a slot.
    :param fencing: whether orders with a stale fence are refused.
    :param weights_url: base URL of the weight store; None loads without a
        download, in ``load_seconds``.
    :param qualities: share of good answers by ``MODEL:VERSION``.
    """

    name: str = "engine"
    slots: int = SLOTS
    queue_length: int = QUEUE_LENGTH
    fencing: bool = True
    weights_url: str | None = None
    qualities: dict[str, float] = dataclasses.field(default_factory=dict)


class Engine(service.Service):
    """A model engine: its loaded versions and one batch for all of them."""

    def __init__(self, settings: Settings, faults: Faults) -> None:
        super().__init__(faults)
        self.settings = settings
        self.faults = faults
        self.fence = 0
        self.loaded: set[Version] = set()
        self.batch = batch.Batch(settings.slots, self._record_counts)
        self._loading: dict[Version, asyncio.Task[None]] = {}
        self._counts = service.LaggedValue[tuple[int, int]]((0, 0))
        self._unfrozen = asyncio.Event()
        # New after each start, so that an agent can detect a restart.
        self._life = str(uuid_utils.uuid7())
        self.faults_changed()

    def routes(self) -> service.Rules:
        """Return the URL rules of the engine."""
        return [
            (r"/generate", GenerateHandler),
            (r"/cancel", CancelHandler),
            (r"/orders", OrdersHandler),
            (r"/state", StateHandler),
            (r"/runs", RunsHandler),
            (r"/cache-events", CacheEventsHandler),
        ]

    def faults_changed(self) -> None:
        """Apply the faults to the batch and to waiting requests."""
        self.batch.token_seconds = self.faults.token_seconds
        self.batch.frozen = self.faults.frozen
        self.batch.wake()
        if self.faults.frozen:
            self._unfrozen.clear()
        else:
            self._unfrozen.set()

    async def wait_until_unfrozen(self) -> None:
        """Wait until the engine is not frozen."""
        await self._unfrozen.wait()

    def should_garble(self, request: batch.GenerateRequest) -> bool:
        """Return whether the answer to a request must be garbled."""
        model, version = request.model, request.version
        if f"{model}@{version}" in self.faults.bad_versions:
            return True
        quality = self.settings.qualities.get(f"{model}:{version}", 1.0)
        return answers.is_below_quality(
            model, version, request.prompt, quality
        )

    def accept_fence(self, fence: int) -> bool:
        """Record the fence of an order.

        :returns: False if fencing is on and the fence is stale.
        """
        if not self.settings.fencing:
            return True
        if fence < self.fence:
            return False
        self.fence = fence
        return True

    def load(self, version: Version) -> None:
        """Start to load a version unless it is loaded or loading."""
        if version not in self.loaded and version not in self._loading:
            task = asyncio.create_task(self._load_version(version))
            self._loading[version] = task

    def unload(self, version: Version) -> None:
        """Unload a version; its queued and running requests continue."""
        self.loaded.discard(version)
        task = self._loading.pop(version, None)
        if task is not None:
            task.cancel()

    def state(self) -> dict[str, typing.Any]:
        """Return the body of /state, with lagging request counts."""
        running, queued = self._counts.read(self.faults.report_lag_seconds)
        return {
            "name": self.settings.name,
            "loaded": [dataclasses.asdict(v) for v in self.loaded],
            "loading": [dataclasses.asdict(v) for v in self._loading],
            "fence": self.fence,
            "running": running,
            "queued": queued,
            "slots": self.settings.slots,
            "life": self._life,
        }

    def _record_counts(self) -> None:
        self._counts.set((len(self.batch.running), self.batch.queued))

    async def _load_version(self, version: Version) -> None:
        try:
            if self.settings.weights_url:
                await self._download(self.settings.weights_url, version)
            else:
                await asyncio.sleep(self.faults.load_seconds)
        except (tornado.httpclient.HTTPError, OSError):
            self._loading.pop(version, None)
            return
        self._loading.pop(version, None)
        self.loaded.add(version)

    async def _download(self, url: str, version: Version) -> None:
        await tornado.httpclient.AsyncHTTPClient().fetch(
            f"{url}/weights/{version.model}/{version.version}",
            request_timeout=DOWNLOAD_TIMEOUT_SECONDS,
            streaming_callback=lambda chunk: None,
        )


class GenerateHandler(service.Handler[Engine]):
    """Streams an answer, one JSON line for each token."""

    _run: batch.Run | None = None

    async def post(self) -> None:
        """Generate the answer to the request in the body."""
        request = self.parse(batch.GenerateRequest)
        await self.service.wait_until_unfrozen()
        if self.service.faults.fail:
            raise tornado.web.HTTPError(500, reason="failed")
        version = Version(request.model, request.version)
        if version not in self.service.loaded:
            raise tornado.web.HTTPError(409, reason="not-loaded")
        if self.service.batch.queued >= self.service.settings.queue_length:
            raise tornado.web.HTTPError(503, reason="queue-full")
        if self.request.connection.stream.closed():  # type: ignore
            return
        run = batch.new_run(request, self.service.should_garble(request))
        self._run = run
        self.service.batch.submit(run)
        try:
            await self._stream(run)
        except tornado.iostream.StreamClosedError:
            self.service.batch.cancel(run)

    def on_connection_close(self) -> None:
        """Cancel the request when its client disconnects."""
        if self._run is not None:
            self.service.batch.cancel(self._run)

    async def _stream(self, run: batch.Run) -> None:
        self.set_header("Content-Type", "application/x-ndjson")
        request = run.request
        while (index := await run.indexes.get()) is not None:
            text = answers.make_token(
                request.model,
                request.version,
                request.prompt,
                index,
                run.garbled,
            )
            await self._write_line({"index": index, "token": text})
        await self._write_line(_last_line(run))

    async def _write_line(self, line: dict[str, typing.Any]) -> None:
        self.write(orjson.dumps(line) + b"\n")
        await self.flush()


class CancelHandler(service.Handler[Engine]):
    """Cancels requests."""

    def post(self) -> None:
        """Cancel all attempts of a request."""
        request = self.parse(CancelRequest)
        cancelled = self.service.batch.cancel_request(request.request_id)
        self.reply({"cancelled": cancelled})


class OrdersHandler(service.Handler[Engine]):
    """Accepts orders to load and unload versions."""

    def post(self) -> None:
        """Accept or refuse the order in the body."""
        order = self.parse(Order)
        if not self.service.accept_fence(order.fence):
            stale = {"error": "stale-fence", "fence": self.service.fence}
            self.reply(stale, 409)
            return
        version = Version(order.model, order.version)
        if order.order == "load":
            self.service.load(version)
        else:
            self.service.unload(version)
        self.reply({"accepted": True})


class StateHandler(service.Handler[Engine]):
    """Serves the engine's state."""

    def get(self) -> None:
        """Return the state."""
        self.reply(self.service.state())


class RunsHandler(service.Handler[Engine]):
    """Lists the requests that were ever given a slot."""

    def get(self) -> None:
        """Return these requests in the order of their start."""
        runs = [
            {
                "request_id": run.request.request_id,
                "attempt": run.request.attempt,
                "model": run.request.model,
                "version": run.request.version,
                "state": run.state,
            }
            for run in self.service.batch.started
        ]
        self.reply({"runs": runs})


class CacheEventsHandler(service.Handler[Engine]):
    """Serves the events of the prefix cache."""

    def get(self) -> None:
        """Return the events from sequence number ``from`` on."""
        faults = self.service.faults
        events, next_seq = self.service.batch.cache.read_events(
            int(self.number("from", 0)),
            faults.cache_event_lag_seconds,
            faults.cache_event_gap,
        )
        listed = [
            {"seq": event.seq, "op": event.op, "block": event.block}
            for event in events
        ]
        self.reply({"events": listed, "next": next_seq})


def _last_line(run: batch.Run) -> dict[str, typing.Any]:
    if run.state == "cancelled":
        return {"error": "cancelled"}
    return {
        "done": True,
        "count": run.count,
        "prompt_tokens": prefix_cache.count_tokens(run.request.prompt),
        "cached_tokens": run.cached_tokens,
    }


def _parse_version(text: str) -> Version:
    model, separator, version = text.rpartition(":")
    if not separator:
        raise click.BadParameter(f"{text!r} is not MODEL:VERSION")
    return Version(model, version)


@click.command()
@service.port_option
@click.option("--name", default="engine", show_default=True)
@click.option("--slots", default=SLOTS, show_default=True)
@click.option("--queue", default=QUEUE_LENGTH, show_default=True)
@click.option("--token-seconds", default=TOKEN_SECONDS, show_default=True)
@click.option("--weights", help="URL of the weight store.")
@click.option("--fencing/--no-fencing", default=True, show_default=True)
@click.option("--quality", multiple=True, help="MODEL:VERSION=QUALITY")
@click.option("--loaded", multiple=True, help="MODEL:VERSION at the start")
def main(
    port: int,
    name: str,
    slots: int,
    queue: int,
    token_seconds: float,
    weights: str | None,
    fencing: bool,
    quality: tuple[str, ...],
    loaded: tuple[str, ...],
) -> None:
    """Run a model engine."""
    qualities = service.parse_quality(quality)
    settings = Settings(name, slots, queue, fencing, weights, qualities)
    engine = Engine(settings, Faults(token_seconds=token_seconds))
    engine.loaded.update(_parse_version(text) for text in loaded)
    service.run(engine, port)


if __name__ == "__main__":
    main()
