"""Who an instance is, and the bounds that it keeps."""

import dataclasses

from wagtailstream_router import ladder, retry_budget


@dataclasses.dataclass(frozen=True, slots=True)
class Bounds:
    """Bounds of the platform's settings.

    :param grace_seconds: from SIGTERM to SIGKILL.
    :param drain_seconds: how long an endpoint that leaves still serves.
    :param exposure_share: the share of requests a bad version may get.
    :param session_seconds: how long a session lives after a request.
    """

    grace_seconds: float
    drain_seconds: float
    exposure_share: float
    session_seconds: float
    retry_budget: retry_budget.BudgetBounds


@dataclasses.dataclass(frozen=True, slots=True)
class Pace:
    """How often the store is read.

    :param operator_wait_seconds: how long it may hold a read of the
        operator's topic.
    :param entries_pause_seconds: between reads of the endpoints' entries.
    """

    operator_wait_seconds: float = 0.8
    entries_pause_seconds: float = 0.6


@dataclasses.dataclass(frozen=True, slots=True)
class Leaving:
    """How an instance leaves after SIGTERM.

    :param accept_seconds: how long new requests are let in: the platform asks
        twice, a second apart, before it sends connections elsewhere.
    :param leave_seconds: how long connections may still come.
    """

    accept_seconds: float = 2.5
    leave_seconds: float = 3.2


@dataclasses.dataclass(frozen=True, slots=True)
class Settings:
    """One instance's settings.

    :param callers_address: where callers connect.
    :param ready_address: where the platform asks whether it is ready.
    :param metrics_address: where metrics are served; "" for nowhere.
    :param gossip_address: where peers send; "" for nowhere.
    :param seeds: addresses of peers' gossip.
    :param credits_: what answers earn, for the choice of models.
    :param idle_seconds: how long a caller's idle connection is kept.
    """

    name: str
    zone: str
    callers_address: str
    ready_address: str
    metrics_address: str
    gossip_address: str
    seeds: tuple[str, ...]
    bounds: Bounds
    credits_: ladder.Credits
    pace: Pace = Pace()
    leaving: Leaving = Leaving()
    idle_seconds: float = 60.0
