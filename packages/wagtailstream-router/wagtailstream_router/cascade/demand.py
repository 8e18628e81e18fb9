"""The engine work that requests offer, and what it gains a second."""

import collections
import collections.abc
import dataclasses
import math

# How long an offer counts: long compared with the gaps between the requests of
# one instance, and short compared with changes of the traffic.
WINDOW_SECONDS = 10.0
# Upper bound on the offers that are kept; the oldest are dropped.
MAX_OFFERS = 1024
# Time constants of the offered rate. Bursts last a few seconds.
_RECENT_SECONDS = 1.5
_USUAL_SECONDS = 10.0
# With this many recent offers, recent and usual rate count alike.
_EQUAL_WEIGHT_OFFERS = 10.0


@dataclasses.dataclass(frozen=True, slots=True)
class Offer:
    """Engine work that a request offers.

    :param gain_per_second: the credit gained per second of engine time.
    :param work_ms: the engine time.
    """

    gain_per_second: float
    work_ms: float


def list_offers(
    options: collections.abc.Iterable[tuple[float, float]],
) -> list[Offer]:
    """Return the offers of a request that takes one of several options.

    These are the steps from an option to the next one with a lower gain per
    second of further time: the upper hull of work and gain. At each price,
    the work of the offers above it is that of the best option.

    :param options: the engine time in ms of each option and its gain.
    """
    corners = [(0.0, 0.0)]
    for work_ms, gain in sorted(options):
        if gain <= corners[-1][1] or work_ms <= 0.0:
            continue
        while len(corners) > 1 and _slope(corners[-1], (work_ms, gain)) >= (
            _slope(corners[-2], corners[-1])
        ):
            corners.pop()
        corners.append((work_ms, gain))
    return [
        Offer(_slope(before, after) * 1000.0, after[0] - before[0])
        for before, after in zip(corners, corners[1:], strict=False)
    ]


def _slope(before: tuple[float, float], after: tuple[float, float]) -> float:
    further_ms = after[0] - before[0]
    return (after[1] - before[1]) / further_ms if further_ms else math.inf


class DemandWindow:
    """The recent offers: how the offered work is spread over gains.

    Times are by the caller's clock, in seconds.
    """

    def __init__(self) -> None:
        self._offers: collections.deque[tuple[float, Offer]] = (
            collections.deque(maxlen=MAX_OFFERS)
        )

    def add(self, now: float, offer: Offer) -> None:
        """Add an offer."""
        self._offers.append((now + WINDOW_SECONDS, offer))

    def find_price(self, now: float, share: float) -> float:
        """Return the gain a second of the last offer that fits; 0 if all do.

        Offers are taken in the order of their gains a second.

        :param share: the part of the offered work that there is room for.
        """
        while self._offers and self._offers[0][0] <= now:
            self._offers.popleft()
        if share >= 1.0 or not self._offers:
            return 0.0
        offers = sorted(
            (offer for _, offer in self._offers),
            key=lambda offer: -offer.gain_per_second,
        )
        room_ms = share * sum(offer.work_ms for offer in offers)
        for offer in offers:
            room_ms -= offer.work_ms
            if room_ms <= 0.0:
                return offer.gain_per_second
        return 0.0


class _Decayed:
    """Sums that decay exponentially; times are by the caller's clock."""

    def __init__(self, seconds: float, now: float) -> None:
        self._seconds = seconds
        self._began = now
        self._at = now
        self.work_ms = 0.0
        self.target_work = 0.0
        self.count = 0.0

    def add(self, now: float, work_ms: float, target_ms: float) -> None:
        self.decay(now)
        self.work_ms += work_ms
        self.target_work += work_ms * target_ms
        self.count += 1.0

    def decay(self, now: float) -> None:
        factor = math.exp((self._at - now) / self._seconds)
        self.work_ms *= factor
        self.target_work *= factor
        self.count *= factor
        self._at = now

    def span_seconds(self, now: float) -> float:
        """Return the time that the sums stand for."""
        age = now - self._began
        return self._seconds * (1.0 - math.exp(-age / self._seconds))


class OfferedRate:
    """The engine work offered a second, and the mean target time of it.

    The more requests this instance gets, the more the last 1.5 s count
    against the last 10 s.

    :param now: the time of the start.
    """

    # The sums stand for at least this time, so that the first offers after
    # the start are not taken for a burst.
    _MIN_SPAN_SECONDS = 1.0

    def __init__(self, now: float) -> None:
        self._recent = _Decayed(_RECENT_SECONDS, now)
        self._usual = _Decayed(_USUAL_SECONDS, now)

    def add(self, now: float, offers: list[Offer], target_ms: float) -> None:
        """Add the offers of a request.

        :param target_ms: the target time of its answer.
        """
        work_ms = sum(offer.work_ms for offer in offers)
        if work_ms:
            self._recent.add(now, work_ms, target_ms)
            self._usual.add(now, work_ms, target_ms)

    def per_second(self, now: float) -> float:
        """Return the engine milliseconds a second that are offered."""
        recent = self._rate(self._recent, now)
        usual = self._rate(self._usual, now)
        # Requests that stay away tell as much as those that come.
        expected = _RECENT_SECONDS / _USUAL_SECONDS * self._usual.count
        count = max(self._recent.count, expected)
        weight = count / (count + _EQUAL_WEIGHT_OFFERS)
        return usual + weight * (recent - usual)

    def _rate(self, sums: _Decayed, now: float) -> float:
        sums.decay(now)
        return sums.work_ms / max(
            sums.span_seconds(now), self._MIN_SPAN_SECONDS
        )

    def mean_target_ms(self, now: float) -> float:
        """Return the mean target time by offered work; 0 without offers."""
        self._usual.decay(now)
        work_ms = self._usual.work_ms
        return self._usual.target_work / work_ms if work_ms > 1e-9 else 0.0
