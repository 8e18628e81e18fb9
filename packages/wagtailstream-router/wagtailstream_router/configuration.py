"""The operator's configuration: routes, services, tenants and limits."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """The kind of a route's requests; it decides which may be retried."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service's share of a route.

    :param service: the service's name.
    :param weight: its weight relative to the other shares of the route.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """How requests of a host and path prefix are routed.

    :param host: the host, in lower case, without a port.
    :param prefix: the path prefix; starts and ends with a slash.
    :param timeout_ms: the timeout of a request; 0 if unset.
    :param target_ms: the time limit of an answer for full credit; for a
        stream, the limit of its first token.
    :param max_attempts: how many attempts one request may have.
    :param priority: its priority; 0 is the highest.
    :param is_public: whether requests need no key.
    :param is_sticky: whether the configuration asks for sticky sessions; the
        router does not use it.
    :param is_resumable: whether a stream may resume at another endpoint.
    :param sizes: the models, smallest first, that the router chooses from;
        empty if the caller names the model.
    :param target_gap_ms: the longest pause between events for full credit; 0
        if unset.
    """

    name: str
    host: str
    prefix: str
    kind: RouteKind
    shares: tuple[ServiceShare, ...]
    timeout_ms: float
    target_ms: float
    max_attempts: int
    priority: int
    is_public: bool
    is_sticky: bool
    is_resumable: bool
    sizes: tuple[str, ...]
    target_gap_ms: float

    @property
    def may_repeat(self) -> bool:
        """Whether a request may be retried although it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """Properties of a service's model servers.

    :param slots: how many requests a server batches.
    :param memory_tokens: the capacity of a server's prompt cache in tokens.
    :param model_costs: price per 1,000 generated tokens, by model.
    """

    slots: int
    memory_tokens: int
    model_costs: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service.

    :param max_connections: how many connections an endpoint accepts.
    :param engine: set if the endpoints are model servers, else None.
    :param cold_start_seconds: how long an endpoint is cold after its start.
    :param cold_per_second: the requests a second that a cold endpoint bears;
        0 if it bears as many as a warm one.
    """

    name: str
    max_connections: int
    engine: Engine | None
    cold_start_seconds: float = 0.0
    cold_per_second: float = 0.0


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, called tenant by the platform.

    :param priority: its priority, which overrides the route's; None if unset.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """Limits on callers' requests and connections.

    :param header_bytes: the largest request line and headers.
    :param body_bytes: the largest body.
    :param header_ms: the time to send the headers.
    :param idle_ms: the keep-alive time of an idle connection.
    """

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One complete version of the configuration.

    :param version: increases with each change, not necessarily by one.
    :param tenants_by_key: the tenant of each key; None if no keys are
        required.
    """

    version: int
    routes: tuple[Route, ...]
    services: dict[str, Service]
    limits: CallerLimits
    tenants_by_key: dict[str, Tenant] | None
    routes_by_host: dict[str, tuple[Route, ...]] = dataclasses.field(
        init=False
    )

    def __post_init__(self) -> None:
        """Order each host's routes by prefix, longest first."""
        by_host: dict[str, list[Route]] = {}
        for route in self.routes:
            by_host.setdefault(route.host, []).append(route)
        ordered = {
            host: tuple(sorted(routes, key=lambda route: -len(route.prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "routes_by_host", ordered)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest matching prefix; None if none.

        :param host: the request's host, without a port.
        :param path: the request's path, without its query.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
