"""The project's own processes, started as the deploy file says."""

import asyncio
import contextlib
import json
import os
import pathlib
import signal
import socket
import subprocess
import sys

from standin import caller, store

ROOT = pathlib.Path(__file__).resolve().parents[2]
COMMAND = "-m wagtailstream_adapter entry --policy deploy/router.yaml".split()
START_SECONDS = 30.0
# The settings of the pages, with the bounds of the small installations.
SETTINGS = """
nodeName = "front-{number}"
role = "entry"
machineClass = "front"
serves = ["front","control"]
ipAddress = "{host}"
zone = "zone-1"
region = "region-1"
internalPortRange = [{first},{last}]
seeds = [{seeds}]
bootstrap = true
lossCounts = false
discovery = "platform"
entry = "virtual_ip"
heartbeatIntervalMs = 1200
contracts = ["base","drain","config","cost","retry","recover","engine",\
"stream","tenants","platform","rollout"]
[zones]
zone-1 = "region-1"
[listen]
front = "{host}:{front}"
ready = "{host}:{ready}"
control = "{host}:{control}"
[limits]
cpuShare = 0.817
cores = 1
memoryMb = 300
fileDescriptors = 4100
linkMbps = 1000.0
diskMb = 0
[faultTolerance]
machines = 1
zones = 0
regions = 0
[bounds]
seedLagS = 3
addressReuseS = 2
contactMs = 3000
ackTimeoutMs = 4000
catchUpS = 4
drainTimeoutMs = 2000
gracePeriodS = 8
lossSlackMs = 200
configurationApplyMs = 2000
rollbackSlackMs = 250
maxStretchMs = 5000
failClosed = false
revocationMs = 5000
retryBudgetRatio = 0.9
retryWindowS = 10
retryBudgetSlack = 56
exposureShare = 0.15
exposureSlack = 30
rollbackMs = 5000
recoveryS = 12
passMs = 120
reuseWindowS = 10
sessionS = 5
[platform]
address = "{store}"
form = "log"
writesPerS = 400
readsPerS = 2000
parts = 24
appendMs = 1.0
partMbPerS = 20.0
readMbPerS = 80.0
recordBytes = 262144
callBytes = 2097152
keep_s = 300
partitionMb = 200
minTtlMs = 1000
"""
PORT_NAMES = ("front", "ready", "control", "first", "last")


class Fleet:
    """Processes of the system, each at a loopback address of its own.

    :param directory: a temporary folder for settings and logs.
    """

    def __init__(
        self, directory: pathlib.Path, store_: store.Store, count: int
    ) -> None:
        self._directory = directory
        self._store = store_
        number = os.getpid() % 60000
        prefix = f"127.{2 + number // 250}.{1 + number % 250}"
        self.hosts = [f"{prefix}.{11 + place}" for place in range(count)]
        # They are the same on all machines.
        self._ports = _pick_ports(PORT_NAMES)
        self._processes: list[subprocess.Popen[bytes] | None] = [None] * count

    @property
    def fronts(self) -> list[str]:
        """The addresses for callers."""
        return [f"{host}:{self._ports['front']}" for host in self.hosts]

    def start(self, place: int, store_address: str = "") -> None:
        """Start a process.

        :param store_address: where it reaches the store; "" for the store's
            own address.
        """
        host = self.hosts[place]
        path = self._directory / f"front-{place}.toml"
        seeds = ",".join(
            f'"{seed}:{self._ports["control"]}"' for seed in self.hosts[:3]
        )
        path.write_text(
            SETTINGS.format(
                number=place,
                host=host,
                seeds=seeds,
                store=store_address or self._store.address,
                **self._ports,
            )
        )
        environment = {
            name: os.environ[name]
            for name in ("PATH", "HOME", "LANG")
            if name in os.environ
        }
        environment["PYTHONPATH"] = str(ROOT / "target" / "deps")
        environment["WAGTAILSTREAM_NODE_FILE"] = str(path)
        with (self._directory / f"front-{place}.log").open("ab") as log:
            self._processes[place] = subprocess.Popen(
                [sys.executable, *COMMAND],
                cwd=ROOT,
                env=environment,
                stdout=log,
                stderr=log,
            )

    def signal(self, place: int, number: signal.Signals) -> None:
        """Send a signal to a process that this script started."""
        process = self._processes[place]
        if process is not None and process.poll() is None:
            process.send_signal(number)

    async def wait_ready(self) -> None:
        """Wait until all processes say that they are ready.

        :raises TimeoutError: one of them does not.
        """
        async with asyncio.timeout(START_SECONDS):
            for host in self.hosts:
                while not await _is_ready(host, self._ports["ready"]):
                    await asyncio.sleep(0.1)

    def stop(self) -> None:
        """End all processes."""
        for place, process in enumerate(self._processes):
            self.signal(place, signal.SIGCONT)
            if process is not None and process.poll() is None:
                process.kill()
                process.wait()

    def list_log_lines(self, *events: str) -> list[dict[str, object]]:
        """Return the log lines of some events, for the record only."""
        found = []
        for path in sorted(self._directory.glob("front-*.log")):
            for line in path.read_text().splitlines():
                with contextlib.suppress(ValueError):
                    fields = json.loads(line)
                    if fields.get("message") in events:
                        found.append(fields)
        return sorted(found, key=lambda fields: fields["time"])


def _pick_ports(names: tuple[str, ...]) -> dict[str, int]:
    """Return a free port for each name."""
    with contextlib.ExitStack() as stack:
        ports = {}
        for name in names:
            probe = stack.enter_context(socket.socket())
            probe.bind(("127.0.0.1", 0))
            ports[name] = probe.getsockname()[1]
        ports["first"], ports["last"] = sorted(
            (ports["first"], ports["last"])
        )
        return ports


async def _is_ready(host: str, port: int) -> bool:
    try:
        reader, writer = await asyncio.open_connection(host, port)
    except OSError:
        return False
    writer.write(b"GET /readiness HTTP/1.1\r\nHost: ready\r\n\r\n")
    line = await reader.readline()
    writer.close()
    return b" 200 " in line


def put_manifest(
    store_: store.Store,
    version: int,
    routes: list[dict[str, object]],
    services: list[dict[str, object]],
) -> None:
    """Write a manifest, as the operator does."""
    manifest = {
        "version": version,
        "routes": [
            {
                "name": f"r-{number}",
                "host": caller.HOST,
                "priority": 2,
                "public": False,
                **route,
            }
            for number, route in enumerate(routes)
        ],
        "services": [
            {
                "healthCheckPath": "/health",
                "maxConnections": 370,
                "protocol": "h1",
                "tls": False,
                **service,
            }
            for service in services
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 4194304,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [
            {"name": "tenant-a", "apiKeys": [caller.KEY], "priority": 1}
        ],
    }
    store_.put("keyed.op", "config", json.dumps(manifest).encode())
