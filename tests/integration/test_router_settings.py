"""A running router reloads its settings file on SIGHUP.

An invalid file must leave the settings as they are, and no reload may restart
the router.
"""

import asyncio
import pathlib
import signal

import orjson

from standins import router_fleet


def read_lines(path: str, event: str) -> list[dict[str, object]]:
    """Return the lines of a log file that record an event."""
    lines = []
    for raw in pathlib.Path(path).read_bytes().splitlines():
        if raw.startswith(b"{"):
            table = orjson.loads(raw)
            if table["message"] == event:
                lines.append(table)
    return lines


async def wait_line(path: str, event: str) -> dict[str, object]:
    async with asyncio.timeout(30.0):
        while not (lines := read_lines(path, event)):
            await asyncio.sleep(0.05)
    return lines[0]


async def test_a_signal_reloads_and_ends_nothing(
    tmp_path: pathlib.Path,
) -> None:
    fleet = router_fleet.RouterFleet(tmp_path, routers=1)
    try:
        await fleet.add_endpoint("plain-0", "plain")
        await fleet.start()
        (address,) = fleet.addresses
        (log,) = fleet.log_paths
        settings = tmp_path / f"{address}.toml"
        good = settings.read_text()
        settings.write_text(
            good.replace("exposureShare = 0.15", 'exposureShare = "x"')
        )
        fleet.routers[0].send_signal(signal.SIGHUP)
        ignored = await wait_line(log, "settings_ignored")
        assert "bounds.exposureShare" in str(ignored["detail"])
        settings.write_text(
            good.replace("exposureShare = 0.15", "exposureShare = 0.2")
        )
        fleet.routers[0].send_signal(signal.SIGHUP)
        reloaded = await wait_line(log, "settings_reloaded")
        assert reloaded["taken"] == ["bounds"]
        reply = await fleet.call("request-1", "unsafe", address)
        assert reply.status == 200
        assert len(read_lines(log, "started")) == 1
    finally:
        await fleet.stop()
