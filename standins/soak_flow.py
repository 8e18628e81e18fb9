"""Callers and endpoints that read slowly, and what routers may hold for them.

Silent callers ask for long answers and read nothing. Slow callers read
a long answer steadily. Slow endpoints take seconds to read a long body.
"""

import asyncio
import contextlib
import random
import time

import psutil  # type: ignore[import-untyped]

from standins import (
    platform_caller,
    platform_endpoint,
    router_fleet,
    soak_notices,
)
from wagtailstream_adapter import names
from wagtailstream_router.flow import bounds

SILENT_CALLERS = 24
# The growth of a process that is allowed: its bound and, for each open
# answer, two reads of 64 KB.
MAX_GROWTH_BYTES = bounds.DEFAULT_PROCESS_BYTES + SILENT_CALLERS * 131_072
SAMPLE_SECONDS = 0.1
# How long after its deadline an answer that nobody reads may go on: three
# checks of the router's watch, on a busy machine.
END_SLACK_SECONDS = 1.0
DEADLINE_SECONDS = router_fleet.DEADLINE_MS / 1000.0
RECEIVE_BYTES = 16_384
SLOW_PACE = platform_caller.ReadPace(65_536, 0.01)
UPLOAD = bytes(range(256)) * 3600
ENDLESS = platform_endpoint.Plan(
    pieces=(b"data: " + b"x" * 60_000 + b"\n\n",),
    framing=platform_endpoint.Framing.CHUNKED,
    end=platform_endpoint.End.ENDLESS,
)
LONG = platform_endpoint.Plan(
    pieces=(b"x" * 65_536,) * 24, framing=platform_endpoint.Framing.CHUNKED
)


class FlowFaults:
    """Injects slow callers and endpoints, and checks what routers do.

    :param fleet: the routers and endpoints.
    :param generator: chooses among them.
    :param notices: knows when routers were paused.
    """

    def __init__(
        self,
        fleet: router_fleet.RouterFleet,
        generator: random.Random,
        notices: soak_notices.NoticeCheck,
    ) -> None:
        self._fleet = fleet
        self._notices = notices
        self._random = generator
        self._count = 0
        self._baselines: dict[int, int] = {}
        self._most_growth: dict[int, int] = {}
        self._violations: list[str] = []
        # Answers that went on: the router, a time within and the line.
        self._unended: list[tuple[str, float, str]] = []

    def list_violations(self) -> list[str]:
        """Return one line for each broken promise."""
        unended = [
            line
            for address, at, line in self._unended
            if not self._notices.is_disturbed(
                address, at - 2 * END_SLACK_SECONDS, at
            )
        ]
        return [*self._violations, *unended] + [
            f"process {pid}: grew by {growth} bytes, allowed are"
            f" {MAX_GROWTH_BYTES}"
            for pid, growth in self._most_growth.items()
            if growth > MAX_GROWTH_BYTES
        ]

    async def sample_memory(self) -> None:
        """Record how far each process has grown, until cancelled."""
        while True:
            for pid, base in self._baselines.items():
                with contextlib.suppress(psutil.Error):
                    growth = psutil.Process(pid).memory_info().rss - base
                    most = self._most_growth.get(pid, 0)
                    self._most_growth[pid] = max(most, growth)
            await asyncio.sleep(SAMPLE_SECONDS)

    def _begin_sampling(self, pid: int) -> None:
        with contextlib.suppress(psutil.Error):
            size = psutil.Process(pid).memory_info().rss
            self._baselines.setdefault(pid, size)

    def _plan(self, plan: platform_endpoint.Plan) -> str:
        """Return the id of a request that gets a plan from any endpoint."""
        self._count += 1
        identity = f"flow-{self._count}"
        for proxied in self._fleet.all_endpoints:
            proxied.endpoint.plans_by_request[identity] = plan
        return identity

    async def stall_callers(self) -> None:
        """Let callers of one router read nothing of long answers."""
        router = self._random.choice(self._fleet.routers)
        try:
            # A process that does not listen yet has still to load modules.
            (await self._connect(router.address)).close()
        except OSError:
            return
        self._begin_sampling(router.pid)
        await asyncio.gather(
            *(
                self._stall(router.address, number % 2 == 0)
                for number in range(SILENT_CALLERS)
            )
        )

    async def _stall(self, address: str, is_stream: bool) -> None:
        identity = self._plan(ENDLESS if is_stream else LONG)
        with contextlib.suppress(OSError):
            connection = await self._connect(address)
            connection.send(
                "POST" if is_stream else "GET",
                "/streaming/x" if is_stream else "/safe/x",
                router_fleet.make_fields(identity),
            )
            ended_by = time.monotonic() + DEADLINE_SECONDS + END_SLACK_SECONDS
            await asyncio.sleep(ended_by - time.monotonic())
            # What the kernel kept is read at once; more comes if it goes on.
            is_ended = False
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(END_SLACK_SECONDS):
                    reply = await connection.read_reply()
                    is_ended = reply.status != 200 or not reply.is_complete
            if not is_ended:
                line = f"{identity}: an unread answer outlives its deadline"
                self._unended.append((address, time.monotonic(), line))
            connection.close()

    async def read_slowly(self) -> None:
        """Let a caller read a long answer slowly but steadily."""
        router = self._random.choice(self._fleet.routers)
        identity = self._plan(LONG)
        with contextlib.suppress(OSError):
            connection = await self._connect(router.address)
            reply = await connection.call(
                "GET",
                "/safe/x",
                router_fleet.make_fields(identity),
                pace=SLOW_PACE,
            )
            connection.close()
            if reply.status == 200 and reply.is_complete:
                self._check_body(identity, reply.body, b"".join(LONG.pieces))

    async def slow_endpoint(self) -> None:
        """Send a long body while an endpoint reads slowly."""
        endpoint = self._random.choice(self._fleet.endpoints).endpoint
        endpoint.read_pause_seconds = self._random.uniform(0.01, 0.3)
        router = self._random.choice(self._fleet.routers)
        identity = self._plan(platform_endpoint.Plan())
        await self._fleet.call(identity, "unsafe", router.address, body=UPLOAD)
        endpoint.read_pause_seconds = 0.0
        for proxied in self._fleet.all_endpoints:
            for arrival in proxied.endpoint.arrivals:
                if arrival.headers.get(names.REQUEST_ID.lower()) == identity:
                    self._check_body(identity, arrival.body, UPLOAD)

    async def _connect(self, address: str) -> platform_caller.CallerConnection:
        return await platform_caller.connect(
            self._fleet.callers_port, address, RECEIVE_BYTES
        )

    def _check_body(self, identity: str, body: bytes, expected: bytes) -> None:
        if body != expected:
            self._violations.append(
                f"{identity}: {len(body)} bytes of {len(expected)}, or others"
            )
