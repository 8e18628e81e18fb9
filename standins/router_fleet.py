"""Router processes on loopback, with a fake store and fake endpoints.

The store and the endpoints run in this process. Each is reached through a
proxy that can delay, cut, freeze or discard its traffic with the routers.
"""

import asyncio
import contextlib
import dataclasses
import os
import pathlib
import signal

import orjson

from standins import (
    platform_caller,
    platform_endpoint,
    platform_store,
    proxy,
    router_process,
)
from wagtailstream_adapter import names

HOST = "fleet.test"
KEY = "fleet-key"
# Keys of further customers, by name.
KEYS = {"t": KEY, "hot": "hot-key", "light": "light-key"}
FIRST_ADDRESS = 11
# Number of values used for the second and the third byte of an address.
NETWORKS = 250
# Upper bound on a router's start, also on a busy machine.
START_LIMIT_SECONDS = 30.0
# Twice DEADLINE_MS: a call without an answer by then counts as unanswered.
CALL_LIMIT_SECONDS = 6.0
DEADLINE_MS = 3000
EVENTS = 8
STREAM = platform_endpoint.Plan(
    pieces=platform_endpoint.make_events(range(1, EVENTS + 1)),
    framing=platform_endpoint.Framing.CHUNKED,
    headers=((names.CONFIDENCE, "95"),),
)
# What a cold engine bears, and the users' bound for any second.
COLD_START_SECONDS = 1.0
COLD_PER_SECOND = 7.3
COLD_LIMIT = (
    COLD_PER_SECOND * router_process.COLD_OVERSHOOT + router_process.COLD_SLACK
)
# Kind of each route, and the maximum number of attempts of a request.
ROUTES = (("safe", 2), ("unsafe", 1), ("streaming", 3))
# Services of plain endpoints with a route each, for faults of the soak: one
# that a request crashes, and one whose writes come late.
FRAGILE = "fragile"
STEADY = "steady"


@dataclasses.dataclass(frozen=True)
class ProxiedEndpoint:
    """An endpoint and the proxy route that leads to it."""

    endpoint: platform_endpoint.PlatformEndpoint
    route: proxy.Route
    service: str
    version: str = "v1"
    zone: str = "zone-1"


