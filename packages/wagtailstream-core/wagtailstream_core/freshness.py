"""Tells whether an instance may trust its configuration.

An instance that can neither read the log nor hear from a peer that can does
not know whether a version was withdrawn. Instances exchange, for each data
centre, when the log's tail was last read there and when reading it last
failed. While most data centres fail to reach the log, the log is taken to be
down for all, so that nothing can have been accepted; otherwise an instance
without news is cut off and refuses new work.
"""

import collections.abc
import dataclasses
import enum

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

    :param reached_at: Unix time at which the tail was last read.
    :param tail_offset: the offset of the last record at that time.
    :param failed_at: Unix time at which reading last failed.
    """

    data_centre: str
    reached_at: float = 0.0
    tail_offset: int = -1
    failed_at: float = 0.0


def merge(
    known: collections.abc.Mapping[str, LogContact],
    news: collections.abc.Iterable[LogContact],
) -> dict[str, LogContact]:
    """Return the latest of two sets of contacts; order does not matter.

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
    last = max(old, new, key=lambda c: (c.reached_at, c.tail_offset))
    return LogContact(
        new.data_centre,
        last.reached_at,
        last.tail_offset,
        max(old.failed_at, new.failed_at),
    )


def judge(
    contacts: collections.abc.Mapping[str, LogContact],
    data_centres: collections.abc.Collection[str],
    offset: int,
    now: float,
) -> Freshness:
    """Return how far an instance may trust its configuration.

    :param contacts: the latest contacts by data centre.
    :param data_centres: all data centres of the bundle in force.
    :param offset: the offset of the instance's own configuration.
    :param now: Unix time in seconds.
    """
    earliest = now - FRESHNESS_LIMIT_SECONDS - clock.MAX_CLOCK_SKEW_SECONDS
    recent = [c for c in contacts.values() if c.reached_at > earliest]
    if any(c.tail_offset <= offset for c in recent):
        return Freshness.FRESH
    if recent:
        return Freshness.CUT_OFF
    failing = [
        c.data_centre
        for c in contacts.values()
        if c.failed_at > earliest and c.data_centre in data_centres
    ]
    if len(failing) * 2 > len(data_centres):
        return Freshness.LOG_DOWN
    return Freshness.CUT_OFF
