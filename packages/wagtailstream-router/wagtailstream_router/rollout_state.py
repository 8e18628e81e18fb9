"""Data types of roll-outs, and pure functions that decide on them."""

import dataclasses
import enum
import math

from wagtailstream_router import store


class Stage(enum.Enum):
    """The stage of a roll-out, as reported to the operator."""

    RUNNING = "running"
    COMPLETED = "completed"
    ROLLED_BACK = "rolled_back"

    @property
    def is_final(self) -> bool:
        """Whether the roll-out has ended."""
        return self is not Stage.RUNNING


@dataclasses.dataclass(frozen=True, slots=True)
class Order:
    """An operator's order to move a service to a version.

    :param target: the new version.
    :param duration_seconds: the time for the roll-out, from the order.
    """

    service: str
    target: str
    duration_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class Status:
    """The status of a roll-out, as exchanged with peers and the operator.

    :param order: where the order is in the operator's topic.
    """

    service: str
    target: str
    stage: Stage
    order: store.Position

    def is_same_order(self, other: "Status") -> bool:
        """Return whether two statuses are about the same order.

        In another era the order is at another position, if the store had lost
        it and it was written again.
        """
        if (self.service, self.target) != (other.service, other.target):
            return False
        return self.order == other.order or self.order.era != other.order.era


@dataclasses.dataclass(frozen=True, slots=True)
class StatusRecord:
    """A status as written for the operator and for later processes.

    :param started_ms: the Unix time at which the order came, by the wall
        clock of the process that wrote the record.
    """

    status: Status
    started_ms: int


@dataclasses.dataclass(frozen=True, slots=True)
class Sample:
    """The evidence of one answer on its endpoint's version.

    :param is_failed: whether the endpoint answered with an error.
    :param is_slow: whether the first token came far later than estimated.
    """

    is_failed: bool = False
    is_slow: bool = False


@dataclasses.dataclass(slots=True)
class Evidence:
    """Counts of a version's answers and requests since the order.

    :param good: answers without an error.
    :param bad: errors of the version's endpoints.
    :param slow: answers that started late; each also counts as good unless it
        failed.
    :param requests: requests whose first attempt was sent to the version.
    :param repeats: further attempts that were sent to the version.
    """

    good: int = 0
    bad: int = 0
    slow: int = 0
    requests: int = 0
    repeats: int = 0

    @property
    def total(self) -> int:
        """The number of answers, good and bad."""
        return self.good + self.bad

    @property
    def bad_share(self) -> float:
        """The share of errors, 0 to 1; 0 before the first answer."""
        return self.bad / self.total if self.total else 0.0

    @property
    def sent(self) -> int:
        """The number of all attempts."""
        return self.requests + self.repeats

    @property
    def slow_share(self) -> float:
        """The share of late answers; 0 before the first answer."""
        return self.slow / self.total if self.total else 0.0

    def count(self, sample: Sample) -> None:
        """Add one answer."""
        self.good += not sample.is_failed
        self.bad += sample.is_failed
        self.slow += sample.is_slow

    def count_send(self, is_repeat: bool) -> None:
        """Add one attempt.

        :param is_repeat: whether the request was sent before.
        """
        self.requests += not is_repeat
        self.repeats += is_repeat

    def add(self, other: "Evidence") -> None:
        """Add another process's evidence."""
        self.good += other.good
        self.bad += other.bad
        self.slow += other.slow
        self.requests += other.requests
        self.repeats += other.repeats

    def copy(self) -> "Evidence":
        """Return a copy that later counts do not change."""
        return dataclasses.replace(self)

    def minus(self, before: "Evidence") -> "Evidence":
        """Return what was counted since an earlier copy."""
        return Evidence(
            self.good - before.good,
            self.bad - before.bad,
            self.slow - before.slow,
            self.requests - before.requests,
            self.repeats - before.repeats,
        )

    def merge(self, other: "Evidence") -> None:
        """Merge other counts of the same process; its counts only rise."""
        self.good = max(self.good, other.good)
        self.bad = max(self.bad, other.bad)
        self.slow = max(self.slow, other.slow)
        self.requests = max(self.requests, other.requests)
        self.repeats = max(self.repeats, other.repeats)


