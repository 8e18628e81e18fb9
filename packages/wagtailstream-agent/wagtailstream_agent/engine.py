"""Client of the model engine that the agent fronts."""

import abc
import asyncio
import collections.abc
import contextlib
import dataclasses

import orjson
import pydantic
from tornado import httpclient

from wagtailstream_core import configuration, errors, work
from wagtailstream_runtime import http_client

ORDER_TIMEOUT_SECONDS = 5.0
CANCEL_TIMEOUT_SECONDS = 0.5
GENERATE_TIMEOUT_SECONDS = 3600.0
_MAX_CLIENTS = 4096
_CONFLICT = 409
_SERVICE_UNAVAILABLE = 503


class NotLoadedError(errors.PeerError):
    """The engine has not loaded the version; nothing ran."""


class BusyError(errors.PeerError):
    """The engine's queue is full; nothing ran."""


class NotSentError(errors.PeerError):
    """The engine could not be reached; nothing ran."""


class ConnectionLostError(errors.PeerError):
    """The connection broke; the engine may have crashed during the work."""


@dataclasses.dataclass(frozen=True)
class Token:
    """One generated token.

    :param index: its position in the answer.
    """

    index: int
    text: str


@dataclasses.dataclass(frozen=True)
class Done:
    """The end of a generation.

    :param count: number of tokens of the whole answer, including those that
        an earlier attempt generated if this one resumed.
    """

    count: int
    prompt_tokens: int
    cached_tokens: int


@dataclasses.dataclass(frozen=True)
class EngineState:
    """The state that an engine reports about itself; may be outdated.

    :param life: identifier of the engine's process, which changes when it
        restarts; empty if the engine does not report one.
    """

    loaded: frozenset[configuration.ModelVersion]
    loading: frozenset[configuration.ModelVersion]
    running: int
    queued: int
    slots: int
    life: str = ""


class Engine(abc.ABC):
    """Interface of an engine: generation, state, loading and unloading."""

    @abc.abstractmethod
    def generate(
        self, attempt: work.Attempt, model_work: work.ModelWork
    ) -> collections.abc.AsyncGenerator[Token | Done, None]:
        """Yield the generated tokens, then one :class:`Done`.

        Closing the generator cancels the generation.

        :param attempt: the attempt that the generation belongs to.
        :param model_work: what to generate.
        :raises NotLoadedError: the version is not loaded.
        :raises BusyError: the engine's queue is full.
        :raises NotSentError: the engine could not be reached.
        :raises ConnectionLostError: the connection broke.
        :raises errors.PeerError: the engine failed; the work may have run.
        """

    @abc.abstractmethod
    async def fetch_state(self) -> EngineState:
        """Return the engine's state.

        :raises errors.PeerError: the engine did not answer.
        """

    @abc.abstractmethod
    async def order(
        self, kind: str, version: configuration.ModelVersion, fence: int
    ) -> None:
        """Order the engine to load or unload a version.

        :param kind: ``load`` or ``unload``.
        :param version: the version.
        :param fence: the fencing token, which some engines ignore.
        :raises errors.PeerError: the engine refused or did not answer.
        """


class _WireVersion(pydantic.BaseModel):
    model: str
    version: str


class _WireState(pydantic.BaseModel):
    loaded: tuple[_WireVersion, ...]
    loading: tuple[_WireVersion, ...] = ()
    running: int
    queued: int
    slots: int
    life: str = ""


class _WireLine(pydantic.BaseModel):
    index: int = 0
    token: str = ""
    done: bool = False
    count: int = 0
    prompt_tokens: int = 0
    cached_tokens: int = 0


