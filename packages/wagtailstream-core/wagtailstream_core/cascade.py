"""Decides how far up a ladder of models a request starts, and when to stop.

For each customer and task the ratings of each model are kept as a decaying
histogram. The ladder's target is a mean: an answer below it may be delivered
as long as the answers delivered together reach it. So a cheap model is
trusted without a look where its own mean is safely above the target; its
answers are checked against the lowest sufficient bar where only some of them
are good enough; and it is skipped where trying it costs more than it saves.
"""

import collections
import dataclasses
import enum
import math
import random

BINS = 20
HISTOGRAM_ANSWERS = 300.0
MIN_ANSWERS = 20.0
# Standard errors by which a mean must clear the target.
CAUTION = 1.5
# By how much a rated answer may miss the target and still be delivered.
MAX_SHORTFALL = 0.1
EXPLORE_SHARE = 0.03
TRUST_SECONDS = 600.0
MAX_KEYS = 4096


class Mode(enum.Enum):
    """What to do with one model of a ladder."""

    SKIP = "skip"
    CHECK = "check"
    TRUST = "trust"


@dataclasses.dataclass(frozen=True)
class Step:
    """One model to try.

    :param bar: the rating from which an answer is delivered.
    """

    model: str
    mode: Mode
    bar: float


@dataclasses.dataclass(frozen=True)
class Rung:
    """A model of a ladder.

    :param price: of an answer, in any unit.
    """

    model: str
    price: float


@dataclasses.dataclass(frozen=True)
class Histogram:
    """The ratings of a model's answers, older ones fading.

    :param weights: answers by rating, in equal bins from 0 to 1.
    :param total: the sum of the ratings.
    :param rated_at: monotonic seconds of the last one.
    """

    weights: tuple[float, ...] = (0.0,) * BINS
    total: float = 0.0
    squares: float = 0.0
    rated_at: float = 0.0

    @property
    def answers(self) -> float:
        """How many answers are remembered."""
        return sum(self.weights)

    @property
    def mean(self) -> float:
        """The mean rating; 0 where there is none."""
        return self.total / self.answers if self.answers else 0.0

    @property
    def error(self) -> float:
        """The standard error of the mean."""
        if not self.answers:
            return 1.0
        variance = max(0.0, self.squares / self.answers - self.mean**2)
        return math.sqrt((variance + 1 / self.answers) / self.answers)

    @property
    def cautious_mean(self) -> float:
        """A mean that the model very likely reaches."""
        return self.mean - CAUTION * self.error

    def add(self, score: float, now: float) -> "Histogram":
        """Return the histogram with one more rating.

        :param score: the rating, 0 to 1.
        :param now: monotonic seconds.
        """
        keep = min(1.0, HISTOGRAM_ANSWERS / (self.answers + 1))
        weights = [weight * keep for weight in self.weights]
        weights[min(BINS - 1, int(score * BINS))] += 1.0
        return Histogram(
            tuple(weights),
            self.total * keep + score,
            self.squares * keep + score * score,
            now,
        )


def plan(
    rungs: tuple[Rung, ...],
    histograms: tuple[Histogram, ...],
    target: float,
    now: float,
    rng: random.Random,
) -> list[Step]:
    """Return the models to try, in order; the last one is always delivered.

    :param rungs: the ladder, cheapest first.
    :param histograms: the ratings of each rung's model.
    :param target: the mean rating that delivered answers must reach.
    :param now: monotonic seconds.
    :param rng: draws which requests explore a skipped model.
    """
    last = rungs[-1]
    steps = []
    for rung, histogram in zip(rungs[:-1], histograms[:-1], strict=True):
        step = _plan_rung(
            rung, histogram, last.price, histograms[-1], target, now
        )
        if step.mode is Mode.SKIP:
            if rng.random() >= EXPLORE_SHARE:
                continue
            step = Step(rung.model, Mode.CHECK, step.bar)
        steps.append(step)
        if step.mode is Mode.TRUST:
            return steps
    steps.append(Step(last.model, Mode.TRUST, 0.0))
    return steps


