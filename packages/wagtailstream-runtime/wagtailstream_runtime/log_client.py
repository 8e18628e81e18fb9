"""Clients of the platform's append-only log."""

import abc
import asyncio
import base64
import contextlib
import dataclasses
import time

import pydantic
from tornado import httpclient

from wagtailstream_core import configuration, errors
from wagtailstream_runtime import http_client

APPEND_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 3.0
# Added to the wait of a long poll to get the timeout of its request.
POLL_MARGIN_SECONDS = 1.0
MAX_LONG_POLL_SECONDS = 1.0
READ_LIMIT_RECORDS = 500
_TOO_MANY_REQUESTS = 429
_SERVICE_UNAVAILABLE = 503
_MAX_CLIENTS = 64
_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class AppendResult:
    """The position of an appended record.

    :param time: Unix time in seconds by the log's clock.
    """

    offset: int
    time: float


@dataclasses.dataclass(frozen=True)
class Slice:
    """Consecutive records of a stream.

    :param first: the earliest offset that the log still holds.
    :param next: the offset that the next append will get.
    """

    first: int
    next: int
    records: tuple[configuration.LogRecord, ...]


class LogClient(abc.ABC):
    """Interface of the log's streams."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        :raises errors.AppendUncertainError: there was no valid answer; the
            record may be in the log.
        :raises errors.LogUnavailableError: the record is not in the log.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset to return.
        :param wait_seconds: how long to wait for a record if there is none.
        :raises errors.LogUnavailableError: the log did not answer.
        """

    async def run(self) -> None:
        """Run the client's background work until cancelled, if it has any."""
        return

    async def read_all(self, stream: str, offset: int = 0) -> Slice:
        """Read all records from an offset to the tail.

        :param stream: the stream's name.
        :param offset: the first offset to return.
        :raises errors.LogUnavailableError: the log did not answer.
        """
        log_slice = await self.read(stream, offset)
        records = list(log_slice.records)
        while (
            log_slice.records
            and log_slice.records[-1].offset + 1 < log_slice.next
        ):
            log_slice = await self.read(
                stream, log_slice.records[-1].offset + 1
            )
            records += log_slice.records
        return Slice(log_slice.first, log_slice.next, tuple(records))


class MemoryLog(LogClient):
    """A log in memory, for tests and experiments."""

    def __init__(self) -> None:
        self._streams: dict[str, list[configuration.LogRecord]] = {}
        self._appended = asyncio.Condition()

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        """
        records = self._streams.setdefault(stream, [])
        now = time.time()
        records.append(configuration.LogRecord(len(records), payload, now))
        async with self._appended:
            self._appended.notify_all()
        return AppendResult(len(records) - 1, now)

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset to return.
        :param wait_seconds: how long to wait for a record if there is none.
        """
        records = self._streams.setdefault(stream, [])
        if len(records) <= offset and wait_seconds > 0:
            async with self._appended:
                with contextlib.suppress(TimeoutError):
                    # asyncio.wait_for would lose a cancellation that arrives
                    # in the same loop iteration as the record.
                    async with asyncio.timeout(wait_seconds):
                        await self._appended.wait_for(
                            lambda: len(records) > offset
                        )
        return Slice(0, len(records), tuple(records[offset:]))


class _WireRecord(pydantic.BaseModel):
    offset: int
    time: float
    payload: str


class _WireSlice(pydantic.BaseModel):
    first: int
    next: int
    records: tuple[_WireRecord, ...]


class _WireAppendResult(pydantic.BaseModel):
    offset: int
    time: float


class HttpLogClient(LogClient):
    """Log client over HTTP.

    :param url: the log's base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = http_client.WholeAnswerClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_body_size=_MAX_BODY_BYTES,
        )

    async def append(self, stream: str, payload: bytes) -> AppendResult:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        :raises errors.AppendUncertainError: there was no valid answer; the
            record may be in the log.
        :raises errors.LogUnavailableError: the record is not in the log.
        """
        request = httpclient.HTTPRequest(
            f"{self._url}/streams/{stream}/records",
            method="POST",
            body=payload,
            request_timeout=APPEND_TIMEOUT_SECONDS,
            connect_timeout=APPEND_TIMEOUT_SECONDS,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise errors.LogUnavailableError(
                "append", self._url, "connection refused"
            ) from error
        except (httpclient.HTTPError, OSError) as error:
            raise errors.AppendUncertainError(
                "append", self._url, str(error)
            ) from error
        return self._parse_append_result(response)

    def _parse_append_result(
        self, response: httpclient.HTTPResponse
    ) -> AppendResult:
        if response.code in (_TOO_MANY_REQUESTS, _SERVICE_UNAVAILABLE):
            raise errors.LogUnavailableError(
                "append", self._url, f"status {response.code}"
            )
        if response.code != 200:
            raise errors.AppendUncertainError(
                "append", self._url, f"status {response.code}"
            )
        try:
            wire = _WireAppendResult.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            raise errors.AppendUncertainError(
                "append", self._url, "malformed answer"
            ) from error
        return AppendResult(wire.offset, wire.time)

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset to return.
        :param wait_seconds: how long to wait for a record if there is none.
        :raises errors.LogUnavailableError: the log did not answer.
        """
        timeout_seconds = (
            wait_seconds + POLL_MARGIN_SECONDS
            if wait_seconds
            else READ_TIMEOUT_SECONDS
        )
        request = httpclient.HTTPRequest(
            f"{self._url}/streams/{stream}/records"
            f"?from={offset}&limit={READ_LIMIT_RECORDS}&wait={wait_seconds}",
            request_timeout=timeout_seconds,
            connect_timeout=timeout_seconds,
        )
        try:
            response = await self._client.fetch(request)
            wire = _WireSlice.model_validate_json(response.body)
        except (
            httpclient.HTTPError,
            OSError,
            pydantic.ValidationError,
        ) as error:
            raise errors.LogUnavailableError(
                "read", self._url, str(error)
            ) from error
        return Slice(
            wire.first,
            wire.next,
            tuple(
                configuration.LogRecord(
                    record.offset,
                    base64.b64decode(record.payload),
                    record.time,
                )
                for record in wire.records
            ),
        )

    def close(self) -> None:
        """Close all connections."""
        self._client.close()
