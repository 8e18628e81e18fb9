"""Decides whether an instance's configuration is recent enough to act on.

An instance that can reach neither the log nor a peer that reads the log does
not know whether a version was withdrawn. So instances exchange log contacts:
for each data centre, when the log's tail was last read there, its offset, and
when a read last failed. An instance is fresh for a limited time after the
latest moment at which its own offset is known to have been the tail. If the
log is unreachable from every data centre, it is assumed to be down for all,
so that no change can have been accepted meanwhile. Otherwise an instance that
is not fresh is cut off and refuses new work.

Contacts are exchanged in Unix time. Their age is measured by the monotonic
clock of this process, so that a step of the wall clock can't make an old
contact look new.
"""

import collections.abc
import dataclasses
import enum
import math

from wagtailstream_core import clock

# Maximum age of the last proof that the configuration is current. Clock skew
# comes on top.
FRESHNESS_LIMIT_SECONDS = 4.0


class Freshness(enum.Enum):
    """Whether an instance's configuration is known to be current."""

    FRESH = "fresh"
    LOG_DOWN = "log-down"
    CUT_OFF = "cut-off"


@dataclasses.dataclass(frozen=True)
class LogContact:
    """The latest contact with the log from one data centre.

    :param reached_at: when the tail was last read, in seconds.
    :param tail_offset: the highest offset known to be in the log; -1 if none.
    :param failed_at: when a read last failed, in seconds.
    """

    data_centre: str
    reached_at: float = 0.0
    tail_offset: int = -1
    failed_at: float = 0.0


Contacts = collections.abc.Mapping[str, LogContact]


@dataclasses.dataclass(frozen=True)
class ClockReading:
    """Readings of both clocks at one moment.

    :param wall: Unix time in seconds.
    :param monotonic: this process's monotonic seconds.
    """

    wall: float
    monotonic: float


@dataclasses.dataclass(frozen=True)
class LogView:
    """What an instance knows about the log.

    :param contacts: contacts by data centre in Unix time, as exchanged.
    :param local_contacts: the same contacts in this process's monotonic time.
    :param heard_at: monotonic seconds of the last message from a peer.
    :param proven_at: the latest monotonic seconds at which this instance's
        offset is known to have been the log's tail.
    """

    contacts: Contacts = dataclasses.field(default_factory=dict)
    local_contacts: Contacts = dataclasses.field(default_factory=dict)
    heard_at: float = -math.inf
    proven_at: float = -math.inf

    @property
    def known_tail(self) -> int:
        """The highest offset known to be in the log; -1 if none."""
        return max((c.tail_offset for c in self.contacts.values()), default=-1)


def merge(
    contacts: Contacts, updates: collections.abc.Iterable[LogContact]
) -> dict[str, LogContact]:
    """Merge two sets of contacts; the merge is commutative.

    Each field takes its highest value. The log's tail only grows, so a lower
    value was read from a replica that lags.

    :param contacts: contacts by data centre.
    :param updates: contacts to merge into them.
    """
    merged = dict(contacts)
    for contact in updates:
        merged[contact.data_centre] = _latest(
            merged.get(contact.data_centre), contact
        )
    return merged


def _latest(old: LogContact | None, new: LogContact) -> LogContact:
    if old is None:
        return new
    return LogContact(
        new.data_centre,
        max(old.reached_at, new.reached_at),
        max(old.tail_offset, new.tail_offset),
        max(old.failed_at, new.failed_at),
    )


def observe(
    log_view: LogView,
    updates: collections.abc.Iterable[LogContact],
    moment: ClockReading,
    is_from_peer: bool,
) -> LogView:
    """Return the view of the log after contacts were received or made.

    Times that lie further in the future than the clock skew allows are
    ignored.

    :param log_view: the view before.
    :param updates: contacts in Unix time.
    :param moment: when the contacts were received or made.
    :param is_from_peer: whether a peer sent them.
    """
    latest = moment.wall + clock.MAX_CLOCK_SKEW_SECONDS
    credible = [_drop_future(contact, latest) for contact in updates]
    local_contacts = [
        _convert_to_local(contact, log_view.contacts, moment)
        for contact in credible
    ]
    return LogView(
        merge(log_view.contacts, credible),
        merge(log_view.local_contacts, local_contacts),
        moment.monotonic if is_from_peer else log_view.heard_at,
        log_view.proven_at,
    )


def _drop_future(contact: LogContact, latest: float) -> LogContact:
    return dataclasses.replace(
        contact,
        reached_at=contact.reached_at if contact.reached_at <= latest else 0.0,
        failed_at=contact.failed_at if contact.failed_at <= latest else 0.0,
    )


def _convert_to_local(
    contact: LogContact, contacts: Contacts, moment: ClockReading
) -> LogContact:
    """Return a contact in monotonic time.

    Times that are not newer than the known ones become minus infinity, so
    that a merge ignores them.
    """
    old = contacts.get(contact.data_centre, LogContact(contact.data_centre))

    def to_monotonic(new: float, before: float) -> float:
        if new <= before:
            return -math.inf
        return moment.monotonic - max(0.0, moment.wall - new)

    return dataclasses.replace(
        contact,
        reached_at=to_monotonic(contact.reached_at, old.reached_at),
        failed_at=to_monotonic(contact.failed_at, old.failed_at),
    )


def update_proof(log_view: LogView, offset: int) -> LogView:
    """Return the view of the log with ``proven_at`` updated.

    It is not updated while the log is known to hold a higher offset.

    :param log_view: the view before.
    :param offset: the offset of the instance's own configuration.
    """
    if offset < log_view.known_tail:
        return log_view
    reached = [c.reached_at for c in log_view.local_contacts.values()]
    return dataclasses.replace(
        log_view, proven_at=max([log_view.proven_at, *reached])
    )


def assess_freshness(
    log_view: LogView,
    data_centres: collections.abc.Collection[str],
    offset: int,
    now: float,
) -> Freshness:
    """Return whether an instance's configuration is known to be current.

    :param log_view: what the instance knows about the log.
    :param data_centres: all data centres of the bundle in force.
    :param offset: the offset of the instance's own configuration.
    :param now: monotonic seconds.
    """
    earliest = now - FRESHNESS_LIMIT_SECONDS - clock.MAX_CLOCK_SKEW_SECONDS
    if log_view.proven_at > earliest:
        return Freshness.FRESH
    if offset < log_view.known_tail or log_view.heard_at <= earliest:
        return Freshness.CUT_OFF
    if _is_down_for_all(log_view.local_contacts, data_centres, earliest):
        return Freshness.LOG_DOWN
    return Freshness.CUT_OFF


def _is_down_for_all(
    local_contacts: Contacts,
    data_centres: collections.abc.Collection[str],
    earliest: float,
) -> bool:
    """Return whether reads failed in every data centre and none succeeded.

    :param earliest: monotonic seconds; earlier contacts are ignored.
    """
    if any(c.reached_at > earliest for c in local_contacts.values()):
        return False
    failing = {
        c.data_centre
        for c in local_contacts.values()
        if c.failed_at > earliest
    }
    return bool(data_centres) and failing.issuperset(data_centres)
