"""A roll-out whose version turns bad late, and entries that make no sense."""

import asyncio
import pathlib
import random
import re
import time

from standins import platform_endpoint, router_fleet
from wagtailstream_adapter import names

SERVICE = "plain"
TARGET = "v2"
ENDPOINTS = 2
# The order's time: most of the faults' time, and long enough for a handover.
ORDER_SHARE = 0.8
MIN_ORDER_SECONDS = 2.0
# From which fraction of the order's time on the version fails; 1 for never.
TURNS_BAD_AT = (0.0, 0.6, 0.9, 1.0, 1.0, 1.0)
BAD = platform_endpoint.Plan(500, (b"error",))
# The most requests that a bad version may get, in the routers' settings.
EXPOSURE_SHARE = 0.15
EXPOSURE_SLACK = 30
ODD_SECONDS = 0.3
ODD_ENTRY = (
    b'{"service": "plain", "address": "127.0.0.1:%d", "zone": "zone-1",'
    b' "version": "v1", "slots": %s, "state": "ready", "born": %s,'
    b' "coldRemainingMs": 0, "sequence": %s}'
)
_JOINED = re.compile(rb'"endpoint_joined", "endpoint": "odd-')


class RolloutFaults:
    """Rolls a service out beside the other faults, and writes odd entries.

    :param seed: seeds the choices; they are its own, so that those of the
        other faults stay as they were.
    """

    def __init__(self, fleet: router_fleet.RouterFleet, seed: int) -> None:
        self._fleet = fleet
        self._random = random.Random(f"{seed}-rollout")
        self._began = 0.0
        self._ended = 0.0

    async def run(self, seconds: float) -> None:
        """Order a version, and let it fail; it answers well afterwards.

        :param seconds: the duration of the faults.
        """
        for number in range(ENDPOINTS):
            proxied = await self._fleet.add_endpoint(
                f"new-{number}", SERVICE, TARGET
            )
            self._fleet.endpoints.remove(proxied)
            self._fleet.trial_endpoints.append(proxied)
        order_seconds = max(MIN_ORDER_SECONDS, ORDER_SHARE * seconds)
        bad_at = self._random.choice(TURNS_BAD_AT) * order_seconds
        self._began = time.monotonic()
        self._ended = self._began + order_seconds
        self._fleet.put_rollout(TARGET, order_seconds, SERVICE)
        async with asyncio.TaskGroup() as group:
            odd = group.create_task(self._write_odd_entries())
            await asyncio.sleep(bad_at)
            for proxied in self._fleet.trial_endpoints:
                proxied.endpoint.default = BAD
            await asyncio.sleep(order_seconds - bad_at)
            odd.cancel()
        for proxied in self._fleet.trial_endpoints:
            proxied.endpoint.default = platform_endpoint.Plan()

    async def _write_odd_entries(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.1, ODD_SECONDS))
            entry = ODD_ENTRY % (
                self._random.choice([0, 65536, 99999, 10**9]),
                self._random.choice([b"8", b"-3", b"1e30"]),
                self._random.choice([b"1", b"1e30", b"[" * 900 + b"]" * 900]),
                self._random.choice([b"1", b"1e30"]),
            )
            key = f"odd-{self._random.randrange(3)}"
            self._fleet.store.put(names.ENDPOINTS_TOPIC, key, entry)

    def list_violations(self) -> list[str]:
        """Return one line for each broken promise."""
        return [*self._check_exposure(), *self._check_entries()]

    def _check_exposure(self) -> list[str]:
        exposed = sum(map(self._count_requests, self._fleet.trial_endpoints))
        requests = sum(
            self._count_requests(proxied)
            for proxied in self._fleet.all_endpoints
            if proxied.service == SERVICE
        )
        limit = EXPOSURE_SHARE * requests + EXPOSURE_SLACK
        if exposed <= limit:
            return []
        return [
            f"{TARGET} of {SERVICE} got {exposed} of {requests} requests in"
            f" its order's time, {limit:.0f} allowed"
        ]

    def _check_entries(self) -> list[str]:
        """Check that no entry without a usable address became an endpoint."""
        return [
            f"{path}: an odd entry was taken for an endpoint's"
            for path in self._fleet.log_paths
            if _JOINED.search(pathlib.Path(path).read_bytes())
        ]

    def _count_requests(self, proxied: router_fleet.ProxiedEndpoint) -> int:
        return sum(
            self._began <= contact.at <= self._ended
            for contact in proxied.endpoint.contacts
        )
