"""Runs a router as a process of its own on a loopback address."""

import asyncio
import contextlib
import dataclasses
import pathlib
import signal
import socket
import subprocess
import sys

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
sessionS = 5
retryBudgetRatio = 0.9
retryWindowS = 10
retryBudgetSlack = 200
[platform]
address = "{store}"
"""


@dataclasses.dataclass(frozen=True)
class Ports:
    """The ports of every router; each has a loopback address of its own."""

    callers: int
    ready: int
    gossip: int


def pick_ports() -> Ports:
    """Return ports that the system picks."""
    with contextlib.ExitStack() as stack:
        numbers = []
        for _ in dataclasses.fields(Ports):
            probe = stack.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            numbers.append(probe.getsockname()[1])
        return Ports(*numbers)


class RouterProcess:
    """One router as a process of its own.

    :param address: its loopback address.
    :param ports: the ports that it opens there.
    :param directory: where settings and log go.
    """

    def __init__(
        self, address: str, ports: Ports, directory: pathlib.Path
    ) -> None:
        self.address = address
        self._ports = ports
        self.lock = asyncio.Lock()
        self._directory = directory
        self._process: subprocess.Popen[bytes] | None = None

    def start(self, store_address: str, seeds: list[str]) -> None:
        """Write the settings and start the process."""
        path = self._directory / f"{self.address}.toml"
        quoted = ", ".join(f'"{seed}:1"' for seed in seeds)
        path.write_text(
            NODE_FILE.format(
                address=self.address,
                gossip=self._ports.gossip,
                callers=self._ports.callers,
                ready=self._ports.ready,
                seeds=quoted,
                store=store_address,
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

    def send(self, number: signal.Signals) -> None:
        """Send a signal to the process, if it runs."""
        if self._process is not None and self._process.poll() is None:
            self._process.send_signal(number)

    async def wait(self) -> None:
        """Wait for the process to end."""
        while self._process is not None and self._process.poll() is None:
            await asyncio.sleep(0.02)
