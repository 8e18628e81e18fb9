"""The price of a second of an engine's time.

It is the value per second of the work that would be displaced: near zero
while there is room, that of the marginal offer when there is not.
"""

import collections.abc
import dataclasses
import math
import time

from wagtailstream_router import directory
from wagtailstream_router.cascade import demand

# Interval between evaluations of a price.
EVALUATE_SECONDS = 0.2
# A mean queue of this part of the callers' target times makes no answer late:
# a request waits twice, for the small model and for a larger one.
TOLERATED_QUEUE_SHARE = 0.15
# Queues beside the tolerated one are to be gone within this part of the
# target times. A queue this long delays what is behind it so much that time
# costs the usual gain a second, whatever is offered.
RECOVERY_SHARE = 0.35
# The target time where no offer states one.
_DEFAULT_TARGET_MS = 2000.0
# The learnt share of the believed engine time moves by at most this part a
# second, within bounds.
LEARNING_PER_SECOND = 0.1
MIN_LEARNT_SHARE = 0.4
MAX_LEARNT_SHARE = 2.5
# A late answer of a larger model lowers the learnt share by this part if it
# has the mean credit; one in time raises it again by as much as keeps it level
# at the tolerated share.
LATE_STEP = 0.2
# The share of the credit of larger models' answers that may be late: callers
# lose more by weak answers than by this share of late ones.
TOLERATED_LATE_SHARE = 0.05
# Weight of the newest answer in the mean credit, and the most that one answer
# counts, in mean ones.
_NEWEST_WEIGHT = 0.05
_MAX_WEIGHT = 3.0
# Until this time after a late answer, only answers in time show that there is
# room: short queues don't, nor does a price that holds nothing back.
LATE_MEMORY_SECONDS = 5.0
# The longest time between evaluations that learning counts.
_MAX_LEARNING_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Engines:
    """The engines that may be asked now.

    :param count: how many there are.
    :param queue_ms: the mean time until one begins a new request.
    """

    count: int
    queue_ms: float


@dataclasses.dataclass(frozen=True, slots=True)
class Quote:
    """A price and what it was computed from.

    :param per_second: the credit that a second of engine time costs.
    :param at: when it was computed, by the monotonic clock.
    :param offered_ms: the engine ms a second that all instances offer.
    :param room_ms: the engine ms a second that may be taken.
    :param learnt_share: the share of the believed engine time that there is.
    """

    per_second: float
    at: float
    engines: Engines
    offered_ms: float
    room_ms: float
    learnt_share: float


