"""Helpers that run a router with scripted endpoints on loopback."""

import asyncio
import collections.abc
import dataclasses

import orjson

from standins import platform_caller, platform_endpoint
from wagtailstream_adapter import headers, names, records
from wagtailstream_router import (
    app,
    configuration,
    event_log,
    exposure,
    metrics,
    node,
    reply,
    request,
    retry_budget,
    store,
)
from wagtailstream_router.admission import bounds as admission_bounds
from wagtailstream_router.cascade import worth
from wagtailstream_router.flow import bounds, ledger
from wagtailstream_router.zones import cold_start

HOST = "example.test"
KEY = "key-1"
STREAM_PATH = "/stream/a"
SAFE_PATH = "/safe/a"
UNSAFE_PATH = "/unsafe/a"
# Smallest first.
MODELS = ["small", "middle", "large"]


def make_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route for the operator's configuration.

    :param fields: replace the route's default fields.
    """
    defaults: dict[str, object] = {
        "name": name,
        "host": HOST,
        "pathPrefix": f"/{name}/",
        "kind": kind,
        "service": "plain",
        "timeoutMs": 3000,
        "targetLatencyMs": 1000,
        "maxAttempts": 2,
        "priority": 1,
        "public": False,
        "stickySessions": False,
        "streamResumption": False,
    }
    return defaults | fields


def make_configuration(
    version: int = 1, **fields: object
) -> dict[str, object]:
    """Return a configuration with a route of each kind.

    :param fields: replace the configuration's default fields.
    """
    defaults: dict[str, object] = {
        "version": version,
        "routes": [
            make_route("safe", "safe"),
            make_route("unsafe", "unsafe", maxAttempts=1),
            make_route(
                "stream",
                "streaming",
                service="engine",
                maxAttempts=3,
                sizes=MODELS,
                streamResumption=True,
                stickySessions=True,
                targetGapMs=400,
            ),
        ],
        "services": [
            {"name": "plain", "maxConnections": 50},
            {
                "name": "engine",
                "maxConnections": 50,
                "engine": {
                    "slots": 8,
                    "kvCacheTokens": 100000,
                    "models": [
                        {"name": name, "cost": cost}
                        for name, cost in zip(
                            MODELS, (0.009, 0.068, 0.14), strict=True
                        )
                    ],
                },
            },
        ],
        "limits": {
            "maxHeaderBytes": 16384,
            "maxBodyBytes": 100000,
            "headerTimeoutMs": 3000,
            "idleTimeoutMs": 15000,
        },
        "tenants": [{"name": "tenant-1", "apiKeys": [KEY], "priority": 2}],
    }
    return defaults | fields


@dataclasses.dataclass
class Platform:
    """The platform: in-memory topics, and what others write to them."""

    operator: store.MemoryTopic
    endpoints: store.MemoryTopic
    status: store.MemoryTopic
    crashes: store.MemoryTopic

    def put_configuration(self, table: dict[str, object]) -> None:
        """Write a configuration as the operator does."""
        self.operator.put("config", orjson.dumps(table))

    def put_endpoint(
        self,
        endpoint: platform_endpoint.PlatformEndpoint,
        service: str,
        **fields: object,
    ) -> None:
        """Write an endpoint's entry as the endpoint does.

        :param fields: replace the entry's default fields.
        """
        self.put_endpoint_at(
            endpoint.address, endpoint.identity, service, **fields
        )

    def put_endpoint_at(
        self, address: str, identity: str, service: str, **fields: object
    ) -> None:
        """Write the entry of an endpoint at an address.

        :param fields: replace the entry's default fields.
        """
        defaults: dict[str, object] = {
            "service": service,
            "address": address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self.endpoints.put(identity, orjson.dumps(defaults | fields))


class Fleet:
    """A router with an in-memory store and scripted endpoints.

    :param retry_slack: extra sends that the retry budget allows beyond its
        share of the requests.
    :param leave_seconds: how long the router still accepts connections after
        SIGTERM.
    :param buffers: how much the router may hold for slow peers.
    :param admission: bounds of the queue; None to send all requests at once.
    :param grace_seconds: the time from SIGTERM to SIGKILL.
    :param leaving: the timing of the shutdown; it goes before `leave_seconds`.
    """

    def __init__(
        self,
        retry_slack: float = 50.0,
        leave_seconds: float = 0.1,
        buffers: bounds.BufferBounds | None = None,
        admission: admission_bounds.AdmissionBounds | None = None,
        grace_seconds: float = 1.0,
        leaving: node.ShutdownTiming | None = None,
    ) -> None:
        self.platform = Platform(
            store.MemoryTopic("operator"),
            store.MemoryTopic("endpoints"),
            store.MemoryTopic("status"),
            store.MemoryTopic("crashes"),
        )
        self.log = event_log.MemoryEventLog()
        self.counters = metrics.Metrics()
        self.endpoints: list[platform_endpoint.PlatformEndpoint] = []
        self._task: asyncio.Task[None] | None = None
        platform = self.platform
        self.router = app.Router(
            _make_settings(
                retry_slack,
                leaving or node.ShutdownTiming(0.05, leave_seconds),
                buffers or bounds.BufferBounds(),
                admission,
                grace_seconds,
            ),
            store.Store(
                platform.operator,
                platform.endpoints,
                platform.status,
                platform.crashes,
            ),
            headers.PlatformHeaders(),
            records.PlatformRecords(),
            self.log,
            self.counters,
        )

    async def add_endpoint(
        self, identity: str, service: str, **fields: object
    ) -> platform_endpoint.PlatformEndpoint:
        """Start an endpoint and write its entry.

        :param fields: replace the entry's default fields.
        """
        endpoint = platform_endpoint.PlatformEndpoint(identity)
        await endpoint.start()
        self.endpoints.append(endpoint)
        self.platform.put_endpoint(endpoint, service, **fields)
        return endpoint

    async def start(self, wait_until_ready: bool = True) -> None:
        """Start the router.

        :param wait_until_ready: whether to wait until the router is ready.
        """
        self._task = asyncio.ensure_future(self.router.serve())
        await self.router.wait_started()
        if not wait_until_ready:
            return
        await self.wait_for(lambda: self.router.is_ready)

    async def wait_for(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition holds, or until the test's own timeout."""
        while not condition():
            await asyncio.sleep(0.005)

    def has_event(self, event: str) -> bool:
        """Return whether the event log holds an event of this name."""
        return any(name == event for name, _ in self.log.lines)

    async def wait_for_event(self, event: str) -> dict[str, object]:
        """Wait for the first event of this name and return its fields."""
        while True:
            for name, fields in self.log.lines:
                if name == event:
                    return fields
            await asyncio.sleep(0.005)

    async def call(
        self,
        method: str,
        target: str,
        body: bytes = b"",
        identity: str = "request-1",
        deadline_ms: int = 2500,
        **fields: str,
    ) -> platform_caller.Reply:
        """Send a caller's request and return its answer.

        :param fields: further headers, with `_` in place of `-`.
        """
        return await platform_caller.call(
            self.router.callers_port,
            method,
            target,
            make_headers(identity, deadline_ms, **fields),
            body,
        )

    async def close(self) -> None:
        """Stop the router and the endpoints."""
        self.router.stop()
        if self._task is not None:
            await self._task
        for endpoint in self.endpoints:
            await endpoint.close()