class RouterFleet:
    """Router processes, a store, and endpoints of two services.

    :param directory: directory for settings and logs.
    :param routers: number of routers.
    """

    def __init__(self, directory: pathlib.Path, routers: int) -> None:
        self._directory = directory
        self.store = platform_store.PlatformStore()
        self.endpoints: list[ProxiedEndpoint] = []
        # Endpoints of a version on trial, which other faults leave alone.
        self.trial_endpoints: list[ProxiedEndpoint] = []
        self.addresses = [
            f"{_pick_network_prefix()}.{FIRST_ADDRESS + number}"
            for number in range(routers)
        ]
        self._ports = router_process.pick_ports()
        self.routers = [
            router_process.RouterProcess(address, self._ports, directory)
            for address in self.addresses
        ]
        # Each router reaches the store by a route of its own.
        self.store_routes = {
            address: proxy.Route("") for address in self.addresses
        }
        self._sequence = 0
        self.slots = 8

    @property
    def callers_port(self) -> int:
        """The port for callers, the same at each router."""
        return self._ports.callers

    @property
    def log_paths(self) -> list[str]:
        """The log files of the routers."""
        return [
            str(self._directory / f"{address}.log")
            for address in self.addresses
        ]

    @property
    def all_endpoints(self) -> list[ProxiedEndpoint]:
        """All endpoints, also those of a version on trial."""
        return self.endpoints + self.trial_endpoints

    async def start(self) -> None:
        """Start the store and the routers; wait until these are ready."""
        self.store.start()
        for route in self.store_routes.values():
            route.target = self.store.address
            await route.listen()
        self.put_configuration(1)
        for router in self.routers:
            self.start_router(router)
        await self.wait_all_ready()

    def start_router(self, router: router_process.RouterProcess) -> None:
        """Start the process of a router that is not running."""
        port = self.store_routes[router.address].port
        router.start(f"127.0.0.1:{port}", self.addresses)

    async def stop(self) -> None:
        """Kill the routers, then close the endpoints and the store."""
        for router in self.routers:
            router.send_signal(signal.SIGCONT)
            router.send_signal(signal.SIGKILL)
        for router in self.routers:
            await router.wait()
        for proxied in self.all_endpoints:
            await proxied.route.close()
            await proxied.endpoint.close()
        for route in self.store_routes.values():
            await route.close()
        await self.store.close()

    async def wait_all_ready(self) -> None:
        """Wait until all routers are ready.

        :raises TimeoutError: a router is not ready in time.
        """
        for address in self.addresses:
            async with asyncio.timeout(START_LIMIT_SECONDS):
                await self._wait_ready(address)

    async def is_ready_within(self, address: str, seconds: float) -> bool:
        """Return whether a router is ready within some time."""
        try:
            async with asyncio.timeout(seconds):
                await self._wait_ready(address)
        except TimeoutError:
            return False
        return True

    async def _wait_ready(self, address: str) -> None:
        while True:
            with contextlib.suppress(OSError):
                reader, writer = await asyncio.open_connection(
                    address, self._ports.ready
                )
                writer.write(b"GET /readiness HTTP/1.1\r\nHost: x\r\n\r\n")
                line = await reader.readline()
                writer.close()
                if b"200" in line:
                    return
            await asyncio.sleep(0.05)

    async def add_endpoint(
        self,
        identity: str,
        service: str,
        version: str = "v1",
        zone: str = "zone-1",
    ) -> ProxiedEndpoint:
        """Start an endpoint behind a proxy route and register it.

        :param service: ``engine`` or ``plain``.
        :param version: the version of its software.
        :param zone: its data centre.
        """
        endpoint = platform_endpoint.PlatformEndpoint(identity)
        endpoint.default = (
            STREAM if service == "engine" else platform_endpoint.Plan()
        )
        await endpoint.start()
        route = proxy.Route(endpoint.address)
        await route.listen()
        endpoint.cold_limit = COLD_LIMIT
        proxied = ProxiedEndpoint(endpoint, route, service, version, zone)
        self.endpoints.append(proxied)
        self.put_endpoint_record(proxied, "ready")
        return proxied

    def put_endpoint_record(
        self, proxied: ProxiedEndpoint, state: str
    ) -> None:
        """Write an endpoint's record to the endpoints topic.

        Its slots are those of `slots`, which faults change.
        """
        self._sequence += 1
        record = {
            "service": proxied.service,
            "address": f"127.0.0.1:{proxied.route.port}",
            "zone": proxied.zone,
            "version": proxied.version,
            "slots": self.slots,
            "state": state,
            "coldRemainingMs": proxied.endpoint.cold_ms,
            "sequence": self._sequence,
            "born": proxied.endpoint.start_number,
        }
        identity = proxied.endpoint.identity
        self.store.put(names.ENDPOINTS_TOPIC, identity, orjson.dumps(record))

    def make_direct_entry(
        self,
        endpoint: platform_endpoint.PlatformEndpoint,
        service: str,
        state: str = "ready",
    ) -> bytes:
        """Return the next entry of an endpoint that no proxy stands before."""
        self._sequence += 1
        return orjson.dumps(
            {
                "service": service,
                "address": endpoint.address,
                "zone": "zone-1",
                "version": "v1",
                "slots": 8,
                "state": state,
                "coldRemainingMs": 0,
                "sequence": self._sequence,
                "born": 1 + endpoint.start_number,
            }
        )

    def put_entry(
        self, endpoint: platform_endpoint.PlatformEndpoint, entry: bytes
    ) -> None:
        """Write an endpoint's entry to the endpoints topic."""
        self.store.put(names.ENDPOINTS_TOPIC, endpoint.identity, entry)

    def put_configuration(self, version: int) -> None:
        """Write a configuration with one route of each kind."""
        routes = [
            {
                "name": kind,
                "host": HOST,
                "pathPrefix": f"/{kind}/",
                "kind": kind,
                "service": "engine" if kind == "streaming" else "plain",
                "timeoutMs": 4000,
                "targetLatencyMs": 1000,
                "maxAttempts": attempts,
                "streamResumption": kind == "streaming",
                "sizes": ["small", "large"] if kind == "streaming" else [],
                "targetGapMs": 400,
            }
            for kind, attempts in ROUTES
        ]
        routes += [
            {
                "name": service,
                "host": HOST,
                "pathPrefix": f"/{service}/",
                "kind": "safe",
                "service": service,
                "timeoutMs": 4000,
                "targetLatencyMs": 1000,
                "maxAttempts": 2,
            }
            for service in (FRAGILE, STEADY)
        ]
        table = {
            "version": version,
            "routes": routes,
            "services": [
                {"name": "plain"},
                {"name": FRAGILE},
                {"name": STEADY},
                {
                    "name": "engine",
                    "coldStartS": COLD_START_SECONDS,
                    "coldPerS": COLD_PER_SECOND,
                    "engine": {"slots": 8, "kvCacheTokens": 100_000},
                },
            ],
            "tenants": [
                {"name": name, "apiKeys": [key]} for name, key in KEYS.items()
            ],
        }
        self.store.put(names.OPERATOR_TOPIC, "config", orjson.dumps(table))

    def put_rollout(
        self, target: str, seconds: float, service: str = "engine"
    ) -> None:
        """Write an order to roll a service out to a version.

        :param seconds: the time for the roll-out.
        """
        order = {"service": service, "target": target, "durationS": seconds}
        self.store.put(
            names.OPERATOR_TOPIC, f"rollout/{service}", orjson.dumps(order)
        )

    def put_evacuation(self, zone: str, is_emptied: bool) -> None:
        """Write the order to empty a data centre, or take it back."""
        self.store.put(
            names.OPERATOR_TOPIC,
            names.EVACUATE_PREFIX + zone,
            b"{}" if is_emptied else b"",
        )

    async def remove_endpoint(self, proxied: ProxiedEndpoint) -> None:
        """Close the route to an endpoint and remove its record."""
        await proxied.route.close()
        self.store.put(names.ENDPOINTS_TOPIC, proxied.endpoint.identity, b"")

    async def call(
        self,
        request_id: str,
        kind: str,
        address: str,
        session: str = "",
        shared: tuple[str, ...] = (),
        body: bytes = b"body",
        kept: platform_caller.KeptConnections | None = None,
        key: str = KEY,
        target: str = "",
    ) -> platform_caller.Reply:
        """Send a request to a router and return its answer.

        :param request_id: the request's id.
        :param kind: kind of the route, as in ``ROUTES``.
        :param address: the router's IP address.
        :param session: the session's id; "" for none.
        :param shared: the prompt parts that it shares with others; () for one
            that its session determines.
        :param body: the body, unless the kind is ``safe``.
        :param kept: the caller's connections; None for a new one.
        :param key: the caller's key.
        :param target: the path; "" for one of the kind's route.
        :returns: the answer; its status is 0 if none came in time.
        """
        fields = make_fields(request_id, session, shared, key)
        method = "GET" if kind == "safe" else "POST"
        with contextlib.suppress(OSError, TimeoutError):
            async with asyncio.timeout(CALL_LIMIT_SECONDS):
                call = platform_caller.call if kept is None else kept.call
                return await call(
                    self._ports.callers,
                    method,
                    target or f"/{kind}/x",
                    fields,
                    b"" if kind == "safe" else body,
                    address,
                )
        return platform_caller.Reply(0, {}, b"", False)


def make_fields(
    request_id: str,
    session: str = "",
    shared: tuple[str, ...] = (),
    key: str = KEY,
) -> list[tuple[str, str]]:
    """Return a caller's headers, as `RouterFleet.call` says."""
    parts = [f"{part}:200" for part in shared or (f"aa{session}",)]
    parts.append(f"{request_id}:100")
    fields = [
        ("Host", HOST),
        (names.REQUEST_ID, request_id),
        (names.DEADLINE_MS, str(DEADLINE_MS)),
        (names.CREDENTIAL, key),
        (names.MODEL, "*"),
        (names.TOKENS, "300,40"),
        (names.PROMPT_PARTS, ",".join(parts)),
    ]
    if session:
        fields.append((names.SESSION, session))
    return fields


def _pick_network_prefix() -> str:
    """Return the first three bytes of this process's loopback addresses.

    Routers serve metrics on a port that their settings fix, so fleets that
    run in parallel must not share an address. The prefix follows from the
    process ID.
    """
    number = os.getpid() % (NETWORKS * NETWORKS)
    return f"127.{1 + number // NETWORKS}.{1 + number % NETWORKS}"
