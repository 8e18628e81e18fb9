"""Faults and checks of emptied data centres and cold endpoints.

They overlap the other faults of the soak. The checks use only what endpoints
see; their bounds are those of the users' specification.
"""

import asyncio
import bisect
import collections.abc
import dataclasses
import math
import random
import time

from standins import router_fleet, router_process

# The endpoints of each service are in different data centres.
ZONES = ("zone-1", "zone-2", "zone-3")
# How long requests may go on to an emptied data centre.
EVACUATION_SECONDS = 5.0
# How much longer an order holds, at most.
EXTRA_SECONDS = 2.5
# How long routers may take to read a changed entry, with time to spare.
ENTRY_SECONDS = 1.0


@dataclasses.dataclass
class Order:
    """A data centre that was emptied.

    :param confirmed_at: when the store last acknowledged the order.
    :param ended_at: when it was taken back; both by the monotonic clock.
    """

    zone: str
    confirmed_at: float
    ended_at: float = math.inf


class ZoneFaults:
    """Empties data centres and restarts endpoints cold; then checks.

    :param fleet: the fleet to disturb.
    :param seed: seeds the faults; they are drawn apart from the others.
    :param kill: kills a router and starts it again.
    """

    def __init__(
        self,
        fleet: router_fleet.RouterFleet,
        seed: int,
        kill: collections.abc.Callable[
            [router_process.RouterProcess], collections.abc.Awaitable[None]
        ],
    ) -> None:
        self._fleet = fleet
        self._kill = kill
        self._random = random.Random(f"zones-{seed}")
        self._orders: list[Order] = []
        self._current: Order | None = None
        self._down: list[router_fleet.ProxiedEndpoint] = []
        self.actions: list[str] = []

    async def run(self, seconds: float) -> None:
        """Inject faults until the time is over, then end them."""
        deadline = time.monotonic() + seconds
        running: set[asyncio.Task[None]] = set()
        while time.monotonic() < deadline:
            await asyncio.sleep(self._random.uniform(0.2, 1.0))
            action = self._random.choice([self._evacuate, self._restart_cold])
            self.actions.append(action.__name__.strip("_"))
            running.add(asyncio.ensure_future(action()))
        await asyncio.gather(*running)

    async def _evacuate(self) -> None:
        """Empty a data centre; at times withdraw the order for a moment.

        A router starts in the middle.
        """
        if self._current is not None:
            return
        zone = self._random.choice(ZONES)
        if self._random.random() < 0.3:
            self._fleet.put_evacuation(zone, is_emptied=True)
            self._fleet.put_evacuation(zone, is_emptied=False)
        self._current = Order(zone, time.monotonic())
        self._orders.append(self._current)
        self.write_orders()
        order = self._current
        seconds = EVACUATION_SECONDS + self._random.uniform(1.0, EXTRA_SECONDS)
        await asyncio.sleep(self._random.uniform(0.5, EVACUATION_SECONDS))
        await self._kill(self._random.choice(self._fleet.routers))
        # The order may have to be written again meanwhile.
        while (left := order.confirmed_at + seconds - time.monotonic()) > 0.0:
            await asyncio.sleep(left)
        order.ended_at = time.monotonic()
        self._current = None
        self._fleet.put_evacuation(zone, is_emptied=False)

    def write_orders(self) -> None:
        """Write the order in force, also after the store lost it."""
        if self._current is not None:
            self._current.confirmed_at = time.monotonic()
            self._fleet.put_evacuation(self._current.zone, is_emptied=True)

    async def _restart_cold(self) -> None:
        """Let an engine crash and come back under its id.

        It takes connections only once its entry may have been read: the
        usual load of this test is above what a cold engine bears.
        """
        proxied = self._random.choice(
            [
                each
                for each in self._fleet.endpoints
                if each.service == "engine"
            ]
        )
        if (
            proxied in self._down
            or proxied.endpoint.cold_until > time.monotonic()
        ):
            return
        self._down.append(proxied)
        await proxied.route.refuse()
        await asyncio.sleep(self._random.uniform(0.2, 1.0))
        proxied.endpoint.begin_start()
        proxied.endpoint.cold_until = (
            time.monotonic() + ENTRY_SECONDS + router_fleet.COLD_START_SECONDS
        )
        self._fleet.put_endpoint_record(proxied, "ready")
        await asyncio.sleep(ENTRY_SECONDS)
        await proxied.route.listen()
        self._down.remove(proxied)

    def list_violations(self) -> list[str]:
        """Return one line for each broken promise."""
        return [*self._check_emptied(), *self._check_cold()]

    def _check_emptied(self) -> collections.abc.Iterator[str]:
        for order in self._orders:
            for proxied in self._fleet.endpoints:
                if proxied.zone != order.zone:
                    continue
                late = [
                    contact.request
                    for contact in proxied.endpoint.contacts
                    if order.confirmed_at + EVACUATION_SECONDS
                    < contact.at
                    < order.ended_at
                ]
                if late:
                    yield (
                        f"{proxied.endpoint.identity}: {len(late)} requests"
                        f" too late in {order.zone}, first {late[0]}"
                    )

    def _check_cold(self) -> collections.abc.Iterator[str]:
        for proxied in self._fleet.endpoints:
            endpoint = proxied.endpoint
            times = [
                contact.at for contact in endpoint.contacts if contact.is_cold
            ]
            most = max(
                (
                    bisect.bisect(times, at + 1.0) - number
                    for number, at in enumerate(times)
                ),
                default=0,
            )
            if most > endpoint.cold_limit:
                yield (
                    f"{endpoint.identity}: {most} requests in a second while"
                    f" cold, allowed {endpoint.cold_limit}"
                )
