"""Counts and shares strikes, and quarantines request bodies by them.

A strike records that an endpoint crashed while it ran a request's body.
Strikes travel in heartbeats, from entries to agents and on to other entries,
so that they also count while the log is down. A quarantine record in the log
makes the quarantine last and reaches instances that no heartbeat reaches.
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
from wagtailstream_runtime import follower, metrics, notifier

STEP = "strikes"
MAX_UPDATES_PER_HEARTBEAT = 64


class StrikeBoard:
    """The strikes that one instance knows.

    :param config_follower: holds the configuration in force.
    :param system_clock: source of the current time.
    :param change_notifier: wakes the heartbeat senders when there are changes.
    :param counters: metrics to count strikes in.
    :param peer: this instance's name, reported in refusals.
    """

    def __init__(
        self,
        config_follower: follower.Follower,
        system_clock: clock.Clock,
        change_notifier: notifier.Notifier,
        counters: metrics.Metrics,
        peer: str,
    ) -> None:
        self._follower = config_follower
        self._clock = system_clock
        self._notifier = change_notifier
        self._metrics = counters
        self._peer = peer
        self._table = strikes.StrikeTable()

    @property
    def _limits(self) -> bundle.Limits:
        current_bundle = self._follower.state.bundle
        return (
            current_bundle.limits
            if current_bundle is not None
            else bundle.Limits()
        )

    def is_suspect(self, digest: str) -> bool:
        """Return whether a body has strikes.

        :param digest: the body's digest.
        """
        return bool(self._table.find_strikes(digest))

    def find_quarantine_end(self, digest: str) -> float | None:
        """Return when the quarantine by strikes ends, or None.

        Quarantine records of the configuration are not considered.

        :param digest: the body's digest.
        :returns: Unix time in seconds; None if there is no quarantine.
        """
        until = self._table.find_quarantine_end(
            digest, self._limits.strikes, self._limits.quarantine_seconds
        )
        if until is None or until <= self._clock.wall():
            return None
        return until

    def has_quarantine_record(self, digest: str) -> bool:
        """Return whether a quarantine record for a digest is in force.

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
        """Return the refusal if a digest is quarantined, else None.

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

    def record_crash(self, digest: str, endpoint: str) -> strikes.Strike:
        """Add a strike for the crash of an endpoint and return it.

        :param digest: digest of a body that was in flight during the crash.
        :param endpoint: the name of the endpoint that crashed.
        """
        self._metrics.count(metrics.Metric.STRIKES)
        # Rounded to milliseconds as in heartbeats, so that all instances hold
        # an equal strike.
        struck_at = round(self._clock.wall(), 3)
        strike = strikes.Strike(digest, endpoint, struck_at)
        self._merge([strike])
        return strike

    def withdraw(
        self, mistaken: collections.abc.Iterable[strikes.Strike]
    ) -> None:
        """Withdraw strikes.

        :param mistaken: strikes for an endpoint that did not crash.
        """
        self._merge([strikes.Withdrawal(strike) for strike in mistaken])

    def record_answer(self, digest: str) -> None:
        """Clear the strikes of a body whose request was answered.

        :param digest: the body's digest.
        """
        if self.is_suspect(digest):
            self._merge([strikes.Clearing(digest, self._clock.wall())])

    def merge_heartbeat(self, message: wire_pb2.Heartbeat) -> None:
        """Merge the strikes of a peer's heartbeat.

        :param message: the heartbeat.
        """
        if message.strikes or message.clearings or message.withdrawn_strikes:
            self._merge(heartbeat_codec.decode_strikes(message))

    def _merge(self, updates: list[strikes.StrikeUpdate]) -> None:
        oldest = self._clock.wall() - self._limits.quarantine_seconds
        self._table.forget(oldest)
        if self._table.merge(updates):
            self._notifier.notify()

    def add_to_heartbeat(
        self, message: wire_pb2.Heartbeat, position: int
    ) -> int:
        """Add the changes since a position to a heartbeat.

        :param message: the heartbeat.
        :param position: position up to which the peer has received changes.
        :returns: the position up to which the heartbeat covers changes.
        """
        batch = self._table.read_since(position, MAX_UPDATES_PER_HEARTBEAT)
        heartbeat_codec.add_strikes(message, batch.updates)
        if batch.position < self._table.position:
            self._notifier.notify()
        return batch.position
