"""Processor time of a router for a relayed stream and for a refusal.

    python -m experiments.refusal_cost

A request that is handed over to a peer passes through the instance like a
relayed one; a refusal costs its head. `docs/design/uneven-instances.md` weighs
them.
"""

import asyncio
import pathlib
import tempfile

import click
import psutil  # type: ignore[import-untyped]

from standins import platform_caller, router_fleet

REQUESTS = 1000


async def measure(fleet: router_fleet.RouterFleet, kind: str) -> float:
    """Return the processor time of a request in ms.

    :param kind: the kind of the route.
    """
    process = psutil.Process(fleet.routers[0].pid)
    kept = platform_caller.KeptConnections()
    before = process.cpu_times()
    for number in range(REQUESTS):
        await fleet.call(
            f"{kind}-{number}", kind, fleet.addresses[0], kept=kept
        )
    after = process.cpu_times()
    kept.close()
    seconds = float(after.user + after.system - before.user - before.system)
    return seconds * 1000.0 / REQUESTS


async def run(directory: pathlib.Path) -> None:
    """Measure both and print them."""
    fleet = router_fleet.RouterFleet(directory, 1)
    await fleet.add_endpoint("engine-0", "engine")
    try:
        await fleet.start()
        # No endpoint serves the plain routes.
        for kind in ("streaming", "safe"):
            click.echo(f"{kind}: {await measure(fleet, kind):.2f} ms")
    finally:
        await fleet.stop()


if __name__ == "__main__":
    with tempfile.TemporaryDirectory() as name:
        asyncio.run(run(pathlib.Path(name)))
