"""Batches other instances' bills and claims into fewer log appends."""

import asyncio
import collections
import dataclasses
import logging

from wagtailstream_core import collectors, errors, wire_pb2
from wagtailstream_runtime import log_client, metrics

MAX_WAITING_RECORDS = 20000
MAX_RECORDS_PER_APPEND = 500
MAX_BYTES_PER_APPEND = 512 * 1024

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class _PendingRecord:
    """A record that waits for its batch to be appended."""

    payload: bytes
    appended: "asyncio.Future[log_client.AppendResult]"


class Collector:
    """Collects the records of each stream and appends them in batches.

    :param log: the platform's log.
    :param window_seconds: how long a batch collects records before its
        append.
    :param counters: metrics to count records and appends in.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        window_seconds: float,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._window_seconds = window_seconds
        self._metrics = counters
        self._waiting: dict[str, collections.deque[_PendingRecord]] = {}
        self._writers: dict[str, asyncio.Task[None]] = {}

    @property
    def waiting_count(self) -> int:
        """Number of records that wait for their append."""
        return sum(len(queue) for queue in self._waiting.values())

    async def collect(
        self, request: wire_pb2.CollectRequest
    ) -> wire_pb2.CollectReply:
        """Append a record as part of a batch and return the result.

        The reply is sent once the record is durable or the append failed.

        :param request: the record and its stream.
        """
        try:
            appended = await self._add(request.stream, request.payload)
        except errors.AppendUncertainError as error:
            return _make_reply(
                wire_pb2.CollectReply.STATUS_UNCERTAIN, str(error)
            )
        except errors.WagtailstreamError as error:
            return _make_reply(
                wire_pb2.CollectReply.STATUS_NOT_APPENDED, str(error)
            )
        return wire_pb2.CollectReply(
            status=wire_pb2.CollectReply.STATUS_DURABLE,
            offset=appended.offset,
            time=appended.time,
        )

    async def _add(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        collectors.check_payload(stream, payload)
        if self.waiting_count >= MAX_WAITING_RECORDS:
            raise errors.LogUnavailableError(
                collectors.STEP, "collector", "too many records are waiting"
            )
        appended: asyncio.Future[log_client.AppendResult] = (
            asyncio.get_running_loop().create_future()
        )
        queue = self._waiting.setdefault(stream, collections.deque())
        queue.append(_PendingRecord(payload, appended))
        self._metrics.count(metrics.Metric.RECORDS_COLLECTED)
        if stream not in self._writers:
            self._writers[stream] = asyncio.ensure_future(self._write(stream))
        return await appended

    async def _write(self, stream: str) -> None:
        """Append the stream's waiting records until none is left."""
        queue = self._waiting[stream]
        try:
            while queue:
                await asyncio.sleep(self._window_seconds)
                await self._append(stream, _take_batch(queue))
        finally:
            del self._writers[stream]

    async def _append(self, stream: str, batch: list[_PendingRecord]) -> None:
        payload = collectors.join_payloads(
            stream, [pending.payload for pending in batch]
        )
        try:
            appended = await self._log.append(stream, payload)
        except errors.LogUnavailableError as error:
            _LOGGER.debug("collected append failed", extra={"detail": error})
            for pending in batch:
                if not pending.appended.done():
                    pending.appended.set_exception(error)
            return
        self._metrics.count(metrics.Metric.COLLECTED_APPENDS)
        for pending in batch:
            if not pending.appended.done():
                pending.appended.set_result(appended)


def _take_batch(
    queue: "collections.deque[_PendingRecord]",
) -> list[_PendingRecord]:
    batch: list[_PendingRecord] = []
    size = 0
    while queue and len(batch) < MAX_RECORDS_PER_APPEND:
        size += len(queue[0].payload)
        if batch and size > MAX_BYTES_PER_APPEND:
            break
        batch.append(queue.popleft())
    return batch


def _make_reply(
    status: "wire_pb2.CollectReply.Status.ValueType", detail: str
) -> wire_pb2.CollectReply:
    return wire_pb2.CollectReply(status=status, detail=detail)
