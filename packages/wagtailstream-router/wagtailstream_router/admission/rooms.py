"""The room of all endpoints, as this instance may use it."""

import collections.abc
import dataclasses
import math
import random
import weakref

from wagtailstream_router import configuration, directory, peer_report
from wagtailstream_router.admission import bounds, room

# The queue of prompts that the most urgent requests may find, as a multiple of
# that of the others: inside an engine they are served before these.
URGENT_FACTOR = 2.0
# Requests that a plain endpoint may have, in parts of its slots: as many wait
# there as run, since peers' loads are older than its answers take.
PLAIN_PLACES_FACTOR = 2
# The intervals after which a peer's report is overdue; after twice as many it
# counts no longer.
OVERDUE_INTERVALS = 2.0
# The places of an endpoint that names no slots.
_UNBOUNDED = 1_000_000


@dataclasses.dataclass(frozen=True, slots=True)
class ServiceFacts:
    """What the configuration says of a service.

    :param engine: its model servers; None for a plain service.
    :param shortest_target_ms: the shortest target of its routes; 0 if none.
    :param top_priority: the most urgent priority of its routes and customers.
    """

    engine: configuration.Engine | None
    shortest_target_ms: float
    top_priority: int


def find_facts(
    value: configuration.Configuration, service: str
) -> ServiceFacts | None:
    """Return what a configuration says of a service; None if nothing."""
    known = value.services.get(service)
    if known is None:
        return None
    routes = [
        route
        for route in value.routes
        if any(share.service == service for share in route.shares)
    ]
    tenants = (value.tenants_by_key or {}).values()
    priorities = [route.priority for route in routes]
    priorities += [
        tenant.priority for tenant in tenants if tenant.priority is not None
    ]
    return ServiceFacts(
        known.engine,
        min(
            (route.target_ms for route in routes if route.target_ms),
            default=0.0,
        ),
        min(priorities, default=0),
    )


@dataclasses.dataclass(slots=True)
class _PeerLoad:
    """What peers have at an endpoint."""

    requests: float = 0.0
    queue_ms: float = 0.0
    tokens: float = 0.0


_NO_LOAD = _PeerLoad()


class Rooms:
    """Holds the room of each endpoint and asks it.

    A restarted endpoint is another member, and so begins empty.

    :param generator: draws this instance's part of scarce room.
    """

    def __init__(self, generator: random.Random) -> None:
        self._random = generator
        self._rooms: weakref.WeakKeyDictionary[
            directory.Member, room.EngineRoom
        ] = weakref.WeakKeyDictionary()

    def find(self, member: directory.Member) -> room.EngineRoom:
        """Return the room of an endpoint."""
        found = self._rooms.get(member)
        if found is None:
            found = self._rooms[member] = room.EngineRoom(self._random)
        return found

    def set_peer_loads(
        self,
        members: collections.abc.Iterable[directory.Member],
        reports: collections.abc.Iterable[
            tuple[
                float, collections.abc.Mapping[str, peer_report.EndpointLoad]
            ]
        ],
        interval_seconds: float = room.INTERVAL_SECONDS,
    ) -> None:
        """Replace what peers have at the endpoints.

        What a peer has counts less once its report is overdue: an instance
        that was killed has nothing left there, and may count as alive still.

        :param reports: for each live peer, the age of its report in intervals
            of its reports, and its load by endpoint.
        :param interval_seconds: the mean interval of peers' reports.
        """
        sums: dict[str, _PeerLoad] = {}
        for age, table in reports:
            weight = weigh_report(age)
            for identity, load in table.items():
                found = sums.setdefault(identity, _PeerLoad())
                found.requests += weight * load.in_flight
                found.queue_ms += weight * load.pending_ms
                found.tokens += weight * load.tokens
        for member in members:
            place = self.find(member)
            found = sums.get(member.identity, _NO_LOAD)
            place.peer_requests = round(found.requests)
            place.peer_queue_ms = found.queue_ms
            place.peer_tokens = round(found.tokens)
            place.interval_seconds = interval_seconds

    def has_room(
        self,
        member: directory.Member,
        need: room.Need,
        capacity: room.Capacity,
    ) -> bool:
        """Return whether an endpoint has room, whoever may take it."""
        return self.find(member).has_room(
            need, capacity, self._load_of(member)
        )

    def may_take(
        self,
        member: directory.Member,
        need: room.Need,
        capacity: room.Capacity,
        part: room.Part,
    ) -> bool:
        """Return whether this instance may send a request to an endpoint.

        :param part: its part of the room.
        """
        return self.find(member).may_take(
            need, capacity, self._load_of(member), part
        )

    def _load_of(self, member: directory.Member) -> room.Load:
        place = self.find(member)
        return room.Load(
            member.in_flight + place.peer_requests,
            member.pending.remaining_ms + place.peer_queue_ms,
        )


def weigh_report(age_intervals: float) -> float:
    """Return how much a peer's report counts, 0 to 1.

    :param age_intervals: its age in intervals of the peer's reports.
    """
    return min(1.0, max(0.0, 2.0 - age_intervals / OVERDUE_INTERVALS))


def find_capacity(
    member: directory.Member,
    facts: ServiceFacts,
    limits: bounds.AdmissionBounds,
    priority: int,
) -> room.Capacity:
    """Return how much an endpoint may be given by requests of a priority."""
    engine = facts.engine
    slots = member.entry.slots
    if engine is None:
        places = slots * PLAIN_PLACES_FACTOR if slots > 0 else _UNBOUNDED
        return room.Capacity(places)
    queue_ms = limits.queue_share * facts.shortest_target_ms
    if priority <= facts.top_priority:
        queue_ms *= URGENT_FACTOR
    return room.Capacity(
        slots if slots > 0 else engine.slots or _UNBOUNDED,
        limits.memory_share * engine.memory_tokens
        if engine.memory_tokens
        else math.inf,
        queue_ms or math.inf,
    )
