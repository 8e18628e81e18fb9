"""Which endpoints are cold, and when this instance may send to them."""

import collections
import collections.abc
import dataclasses
import math
import time

from wagtailstream_router import configuration
from wagtailstream_router.zones import cold_share

# The users' bound holds in any second. A process may be delayed by a tenth of
# a second between the look at its clock and the write.
WINDOW_SECONDS = 1.1
# How long peers get the report that an endpoint was unreachable; it may return
# before its entry says that it has started again.
TELL_LOST_SECONDS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class ColdBounds:
    """How far a cold endpoint's rate may be exceeded.

    :param overshoot: the factor of the rate.
    :param slack: requests beyond that in one second.
    """

    overshoot: float
    slack: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdRule:
    """What the cold endpoints of a service bear.

    :param start_seconds: how long an endpoint is cold after its start.
    :param most_per_second: the requests that an endpoint may get in any
        second, from all instances together.
    """

    start_seconds: float
    most_per_second: float


@dataclasses.dataclass(frozen=True, slots=True)
class ColdReport:
    """What an instance knows itself of a cold endpoint, for its peers.

    :param remaining_seconds: how long it stays cold; 0 if it is not.
    :param lost_seconds: the time since no connection was possible; None if
        one was since.
    """

    remaining_seconds: float
    lost_seconds: float | None


class ColdRules:
    """Finds the rule of a service.

    :param find_service: returns a service of the configuration in force.
    :param bounds: the deployment's bounds; None if it has no such rule.
    """

    def __init__(
        self,
        find_service: collections.abc.Callable[
            [str], configuration.Service | None
        ],
        bounds: ColdBounds | None,
    ) -> None:
        self._find_service = find_service
        self._bounds = bounds

    def set_bounds(self, bounds: ColdBounds | None) -> None:
        """Replace the deployment's bounds."""
        self._bounds = bounds

    def find(self, name: str) -> ColdRule | None:
        """Return the rule of a service; None if it has none."""
        service = self._find_service(name)
        if (
            service is None
            or self._bounds is None
            or service.cold_per_second <= 0.0
        ):
            return None
        return ColdRule(
            service.cold_start_seconds,
            service.cold_per_second * self._bounds.overshoot
            + self._bounds.slack,
        )


_NEVER = -math.inf
NO_RULES = ColdRules(lambda name: None, None)


class Reservation:
    """A place at a cold endpoint for a request that is not written yet.

    :param gate: the endpoint's gate.
    """

    def __init__(self, gate: "ColdGate") -> None:
        self._gate = gate
        self._is_held = True

    def release(self) -> None:
        """Give the place back; does nothing the second time."""
        if self._is_held:
            self._is_held = False
            self._gate.release()


class ColdGate:
    """Whether an endpoint is cold, and this instance's part of its rate.

    :param endpoint: the endpoint's id.
    :param service: the name of its service.
    :param rules: finds the rule of the service.
    :param share: this instance's part of what the endpoint bears.
    """

    def __init__(
        self,
        endpoint: str,
        service: str,
        rules: ColdRules = NO_RULES,
        share: cold_share.ColdShare | None = None,
    ) -> None:
        self._endpoint = endpoint
        self._service = service
        self._rules = rules
        self._share = share or cold_share.ColdShare()
        self._until = _NEVER
        self._lost_at = _NEVER
        # What this instance found itself; only that is reported to peers.
        self._own_until = _NEVER
        self._own_lost_at = _NEVER
        self._reached_at = time.monotonic()
        self._reserved = 0
        self._sent: collections.deque[float] = collections.deque()

    @property
    def is_cold(self) -> bool:
        """Whether the endpoint bears less, and its answers may be slow."""
        # Most have never been cold, and many are asked for each request.
        if self._until == _NEVER or time.monotonic() >= self._until:
            return False
        return self._rules.find(self._service) is not None

    @property
    def remaining_seconds(self) -> float:
        """The time until the endpoint is warm; 0 if it is."""
        if not self.is_cold:
            return 0.0
        return max(0.0, self._until - time.monotonic())

    @property
    def wait_seconds(self) -> float:
        """The time until this instance may send it a request.

        It is infinite if other instances have the endpoint's whole rate.
        """
        if not self.is_cold:
            return 0.0
        return min(self._wait_for_part(self._reserved), self.remaining_seconds)

    @property
    def may_write(self) -> bool:
        """Whether a request that has a reservation may be written now."""
        return not self.is_cold or not self._wait_for_part(0)

    def extend(self, seconds: float) -> None:
        """Record that the endpoint is cold for at least some seconds."""
        if seconds > 0.0:
            until = time.monotonic() + seconds
            self._until = max(self._until, until)
            self._own_until = max(self._own_until, until)

    def presume(self) -> None:
        """Record that the endpoint may have just started."""
        rule = self._rules.find(self._service)
        if rule is not None:
            self.extend(rule.start_seconds)

    @property
    def report(self) -> ColdReport | None:
        """What to tell peers; None if there is nothing."""
        if self._own_until == _NEVER and self._own_lost_at == _NEVER:
            return None
        if self._rules.find(self._service) is None:
            return None
        now = time.monotonic()
        remaining = max(0.0, self._own_until - now)
        lost: float | None = None
        since = now - self._own_lost_at
        if self._own_lost_at > self._reached_at and since < TELL_LOST_SECONDS:
            lost = since
        if lost is None and not remaining:
            return None
        return ColdReport(remaining, lost)

    def merge_peer(self, report: ColdReport) -> None:
        """Take over what a peer found itself."""
        now = time.monotonic()
        if report.remaining_seconds > 0.0:
            self._until = max(self._until, now + report.remaining_seconds)
        if report.lost_seconds is not None:
            self._merge_lost(now - report.lost_seconds)

    def record_unreachable(self) -> None:
        """Record that no connection was possible, so that it may restart."""
        self._own_lost_at = time.monotonic()
        self._merge_lost(self._own_lost_at)

    def _merge_lost(self, at: float) -> None:
        """Record a loss; it says nothing if the endpoint was reached since.

        :param at: when, by the monotonic clock.
        """
        if at > self._reached_at:
            self._lost_at = max(self._lost_at, at)

    def record_reached(self) -> None:
        """Record that a connection is open."""
        if self._lost_at > self._reached_at:
            self.presume()
        self._reached_at = time.monotonic()

    def reserve(self) -> Reservation:
        """Count a request that is about to be sent."""
        self._reserved += 1
        return Reservation(self)

    def release(self) -> None:
        """Give a reservation back."""
        self._reserved -= 1

    def record_send(self) -> None:
        """Count a request whose bytes are written now."""
        if self._rules.find(self._service) is not None:
            self._prune()
            self._sent.append(time.monotonic())

    def _wait_for_part(self, reserved: int) -> float:
        part = self._share.part_of(self._endpoint, self._most_per_second)
        if part <= 0:
            return math.inf
        self._prune()
        excess = len(self._sent) + reserved - part
        if excess < 0:
            return 0.0
        if excess >= len(self._sent):
            # Requests that are not written yet hold the whole part.
            return WINDOW_SECONDS
        return max(0.0, self._sent[excess] + WINDOW_SECONDS - time.monotonic())

    @property
    def _most_per_second(self) -> float:
        rule = self._rules.find(self._service)
        return rule.most_per_second if rule is not None else math.inf

    def _prune(self) -> None:
        since = time.monotonic() - WINDOW_SECONDS
        while self._sent and self._sent[0] <= since:
            self._sent.popleft()
