"""Routers as processes keep the rate that an endpoint names to them all."""

import asyncio
import dataclasses
import pathlib
import time

from standins import router_fleet
from wagtailstream_adapter import names

ROUTERS = 4
CALLERS = 8
PER_SECOND = 1.4
WINDOW_SECONDS = 4.0
# The users' bound for the requests of all routers in any such window.
MOST_IN_WINDOW = 1.5 * WINDOW_SECONDS * PER_SECOND + 5.0
# The bound holds for requests sent so long after the endpoint named its limit.
TOLD_SECONDS = 0.5
SAMPLE_SECONDS = 6.0


async def call_in_turn(
    fleet: router_fleet.RouterFleet, caller: int, ended: asyncio.Event
) -> None:
    """Send requests to one router after the other until told to end."""
    number = 0
    while not ended.is_set():
        number += 1
        address = fleet.addresses[(caller + number) % ROUTERS]
        await fleet.call(f"{caller}-{number}", "streaming", address)


async def sample_runs(
    proxied: router_fleet.ProxiedEndpoint,
) -> list[tuple[float, int]]:
    """Return an endpoint's runs at several times."""
    samples = []
    deadline = time.monotonic() + SAMPLE_SECONDS
    while time.monotonic() < deadline:
        samples.append((time.monotonic(), proxied.endpoint.runs))
        await asyncio.sleep(0.02)
    return samples


async def test_routers_together_send_no_more_than_an_endpoint_named(
    tmp_path: pathlib.Path,
) -> None:
    fleet = router_fleet.RouterFleet(tmp_path, ROUTERS)
    try:
        limited, *_ = [
            await fleet.add_endpoint(f"engine-{number}", "engine")
            for number in range(3)
        ]
        plan = limited.endpoint.default
        await fleet.start()
        ended = asyncio.Event()
        callers = [
            asyncio.ensure_future(call_in_turn(fleet, number, ended))
            for number in range(CALLERS)
        ]
        limited.endpoint.default = dataclasses.replace(
            plan,
            headers=(*plan.headers, (names.RATE_LIMIT, str(PER_SECOND))),
        )
        while not any(
            "endpoint_limit" in pathlib.Path(path).read_text()
            for path in fleet.log_paths
        ):
            await asyncio.sleep(0.02)
        await asyncio.sleep(TOLD_SECONDS)
        samples = await sample_runs(limited)
        ended.set()
        await asyncio.gather(*callers)
        most = max(
            runs - earlier_runs
            for at, runs in samples
            for earlier_at, earlier_runs in samples
            if 0.0 < at - earlier_at <= WINDOW_SECONDS
        )
        assert 0 < most <= MOST_IN_WINDOW
    finally:
        await fleet.stop()
