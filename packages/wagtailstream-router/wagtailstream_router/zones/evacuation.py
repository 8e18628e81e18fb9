"""Which data centres the operator has emptied."""

import collections.abc
import time

from wagtailstream_router import event_log, replica, store

# Returns the data centre that a record's key orders to be emptied; None if the
# record is no such order.
FindZone = collections.abc.Callable[[str], str | None]


class EvacuationBoard:
    """Follows the operator's orders to empty data centres.

    A data centre is emptied while its record is in the operator's topic. If a
    restored store lacks the record, the order holds until records that were
    lost must have been written again.

    :param source: the replica of the operator's topic.
    :param find_zone: decodes the keys of its records.
    :param log: gets a line for each data centre that is emptied or taken
        back.
    """

    def __init__(
        self,
        source: replica.Replica,
        find_zone: FindZone,
        log: event_log.EventLog,
    ) -> None:
        self._source = source
        self._find_zone = find_zone
        self._log = log
        self._seen_change = -1
        self._seen_era = 0
        self._ordered: dict[str, int] = {}
        # Orders that a restored store lacks, and until when they hold.
        self._held_until: dict[str, float] = {}
        self._zones: frozenset[str] = frozenset()
        self._taken_back: set[str] = set()

    @property
    def zones(self) -> frozenset[str]:
        """The data centres whose endpoints may get nothing now."""
        self.refresh()
        return self._zones

    def is_emptied(self, zone: str) -> bool:
        """Return whether the endpoints of a data centre may get nothing."""
        self.refresh()
        return zone in self._zones

    def drain_taken_back(self) -> collections.abc.Set[str]:
        """Return the data centres taken back since the last call."""
        self.refresh()
        taken_back, self._taken_back = self._taken_back, set()
        return taken_back

    def refresh(self) -> None:
        """Apply the changes of the operator's topic."""
        self._drop_expired()
        change, era = self._source.change, self._source.end.era
        if change == self._seen_change and era == self._seen_era:
            return
        is_restored = era != self._seen_era and self._seen_change >= 0
        self._seen_change, self._seen_era = change, era
        ordered = {
            zone: record.offset
            for key, record in self._source.records.items()
            # Peers' copies encode a record without a value as an empty one.
            if record.value and (zone := self._find_zone(key)) is not None
        }
        if is_restored:
            held_until = time.monotonic() + replica.SETTLE_SECONDS
            for zone in self._ordered.keys() - ordered.keys():
                self._held_until[zone] = held_until
        for zone in ordered:
            self._held_until.pop(zone, None)
        self._ordered = ordered
        self._update("removed")

    def _drop_expired(self) -> None:
        if not self._held_until:
            return
        now = time.monotonic()
        expired = [
            zone for zone, until in self._held_until.items() if now >= until
        ]
        for zone in expired:
            del self._held_until[zone]
        if expired:
            self._update("not written again after a restore")

    def _update(self, cause: str) -> None:
        """Recompute the emptied data centres and log the changes.

        :param cause: why data centres are taken back.
        """
        before = self._zones
        self._zones = frozenset(self._ordered) | frozenset(self._held_until)
        end = self._source.end
        for zone in sorted(self._zones - before):
            position = store.Position(end.era, self._ordered[zone])
            self._log.write(
                "zone_emptied",
                zone=zone,
                era=position.era,
                offset=position.offset,
            )
        for zone in sorted(before - self._zones):
            self._taken_back.add(zone)
            self._log.write(
                "zone_taken_back",
                zone=zone,
                era=end.era,
                offset=end.offset,
                cause=cause,
            )
