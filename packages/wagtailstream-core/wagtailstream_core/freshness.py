"""Tells whether an instance may trust its configuration.

An instance that can neither read the log nor hear from a peer that can does
not know whether a version was withdrawn. Instances exchange, for each data
centre, when the log's tail was last read there, where it was, and when
reading it last failed. An instance is fresh for a limited time after the
latest moment at which its offset is known to have been the tail. Where every
data centre fails to reach the log, it is taken to be down for all, so that
nothing can have been accepted; otherwise an instance without news is cut off
and refuses new work.

Contacts travel with Unix times. They are judged by this process's monotonic
clock, so that a step of the wall clock can't make an old contact look new.
"""

import collections.abc
import dataclasses
import enum
import math

from wagtailstream_core import clock

FRESHNESS_LIMIT_SECONDS = 4.0


class Freshness(enum.Enum):
    """How far an instance may trust its configuration."""

    FRESH = "fresh"
    LOG_DOWN = "log-down"
    CUT_OFF = "cut-off"


@dataclasses.dataclass(frozen=True)
class LogContact:
    """The latest news of the log from one data centre.

    :param reached_at: time at which the tail was last read, in seconds.
    :param tail_offset: the highest offset known to be in the log.
    :param failed_at: time at which reading last failed, in seconds.
    """

    data_centre: str
    reached_at: float = 0.0
    tail_offset: int = -1
    failed_at: float = 0.0


Contacts = collections.abc.Mapping[str, LogContact]


@dataclasses.dataclass(frozen=True)
class Moment:
    """One moment on both clocks.

    :param wall: Unix time in seconds.
    :param monotonic: this process's monotonic seconds.
    """

    wall: float
    monotonic: float


@dataclasses.dataclass(frozen=True)
class Standing:
    """What an instance knows of the log.

    :param contacts: by data centre, in Unix time, as peers exchange them.
    :param sightings: the same in this process's monotonic time.
    :param heard_at: monotonic seconds at which a peer last spoke.
    :param proven_at: latest monotonic seconds at which this instance's
        offset is known to have been the log's tail.
    """

    contacts: Contacts = dataclasses.field(default_factory=dict)
    sightings: Contacts = dataclasses.field(default_factory=dict)
    heard_at: float = -math.inf
    proven_at: float = -math.inf

    @property
    def known_tail(self) -> int:
        """The highest offset that is known to be in the log."""
        return max((c.tail_offset for c in self.contacts.values()), default=-1)


def merge(
    known: Contacts, news: collections.abc.Iterable[LogContact]
) -> dict[str, LogContact]:
    """Return the latest of two sets of contacts; order does not matter.

    Each field takes its highest value: a log's tail only rises, so that a
    read that saw a lower one came from a replica that lags.

    :param known: contacts by data centre.
    :param news: contacts from a peer.
    """
    merged = dict(known)
    for contact in news:
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
    standing: Standing,
    news: collections.abc.Iterable[LogContact],
    moment: Moment,
    is_from_peer: bool,
) -> Standing:
    """Return the standing after news of the log.

    Times further in the future than clocks may differ are dropped.

    :param standing: the standing so far.
    :param news: contacts in Unix time.
    :param moment: when the news came.
    :param is_from_peer: whether a peer told them.
    """
    latest = moment.wall + clock.MAX_CLOCK_SKEW_SECONDS
    credible = [_drop_future(contact, latest) for contact in news]
    sightings = [
        _translate(contact, standing.contacts, moment) for contact in credible
    ]
    return Standing(
        merge(standing.contacts, credible),
        merge(standing.sightings, sightings),
        moment.monotonic if is_from_peer else standing.heard_at,
        standing.proven_at,
    )


def _drop_future(contact: LogContact, latest: float) -> LogContact:
    return dataclasses.replace(
        contact,
        reached_at=contact.reached_at if contact.reached_at <= latest else 0.0,
        failed_at=contact.failed_at if contact.failed_at <= latest else 0.0,
    )


def _translate(
    contact: LogContact, known: Contacts, moment: Moment
) -> LogContact:
    """Return a contact in monotonic time; what is not newer never counts."""
    old = known.get(contact.data_centre, LogContact(contact.data_centre))

    def to_monotonic(new: float, before: float) -> float:
        if new <= before:
            return -math.inf
        return moment.monotonic - max(0.0, moment.wall - new)

    return dataclasses.replace(
        contact,
        reached_at=to_monotonic(contact.reached_at, old.reached_at),
        failed_at=to_monotonic(contact.failed_at, old.failed_at),
    )


def prove(standing: Standing, offset: int) -> Standing:
    """Return the standing of an instance that holds an offset.

    While a higher tail is known, nothing new is proven.

    :param standing: the standing so far.
    :param offset: the offset of the instance's own configuration.
    """
    if offset < standing.known_tail:
        return standing
    reached = [s.reached_at for s in standing.sightings.values()]
    return dataclasses.replace(
        standing, proven_at=max([standing.proven_at, *reached])
    )


def judge(
    standing: Standing,
    data_centres: collections.abc.Collection[str],
    offset: int,
    now: float,
) -> Freshness:
    """Return how far an instance may trust its configuration.

    :param standing: what the instance knows of the log.
    :param data_centres: all data centres of the bundle in force.
    :param offset: the offset of the instance's own configuration.
    :param now: monotonic seconds.
    """
    earliest = now - FRESHNESS_LIMIT_SECONDS - clock.MAX_CLOCK_SKEW_SECONDS
    if standing.proven_at > earliest:
        return Freshness.FRESH
    if offset < standing.known_tail or standing.heard_at <= earliest:
        return Freshness.CUT_OFF
    if _is_down_for_all(standing.sightings, data_centres, earliest):
        return Freshness.LOG_DOWN
    return Freshness.CUT_OFF


def _is_down_for_all(
    sightings: Contacts,
    data_centres: collections.abc.Collection[str],
    earliest: float,
) -> bool:
    """Return whether all data centres fail and none reached the log."""
    if any(s.reached_at > earliest for s in sightings.values()):
        return False
    failing = {
        s.data_centre for s in sightings.values() if s.failed_at > earliest
    }
    return bool(data_centres) and failing.issuperset(data_centres)
