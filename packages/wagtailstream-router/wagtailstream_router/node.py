"""The settings of an instance."""

import dataclasses

from wagtailstream_router import exposure, retry_budget
from wagtailstream_router.admission import bounds as admission_bounds
from wagtailstream_router.cascade import worth
from wagtailstream_router.flow import bounds as buffer_bounds
from wagtailstream_router.zones import cold_start


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds from the platform's settings.

    :param grace_seconds: the time from SIGTERM to SIGKILL.
    :param drain_seconds: how long a draining endpoint still serves.
    :param exposure: the most requests that a bad version may get.
    :param cold: how far the rate of a cold endpoint may be exceeded; None if
        the deployment has no rule on cold endpoints.
    """

    grace_seconds: float
    drain_seconds: float
    exposure: exposure.ExposureBounds
    retry_budget: retry_budget.BudgetBounds
    cold: cold_start.ColdBounds | None = None


@dataclasses.dataclass(frozen=True, slots=True)
class StoreReadTiming:
    """How often the store is read.

    :param operator_wait_seconds: how long the store may hold a read of the
        operator's topic open (long poll).
    :param entries_pause_seconds: the pause between reads of the endpoints'
        entries.
    """

    operator_wait_seconds: float = 0.8
    entries_pause_seconds: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class ShutdownTiming:
    """The timing of an instance's shutdown, from SIGTERM on.

    :param accept_seconds: how long new requests are admitted. The platform
        probes readiness twice, a second apart, before it stops sending
        connections.
    :param leave_seconds: how long new connections may still arrive; requests
        on them are refused after `accept_seconds`.
    """

    accept_seconds: float = 2.5
    leave_seconds: float = 3.2


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """One instance's settings.

    :param callers_address: the address that callers connect to.
    :param ready_address: the address of the readiness probe.
    :param metrics_address: the address that serves metrics; "" for none.
    :param gossip_address: the address for gossip messages and for copies of
        topics.
    :param seeds: gossip addresses of possible peers.
    :param bounds: bounds from the platform's settings.
    :param credits_: the credit of answers, for the choice of models.
    :param pace: how often the store is read.
    :param leaving: the timing of the shutdown.
    :param idle_seconds: the minimum keep-alive time of a caller's idle
        connection.
    :param learns_speeds: whether the times of model servers are learnt.
    :param buffers: how much may be held for callers and endpoints.
    :param admission: bounds of the queue; None to send all requests at once.
    :param turn_away_share: the share of a data centre's instances, 0 to 1,
        that may turn callers away at once.
    """

    name: str
    zone: str
    callers_address: str
    ready_address: str
    metrics_address: str
    gossip_address: str
    seeds: tuple[str, ...]
    bounds: Bounds
    credits_: worth.Credits
    pace: StoreReadTiming = StoreReadTiming()
    leaving: ShutdownTiming = ShutdownTiming()
    idle_seconds: float = 60.0
    learns_speeds: bool = False
    buffers: buffer_bounds.BufferBounds = buffer_bounds.BufferBounds()
    admission: admission_bounds.AdmissionBounds | None = None
    turn_away_share: float = 0.25