# The evidence of one start, by version.
EvidenceByVersion = dict[str, Evidence]


@dataclasses.dataclass(frozen=True, slots=True)
class Start:
    """One start of an instance; each counts its own evidence from zero.

    :param name: the instance's name.
    :param boot: the start time in Unix ms by the instance's own clock.
    """

    name: str
    boot: int


# The fewest errors or late answers that can make a version bad, so that a
# single server's brief failure does not.
MIN_FAULTY_ANSWERS = 3
# Significance level: the new version is bad if its errors were less likely
# than this at the old version's rate. Rolling back a good version breaks a
# requirement; keeping a bad one breaks the bound on its exposure.
SIGNIFICANCE_LEVEL = 0.01
# The same for the recent answers alone. It is stricter, as each moment of the
# order's time brings other recent answers.
RECENT_LEVEL = 0.002
# The same once the old endpoints have stopped: a wrong verdict ends the
# service until the next order. Its errors have to exceed this rate, which one
# failing endpoint of three does not bring about, and this multiple of the old
# rate.
COMPLETED_LEVEL = 1e-5
COMPLETED_RATE = 0.15
COMPLETED_RATE_FACTOR = 2.5
# The fewest answers of the old version that a completed one is compared with.
MIN_OLD_ANSWERS = 30
# Likelihood at the old version's rate below which recent errors hold back the
# next step, and the fewest of them.
SUSPICION_LEVEL = 0.1
MIN_SUSPECT_ANSWERS = 2
# Lower bound for the old version's assumed rate of errors.
MIN_RATE = 0.004
# Lower bound for the old version's assumed rate of late answers.
MIN_SLOW_RATE = 0.1
# The old version's rate of errors is multiplied by this, to allow for traffic
# that moves between the versions.
RATE_FACTOR = 1.5
# The odds of a late answer of the old version are multiplied by this. It is
# larger than RATE_FACTOR as late answers come in bursts and more often from
# servers with cold caches. A multiple of the rate would reach 1 where half of
# the old version's answers are late; no version could then exceed it.
SLOW_ODDS_FACTOR = 2.0
# Fraction of the order's duration from which a session may move to the new
# version: half of it (a rule of the users' specification), and a margin, as an
# instance may read the order before the operator's confirmation, from which
# the users count.
SESSIONS_MOVE_AT = 0.5 + 0.02
# The part of the exposure bound that requests get before the handover to the
# new version; those of sessions from SESSIONS_MOVE_AT on.
TRIAL_EXPOSURE = 0.9


def is_bad(new: Evidence, old: Evidence) -> bool:
    """Return whether the new version has significantly more faulty answers.

    Errors and late answers are compared separately with the old version's.

    :param new: the evidence on the new version.
    :param old: the evidence on all other versions.
    """
    return _has_faults(new, _Rates.of(old), SIGNIFICANCE_LEVEL)


def is_bad_lately(
    recent_new: Evidence, old: Evidence, recent_old: Evidence
) -> bool:
    """Return whether the new version's recent answers alone make it bad.

    :param recent_new: the recent evidence on the new version.
    :param old: all evidence on all other versions.
    :param recent_old: its recent part, which shows trouble that is not the
        new version's.
    """
    rates = _Rates.of(old).raise_to(_Rates.of(recent_old))
    return _has_faults(recent_new, rates, RECENT_LEVEL)


def is_suspect(
    recent_new: Evidence, old: Evidence, recent_old: Evidence
) -> bool:
    """Return whether the new version's recent answers forbid more exposure.

    The parameters are those of `is_bad_lately`.
    """
    rates = _Rates.of(old).raise_to(_Rates.of(recent_old))
    return _has_faults(recent_new, rates, SUSPICION_LEVEL, MIN_SUSPECT_ANSWERS)


