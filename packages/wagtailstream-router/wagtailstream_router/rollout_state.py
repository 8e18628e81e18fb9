"""Roll-outs as plain data, and the pure decisions on them."""

import dataclasses
import enum


class Stage(enum.Enum):
    """How far a roll-out is, as the operator reads it."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """The operator's wish to move a service to a version.

    :param duration_seconds: the time for it, from the order.
    """

    service: str
    target: str
    duration_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """What the router says of a roll-out.

    :param order_offset: the place of the order in the operator's topic.
    :param started_ms: the Unix time at which a process first saw the order.
    """

    service: str
    target: str
    stage: Stage
    order_offset: int
    started_ms: int


@dataclasses.dataclass(slots=True)
class Evidence:
    """Answers of one version, since the order.

    :param good: answers without fault.
    :param bad: failures of the version's endpoints.
    :param gap_sum: the sum of the mean pauses between events, relative to
        the model's usual pause.
    :param gap_count: how many streams are in the sum.
    """

    good: int = 0
    bad: int = 0
    gap_sum: float = 0.0
    gap_count: int = 0

    @property
    def total(self) -> int:
        """All answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The share of failures, 0 before the first answer."""
        return self.bad / self.total if self.total else 0.0

    @property
    def mean_gap(self) -> float:
        """The mean relative pause, 0 before the first."""
        return self.gap_sum / self.gap_count if self.gap_count else 0.0

    def add(self, other: "Evidence") -> None:
        """Add another process's evidence."""
        self.good += other.good
        self.bad += other.bad
        self.gap_sum += other.gap_sum
        self.gap_count += other.gap_count


# Failures, and share of failures, from which a version counts as bad: the
# fiftieth failure must find the verdict in force, and single crashes of
# endpoints must not look like a bad version.
MIN_BAD = 4
MIN_BAD_SHARE = 0.15
BAD_SHARE_FACTOR = 2.5
# Streams, and slowness against the old version, from which it is too slow.
MIN_SLOW_STREAMS = 6
SLOW_FACTOR = 2.2
# Shares of the order's time between which the exposure rises from its first
# value to all; sessions that began on the old version may move in the second
# half only, and caches of the new servers warm up prompt by prompt.
RAMP_START = 0.5
RAMP_END = 0.75
# Of the bound on a bad version's exposure, the part used in the first half.
FIRST_EXPOSURE = 0.6
# Share of the order's time after which a sound version is completed: the old
# servers' last streams have ended by then.
COMPLETE_AT = 0.9


def is_bad(new: Evidence, old: Evidence) -> bool:
    """Return whether the new version does worse than the old one."""
    fails = (
        new.bad >= MIN_BAD
        and new.bad_share >= MIN_BAD_SHARE
        and new.bad_share >= BAD_SHARE_FACTOR * old.bad_share
    )
    is_slow = (
        new.gap_count >= MIN_SLOW_STREAMS
        and old.gap_count >= MIN_SLOW_STREAMS
        and new.mean_gap >= SLOW_FACTOR * old.mean_gap
    )
    return fails or is_slow


def exposure_at(elapsed_share: float, exposure_bound: float) -> float:
    """Return the share of new sessions that go to the new version.

    :param elapsed_share: the part of the order's time that has passed.
    :param exposure_bound: the bound on a bad version's share of requests.
    """
    first = exposure_bound * FIRST_EXPOSURE
    if elapsed_share <= RAMP_START:
        return first
    risen = (elapsed_share - RAMP_START) / (RAMP_END - RAMP_START)
    return min(1.0, first + risen * (1.0 - first))
