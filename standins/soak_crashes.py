"""A request that crashes endpoints, sent again and again to any router."""

import asyncio
import random
import time

from standins import platform_endpoint, router_fleet
from wagtailstream_adapter import names

SERVICE = router_fleet.FRAGILE
ENDPOINTS = 3
# The path of the request that crashes endpoints; others are sound.
CRASHING_PATH = f"/{SERVICE}/crash"
SOUND_PATH = f"/{SERVICE}/sound"
# The rule of the users' platform: how often the request may reach endpoints,
# sent later than the time of contact after the third crash.
CRASH_LIMIT = 3
MAX_FURTHER_RUNS = 3
CONTACT_SECONDS = 3.0
PAUSE_SECONDS = 0.15
# How long an endpoint needs to be back after a crash.
BACK_SECONDS = 0.4


class CrashFaults:
    """Sends the request beside the other faults, and counts its runs.

    :param seed: seeds the choices; they are its own, so that those of the
        other faults stay as they were.
    """

    def __init__(self, fleet: router_fleet.RouterFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(f"{seed}-crashes")
        self._endpoints: list[platform_endpoint.PlatformEndpoint] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._crashed_at: list[float] = []
        self._sent_at: dict[str, float] = {}
        self._count = 0

    @property
    def crash_count(self) -> int:
        """How often endpoints have crashed."""
        return len(self._crashed_at)

    async def start(self) -> None:
        """Start the endpoints and the callers."""
        for number in range(ENDPOINTS):
            endpoint = platform_endpoint.PlatformEndpoint(f"fragile-{number}")
            endpoint.crashing_target = CRASHING_PATH
            await endpoint.start()
            self._endpoints.append(endpoint)
            self._write_entry(endpoint)
            self._tasks.append(asyncio.ensure_future(self._revive(endpoint)))
        for target in (CRASHING_PATH, SOUND_PATH):
            self._tasks.append(asyncio.ensure_future(self._send(target)))

    async def stop(self) -> None:
        """Stop the callers and the endpoints."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self._endpoints:
            await endpoint.close()

    def _write_entry(
        self, endpoint: platform_endpoint.PlatformEndpoint
    ) -> None:
        """Write an endpoint's entry; no proxy hides that its port is shut."""
        entry = self._fleet.make_direct_entry(endpoint, SERVICE)
        self._fleet.put_entry(endpoint, entry)

    def write_entries(self) -> None:
        """Write all entries, also after the store lost them."""
        for endpoint in self._endpoints:
            self._write_entry(endpoint)

    async def _revive(
        self, endpoint: platform_endpoint.PlatformEndpoint
    ) -> None:
        while True:
            await endpoint.crashed.wait()
            self._crashed_at.append(time.monotonic())
            await asyncio.sleep(BACK_SECONDS)
            endpoint.crashed.clear()
            endpoint.begin_start()
            await endpoint.start()
            self._write_entry(endpoint)

    async def _send(self, target: str) -> None:
        while True:
            self._count += 1
            identity = f"fragile-{self._count}"
            self._sent_at[identity] = time.monotonic()
            await self._fleet.call(
                identity,
                "safe",
                self._random.choice(self._fleet.addresses),
                target=target,
            )
            await asyncio.sleep(PAUSE_SECONDS)

    def list_violations(self) -> list[str]:
        """Return one line for each broken promise."""
        if len(self._crashed_at) < CRASH_LIMIT:
            return []
        since = self._crashed_at[CRASH_LIMIT - 1] + CONTACT_SECONDS
        late = [
            arrival
            for endpoint in self._endpoints
            for arrival in endpoint.arrivals
            if arrival.target == CRASHING_PATH
            and self._sent_at[arrival.headers[names.REQUEST_ID.lower()]]
            > since
        ]
        if len(late) <= MAX_FURTHER_RUNS:
            return []
        return [
            f"a request that crashes endpoints reached {len(late)} too late,"
            f" {MAX_FURTHER_RUNS} allowed ({len(self._crashed_at)} crashes)"
        ]