def is_bad_after_completion(new: Evidence, old: Evidence) -> bool:
    """Return whether a completed version's errors make it bad.

    Nothing else can serve its requests then: late answers do not count, small
    differences neither, and there must be enough answers to compare with.

    :param new: the evidence on the version since its completion.
    :param old: all evidence on all other versions.
    """
    rate = max(COMPLETED_RATE, COMPLETED_RATE_FACTOR * old.bad_share)
    return old.total >= MIN_OLD_ANSWERS and _is_worse(
        new.bad, new.total, rate, COMPLETED_LEVEL, MIN_FAULTY_ANSWERS
    )


@dataclasses.dataclass(frozen=True, slots=True)
class _Rates:
    """The highest rates of faulty answers that a sound version may have."""

    failing: float
    late: float

    @classmethod
    def of(cls, old: Evidence) -> "_Rates":
        return cls(
            max(MIN_RATE, RATE_FACTOR * old.bad_share),
            max(
                MIN_SLOW_RATE, _multiply_odds(old.slow_share, SLOW_ODDS_FACTOR)
            ),
        )

    def raise_to(self, other: "_Rates") -> "_Rates":
        """Return the higher one of each rate."""
        return _Rates(
            max(self.failing, other.failing), max(self.late, other.late)
        )


def _has_faults(
    new: Evidence,
    rates: _Rates,
    level: float,
    least: int = MIN_FAULTY_ANSWERS,
) -> bool:
    return _is_worse(
        new.bad, new.total, rates.failing, level, least
    ) or _is_worse(new.slow, new.total, rates.late, level, least)


def _multiply_odds(chance: float, factor: float) -> float:
    """Return the chance whose odds are a multiple of another chance's odds."""
    return factor * chance / (1.0 - chance + factor * chance)


def _is_worse(
    count: int, total: int, rate: float, level: float, least: int
) -> bool:
    # Skips the sum for counts that are not above the expected value.
    if count < least or count <= rate * total:
        return False
    return binomial_tail(count, total, rate) < level


def binomial_tail(failures: int, total: int, rate: float) -> float:
    """Return the binomial probability of at least this many failures.

    :param failures: the number of failed answers.
    :param total: the number of all answers.
    :param rate: the probability that a single answer fails.
    """
    if rate >= 1.0:
        return 1.0
    if rate <= 0.0:
        return 0.0 if failures else 1.0
    # In logarithms, as the terms underflow a float for large totals.
    odds = math.log(rate) - math.log1p(-rate)
    term = total * math.log1p(-rate)
    fewer = 0.0
    for count in range(failures):
        fewer += math.exp(term)
        term += math.log(total - count) - math.log(count + 1) + odds
    return max(0.0, 1.0 - fewer)


def exposure_at(
    elapsed_share: float, exposure_bound: float, has_session: bool
) -> float:
    """Return the share of requests, 0 to 1, for a version on trial.

    It never falls as the time passes, so that a session that has moved stays.

    :param elapsed_share: the elapsed fraction of the order's duration.
    :param exposure_bound: the bound on a bad version's share of requests.
    :param has_session: whether the requests belong to sessions. Any instance
        may get the next request of a session, and can't tell whether the
        session is older than the order; so all sessions stay on the old
        version until they may move.
    """
    if has_session and elapsed_share < SESSIONS_MOVE_AT:
        return 0.0
    return min(1.0, exposure_bound * TRIAL_EXPOSURE)


def count_exposed(exposure: float, server_count: int) -> int:
    """Return how many of the new version's servers get requests.

    The count is proportional to the exposure, so each of them gets its full
    load from the start: a version that fails only under load is detected
    while few requests are exposed.

    :param exposure: the share of requests that the new version gets.
    :param server_count: the number of servers of the new version.
    """
    return max(1, math.ceil(exposure * server_count))
