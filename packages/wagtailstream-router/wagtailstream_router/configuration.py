"""The operator's configuration: routes, services, tenants and limits."""

import dataclasses
import enum


class RouteKind(enum.Enum):
    """What may be repeated."""

    SAFE = "safe"
    UNSAFE = "unsafe"
    STREAM = "stream"


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceShare:
    """One service's share of a route.

    :param service: the service's name.
    :param weight: its share against the others' weights.
    """

    service: str
    weight: float


@dataclasses.dataclass(frozen=True, slots=True)
class Route:
    """Where requests of a host and path prefix go.

    :param host: the host, in lower case, without a port.
    :param prefix: the path's beginning; starts and ends with a slash.
    :param timeout_ms: the longest time to keep a caller waiting.
    :param target_ms: the time for an answer of full credit.
    :param max_attempts: how many endpoints one request may be sent to.
    :param priority: its rank; 0 goes first.
    :param sizes: models, smallest first, of which the router picks one.
    :param is_resumable: whether a stream may go on at another endpoint.
    :param target_gap_ms: the longest pause between events, 0 if unset.
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
        """Whether a request may run again after it may have run."""
        if self.kind is RouteKind.STREAM:
            return self.is_resumable
        return self.kind is RouteKind.SAFE


@dataclasses.dataclass(frozen=True, slots=True)
class Engine:
    """What a service's model servers hold.

    :param slots: requests in one batch.
    :param memory_tokens: the tokens that one server's memory takes.
    :param model_costs: a model's price per 1,000 generated tokens.
    """

    slots: int
    memory_tokens: int
    model_costs: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Service:
    """One service.

    :param max_connections: connections that one endpoint accepts in all.
    :param engine: set where the endpoints are model servers.
    """

    name: str
    max_connections: int
    engine: Engine | None


@dataclasses.dataclass(frozen=True, slots=True)
class Tenant:
    """A customer, by the platform's word.

    :param priority: its rank, which goes before the route's; None if unset.
    """

    name: str
    priority: int | None


@dataclasses.dataclass(frozen=True, slots=True)
class CallerLimits:
    """What a caller may send, and how long it may idle."""

    header_bytes: int
    body_bytes: int
    header_ms: float
    idle_ms: float


@dataclasses.dataclass(frozen=True)
class Configuration:
    """One version of the configuration, whole.

    :param version: rises with each change, in uneven steps.
    :param tenants_by_key: who holds a key; None where no keys are asked for.
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
            host: tuple(sorted(routes, key=lambda one: -len(one.prefix)))
            for host, routes in by_host.items()
        }
        object.__setattr__(self, "routes_by_host", ordered)

    def find_route(self, host: str, path: str) -> Route | None:
        """Return the route with the longest prefix of a path, if any.

        :param host: the request's host, without a port.
        :param path: the request's path, without its query.
        """
        for route in self.routes_by_host.get(host.lower(), ()):
            if path.startswith(route.prefix):
                return route
        return None
