"""Starts a router as a child process on a loopback address."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys

# How far the rate of a cold endpoint may be exceeded.
COLD_OVERSHOOT = 1.5
COLD_SLACK = 5.0
NODE_FILE = """
nodeName = "{address}"
ipAddress = "{address}"
zone = "zone-1"
internalPortRange = [{gossip}, {gossip}]
seeds = [{seeds}]
[listen]
front = "{address}:{callers}"
ready = "{address}:{ready}"
[bounds]
gracePeriodS = 4
drainTimeoutMs = 2000
exposureShare = 0.15
exposureSlack = 30
retryBudgetRatio = 0.9
retryWindowS = 10
retryBudgetSlack = 200
evacuationMs = 5000
coldOvershoot = {overshoot}
coldSlack = {slack}
[platform]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True)
class Ports:
    """The ports that all routers share, as each has its own address."""

    callers: int
    ready: int
    gossip: int


def pick_ports() -> Ports:
    """Return free ports that the system picks."""
    with contextlib.ExitStack() as stack:
        numbers = []
        for _ in dataclasses.fields(Ports):
            probe = stack.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            numbers.append(probe.getsockname()[1])
        return Ports(*numbers)


class RouterProcess:
    """A router that runs as a child process.

    :param address: its loopback address.
    :param ports: the ports on which it listens there.
    :param directory: directory for its settings and log.
    """

    def __init__(
        self, address: str, ports: Ports, directory: pathlib.Path
    ) -> None:
        self.address = address
        self._ports = ports
        # Held from stopping the process until it is started again.
        self.lock = asyncio.Lock()
        self._directory = directory
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, store_address: str, seeds: list[str]) -> None:
        """Write the settings file and start the process.

        :param store_address: IP address and port of the store.
        :param seeds: IP addresses of all routers.
        """
        path = self._directory / f"{self.address}.toml"
        # The router ignores the port of a seed, so any number will do.
        quoted = ", ".join(f'"{seed}:1"' for seed in seeds)
        path.write_text(
            NODE_FILE.format(
                address=self.address,
                gossip=self._ports.gossip,
                callers=self._ports.callers,
                ready=self._ports.ready,
                seeds=quoted,
                store=store_address,
                overshoot=COLD_OVERSHOOT,
                slack=COLD_SLACK,
            )
        )
        with (self._directory / f"{self.address}.log").open("ab") as log:
            self._process = subprocess.Popen(
                [
                    sys.executable,
                    "-m",
                    "wagtailstream_adapter",
                    "entry",
                    "--settings",
                    str(path),
                    "--policy",
                    "deploy/router.yaml",
                ],
                stdout=log,
                stderr=log,
            )

    def send_signal(self, number: signal.Signals) -> None:
        """Send a signal to the process if it is running."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    @property
    def pid(self) -> int:
        """The id of the process; 0 before its first start."""
        return 0 if self._process is None else self._process.pid

    @property
    def exit_code(self) -> int | None:
        """The exit code; the negative number of a signal that ended it.

        None while it runs, and before its first start.
        """
        return None if self._process is None else self._process.poll()

    async def wait_signals_handled(self) -> None:
        """Wait until the process handles SIGHUP, or has ended."""
        assert self._process is not None
        path = pathlib.Path(f"/proc/{self._process.pid}/status")
        while self._process.poll() is None:
            with contextlib.suppress(OSError):
                line = next(
                    line
                    for line in path.read_text().splitlines()
                    if line.startswith("SigCgt:")
                )
                if int(line.split()[1], 16) & (1 << (signal.SIGHUP - 1)):
                    return
            await asyncio.sleep(0.002)

    async def wait(self) -> None:
        """Wait until the process has ended."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.02)
