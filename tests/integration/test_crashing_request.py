"""A request that crashes endpoints stays refused over restarts of routers."""

import asyncio
import collections.abc
import pathlib
import signal

import pytest

from standins import platform_store, router_fleet, router_process, soak_crashes
from wagtailstream_adapter import names

# The request goes on for longer than the time of contact after the restarts.
AFTER_SECONDS = 2.0


@pytest.fixture
async def fleet(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[router_fleet.RouterFleet]:
    routers = router_fleet.RouterFleet(tmp_path, routers=3)
    try:
        await routers.start()
        yield routers
    finally:
        await routers.stop()


@pytest.fixture
async def crashes(
    fleet: router_fleet.RouterFleet,
) -> collections.abc.AsyncIterator[soak_crashes.CrashFaults]:
    """Send the request, and check at the end how often it ran."""
    faults = soak_crashes.CrashFaults(fleet, 1)
    await faults.start()
    try:
        yield faults
    finally:
        await faults.stop()
    assert not faults.list_violations()


async def restart(
    fleet: router_fleet.RouterFleet,
    routers: list[router_process.RouterProcess],
) -> None:
    """Kill routers at the same time, and start them again."""
    for router in routers:
        router.send_signal(signal.SIGKILL)
    for router in routers:
        await router.wait()
    for router in routers:
        fleet.start_router(router)
    await fleet.wait_all_ready()


async def wait_for_event(fleet: router_fleet.RouterFleet, event: str) -> None:
    """Wait until a router has logged an event."""
    while not any(
        f'"{event}"' in pathlib.Path(path).read_text()
        for path in fleet.log_paths
    ):
        await asyncio.sleep(0.05)


# Guards against BUDGET: what was refused was known to the processes alone.
@pytest.mark.parametrize("count", [1, 3])
async def test_a_request_stays_refused_when_routers_restart(
    fleet: router_fleet.RouterFleet,
    crashes: soak_crashes.CrashFaults,
    count: int,
) -> None:
    await wait_for_event(fleet, "crash_record_written")
    before = crashes.crash_count
    for _ in range(2):
        await restart(fleet, fleet.routers[:count])
        await asyncio.sleep(AFTER_SECONDS)
    assert crashes.crash_count - before <= soak_crashes.MAX_FURTHER_RUNS


async def test_a_request_stays_refused_though_the_store_does_not_know(
    fleet: router_fleet.RouterFleet, crashes: soak_crashes.CrashFaults
) -> None:
    """Each router in turn is replaced by one that only its peers can tell."""
    await wait_for_event(fleet, "crash_record_written")
    del fleet.store.topics[names.CRASHES_TOPIC]
    before = crashes.crash_count
    for router in fleet.routers:
        await restart(fleet, [router])
        await asyncio.sleep(AFTER_SECONDS)
    assert crashes.crash_count - before <= soak_crashes.MAX_FURTHER_RUNS


async def test_a_request_refused_while_the_store_is_away_is_written_later(
    fleet: router_fleet.RouterFleet, crashes: soak_crashes.CrashFaults
) -> None:
    await wait_for_event(fleet, "request_refused")
    fleet.store.fault = platform_store.Fault.BUSY
    await asyncio.sleep(AFTER_SECONDS)
    before = crashes.crash_count
    fleet.store.fault = platform_store.Fault.NONE
    await wait_for_event(fleet, "crash_record_written")
    await restart(fleet, fleet.routers)
    await asyncio.sleep(AFTER_SECONDS)
    assert crashes.crash_count - before <= soak_crashes.MAX_FURTHER_RUNS
