"""The directory of endpoints, built from their entries in the store."""

import collections.abc
import dataclasses
import math
import time

from wagtailstream_router import (
    endpoint,
    endpoint_limit,
    endpoint_notice,
    event_log,
    health,
    lag,
    peer_report,
    replica,
    wire,
)
from wagtailstream_router.zones import cold_share, cold_start, evacuation

# Endpoints whose entry expired during an outage of the store stay in the
# directory this long: running ones renew their entry by then, as the users
# state.
LAPSE_GRACE_SECONDS = 2.0
# How long the last write of an endpoint's entry is remembered; longer than the
# time by which a restored store may be behind, some seconds in the users'
# specification.
KEEP_WRITES_SECONDS = 60.0
# How much later than a newer write an older one may still be carried out, some
# seconds in the users' specification. A number that another writer gave an
# entry holds the endpoint's own writes up no longer.
LATE_WRITE_SECONDS = 10.0
# Cold endpoints get nothing while less than this share of the slots of the
# warm ones is in use: what runs there would start sooner than on a cold one.
FREE_SHARE = 0.5


@dataclasses.dataclass(frozen=True, slots=True)
class _Write:
    """The last write of an endpoint's entry.

    :param order: the endpoint's start and the number of the write since; a
        later write is greater. The number is infinite once the entry was
        removed: most heartbeats before are not read.
    :param read_order: the same of the last write that was read.
    :param at: when it was read, by the monotonic clock.
    """

    order: tuple[int, float]
    read_order: tuple[int, float]
    at: float


class PendingWork:
    """Prompts queued at an endpoint, which prefills one after another."""

    def __init__(self) -> None:
        self._items: dict[int, tuple[float, float]] = {}
        self._next = 0

    @property
    def remaining_ms(self) -> float:
        """The estimated remaining time to prefill all prompts.

        The prefill of the first prompt counts as running since it was sent.
        """
        if not self._items:
            return 0.0
        total = sum(work for _, work in self._items.values())
        sent, work = next(iter(self._items.values()))
        done = (time.monotonic() - sent) * 1000.0
        return total - min(done, work)

    def add(self, work_ms: float) -> int:
        """Add a prompt and return its ticket for `remove`.

        :param work_ms: the estimated time to prefill it.
        """
        self._next += 1
        self._items[self._next] = (time.monotonic(), work_ms)
        return self._next

    def remove(self, ticket: int) -> None:
        """Remove a prompt whose prefill ended or was abandoned.

        Does nothing if it was removed before.
        """
        self._items.pop(ticket, None)


class Member:
    """An endpoint with its load and health as this process sees them.

    :param entry: the endpoint's newest entry in the store.
    :param senders: the instances that share its advertised limit.
    :param notices: what this start of the endpoint reported.
    :param cold: whether it is cold, and this instance's part of its rate.
    :param emptied: the operator's orders to empty data centres.
    """

    def __init__(
        self,
        entry: endpoint.Endpoint,
        senders: endpoint_limit.Senders | None = None,
        notices: endpoint_notice.Notices | None = None,
        cold: cold_start.ColdGate | None = None,
        emptied: evacuation.EvacuationBoard | None = None,
    ) -> None:
        self.entry = entry
        self.cold = cold or cold_start.ColdGate(entry.identity, entry.service)
        self._emptied = emptied
        self.was_cold = False
        self.notices = notices or endpoint_notice.Notices()
        self.health = health.Health()
        self.in_flight = 0
        self.pending = PendingWork()
        self.peer_in_flight = 0
        self.peer_pending_ms = 0.0
        self.lag = lag.Lag()
        self.peer_lags: tuple[lag.LagReport, ...] = ()
        self.grace_until: float | None = None
        self.limit = endpoint_limit.EndpointLimit(
            entry.identity, senders or endpoint_limit.Senders()
        )

    @property
    def identity(self) -> str:
        """The endpoint's id."""
        return self.entry.identity

    @property
    def is_lapsed(self) -> bool:
        """Whether the entry expired during an outage of the store."""
        return self.grace_until is not None

    @property
    def is_emptied(self) -> bool:
        """Whether the operator has emptied the endpoint's data centre."""
        return self._emptied is not None and self._emptied.is_emptied(
            self.entry.zone
        )

    @property
    def is_cold(self) -> bool:
        """Whether its answers say nothing about its speed or version."""
        return self.cold.is_cold

    @property
    def load(self) -> int:
        """Requests in flight at the endpoint, from this process and peers."""
        return self.in_flight + self.peer_in_flight

    @property
    def known_queue_ms(self) -> float:
        """Estimated queued work there, from this process and its peers."""
        return self.pending.remaining_ms + self.peer_pending_ms

    @property
    def lag_ms(self) -> float:
        """By how much recent answers started later than estimated."""
        return lag.combine((self.lag.report, *self.peer_lags))

    @property
    def queue_ms(self) -> float:
        """Estimated time until it starts a new request: queue plus lag."""
        return self.known_queue_ms + self.lag_ms