def _plan_rung(
    rung: Rung,
    histogram: Histogram,
    last_price: float,
    last_histogram: Histogram,
    target: float,
    now: float,
) -> Step:
    if histogram.answers < MIN_ANSWERS:
        return Step(rung.model, Mode.CHECK, target)
    is_recent = now - histogram.rated_at <= TRUST_SECONDS
    if histogram.cautious_mean >= target and is_recent:
        return Step(rung.model, Mode.TRUST, 0.0)
    bar = find_bar(histogram, last_histogram, target)
    if rung.price > find_pass_share(histogram, bar) * last_price:
        return Step(rung.model, Mode.SKIP, bar)
    return Step(rung.model, Mode.CHECK, bar)


def find_bar(
    histogram: Histogram, last_histogram: Histogram, target: float
) -> float:
    """Return the lowest bar at which delivered answers reach the target.

    While the largest model is little known, each answer must reach it.

    :param histogram: the ratings of the model that is tried.
    :param last_histogram: the ratings of the model that follows.
    :param target: the mean rating wanted.
    """
    if last_histogram.answers < MIN_ANSWERS:
        return target
    escalated = last_histogram.cautious_mean
    caution = CAUTION * histogram.error
    shares = [weight / histogram.answers for weight in histogram.weights]
    lowest = math.ceil(max(0.0, target - MAX_SHORTFALL) * BINS - 1e-9)
    for index in range(lowest, int(target * BINS)):
        passed = sum(shares[index:])
        kept = sum(
            share * number / BINS
            for number, share in enumerate(shares)
            if number >= index
        )
        # Ratings are taken at the low edge of their bins.
        if kept + (1 - passed) * escalated - caution >= target:
            return index / BINS
    return target


def find_pass_share(histogram: Histogram, bar: float) -> float:
    """Return the share of a model's answers that reach a bar.

    :param histogram: the model's ratings.
    :param bar: the rating wanted.
    """
    first = math.ceil(bar * BINS - 1e-9)
    return sum(histogram.weights[first:]) / histogram.answers


@dataclasses.dataclass(frozen=True)
class Key:
    """What ratings are kept apart by.

    :param version: the version in force of the model.
    """

    customer: str
    task: str
    model: str
    version: str


class Memory:
    """The ratings by customer, task and model; the least used are dropped."""

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[Key, Histogram] = (
            collections.OrderedDict()
        )

    def find(self, key: Key) -> Histogram:
        """Return the ratings of a key.

        :param key: the key.
        """
        return self._histograms.get(key, Histogram())

    def add(self, key: Key, score: float, now: float) -> None:
        """Take in a rating.

        :param key: what was rated.
        :param score: the rating, 0 to 1.
        :param now: monotonic seconds.
        """
        self._histograms[key] = self.find(key).add(score, now)
        self._histograms.move_to_end(key)
        if len(self._histograms) > MAX_KEYS:
            self._histograms.popitem(last=False)


@dataclasses.dataclass(frozen=True)
class RaterState:
    """Whether the rating service answers.

    :param misses: ratings in a row that did not come.
    :param ask_again_at: monotonic seconds before which none is waited for.
    """

    misses: int = 0
    ask_again_at: float = 0.0


MAX_MISSES = 3
PAUSE_SECONDS = 5.0


def note_answer(state: RaterState, has_come: bool, now: float) -> RaterState:
    """Return the state after a rating came, or did not.

    :param state: the state so far.
    :param has_come: whether there was a rating.
    :param now: monotonic seconds.
    """
    if has_come:
        return RaterState()
    misses = state.misses + 1
    if misses < MAX_MISSES:
        return RaterState(misses)
    return RaterState(misses, now + PAUSE_SECONDS)
