"""The store carries an older write of an endpoint out after a newer one."""

import asyncio
import dataclasses
import random
import time

from standins import platform_endpoint, router_fleet, soak_notices

SERVICE = router_fleet.STEADY
ENDPOINTS = 3
PAUSE_SECONDS = 0.03
# How long an endpoint says in its entry that it drains.
DRAINING_SECONDS = 3.5
# How often an endpoint writes its entry.
HEARTBEAT_SECONDS = 1.2
# How much later the older write may be carried out.
MAX_LATE_SECONDS = 1.0
# The rule of the users' platform: how long after the store confirmed it a
# draining endpoint may still get requests from instances in touch.
DRAIN_SECONDS = 2.0
CONTACT_SECONDS = 3.0
# The name under which disturbances of the store for all instances are known.
STORE = "store"


@dataclasses.dataclass(frozen=True)
class _Drain:
    """A time in which an endpoint's newest write says that it drains."""

    endpoint: platform_endpoint.PlatformEndpoint
    confirmed_at: float
    ended_at: float


class LateWriteFaults:
    """Drains endpoints of a service, with a heartbeat carried out late.

    :param notices: knows which instances were disturbed, and when.
    :param seed: seeds the choices; they are its own, so that those of the
        other faults stay as they were.
    """

    def __init__(
        self,
        fleet: router_fleet.RouterFleet,
        notices: soak_notices.NoticeCheck,
        seed: int,
    ) -> None:
        self._fleet = fleet
        self._notices = notices
        self._random = random.Random(f"{seed}-late-writes")
        self._endpoints: list[platform_endpoint.PlatformEndpoint] = []
        self._tasks: list[asyncio.Task[None]] = []
        self._drains: list[_Drain] = []
        self._routers: dict[str, str] = {}
        self._draining = ""

    async def start(self) -> None:
        """Start the endpoints, the caller and the faults."""
        for number in range(ENDPOINTS):
            endpoint = platform_endpoint.PlatformEndpoint(f"steady-{number}")
            await endpoint.start()
            self._endpoints.append(endpoint)
        self.write_entries()
        for run in (self._send(), self._drain()):
            self._tasks.append(asyncio.ensure_future(run))

    async def stop(self) -> None:
        """Stop the caller, the faults and the endpoints."""
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        for endpoint in self._endpoints:
            await endpoint.close()

    def write_entries(self) -> None:
        """Write all entries, also after the store lost them."""
        for endpoint in self._endpoints:
            is_draining = endpoint.identity == self._draining
            state = "draining" if is_draining else "ready"
            self._put(endpoint, state)

    def _put(
        self, endpoint: platform_endpoint.PlatformEndpoint, state: str
    ) -> None:
        entry = self._fleet.make_direct_entry(endpoint, SERVICE, state)
        self._fleet.put_entry(endpoint, entry)

    async def _drain(self) -> None:
        while True:
            await asyncio.sleep(self._random.uniform(0.2, 0.6))
            endpoint = self._random.choice(self._endpoints)
            late = self._fleet.make_direct_entry(endpoint, SERVICE)
            self._draining = endpoint.identity
            self._put(endpoint, "draining")
            confirmed_at = time.monotonic()
            ends_at = confirmed_at + DRAINING_SECONDS
            await asyncio.sleep(self._random.uniform(0.0, MAX_LATE_SECONDS))
            self._fleet.put_entry(endpoint, late)
            while (left := ends_at - time.monotonic()) > 0.0:
                await asyncio.sleep(min(left, HEARTBEAT_SECONDS))
                self._put(endpoint, "draining")
            self._drains.append(_Drain(endpoint, confirmed_at, ends_at))
            self._draining = ""
            self._put(endpoint, "ready")

    async def _send(self) -> None:
        count = 0
        while True:
            count += 1
            identity = f"steady-{count}"
            router = self._random.choice(self._fleet.addresses)
            self._routers[identity] = router
            target = f"/{SERVICE}/x"
            await self._fleet.call(identity, "safe", router, target=target)
            await asyncio.sleep(PAUSE_SECONDS)

    def list_violations(self) -> list[str]:
        """Return one line for each broken promise."""
        return [
            line for drain in self._drains for line in self._check_drain(drain)
        ]

    def _check_drain(self, drain: _Drain) -> list[str]:
        late = [
            contact.request
            for contact in drain.endpoint.contacts
            if drain.confirmed_at + DRAIN_SECONDS < contact.at < drain.ended_at
            and not self._is_excused(contact, drain)
        ]
        if not late:
            return []
        return [
            f"{drain.endpoint.identity}: {len(late)} requests later than"
            f" {DRAIN_SECONDS} s after its draining was confirmed, first"
            f" {late[0]}"
        ]

    def _is_excused(
        self, contact: platform_endpoint.Contact, drain: _Drain
    ) -> bool:
        router = self._routers[contact.request]
        since = drain.confirmed_at - CONTACT_SECONDS
        return any(
            self._notices.is_disturbed(name, since, contact.at)
            for name in (router, STORE, f"{STORE}-{router}")
        )
