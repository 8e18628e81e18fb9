"""A router on loopback before scripted endpoints."""

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
    ladder,
    metrics,
    node,
    reply,
    request,
    retry_budget,
    store,
)

HOST = "example.test"
KEY = "key-1"
STREAM_PATH = "/stream/a"
SAFE_PATH = "/safe/a"
UNSAFE_PATH = "/unsafe/a"
SIZES = ["small", "middle", "large"]


def make_route(name: str, kind: str, **fields: object) -> dict[str, object]:
    """Return a route of the operator's configuration."""
    table: dict[str, object] = {
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
    return table | fields


def make_configuration(
    version: int = 1, **fields: object
) -> dict[str, object]:
    """Return a configuration with a route of each kind."""
    table: dict[str, object] = {
        "version": version,
        "routes": [
            make_route("safe", "safe"),
            make_route("unsafe", "unsafe", maxAttempts=1),
            make_route(
                "stream",
                "streaming",
                service="engine",
                maxAttempts=3,
                sizes=SIZES,
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
                            SIZES, (0.009, 0.068, 0.14), strict=True
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
    return table | fields


@dataclasses.dataclass
class Platform:
    """The store's topics."""

    operator: store.MemoryTopic
    endpoints: store.MemoryTopic
    status: store.MemoryTopic

    def put_configuration(self, table: dict[str, object]) -> None:
        """Write a configuration as the operator does."""
        self.operator.put("config", orjson.dumps(table))

    def put_endpoint(
        self,
        endpoint: platform_endpoint.PlatformEndpoint,
        service: str,
        **fields: object,
    ) -> None:
        """Write an endpoint's entry as it does itself."""
        table: dict[str, object] = {
            "service": service,
            "address": endpoint.address,
            "zone": "zone-1",
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "coldRemainingMs": 0,
            "sequence": 1,
            "born": 1,
        }
        self.endpoints.put(endpoint.identity, orjson.dumps(table | fields))


class Fleet:
    """A router, its store and its endpoints.

    :param bounds_slack: extra sends that the fleet's budget allows.
    :param leave_seconds: how long connections may still come after SIGTERM.
    """

    def __init__(
        self, bounds_slack: float = 50.0, leave_seconds: float = 0.1
    ) -> None:
        self.platform = Platform(
            store.MemoryTopic("operator"),
            store.MemoryTopic("endpoints"),
            store.MemoryTopic("status"),
        )
        self.log = event_log.MemoryEventLog()
        self.counters = metrics.Metrics()
        self._endpoints: list[platform_endpoint.PlatformEndpoint] = []
        self._task: asyncio.Task[None] | None = None
        platform = self.platform
        self.router = app.Router(
            _make_settings(bounds_slack, leave_seconds),
            store.Store(
                platform.operator, platform.endpoints, platform.status
            ),
            headers.PlatformHeaders(),
            records.PlatformRecords(),
            self.log,
            self.counters,
        )

    async def add_endpoint(
        self, identity: str, service: str, **fields: object
    ) -> platform_endpoint.PlatformEndpoint:
        """Start an endpoint and write its entry."""
        endpoint = platform_endpoint.PlatformEndpoint(identity)
        await endpoint.start()
        self._endpoints.append(endpoint)
        self.platform.put_endpoint(endpoint, service, **fields)
        return endpoint

    async def start(self, is_ready_awaited: bool = True) -> None:
        """Start the router, and wait until it is ready."""
        self._task = asyncio.ensure_future(self.router.serve())
        await self.router.wait_started()
        if not is_ready_awaited:
            return
        await self.wait_for(lambda: self.router.is_ready)

    async def wait_for(
        self, condition: collections.abc.Callable[[], bool]
    ) -> None:
        """Wait until a condition holds; the test's limit bounds it."""
        while not condition():
            await asyncio.sleep(0.005)

    def has_line(self, event: str) -> bool:
        """Return whether the log has a line."""
        return any(name == event for name, _ in self.log.lines)

    async def wait_for_line(self, event: str) -> dict[str, object]:
        """Wait for a line of the log, and return its fields."""
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
        """Send a caller's request and return its answer."""
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
        for endpoint in self._endpoints:
            await endpoint.close()


def make_headers(
    identity: str, deadline_ms: int = 2500, **fields: str
) -> list[tuple[str, str]]:
    """Return a caller's headers."""
    table = {
        "Host": HOST,
        names.REQUEST_ID: identity,
        names.DEADLINE_MS: str(deadline_ms),
        names.CREDENTIAL: KEY,
    }
    for name, value in fields.items():
        table[name.replace("_", "-")] = value
    return list(table.items())


def make_stream_fields() -> dict[str, str]:
    """Return the headers of a request for a model's answer."""
    return {
        "X_Model": "*",
        "X_Token_Usage": "300,40",
        "X_Prefix_Hash": "aa:200,bb:100",
    }


def _make_settings(slack: float, leave_seconds: float) -> node.Settings:
    return node.Settings(
        name="router-1",
        zone="zone-1",
        callers_address="127.0.0.1:0",
        ready_address="127.0.0.1:0",
        metrics_address="",
        gossip_address="127.0.0.1:0",
        seeds=(),
        bounds=node.Bounds(
            grace_seconds=1.0,
            drain_seconds=2.0,
            exposure_share=0.15,
            session_seconds=5.0,
            retry_budget=retry_budget.BudgetBounds(0.9, 10.0, slack),
        ),
        credits_=ladder.Credits((4.5, 1.6, 0.29), 0.2),
        pace=node.Pace(0.2, 0.05),
        leaving=node.Leaving(0.05, leave_seconds),
    )


class NoReply(reply.Reply):
    """A caller that is not there; for decisions without an answer."""

    @property
    def is_started(self) -> bool:
        """Whether the caller got the head of an answer."""
        return False

    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Drop the head."""

    def write(self, data: bytes) -> None:
        """Drop bytes."""

    def finish(self) -> None:
        """Drop the end."""

    def send(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Drop an answer."""

    def abort(self) -> None:
        """Do nothing."""


def decode_call(identity: str) -> request.Request:
    """Return a caller's request for a model's answer."""
    fields = make_headers(identity, **make_stream_fields())
    codec = headers.PlatformHeaders()
    # The prompt's shared part is the request's own here, so that each
    # request is placed by itself.
    pairs = [
        (name, value.replace("aa:", f"{identity}:")) for name, value in fields
    ]
    return codec.decode_request("POST", STREAM_PATH, pairs, b"", 0.0)


def decode_route(name: str) -> configuration.Route:
    """Return a route of the configuration by its name."""
    value = records.PlatformRecords().decode_configuration(
        orjson.dumps(make_configuration())
    )
    return next(route for route in value.routes if route.name == name)