class TimePrice:
    """The price of one service's engine time, as this instance sees it.

    Answers the loads of docs/design/cascade-price.md: offered work beyond the
    room, bursts of one kind, engines that go or are slower than believed.

    :param clock: the monotonic clock.
    """

    def __init__(
        self, clock: collections.abc.Callable[[], float] = time.monotonic
    ) -> None:
        self._clock = clock
        now = clock()
        self._window = demand.DemandWindow()
        self._rate = demand.OfferedRate(now)
        self._peers_ms = 0.0
        self._learnt_share = 1.0
        self._is_held_back = False
        self._late_at = -math.inf
        self._mean_credit = 0.0
        self._quote = Quote(0.0, -math.inf, Engines(0, 0.0), 0.0, 0.0, 1.0)

    @property
    def offered_ms(self) -> float:
        """The engine ms a second that own requests offer, for gossip."""
        return self._rate.per_second(self._clock())

    def record_demand(
        self, offers: list[demand.Offer], target_ms: float
    ) -> None:
        """Record what a request offers, whether it gets it or not.

        :param target_ms: the target time of its answer.
        """
        now = self._clock()
        self._rate.add(now, offers, target_ms)
        for offer in offers:
            self._window.add(now, offer)

    def record_outcome(self, is_in_time: bool, credit: float) -> None:
        """Record a larger model's answer: what callers got shows the room.

        Answers count by their credit, so that many of little value in time
        don't hide the few of great value that are late.

        :param is_in_time: whether it began within its route's target time.
        :param credit: the credit of a good answer in time.
        """
        mean = self._mean_credit or credit
        mean += _NEWEST_WEIGHT * (credit - mean)
        self._mean_credit = mean
        weight = min(_MAX_WEIGHT, credit / mean) if mean > 0.0 else 0.0
        fall = 1.0 - LATE_STEP * weight
        if not is_in_time:
            self._late_at = self._clock()
            self._set_share(self._learnt_share * fall)
        elif self._learnt_share < 1.0:
            late = TOLERATED_LATE_SHARE
            rise = fall ** (-late / (1.0 - late))
            self._set_share(min(1.0, self._learnt_share * rise))

    def _set_share(self, share: float) -> None:
        self._learnt_share = min(
            max(share, MIN_LEARNT_SHARE), MAX_LEARNT_SHARE
        )

    def set_peer_offered(self, offered_ms: float) -> None:
        """Replace the engine ms a second that all peers offer."""
        self._peers_ms = max(0.0, offered_ms)

    def quote(self, observe: collections.abc.Callable[[], Engines]) -> Quote:
        """Return the price, computed anew if the last one is old.

        :param observe: returns the engines; called only when it is computed.
        """
        now = self._clock()
        if now - self._quote.at >= EVALUATE_SECONDS:
            self._quote = self._evaluate(now, observe())
        return self._quote

    def _evaluate(self, now: float, engines: Engines) -> Quote:
        target_ms = self._rate.mean_target_ms(now) or _DEFAULT_TARGET_MS
        tolerated_ms = TOLERATED_QUEUE_SHARE * target_ms
        self._learn(now, engines.queue_ms, tolerated_ms)
        spare = (tolerated_ms - engines.queue_ms) / (
            RECOVERY_SHARE * target_ms
        )
        believed_ms = engines.count * 1000.0 * self._learnt_share
        room_ms = max(0.0, believed_ms * (1.0 + spare))
        offered_ms = self._rate.per_second(now) + self._peers_ms
        share = room_ms / offered_ms if offered_ms else 1.0
        clearing = self._window.find_price(now, share)
        self._is_held_back = clearing > 0.0
        # Also work that there is room for delays what is queued behind it.
        usual = self._window.find_price(now, 0.5)
        delay = min(1.0, engines.queue_ms / (RECOVERY_SHARE * target_ms))
        return Quote(
            max(clearing, usual * delay),
            now,
            engines,
            offered_ms,
            room_ms,
            self._learnt_share,
        )

    def _learn(self, now: float, queue_ms: float, tolerated_ms: float) -> None:
        """Correct the believed engine time by what the queues show."""
        seconds = min(now - self._quote.at, _MAX_LEARNING_SECONDS)
        step = LEARNING_PER_SECOND * seconds
        share = self._learnt_share
        if queue_ms > tolerated_ms:
            excess = min(1.0, queue_ms / tolerated_ms - 1.0)
            share *= 1.0 - step * excess
        elif now - self._late_at < LATE_MEMORY_SECONDS:
            return
        elif not self._is_held_back:
            share += min(step, abs(1.0 - share)) * math.copysign(
                1.0, 1.0 - share
            )
        elif queue_ms < tolerated_ms / 2.0:
            share *= 1.0 + step
        self._set_share(share)


class TimePrices:
    """The prices of the services' engine time."""

    def __init__(self) -> None:
        self._prices: dict[str, TimePrice] = {}

    @property
    def offered(self) -> dict[str, int]:
        """The engine ms a second that own requests offer, by service."""
        offered = {
            service: round(price.offered_ms)
            for service, price in self._prices.items()
        }
        return {service: ms for service, ms in offered.items() if ms}

    def of(self, service: str) -> TimePrice:
        """Return a service's price."""
        price = self._prices.get(service)
        if price is None:
            price = self._prices[service] = TimePrice()
        return price

    def set_peers_offered(
        self,
        reports: collections.abc.Iterable[collections.abc.Mapping[str, float]],
    ) -> None:
        """Replace what the live peers offer.

        :param reports: for each peer, the engine ms a second by service.
        """
        totals: dict[str, float] = {}
        for report in reports:
            for service, offered_ms in report.items():
                totals[service] = totals.get(service, 0.0) + offered_ms
        for service, price in self._prices.items():
            price.set_peer_offered(totals.get(service, 0.0))


def observe_engines(
    members: collections.abc.Collection[directory.Member],
    waiting_ms: float = 0.0,
) -> Engines:
    """Return how many engines there are and how busy they are.

    :param members: the engines that may be asked now.
    :param waiting_ms: the engine time that waits for them in instances.
    """
    usable = [member for member in members if not member.health.is_paused]
    # With the lag: also what an engine runs beside a prompt delays callers.
    queues_ms = sum(member.queue_ms for member in usable) + waiting_ms
    return Engines(len(usable), queues_ms / max(1, len(usable)))
