"""Tests of the collector and of the log client that uses collectors."""

import asyncio
import collections.abc

import grpclib.server
import pytest

from wagtailstream_agent import collector
from wagtailstream_core import billing, errors, wire_grpc
from wagtailstream_runtime import (
    auth,
    collector_client,
    instance_list,
    log_client,
    metrics,
)


class FaultyLog(log_client.MemoryLog):
    """A log whose next appends fail.

    :param faults: the errors to raise, one per append, the last one first.
    """

    def __init__(self, *faults: errors.LogUnavailableError) -> None:
        super().__init__()
        self.faults = list(faults)

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        if self.faults:
            raise self.faults.pop()
        return await super().append(stream, payload)

    async def count(self) -> tuple[int, int]:
        """Return the numbers of records and of bills in the log."""
        found = (await self.read(billing.STREAM, 0)).records
        bills = [b for r in found for b in billing.decode_batch(r.payload)]
        return len(found), len(bills)


class CollectorService(wire_grpc.AgentBase):
    """An agent service that only implements Collect."""

    def __init__(
        self, log: log_client.LogClient, window_seconds: float
    ) -> None:
        self.collector = collector.Collector(
            log, window_seconds, metrics.MemoryMetrics()
        )

    async def Collect(self, stream) -> None:  # noqa: N802
        message = await stream.recv_message()
        await stream.send_message(await self.collector.collect(message))

    async def _refuse(self, stream) -> None:
        raise NotImplementedError

    Run = Watch = PushConfiguration = PullConfiguration = _refuse
    FetchResult = _refuse


def make_payload(number: int) -> bytes:
    cost = billing.AttemptCost(attempt=0, endpoint="e")
    bill = billing.Bill(customer="c", request_id=str(number), attempts=(cost,))
    return billing.encode_batch([bill])


def make_client(
    log: log_client.LogClient, addresses: collections.abc.Iterable[str]
) -> collector_client.CollectorLogClient:
    listed = [
        instance_list.Instance(a, "agent", a, "rennes", a, False)
        for a in addresses
    ]
    return collector_client.CollectorLogClient(
        log,
        instance_list.MemoryInstanceList(listed),
        2,
        "entry-1",
        auth.Authenticator("k", {"k": b"0" * 32}),
        None,
        metrics.MemoryMetrics(),
    )


async def start_collector(
    log: log_client.LogClient, window_seconds: float = 0.02
) -> tuple[grpclib.server.Server, str]:
    server = grpclib.server.Server([CollectorService(log, window_seconds)])
    await server.start("127.0.0.1", 0)
    port = server._server.sockets[0].getsockname()[1]
    return server, f"127.0.0.1:{port}"


async def test_concurrent_records_become_one_append() -> None:
    log = FaultyLog()
    # Longer than it takes for all calls to arrive, even on a loaded machine.
    server, address = await start_collector(log, window_seconds=1.0)
    client = make_client(FaultyLog(), [address])
    await client.refresh()
    appended = await asyncio.gather(
        *(client.append(billing.STREAM, make_payload(n)) for n in range(20))
    )
    assert await log.count() == (1, 20)
    assert {item.offset for item in appended} == {0}
    client.close()
    server.close()


async def test_log_faults_reach_the_sender() -> None:
    lost = errors.AppendUncertainError("append", "log", "lost")
    down = errors.LogUnavailableError("append", "log", "down")
    log = FaultyLog(lost, down)
    server, address = await start_collector(log)
    client = make_client(FaultyLog(), [address])
    await client.refresh()
    with pytest.raises(errors.LogUnavailableError) as refused:
        await client.append(billing.STREAM, make_payload(1))
    assert not isinstance(refused.value, errors.AppendUncertainError)
    with pytest.raises(errors.AppendUncertainError):
        await client.append(billing.STREAM, make_payload(1))
    await client.append(billing.STREAM, make_payload(1))
    assert await log.count() == (1, 1)
    client.close()
    server.close()


async def test_failed_collector_is_skipped_and_records_go_to_the_log() -> None:
    log = FaultyLog()
    server, address = await start_collector(log)
    server.close()
    await server.wait_closed()
    client = make_client(log, [address])
    await client.refresh()
    # The first result is uncertain, because the collector may have appended
    # the record; the second append goes directly to the log.
    with pytest.raises(errors.AppendUncertainError):
        await client.append(billing.STREAM, make_payload(1))
    await client.append(billing.STREAM, make_payload(1))
    assert await log.count() == (1, 1)
    client.close()


async def test_configuration_is_never_collected() -> None:
    direct = FaultyLog()
    server, address = await start_collector(FaultyLog())
    client = make_client(direct, [address])
    await client.refresh()
    await client.append("config", b"{}")
    assert len((await direct.read("config", 0)).records) == 1
    server.close()
