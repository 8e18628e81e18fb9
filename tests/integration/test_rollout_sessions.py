"""Sessions keep their version, whichever router gets their requests."""

import asyncio
import pathlib
import signal

from standins import router_fleet

SESSIONS = [f"{number:x}0" for number in range(1, 41)]
# Long enough that the test ends in the first half of the roll-out.
ROLLOUT_SECONDS = 10_000.0


async def call_sessions(
    fleet: router_fleet.RouterFleet, name: str, address: str
) -> None:
    """Send one request of each session to a router."""
    replies = await asyncio.gather(
        *(
            fleet.call(f"{name}-{session}", "streaming", address, session)
            for session in SESSIONS
        )
    )
    assert all(reply.is_complete for reply in replies)


async def test_sessions_stay_when_routers_change_and_restart(
    tmp_path: pathlib.Path,
) -> None:
    fleet = router_fleet.RouterFleet(tmp_path, routers=3)
    try:
        for number in range(2):
            await fleet.add_endpoint(f"old-{number}", "engine")
        await fleet.start()
        await call_sessions(fleet, "before", fleet.addresses[0])
        new = [
            await fleet.add_endpoint(f"new-{number}", "engine", "v2")
            for number in range(2)
        ]
        fleet.put_rollout("v2", ROLLOUT_SECONDS)
        for address, path in zip(
            fleet.addresses, fleet.log_paths, strict=True
        ):
            while "rollout_ordered" not in pathlib.Path(path).read_text():
                await asyncio.sleep(0.05)
            await call_sessions(fleet, f"at-{address}", address)
        restarted = fleet.routers[0]
        restarted.send_signal(signal.SIGKILL)
        await restarted.wait()
        fleet.start_router(restarted)
        await fleet.wait_all_ready()
        for address in fleet.addresses:
            await call_sessions(fleet, f"after-{address}", address)
        assert [proxied.endpoint.runs for proxied in new] == [0, 0]
    finally:
        await fleet.stop()
