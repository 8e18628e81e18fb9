"""Clients of the platform's append-only log."""

import abc
import asyncio
import base64
import contextlib
import dataclasses
import time

import pydantic
from tornado import httpclient, simple_httpclient

from wagtailstream_core import configuration, errors

APPEND_TIMEOUT_SECONDS = 2.0
READ_TIMEOUT_SECONDS = 3.0
POLL_MARGIN_SECONDS = 1.0
MAX_LONG_POLL_SECONDS = 1.0
READ_LIMIT_RECORDS = 500
_TOO_MANY_REQUESTS = 429
_OUTAGE = 503
_MAX_CLIENTS = 64
_MAX_BODY_BYTES = 64 * 1024 * 1024


@dataclasses.dataclass(frozen=True)
class Appended:
    """Where an append landed, and when by the log's clock."""

    offset: int
    time: float


@dataclasses.dataclass(frozen=True)
class Slice:
    """A run of records of a stream.

    :param first: the earliest offset that the log still holds.
    :param next: the offset that the next append will get.
    """

    first: int
    next: int
    records: tuple[configuration.LogRecord, ...]


class LogClient(abc.ABC):
    """Appends to and reads from the streams of the log."""

    @abc.abstractmethod
    async def append(self, stream: str, payload: bytes) -> Appended:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        :raises errors.AppendUncertainError: the answer was lost; the record
            may be in the log.
        :raises errors.LogUnavailableError: the record is not in the log.
        """

    @abc.abstractmethod
    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset wanted.
        :param wait_seconds: how long to wait for a record if there is none.
        :raises errors.LogUnavailableError: the log did not answer.
        """

    async def run(self) -> None:
        """Do what the client needs done in the background."""
        return

    async def read_all(self, stream: str, offset: int = 0) -> Slice:
        """Read all records from an offset to the tail.

        :param stream: the stream's name.
        :param offset: the first offset wanted.
        :raises errors.LogUnavailableError: the log did not answer.
        """
        part = await self.read(stream, offset)
        found = list(part.records)
        while part.records and part.records[-1].offset + 1 < part.next:
            part = await self.read(stream, part.records[-1].offset + 1)
            found += part.records
        return Slice(part.first, part.next, tuple(found))


class MemoryLog(LogClient):
    """Keeps streams in memory; for tests and experiments."""

    def __init__(self) -> None:
        self._streams: dict[str, list[configuration.LogRecord]] = {}
        self._appended = asyncio.Condition()

    async def append(self, stream: str, payload: bytes) -> Appended:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        """
        records = self._streams.setdefault(stream, [])
        now = time.time()
        records.append(configuration.LogRecord(len(records), payload, now))
        async with self._appended:
            self._appended.notify_all()
        return Appended(len(records) - 1, now)

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset wanted.
        :param wait_seconds: how long to wait for a record if there is none.
        """
        records = self._streams.setdefault(stream, [])
        if len(records) <= offset and wait_seconds > 0:
            async with self._appended:
                with contextlib.suppress(TimeoutError):
                    # asyncio.wait_for would lose a cancellation that comes
                    # together with the record.
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


class _WireAppended(pydantic.BaseModel):
    offset: int
    time: float


class HttpLogClient(LogClient):
    """Talks to the platform's log over HTTP.

    :param url: the log's base address.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True,
            max_clients=_MAX_CLIENTS,
            max_body_size=_MAX_BODY_BYTES,
        )

    async def append(self, stream: str, payload: bytes) -> Appended:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        :raises errors.AppendUncertainError: the answer was lost; the record
            may be in the log.
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
        return self._read_appended(response)

    def _read_appended(self, response: httpclient.HTTPResponse) -> Appended:
        if response.code in (_TOO_MANY_REQUESTS, _OUTAGE):
            raise errors.LogUnavailableError(
                "append", self._url, f"status {response.code}"
            )
        if response.code != 200:
            raise errors.AppendUncertainError(
                "append", self._url, f"status {response.code}"
            )
        try:
            wire = _WireAppended.model_validate_json(response.body)
        except pydantic.ValidationError as error:
            raise errors.AppendUncertainError(
                "append", self._url, "malformed answer"
            ) from error
        return Appended(wire.offset, wire.time)

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset wanted.
        :param wait_seconds: how long to wait for a record if there is none.
        :raises errors.LogUnavailableError: the log did not answer.
        """
        limit_seconds = (
            wait_seconds + POLL_MARGIN_SECONDS
            if wait_seconds
            else READ_TIMEOUT_SECONDS
        )
        request = httpclient.HTTPRequest(
            f"{self._url}/streams/{stream}/records"
            f"?from={offset}&limit={READ_LIMIT_RECORDS}&wait={wait_seconds}",
            request_timeout=limit_seconds,
            connect_timeout=limit_seconds,
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