def make_headers(
    identity: str, deadline_ms: int = 2500, **fields: str
) -> list[tuple[str, str]]:
    """Return a caller's headers.

    :param fields: further headers, with `_` in place of `-`.
    """
    values = {
        "Host": HOST,
        names.REQUEST_ID: identity,
        names.DEADLINE_MS: str(deadline_ms),
        names.CREDENTIAL: KEY,
    }
    for name, value in fields.items():
        values[name.replace("_", "-")] = value
    return list(values.items())


def make_stream_headers() -> dict[str, str]:
    """Return further headers of a streaming request for `make_headers`."""
    return {
        "X_Model": "*",
        "X_Token_Usage": "300,40",
        "X_Prefix_Hash": "aa:200,bb:100",
    }


def _make_settings(
    slack: float,
    leaving: node.ShutdownTiming,
    buffers: bounds.BufferBounds,
    admission: admission_bounds.AdmissionBounds | None,
    grace_seconds: float,
) -> node.Settings:
    return node.Settings(
        name="router-1",
        zone="zone-1",
        callers_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        metrics_address="",
        gossip_address="127.0.0.1:0",
        seeds=(),
        bounds=node.Bounds(
            grace_seconds=grace_seconds,
            drain_seconds=2.0,
            exposure=exposure.ExposureBounds(0.15, 30),
            retry_budget=retry_budget.BudgetBounds(0.9, 10.0, slack),
            cold=cold_start.ColdBounds(1.5, 5.0),
        ),
        credits_=worth.Credits((4.5, 1.6, 0.29), 0.2),
        pace=node.StoreReadTiming(0.2, 0.05),
        leaving=leaving,
        buffers=buffers,
        admission=admission,
    )


class DiscardingReply(reply.Reply):
    """A reply that discards all output, for tests without a caller."""

    @property
    def is_started(self) -> bool:
        """Whether the answer's head was sent; always False."""
        return False

    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Discard the head."""

    @property
    def is_blocked(self) -> bool:
        """Whether the answer waits for the caller; always False."""
        return False

    @property
    def room(self) -> ledger.Holding:
        """Room that is counted nowhere else."""
        return ledger.Holding(
            ledger.Ledger(bounds.BufferBounds()), ledger.Use.ANSWER
        )

    async def write(self, data: bytes) -> float:
        """Discard a chunk of the body."""
        return 0.0

    def finish(self) -> None:
        """Discard the end of the answer."""

    def send(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Discard a whole answer."""

    def abort(self) -> None:
        """Do nothing."""


def make_stream_request(identity: str) -> request.Request:
    """Return a decoded streaming request."""
    fields = make_headers(identity, **make_stream_headers())
    codec = headers.PlatformHeaders()
    # Each request gets a prompt prefix of its own; requests that share one are
    # placed together.
    pairs = [
        (name, value.replace("aa:", f"{identity}:")) for name, value in fields
    ]
    return codec.decode_request("POST", STREAM_PATH, pairs, b"", 0.0)


def get_route(name: str) -> configuration.Route:
    """Return a decoded route of the default configuration."""
    value = records.PlatformRecords().decode_configuration(
        orjson.dumps(make_configuration())
    )
    return next(route for route in value.routes if route.name == name)