class HttpEngine(Engine):
    """Engine client over HTTP.

    :param url: the engine's base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = http_client.WholeAnswerClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def generate(
        self, attempt: work.Attempt, model_work: work.ModelWork
    ) -> collections.abc.AsyncGenerator[Token | Done, None]:
        """Yield the generated tokens, then one :class:`Done`.

        Closing the generator cancels the generation.

        :param attempt: the attempt that the generation belongs to.
        :param model_work: what to generate.
        :raises NotLoadedError: the version is not loaded.
        :raises BusyError: the engine's queue is full.
        :raises NotSentError: the engine could not be reached.
        :raises ConnectionLostError: the connection broke.
        :raises errors.PeerError: the engine failed; the work may have run.
        """
        lines = _LineQueue()
        request = httpclient.HTTPRequest(
            f"{self._url}/generate",
            method="POST",
            body=_encode_generate(attempt, model_work),
            streaming_callback=lines.feed,
            request_timeout=GENERATE_TIMEOUT_SECONDS,
        )
        fetch = asyncio.ensure_future(
            self._client.fetch(request, raise_error=False)
        )
        fetch.add_done_callback(lambda _: lines.close())
        ended = False
        try:
            async for line in lines:
                item = _decode_line(line, self._url)
                ended = isinstance(item, Done)
                yield item
            self._check_response(fetch, ended)
        finally:
            if not ended:
                fetch.cancel()
                await self._cancel(attempt.request_id)

    def _check_response(
        self, fetch: asyncio.Future[httpclient.HTTPResponse], ended: bool
    ) -> None:
        if ended:
            return
        try:
            code = fetch.result().code
        except ConnectionRefusedError as error:
            raise NotSentError(
                "generate", self._url, "connection refused"
            ) from error
        except (httpclient.HTTPError, OSError) as error:
            raise ConnectionLostError(
                "generate", self._url, str(error)
            ) from error
        if code == _CONFLICT:
            raise NotLoadedError(
                "generate", self._url, "the version is not loaded"
            )
        if code == _SERVICE_UNAVAILABLE:
            raise BusyError("generate", self._url, "the queue is full")
        raise errors.PeerError(
            "generate", self._url, f"the answer is incomplete, status {code}"
        )

    async def _cancel(self, request_id: str) -> None:
        with contextlib.suppress(errors.PeerError):
            await self._post(
                "cancel", {"request_id": request_id}, CANCEL_TIMEOUT_SECONDS
            )

    async def fetch_state(self) -> EngineState:
        """Return the engine's state.

        :raises errors.PeerError: the engine did not answer.
        """
        try:
            response = await self._client.fetch(
                f"{self._url}/state", request_timeout=ORDER_TIMEOUT_SECONDS
            )
            wire = _WireState.model_validate_json(response.body)
        except (
            httpclient.HTTPError,
            OSError,
            pydantic.ValidationError,
        ) as error:
            raise errors.PeerError("state", self._url, str(error)) from error
        return EngineState(
            _to_versions(wire.loaded),
            _to_versions(wire.loading),
            wire.running,
            wire.queued,
            wire.slots,
            wire.life,
        )

    async def order(
        self, kind: str, version: configuration.ModelVersion, fence: int
    ) -> None:
        """Order the engine to load or unload a version.

        :param kind: ``load`` or ``unload``.
        :param version: the version.
        :param fence: the fencing token, which some engines ignore.
        :raises errors.PeerError: the engine refused or did not answer.
        """
        await self._post(
            "orders",
            {
                "order": kind,
                "model": version.model,
                "version": version.version,
                "fence": fence,
            },
        )

    async def _post(
        self,
        path: str,
        body: dict[str, str | int],
        seconds: float = ORDER_TIMEOUT_SECONDS,
    ) -> None:
        try:
            await self._client.fetch(
                f"{self._url}/{path}",
                method="POST",
                body=orjson.dumps(body),
                request_timeout=seconds,
            )
        except (httpclient.HTTPError, OSError) as error:
            raise errors.PeerError(path, self._url, str(error)) from error


class _LineQueue:
    """Splits a streamed body into lines and queues them."""

    def __init__(self) -> None:
        self._queue: asyncio.Queue[bytes | None] = asyncio.Queue()
        self._partial = b""

    def feed(self, data: bytes) -> None:
        *lines, self._partial = (self._partial + data).split(b"\n")
        for line in lines:
            self._queue.put_nowait(line)

    def close(self) -> None:
        self._queue.put_nowait(None)

    async def __aiter__(self) -> collections.abc.AsyncGenerator[bytes, None]:
        while (line := await self._queue.get()) is not None:
            if line:
                yield line


def _encode_generate(
    attempt: work.Attempt, model_work: work.ModelWork
) -> bytes:
    return orjson.dumps(
        {
            "request_id": attempt.request_id,
            "attempt": attempt.number,
            "model": model_work.model,
            "version": model_work.version,
            "prompt": model_work.prompt,
            "max_tokens": model_work.max_tokens,
            "resume_from": model_work.resume_from,
            "priority": attempt.priority,
        }
    )


def _decode_line(line: bytes, peer: str) -> Token | Done:
    try:
        wire = _WireLine.model_validate_json(line)
    except pydantic.ValidationError as error:
        raise errors.PeerError(
            "generate", peer, "malformed line in the answer"
        ) from error
    if wire.done:
        return Done(wire.count, wire.prompt_tokens, wire.cached_tokens)
    return Token(wire.index, wire.token)


def _to_versions(
    wire: tuple[_WireVersion, ...],
) -> frozenset[configuration.ModelVersion]:
    return frozenset(
        configuration.ModelVersion(item.model, item.version) for item in wire
    )
