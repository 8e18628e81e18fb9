"""Measures an entry's CPU time and memory for heartbeats, per link.

Run as ``python -m experiments.heartbeats``. The agents run in another process,
so that only the entry's side is measured. The cost per link is the difference
between runs with N and 2N links, which excludes the fixed cost of the process.
"""

import asyncio
import dataclasses
import multiprocessing
import subprocess
import sys
import time
import typing
from concurrent import futures

import click
import grpclib.server
import orjson
import psutil  # type: ignore[import-untyped]

from wagtailstream_agent import collector, grpc_service, runner
from wagtailstream_core import clock, signing, tallies, wire_pb2
from wagtailstream_entry.endpoints import connection, links
from wagtailstream_runtime import (
    auth,
    bill_outbox,
    follower,
    instance_list,
    log_client,
    metrics,
    notifier,
    strike_board,
)

LINKS = 64
MEASURED_SECONDS = 10.0
WARM_UP_SECONDS = 3.0
# Also the time between reads of the list of instances.
HEARTBEAT_SECONDS = 1.0
KEY = "fleet-1"
SECRET = bytes(32)
MODULE = "experiments.heartbeats"


@dataclasses.dataclass(frozen=True)
class Cost:
    """The resources that an entry used.

    :param links: the number of links to agents.
    :param cpu: seconds of CPU time per second.
    :param memory: resident memory, in bytes.
    """

    links: int
    cpu: float
    memory: int


@dataclasses.dataclass(frozen=True)
class Parts:
    """The objects that both an entry and an agent need."""

    clock: clock.Clock
    metrics: metrics.Metrics
    follower: follower.Follower
    notifier: notifier.Notifier
    strikes: strike_board.StrikeBoard
    authenticator: auth.Authenticator


def make_parts() -> Parts:
    """Return the objects for one entry or agent."""
    counters = metrics.MemoryMetrics()
    system_clock = clock.SystemClock()
    config_follower = follower.Follower(
        log_client.MemoryLog(),
        signing.Keyring({}, {KEY: SECRET}),
        signing.FleetSigner(KEY, SECRET),
        "dc-1",
        system_clock,
        counters,
    )
    change_notifier = notifier.Notifier()
    board = strike_board.StrikeBoard(
        config_follower, system_clock, change_notifier, counters, "experiment"
    )
    return Parts(
        system_clock,
        counters,
        config_follower,
        change_notifier,
        board,
        auth.Authenticator(KEY, {KEY: SECRET}),
    )


def make_heartbeat(name: str) -> wire_pb2.Heartbeat:
    """Return a heartbeat of typical size.

    :param name: the name of the sending instance.
    """
    return wire_pb2.Heartbeat(
        instance=name,
        endpoint=name,
        data_centre="dc-1",
        sequence=int(time.time()),
        configuration_offset=-1,
        running=8,
        slots=8,
        loaded=[
            wire_pb2.ModelVersion(model=f"model-{n}", version="2026-01")
            for n in range(3)
        ],
        contacts=[
            wire_pb2.LogContact(
                data_centre=f"dc-{n}", reached_unix_ms=1, tail_offset=1
            )
            for n in range(4)
        ],
    )


async def serve_agents(count: int) -> None:
    """Serve agents on free ports, print the ports as JSON and run forever.

    :param count: the number of agents.
    """
    ports = []
    for number in range(count):
        parts = make_parts()
        name = f"agent-{number}"
        service = grpc_service.AgentService(
            typing.cast(runner.Runner, None),
            parts.follower,
            typing.cast(bill_outbox.BillOutbox, None),
            lambda name=name: make_heartbeat(name),  # type: ignore[misc]
            clock.SystemClock(),
            parts.strikes,
            parts.notifier,
            tallies.TallyBoard(name),
            typing.cast(collector.Collector, None),
        )
        server = grpclib.server.Server([service])
        await server.start("127.0.0.1", 0)
        listening = typing.cast(asyncio.Server, server._server)
        ports.append(listening.sockets[0].getsockname()[1])
    print(orjson.dumps(ports).decode(), flush=True)
    await asyncio.Event().wait()


