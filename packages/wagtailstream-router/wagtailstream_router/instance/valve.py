"""Decides whether an instance asks for no new connections."""

import collections.abc
import dataclasses

# The strain at which the valve closes, and that at which it opens again.
CLOSE_STRAIN = 1.0
OPEN_STRAIN = 0.5
# How long strain has to last for a change.
HOLD_SECONDS = 1.0
# How long an instance waits after it asked to close: longer than reports of
# peers are old, so that it knows all who asked before.
ASK_SECONDS = 3.5
# After a longer time without a decision, what it knew of peers is out of date.
MAX_GAP_SECONDS = 1.0
# After this long without a turn it asks anew, behind the others.
MAX_ASK_SECONDS = 10.0
# Two that ask within this time of each other may see their order differently,
# as reports are late by that much at most.
ORDER_SECONDS = 0.5
# The platform takes an instance out after two missed probes, a second apart;
# a second more has an effect.
MIN_CLOSED_SECONDS = 3.0
MAX_CLOSED_SECONDS = 4.0
# How long it stays open after that, as a multiple of the time it was closed.
OPEN_FACTOR = 9.0
# After this long the platform has taken the instance out, so callers whose
# connections end connect elsewhere.
OUT_SECONDS = 2.2


@dataclasses.dataclass(frozen=True, slots=True)
class Peer:
    """What is known of another instance of the same data centre.

    :param asked_at: when it asked to close, by this instance's monotonic
        clock; None if it did not, or opened since.
    :param is_leaving: whether it shuts down.
    """

    name: str
    asked_at: float | None
    is_leaving: bool = False


class ReadinessValve:
    """Turns new callers away from an instance that is behind, for a while.

    It answers this load: instances of one to seven in size whose callers were
    spread by a hash. Those that want to close take turns by the time at which
    they asked, so that no more than a share of them is closed at once.

    :param name: the instance's name.
    :param share: the share of a data centre's instances, 0 to 1, that may be
        closed at once; 0 to never close.
    :param now: the current time, by the monotonic clock.
    """

    def __init__(self, name: str, share: float, now: float) -> None:
        self._name = name
        self._share = share
        self._asked_at: float | None = None
        self._closed_at: float | None = None
        self._may_ask_at = now + OPEN_FACTOR * MIN_CLOSED_SECONDS
        self._strained_since: float | None = None
        self._calm_since: float | None = None
        self._updated_at = now

    @property
    def is_open(self) -> bool:
        """Whether the instance takes new connections."""
        return self._closed_at is None

    @property
    def asked_at(self) -> float | None:
        """When it asked to close; None if it did not, or opened since."""
        return self._asked_at

    def set_share(self, share: float) -> None:
        """Replace the share of instances that may be closed at once."""
        self._share = share

    def ends_connections(self, now: float) -> bool:
        """Return whether answers end their connections."""
        return (
            self._closed_at is not None and now - self._closed_at > OUT_SECONDS
        )

    def update(
        self,
        now: float,
        strain: float,
        peers: collections.abc.Sequence[Peer],
    ) -> bool:
        """Ask, close or open.

        :param strain: how far behind this instance is.
        :param peers: the other live instances of its data centre.
        :returns: whether it closed or opened.
        """
        has_gap = now - self._updated_at > MAX_GAP_SECONDS
        self._updated_at = now
        if has_gap:
            self._strained_since = self._calm_since = None
        self._record(now, strain)
        if self._closed_at is not None:
            return self._open_when_due(now, has_gap)
        if has_gap:
            self._asked_at = None
        if self._asked_at is None:
            if now >= self._may_ask_at and self._lasts(
                self._strained_since, now
            ):
                self._asked_at = now
            return False
        if self._lasts(self._calm_since, now) or (
            now - self._asked_at >= MAX_ASK_SECONDS
        ):
            self._asked_at = None
            return False
        if now - self._asked_at < ASK_SECONDS or not self._has_turn(peers):
            return False
        self._closed_at = now
        return True

    def _record(self, now: float, strain: float) -> None:
        if strain < CLOSE_STRAIN:
            self._strained_since = None
        elif self._strained_since is None:
            self._strained_since = now
        if strain > OPEN_STRAIN:
            self._calm_since = None
        elif self._calm_since is None:
            self._calm_since = now

    def _lasts(self, since: float | None, now: float) -> bool:
        return since is not None and now - since >= HOLD_SECONDS

    def _open_when_due(self, now: float, has_gap: bool) -> bool:
        assert self._closed_at is not None
        closed_seconds = now - self._closed_at
        is_due = closed_seconds >= MAX_CLOSED_SECONDS or (
            closed_seconds >= MIN_CLOSED_SECONDS
            and self._lasts(self._calm_since, now)
        )
        if not is_due and not has_gap:
            return False
        self._closed_at = None
        self._asked_at = None
        self._may_ask_at = now + OPEN_FACTOR * closed_seconds
        return True

    def _has_turn(self, peers: collections.abc.Sequence[Peer]) -> bool:
        """Return whether few enough others are closed or asked before."""
        limit = int((len(peers) + 1) * self._share)
        return sum(map(self._is_ahead, peers)) < limit

    def _is_ahead(self, peer: Peer) -> bool:
        if peer.is_leaving:
            return True
        if peer.asked_at is None or self._asked_at is None:
            return False
        later = peer.asked_at - self._asked_at
        if later < -ORDER_SECONDS:
            return True
        # Of two that asked nearly at once, at least one waits.
        return peer.name < self._name and later < 2 * ORDER_SECONDS
