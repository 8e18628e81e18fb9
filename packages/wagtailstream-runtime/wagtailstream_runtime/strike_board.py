"""An instance's strikes: counts, shares and judges by them.

Strikes travel in heartbeats, from entries to agents and on to other entries,
so that they count also while the log is down. A quarantine record makes the
verdict last and reaches the instances that no heartbeat links.
"""

import collections.abc

from wagtailstream_core import (
    bundle,
    clock,
    errors,
    heartbeat_codec,
    strikes,
    wire_pb2,
)
from wagtailstream_runtime import alarm, follower, metrics

STEP = "strikes"
MAX_NEWS_PER_HEARTBEAT = 64


class StrikeBoard:
    """The strikes that one instance knows.

    :param config_follower: holds the configuration in force.
    :param system_clock: tells the time.
    :param news_alarm: is rung when there is something to share.
    :param counters: takes the counts.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        config_follower: follower.Follower,
        system_clock: clock.Clock,
        news_alarm: alarm.Alarm,
        counters: metrics.Metrics,
        peer: str,
    ) -> None:
        self._follower = config_follower
        self._clock = system_clock
        self._alarm = news_alarm
        self._metrics = counters
        self._peer = peer
        self._table = strikes.StrikeTable()

    @property
    def _limits(self) -> bundle.Limits:
        known = self._follower.state.bundle
        return known.limits if known is not None else bundle.Limits()

    def is_suspect(self, digest: str) -> bool:
        """Return whether an endpoint died under a digest.

        :param digest: the body's digest.
        """
        return bool(self._table.find_strikes(digest))

    def find_quarantine_end(self, digest: str) -> float | None:
        """Return until when the strikes alone refuse a digest, or None.

        :param digest: the body's digest.
        """
        until = self._table.find_quarantine_end(
            digest, self._limits.strikes, self._limits.quarantine_seconds
        )
        if until is None or until <= self._clock.wall():
            return None
        return until

    def has_record(self, digest: str) -> bool:
        """Return whether a record in force quarantines a digest.

        :param digest: the body's digest.
        """
        return self._find_recorded_end(digest) is not None

    def _find_recorded_end(self, digest: str) -> float | None:
        now = self._clock.wall()
        for entry in self._follower.state.quarantined:
            if entry.digest == digest and entry.until > now:
                return entry.until
        return None

    def check(self, digest: str) -> errors.Refusal | None:
        """Return the refusal of a quarantined digest, or None.

        :param digest: the body's digest.
        """
        until = self._find_recorded_end(digest)
        if until is None:
            until = self.find_quarantine_end(digest)
        if until is None:
            return None
        return errors.not_run(
            errors.Reason.QUARANTINED,
            "this request crashed endpoints and is quarantined",
            STEP,
            self._peer,
            until,
        )

    def note_death(self, digest: str, endpoint: str) -> strikes.Strike:
        """Count a strike and return it.

        :param digest: the digest of a body that was in flight.
        :param endpoint: the name of the endpoint that died.
        """
        self._metrics.count(metrics.Metric.STRIKES)
        # As heartbeats carry it, so that all instances hold the same strike.
        struck_at = round(self._clock.wall(), 3)
        strike = strikes.Strike(digest, endpoint, struck_at)
        self._merge([strike])
        return strike

    def withdraw(
        self, mistaken: collections.abc.Iterable[strikes.Strike]
    ) -> None:
        """Take strikes back.

        :param mistaken: strikes on an endpoint that did not die.
        """
        self._merge([strikes.Withdrawal(strike) for strike in mistaken])

    def note_answer(self, digest: str) -> None:
        """Clear the strikes of a digest that was answered.

        :param digest: the body's digest.
        """
        if self.is_suspect(digest):
            self._merge([strikes.Clearing(digest, self._clock.wall())])

    def take(self, message: wire_pb2.Heartbeat) -> None:
        """Take in a peer's news.

        :param message: its heartbeat.
        """
        if message.strikes or message.clearings or message.withdrawn_strikes:
            self._merge(heartbeat_codec.decode_strikes(message))

    def _merge(self, news: list[strikes.News]) -> None:
        oldest = self._clock.wall() - self._limits.quarantine_seconds
        self._table.forget(oldest)
        if self._table.merge(news):
            self._alarm.ring()

    def fill(self, message: wire_pb2.Heartbeat, position: int) -> int:
        """Add what changed to a heartbeat; return the position reached.

        :param message: the heartbeat.
        :param position: what the peer was sent before.
        """
        part = self._table.read_since(position, MAX_NEWS_PER_HEARTBEAT)
        heartbeat_codec.add_strikes(message, part.news)
        if part.position < self._table.position:
            self._alarm.ring()
        return part.position