def list_available(
    members: collections.abc.Iterable[Member],
) -> list[Member]:
    """Return the members that this instance may send a request to now.

    Those that a peer reported to leave are returned only if there are no
    others, and cold ones only if warm ones are not free.
    """
    available = [
        member
        for member in members
        if not member.limit.wait_seconds
        and not member.notices.is_full
        and not member.cold.wait_seconds
    ]
    staying = [
        member
        for member in available
        if not member.notices.is_reported_leaving
    ]
    return _prefer_warm(staying or available)


def _prefer_warm(members: list[Member]) -> list[Member]:
    """Return the warm members while they are free, else all."""
    warm = [member for member in members if not member.is_cold]
    if len(warm) == len(members):
        return members
    slots = sum(member.entry.slots for member in warm)
    load = sum(member.load for member in warm)
    return warm if load < FREE_SHARE * slots else members


class Directory:
    """Keeps the members in sync with the entries in the store.

    :param source: the replica of the topic of endpoint entries.
    :param codec: decodes entries.
    :param log: gets a line for each endpoint that joins, drains or leaves,
        and for each that is cold or warm.
    :param emptied: the operator's orders to empty data centres.
    :param cold_rules: finds what cold endpoints of a service bear.
    :param share: this instance's part of that.
    """

    def __init__(
        self,
        source: replica.Replica,
        codec: wire.RecordCodec,
        log: event_log.EventLog,
        emptied: evacuation.EvacuationBoard | None = None,
        cold_rules: cold_start.ColdRules = cold_start.NO_RULES,
        share: cold_share.ColdShare | None = None,
    ) -> None:
        self._source = source
        self._codec = codec
        self._log = log
        self._members: dict[str, Member] = {}
        self._seen_change = -1
        self._values: dict[str, bytes] = {}
        self._changed_end = 0
        self._seen_era = 0
        self._senders = endpoint_limit.Senders()
        self._notices = endpoint_notice.NoticeBoard()
        self._last_writes: dict[str, _Write] = {}
        self._emptied = emptied or evacuation.EvacuationBoard(
            replica.Replica(), codec.find_emptied_zone, log
        )
        self._cold_rules = cold_rules
        self._share = share or cold_share.ColdShare()
        # Endpoints of the first read may have started long before.
        self._is_first_read = True

    @property
    def members(self) -> dict[str, Member]:
        """All members by id, including draining and lapsed ones."""
        return self._members

    @property
    def last_changed_end(self) -> int:
        """`changed_end` as of the last refresh."""
        return self._changed_end

    @property
    def changed_end(self) -> int:
        """The offset after the last record that changed a member.

        Refreshes the members first.
        """
        self.refresh()
        return self._changed_end

    @property
    def addresses(self) -> frozenset[str]:
        """The addresses of the members that take new requests."""
        emptied = self._emptied.zones
        return frozenset(
            member.entry.address
            for member in self._members.values()
            if _takes_requests(member) and member.entry.zone not in emptied
        )

    @property
    def emptied_zones(self) -> frozenset[str]:
        """The data centres that the operator has emptied."""
        return self._emptied.zones

    @property
    def cold_count(self) -> int:
        """The number of cold endpoints, as of `log_cold`."""
        return sum(member.was_cold for member in self._members.values())

    def list_ready(self, service: str) -> list[Member]:
        """Return a service's members that take new requests.

        Lapsed members are returned only if there are no others, and members
        of emptied data centres never.
        """
        self.refresh()
        emptied = self._emptied.zones
        ready = [
            member
            for member in self._members.values()
            if member.entry.service == service
            and _takes_requests(member)
            and member.entry.zone not in emptied
        ]
        present = [member for member in ready if not member.is_lapsed]
        return present or ready

    def list_withheld_versions(self, service: str) -> frozenset[str]:
        """Return the versions that only emptied data centres have."""
        emptied = self._emptied.zones
        if not emptied:
            return frozenset()
        ready = [
            member.entry
            for member in self._members.values()
            if member.entry.service == service and _takes_requests(member)
        ]
        return frozenset(
            entry.version for entry in ready if entry.zone in emptied
        ) - frozenset(
            entry.version for entry in ready if entry.zone not in emptied
        )

    def is_emptied(self, service: str) -> bool:
        """Return whether only an order keeps a service from requests."""
        return bool(self.list_withheld_versions(service)) and not (
            self.list_ready(service)
        )

    def log_cold(self) -> None:
        """Log which members have become cold or warm."""
        for member in self._members.values():
            is_cold = member.is_cold
            if is_cold is member.was_cold:
                continue
            member.was_cold = is_cold
            self._log.write(
                "endpoint_cold" if is_cold else "endpoint_warm",
                endpoint=member.identity,
                service=member.entry.service,
                zone=member.entry.zone,
                version=member.entry.version,
                seconds=round(member.cold.remaining_seconds, 3),
            )

    def list_cold_reports(self) -> dict[str, cold_start.ColdReport]:
        """Return what this instance found itself of cold endpoints."""
        reports = {
            identity: member.cold.report
            for identity, member in self._members.items()
        }
        return {
            identity: report
            for identity, report in reports.items()
            if report is not None
        }

    def merge_peer_cold(
        self,
        reports: collections.abc.Mapping[str, cold_start.ColdReport],
    ) -> None:
        """Merge what a peer found itself of cold endpoints.

        :param reports: by the id of the endpoint.
        """
        for identity, report in reports.items():
            member = self._members.get(identity)
            if member is not None:
                member.cold.merge_peer(report)

    def is_leaving(self, service: str) -> bool:
        """Return whether an endpoint of a service reported leaving."""
        return any(
            member.entry.service == service and member.notices.is_leaving
            for member in self._members.values()
        )

    def has_successor(self, member: Member) -> bool:
        """Return whether a later endpoint has a member's address."""
        return any(
            other.entry.address == member.entry.address
            and other.entry.born_ms > member.entry.born_ms
            for other in self._members.values()
        )

    def merge_peer_leaving(
        self, starts: collections.abc.Iterable[tuple[str, int]]
    ) -> None:
        """Record which endpoints a peer reported to leave.

        :param starts: the id of each and the Unix time in ms of its start.
        """
        for identity, born_ms in starts:
            member = self._members.get(identity)
            if (
                member is not None
                and member.entry.born_ms == born_ms
                and member.notices.record_reported_leaving()
            ):
                self._log.write("endpoint_reported_leaving", endpoint=identity)

    def set_senders(self, senders: endpoint_limit.Senders) -> None:
        """Replace the instances that share the limits of endpoints."""
        if senders == self._senders:
            return
        self._senders = senders
        for member in self._members.values():
            member.limit.set_senders(senders)

    def merge_peer_limits(
        self,
        observations: collections.abc.Mapping[str, endpoint_limit.Observation],
    ) -> None:
        """Merge the limits that a peer received from endpoints.

        :param observations: the peer's newest observation by endpoint.
        """
        for identity, observation in observations.items():
            member = self._members.get(identity)
            if member is not None:
                member.limit.merge_peer(observation)

    def set_peer_loads(
        self,
        loads: collections.abc.Sequence[dict[str, peer_report.EndpointLoad]],
    ) -> None:
        """Replace the peers' loads of all members.

        :param loads: for each live peer, its load by endpoint.
        """
        for member in self._members.values():
            shares = [
                table[member.identity]
                for table in loads
                if member.identity in table
            ]
            member.peer_in_flight = sum(load.in_flight for load in shares)
            member.peer_pending_ms = sum(load.pending_ms for load in shares)
            member.peer_lags = tuple(
                load.lag_report for load in shares if load.lag_report.weight
            )

    def refresh(self) -> None:
        """Apply the changes of the entries since the last refresh."""
        self._remove_expired()
        for zone in self._emptied.drain_taken_back():
            self._presume_cold(zone)
        copy = self._source
        if copy.end.era != self._seen_era:
            self._seen_era = copy.end.era
            # Offsets of the era before can't be compared with the new ones.
            self._changed_end = copy.end.offset
        if copy.change == self._seen_change:
            return
        self._seen_change = copy.change
        records = copy.records
        for key, record in records.items():
            if record.value is not None and self._values.get(key) != (
                record.value
            ):
                self._values[key] = record.value
                self._apply_entry(key, record.value)
        for key in list(self._members):
            if key not in records:
                self._handle_missing(key)
        self._changed_end = max(self._changed_end, copy.corrected_end)
        self._is_first_read = self._is_first_read and not copy.is_loaded

    def _presume_cold(self, zone: str) -> None:
        """Presume that the endpoints of a data centre may have restarted."""
        for member in self._members.values():
            if member.entry.zone == zone:
                member.cold.presume()

    def _apply_entry(self, identity: str, value: bytes) -> None:
        entry = self._codec.decode_endpoint(identity, value)
        if entry is None:
            # Not an endpoint's entry; a member that is known under this id
            # stays as it is.
            self._log.write_routine("entry_ignored", endpoint=identity)
            return
        current = self._members.get(identity)
        if self._is_outdated(entry, current):
            self._log.write_routine(
                "entry_outdated", endpoint=identity, sequence=entry.sequence
            )
            return
        if entry.sequence is not None:
            self._record_write(identity, (entry.born_ms, entry.sequence))
        if current is None or current.entry.born_ms != entry.born_ms:
            self._members[identity] = self._make_member(entry, current)
            self._changed_end = self._source.end.offset
            self._log.write(
                "endpoint_joined",
                endpoint=identity,
                service=entry.service,
                version=entry.version,
                state=entry.state.value,
            )
            return
        if current.entry != entry or current.is_lapsed:
            self._changed_end = self._source.end.offset
        if current.entry.state is not entry.state:
            self._log.write(
                "endpoint_state", endpoint=identity, state=entry.state.value
            )
        current.entry = entry
        current.grace_until = None
        current.cold.extend((entry.cold_ms or 0.0) / 1000.0)

    def _make_member(
        self, entry: endpoint.Endpoint, before: Member | None
    ) -> Member:
        """Return a member for a new entry.

        :param before: the member of the endpoint's last start, if known.
            Requests that were sent before the new entry was read may have
            come to the new start.
        """
        if before is not None and before.entry.service == entry.service:
            cold = before.cold
        else:
            cold = cold_start.ColdGate(
                entry.identity, entry.service, self._cold_rules, self._share
            )
        if entry.cold_ms is not None:
            cold.extend(entry.cold_ms / 1000.0)
        elif not self._is_first_read:
            cold.presume()
        return Member(
            entry,
            self._senders,
            self._notices.find(entry.identity, entry.born_ms),
            cold,
            self._emptied,
        )

    def _is_outdated(
        self, entry: endpoint.Endpoint, current: Member | None
    ) -> bool:
        """Return whether an entry is older than one that was read before.

        The store may carry a write out seconds later than the endpoint's next
        one. The copy that a restored store came back from may hold entries
        from before what is believed, and entries of endpoints that have left.
        """
        last = self._last_writes.get(entry.identity)
        if last is None or entry.sequence is None:
            return False
        write = (entry.born_ms, entry.sequence)
        if not self._source.is_settling:
            is_recent = time.monotonic() - last.at < LATE_WRITE_SECONDS
            # Without its start, a write after a restart looks old.
            return (
                bool(entry.born_ms) and is_recent and write < last.read_order
            )
        return write < last.order or (current is None and write == last.order)

    def _record_write(self, identity: str, order: tuple[int, float]) -> None:
        now = time.monotonic()
        before = self._last_writes.pop(identity, None)
        read_order = order
        if math.isinf(order[1]):
            read_order = before.read_order if before is not None else (0, 0.0)
        self._last_writes[identity] = _Write(order, read_order, now)
        # The oldest come first.
        for identity, write in list(self._last_writes.items()):
            if now - write.at < KEEP_WRITES_SECONDS:
                break
            del self._last_writes[identity]

    def _handle_missing(self, identity: str) -> None:
        member = self._members[identity]
        self._values.pop(identity, None)
        self._changed_end = self._source.end.offset
        if member.is_lapsed:
            return
        now = time.monotonic()
        grace_end = self._source.reconfirmed_at + LAPSE_GRACE_SECONDS
        if self._source.is_stale:
            grace_end = now + LAPSE_GRACE_SECONDS
        if now < grace_end:
            member.grace_until = grace_end
            self._log.write(
                "endpoint_lapsed", endpoint=identity, offset=self._seen_change
            )
            return
        self._record_write(identity, (member.entry.born_ms, math.inf))
        self._remove(identity, "entry removed")

    def _remove_expired(self) -> None:
        now = time.monotonic()
        for identity, member in list(self._members.items()):
            due = member.grace_until
            if due is not None and now >= due:
                self._remove(identity, "missing after the grace period")

    def _remove(self, identity: str, reason: str) -> None:
        del self._members[identity]
        self._notices.record_gone(identity)
        self._log.write("endpoint_gone", endpoint=identity, reason=reason)


def _takes_requests(member: Member) -> bool:
    """Return whether a member is ready and did not report leaving.

    An entry that says ready may be older than the endpoint's own report.
    """
    return (
        member.entry.state is endpoint.EndpointState.READY
        and not member.notices.is_leaving
    )
