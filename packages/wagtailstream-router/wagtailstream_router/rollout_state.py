"""Roll-outs as plain data, and the pure decisions on them."""

import dataclasses
import enum
import math


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


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """What one answer says of its version.

    :param is_failed: whether the endpoint answered with a failure.
    :param is_slow: whether the first token came far later than expected.
    """

    is_failed: bool = False
    is_slow: bool = False


@dataclasses.dataclass(slots=True)
class Evidence:
    """Answers of one version, since the order.

    :param good: answers without fault.
    :param bad: failures of the version's endpoints.
    :param slow: answers that began late; they are in the good ones too.
    """

    good: int = 0
    bad: int = 0
    slow: int = 0

    @property
    def total(self) -> int:
        """All answers."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The share of failures, 0 before the first answer."""
        return self.bad / self.total if self.total else 0.0

    @property
    def slow_share(self) -> float:
        """The share of answers that began late."""
        return self.slow / self.total if self.total else 0.0

    def count(self, sample: Sample) -> None:
        """Count one answer."""
        self.good += not sample.is_failed
        self.bad += sample.is_failed
        self.slow += sample.is_slow

    def add(self, other: "Evidence") -> None:
        """Add another process's evidence."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow


# Failures from which a version may count as bad: one server's bad moment must
# not look like a bad version.
MIN_BAD = 3
# The chance, at the old version's rate of failures, below which the new one's
# failures count as its own. To take back a good version costs a duty; to keep
# a bad one breaks the bound on its exposure.
MAX_CHANCE = 0.01
# The least rate that the old version is taken to fail at.
MIN_RATE = 0.004
# The least rate at which its answers are taken to begin late.
MIN_SLOW_RATE = 0.1
# The old version's rate counts this much more, for what moves between both.
RATE_FACTOR = 1.5
# The same for late answers, which come in bursts and more often from servers
# whose caches are cold: a slow version is several times slower.
SLOW_RATE_FACTOR = 2.0
# Shares of the order's time between which the exposure rises from its first
# value to all; sessions that began on the old version may move in the second
# half only, and caches of the new servers warm up prompt by prompt.
RAMP_START = 0.5
RAMP_END = 0.75
# Of the bound on a bad version's exposure, the part used in the first half.
FIRST_EXPOSURE = 0.9
# Share of the order's time after which a sound version is completed: the old
# servers' last streams have ended by then.
COMPLETE_AT = 0.9


def is_bad(new: Evidence, old: Evidence) -> bool:
    """Return whether the new version does worse than the old one."""
    failing_rate = max(MIN_RATE, RATE_FACTOR * old.bad_share)
    late_rate = max(MIN_SLOW_RATE, SLOW_RATE_FACTOR * old.slow_share)
    return _is_worse(new.bad, new.total, failing_rate) or _is_worse(
        new.slow, new.total, late_rate
    )


def _is_worse(count: int, total: int, rate: float) -> bool:
    # What is no more than expected needs no sum.
    if count < MIN_BAD or count <= rate * total:
        return False
    return chance_of_more(count, total, rate) < MAX_CHANCE


def chance_of_more(failures: int, total: int, rate: float) -> float:
    """Return the chance of this many failures or more.

    :param failures: how many of the answers failed.
    :param total: all answers.
    :param rate: the chance of one to fail.
    """
    if rate >= 1.0:
        return 1.0
    if rate <= 0.0:
        return 0.0 if failures else 1.0
    # By logarithms: the terms of a large fleet's answers are beyond a float.
    odds = math.log(rate) - math.log1p(-rate)
    term = total * math.log1p(-rate)
    fewer = 0.0
    for count in range(failures):
        fewer += math.exp(term)
        term += math.log(total - count) - math.log(count + 1) + odds
    return max(0.0, 1.0 - fewer)


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


def count_exposed(exposure: float, server_count: int) -> int:
    """Return how many of the new version's servers get requests.

    Each gets as much as it will when all requests go there, so that a version
    that fails under load only shows it while few requests are exposed.

    :param exposure: the share of requests that the new version gets.
    :param server_count: how many servers of the new version there are.
    """
    return max(1, math.ceil(exposure * server_count))
