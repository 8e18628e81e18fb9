"""Keeps all instances together within the rate that an endpoint advertises."""

import dataclasses
import math
import time

import xxhash

# The rate at which an endpoint that takes nothing is still asked, so that the
# end of its limit is learnt.
MIN_RATE_PER_SECOND = 0.1
# Instances that send to a limited endpoint, beyond the ceiling of its rate, so
# that the rate is used although one of them gets no requests.
SPARE_SENDERS = 1
# Requests that one instance may send at once after a pause.
BURST = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Observation:
    """The limit that an endpoint advertised in an answer.

    :param per_second: the requests a second that it takes from all instances
        together; None if it advertised none.
    :param at: when the answer came, by the monotonic clock.
    """

    per_second: float | None
    at: float


_NEVER = Observation(None, float("-inf"))


@dataclasses.dataclass(frozen=True, slots=True)
class Senders:
    """The instances among which the rates of endpoints are divided.

    :param name: this instance's name.
    :param peers: the names of its live peers.
    """

    name: str = ""
    peers: tuple[str, ...] = ()

    def share_of(self, endpoint: str, per_second: float) -> float:
        """Return the fraction of an endpoint's rate for this instance.

        A few instances share the rate, chosen by rendezvous hashing. If all
        did, the requests that each may send at once would exceed a low limit
        in a large fleet.
        """
        ranked = sorted(
            {self.name, *self.peers},
            key=lambda name: xxhash.xxh64_intdigest(
                f"{endpoint}|{name}".encode()
            ),
        )
        count = min(len(ranked), math.ceil(per_second) + SPARE_SENDERS)
        return 1.0 / count if self.name in ranked[:count] else 0.0


class EndpointLimit:
    """The limit of one endpoint, and this instance's part of it.

    :param endpoint: the endpoint's id.
    :param senders: the instances that share the rate.
    """

    def __init__(self, endpoint: str, senders: Senders) -> None:
        self._endpoint = endpoint
        self._senders = senders
        self._own = _NEVER
        self._newest = _NEVER
        self._rate = 0.0
        self._tokens = 0.0
        self._filled_at = 0.0

    @property
    def own(self) -> Observation:
        """The newest observation of this instance itself."""
        return self._own

    @property
    def per_second(self) -> float | None:
        """The rate for all instances together; None if it is unlimited."""
        return self._newest.per_second

    @property
    def wait_seconds(self) -> float:
        """The time until this instance may send a request.

        It is infinite if others have the endpoint's whole rate.
        """
        if self.per_second is None:
            return 0.0
        self._fill()
        if self._tokens >= 1.0:
            return 0.0
        if self._rate <= 0.0:
            return math.inf
        return (1.0 - self._tokens) / self._rate

    def observe(self, per_second: float | None) -> bool:
        """Record the limit in an answer that was just received.

        :param per_second: the rate; None if there was none.
        :returns: whether it changed.
        """
        if per_second is None and self.per_second is None:
            return False
        self._own = Observation(per_second, time.monotonic())
        return self._merge(self._own)

    def merge_peer(self, observation: Observation) -> None:
        """Take over a peer's observation unless a newer one is known."""
        if observation.at > self._newest.at:
            self._merge(observation)

    def set_senders(self, senders: Senders) -> None:
        """Replace the instances that share the rate."""
        self._senders = senders
        self._divide()

    def record_send(self) -> None:
        """Count a request that is sent to the endpoint."""
        if self.per_second is not None:
            self._fill()
            self._tokens -= 1.0

    def _merge(self, observation: Observation) -> bool:
        before, self._newest = self._newest, observation
        if before.per_second is None:
            # What might be sent at once has just been sent.
            self._tokens, self._filled_at = 0.0, time.monotonic()
        self._divide()
        return before.per_second != observation.per_second

    def _divide(self) -> None:
        if self.per_second is None:
            return
        self._fill()
        rate = max(self.per_second, MIN_RATE_PER_SECOND)
        self._rate = rate * self._senders.share_of(self._endpoint, rate)

    def _fill(self) -> None:
        now = time.monotonic()
        self._tokens = min(
            BURST, self._tokens + (now - self._filled_at) * self._rate
        )
        self._filled_at = now