async def measure(ports: list[int], seconds: float) -> Cost:
    """Return the resources that an entry with a link to each port uses.

    :param ports: the agents' ports.
    :param seconds: how long to measure.
    :raises RuntimeError: if a link is down at the end.
    """
    parts = make_parts()
    listed = [
        instance_list.Instance(
            f"agent-{port}", "agent", f"127.0.0.1:{port}", "dc-1", "", False
        )
        for port in ports
    ]
    table = links.LinkTable(
        instance_list.MemoryInstanceList(listed),
        parts.follower,
        parts.authenticator,
        parts.clock,
        connection.WatchSettings(
            HEARTBEAT_SECONDS,
            lambda: make_heartbeat("entry-1"),
            parts.strikes,
            parts.notifier,
        ),
        HEARTBEAT_SECONDS,
        links.LinkBounds("entry-1", len(ports)),
        lambda received: None,
        lambda endpoint, life: None,
    )
    table_task = asyncio.ensure_future(table.run())
    await asyncio.sleep(WARM_UP_SECONDS)
    before, started_at = time.process_time(), time.monotonic()
    await asyncio.sleep(seconds)
    used = time.process_time() - before
    elapsed = time.monotonic() - started_at
    usable = sum(link.is_usable for link in table.list_links())
    if usable != len(ports):
        raise RuntimeError(
            f"only {usable} of {len(ports)} links are usable after the"
            " measurement"
        )
    memory = psutil.Process().memory_info().rss
    table.close()
    table_task.cancel()
    return Cost(usable, used / elapsed, memory)


def run(count: int, seconds: float) -> Cost:
    """Start agents in another process and return an entry's cost.

    :param count: the number of links.
    :param seconds: how long to measure.
    """
    agents = subprocess.Popen(
        [sys.executable, "-m", MODULE, "--agents", str(count)],
        stdout=subprocess.PIPE,
    )
    try:
        line = agents.stdout.readline() if agents.stdout else b"[]"
        return asyncio.run(measure(orjson.loads(line), seconds))
    finally:
        agents.kill()
        agents.wait()


def run_in_new_process(count: int, seconds: float) -> Cost:
    """Return the cost as :func:`run` does, measured in a new process.

    :param count: the number of links.
    :param seconds: how long to measure.
    """
    spawn = multiprocessing.get_context("spawn")
    with futures.ProcessPoolExecutor(1, mp_context=spawn) as executor:
        return executor.submit(run, count, seconds).result()


@click.command()
@click.option("--links", "count", default=LINKS, show_default=True)
@click.option("--seconds", default=MEASURED_SECONDS, show_default=True)
@click.option(
    "--agents", default=0, help="Serve this many agents instead of measuring."
)
def main(count: int, seconds: float, agents: int) -> None:
    """Print the cost with N and 2N links, and the cost per link."""
    if agents:
        asyncio.run(serve_agents(agents))
        return
    costs = [
        run_in_new_process(count, seconds),
        run_in_new_process(2 * count, seconds),
    ]
    for cost in costs:
        click.echo(
            f"links={cost.links} cpu={cost.cpu:.4f} "
            f"rss={cost.memory / 1e6:.1f} MB"
        )
    added_links = costs[1].links - costs[0].links
    cpu = (costs[1].cpu - costs[0].cpu) / added_links
    memory = (costs[1].memory - costs[0].memory) / added_links
    size = len(make_heartbeat("agent-1").SerializeToString())
    click.echo(
        f"slope: {cpu * 1e6:.0f} us of CPU and {memory / 1e3:.1f} kB a link "
        f"at one heartbeat each way per {HEARTBEAT_SECONDS:g} s "
        f"({size} bytes of payload)"
    )


if __name__ == "__main__":
    main()
