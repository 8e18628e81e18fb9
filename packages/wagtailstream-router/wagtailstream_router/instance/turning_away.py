"""Watches this instance's strain and turns callers away, in a task."""

import collections.abc
import time

from wagtailstream_router import event_log, gossip, metrics, node
from wagtailstream_router.flow import ledger
from wagtailstream_router.instance import strain, valve


class TurningAway:
    """Sends new callers elsewhere while it is behind.

    :param settings: the instance's name, data centre and share.
    :param ledger_: counts the bytes held.
    :param list_alive: returns the live peers.
    """

    def __init__(
        self,
        settings: node.Settings,
        ledger_: ledger.Ledger,
        list_alive: collections.abc.Callable[[], list[gossip.Peer]],
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._zone = settings.zone
        self._ledger = ledger_
        self._list_alive = list_alive
        self._log = log
        self._counters = counters
        self._delay = strain.LoopDelay()
        self._strain = 0.0
        self._valve = valve.ReadinessValve(
            settings.name, settings.turn_away_share, time.monotonic()
        )

    @property
    def is_open(self) -> bool:
        """Whether the instance takes new connections."""
        return self._valve.is_open

    @property
    def ends_connections(self) -> bool:
        """Whether answers end their connections."""
        return not self._valve.is_open and self._valve.ends_connections(
            time.monotonic()
        )

    def set_share(self, share: float) -> None:
        """Replace the share of instances that may be closed at once."""
        self._valve.set_share(share)

    def make_report(self) -> strain.StrainReport:
        """Return what is reported to peers."""
        asked_at = self._valve.asked_at
        return strain.StrainReport(
            round(self._strain, 2),
            None
            if asked_at is None
            else round(time.monotonic() - asked_at, 3),
        )

    async def run(self) -> None:
        """Measure and decide until cancelled."""
        while True:
            await self._delay.sample()
            self.update()

    def update(self) -> None:
        """Decide by the newest measures."""
        held_bytes = self._ledger.held_bytes
        self._strain = strain.compute_strain(
            self._delay.mean_seconds,
            held_bytes / self._ledger.bounds.process_bytes,
        )
        self._counters.set_gauge(metrics.Gauge.STRAIN, self._strain)
        peers = self._list_peers()
        if not self._valve.update(time.monotonic(), self._strain, peers):
            return
        if not self._valve.is_open:
            self._counters.count(metrics.Counter.TURNED_AWAY)
        self._log.write(
            "taking_callers" if self._valve.is_open else "turning_away",
            strain=round(self._strain, 2),
            delay_ms=round(self._delay.mean_seconds * 1000.0, 1),
            held_bytes=held_bytes,
            peers=len(peers),
            peers_asking=sum(peer.asked_at is not None for peer in peers),
        )

    def _list_peers(self) -> list[valve.Peer]:
        return [
            valve.Peer(
                peer.report.name,
                _find_asked_at(peer),
                peer.report.is_draining,
            )
            for peer in self._list_alive()
            if peer.report.zone == self._zone
        ]


def _find_asked_at(peer: gossip.Peer) -> float | None:
    """Return when a peer asked, by this instance's monotonic clock."""
    asked_seconds = peer.report.strain.asked_seconds
    return None if asked_seconds is None else peer.heard_at - asked_seconds
