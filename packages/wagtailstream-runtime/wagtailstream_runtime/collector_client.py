"""A log client that appends bills and claims through collectors."""

import asyncio
import collections.abc
import logging
import ssl
import time

import grpclib
import grpclib.client
import grpclib.exceptions

from wagtailstream_core import collectors, errors, wire_grpc, wire_pb2
from wagtailstream_runtime import (
    auth,
    instance_list,
    log_client,
    metrics,
)

CALL_TIMEOUT_SECONDS = 3.0
# How long a collector is not used after a failed call.
EXCLUSION_SECONDS = 10.0
# Interval between reads of the platform's instance list.
REFRESH_SECONDS = 1.0
_METHOD = "/wagtailstream.Agent/Collect"
_CALL_ERRORS = (
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)

_LOGGER = logging.getLogger(__name__)


class CollectorLogClient(log_client.LogClient):
    """Appends bills and claims through a collector, other records directly.

    While no collector is usable, all records are appended directly. A
    collector may fail after it appended the record, so that the result is
    uncertain: the caller gets an AppendUncertainError and appends the record
    again, and the readers of the stream ignore the duplicate.

    :param direct: the platform's log.
    :param instances: the platform's instance list, from which collectors are
        chosen.
    :param count: number of agents that act as collectors.
    :param sender: this instance's name.
    :param authenticator: creates the credentials of calls.
    :param context: the TLS context; None for plain connections.
    :param counters: metrics to count collector failures in.
    """

    def __init__(
        self,
        direct: log_client.LogClient,
        instances: instance_list.InstanceList,
        count: int,
        sender: str,
        authenticator: auth.Authenticator,
        context: ssl.SSLContext | None,
        counters: metrics.Metrics,
    ) -> None:
        self._direct = direct
        self._instances = instances
        self._count = count
        self._sender = sender
        self._authenticator = authenticator
        self._context = context
        self._metrics = counters
        self._chosen: list[str] = []
        self._failed_collectors: list[collectors.FailedCollector] = []
        self._channels: dict[str, grpclib.client.Channel] = {}

    @property
    def chosen(self) -> collections.abc.Sequence[str]:
        """The addresses of the collectors as of the last refresh."""
        return tuple(self._chosen)

    async def run(self) -> None:
        """Refresh the collectors periodically until cancelled."""
        while True:
            try:
                await self.refresh()
            except errors.PeerError as error:
                _LOGGER.debug(
                    "instance list unavailable", extra={"detail": str(error)}
                )
            await asyncio.sleep(REFRESH_SECONDS)

    async def refresh(self) -> None:
        """Choose the collectors from the present instance list.

        :raises errors.PeerError: the instance list did not answer.
        """
        listed = await self._instances.fetch()
        addresses = [
            i.address for i in listed if i.role == "agent" and not i.is_leaving
        ]
        self._chosen = collectors.choose_collectors(addresses, self._count)
        for address in set(self._channels) - set(self._chosen):
            self._channels.pop(address).close()

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        """Append one record.

        :param stream: the stream's name.
        :param payload: the record's bytes.
        :raises errors.AppendUncertainError: the answer was lost; the record
            may be in the log.
        :raises errors.LogUnavailableError: the record is not in the log.
        """
        now = time.monotonic()
        self._failed_collectors = [
            c for c in self._failed_collectors if c.until > now
        ]
        collector = collectors.choose_for_sender(
            self._sender, self._chosen, self._failed_collectors, now
        )
        if collector is None or not collectors.is_collected(stream):
            return await self._direct.append(stream, payload)
        return await self._append_through(collector, stream, payload)

    async def _append_through(
        self, collector: str, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        stub = wire_grpc.AgentStub(self._find_channel(collector))
        try:
            reply = await stub.Collect(
                wire_pb2.CollectRequest(stream=stream, payload=payload),
                timeout=CALL_TIMEOUT_SECONDS,
                metadata=self._authenticator.make_metadata(_METHOD),
            )
        except _CALL_ERRORS as error:
            self._exclude(collector)
            raise errors.AppendUncertainError(
                collectors.STEP, collector, repr(error)
            ) from error
        if reply.status == wire_pb2.CollectReply.STATUS_DURABLE:
            return log_client.AppendResult(reply.offset, reply.time)
        if reply.status == wire_pb2.CollectReply.STATUS_NOT_APPENDED:
            raise errors.LogUnavailableError(
                collectors.STEP, collector, reply.detail
            )
        raise errors.AppendUncertainError(
            collectors.STEP, collector, reply.detail
        )

    def _find_channel(self, collector: str) -> grpclib.client.Channel:
        if collector not in self._channels:
            host, _, port = collector.rpartition(":")
            self._channels[collector] = grpclib.client.Channel(
                host, int(port), ssl=self._context
            )
        return self._channels[collector]

    def _exclude(self, collector: str) -> None:
        self._metrics.count(metrics.Metric.COLLECTORS_FAILED)
        until = time.monotonic() + EXCLUSION_SECONDS
        self._failed_collectors.append(
            collectors.FailedCollector(collector, until)
        )
        channel = self._channels.pop(collector, None)
        if channel is not None:
            channel.close()

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> log_client.Slice:
        """Read the records from an offset on.

        :param stream: the stream's name.
        :param offset: the first offset to return.
        :param wait_seconds: how long to wait for a record if there is none.
        :raises errors.LogUnavailableError: the log did not answer.
        """
        return await self._direct.read(stream, offset, wait_seconds)

    def close(self) -> None:
        """Close all connections to collectors."""
        for channel in self._channels.values():
            channel.close()
        self._channels.clear()
