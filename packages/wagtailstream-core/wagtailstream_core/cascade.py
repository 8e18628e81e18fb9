"""Plans which models of a ladder a request tries, from cheap to expensive.

For each customer and task, the ratings of each model are kept as a decaying
histogram. The ladder's quality target is a mean: an answer rated below it may
be delivered as long as the mean of all delivered answers reaches the target.
A cheap model is used in one of three ways. It is trusted, without a rating of
its answers, if its own mean is safely above the target. Its answers are
checked against a minimum rating if only some of them are good enough. It is
skipped if trying it costs more than it saves.
"""

import collections
import dataclasses
import enum
import math
import random

BINS = 20
# Total weight of a histogram. Beyond it, older ratings lose weight.
HISTOGRAM_ANSWERS = 300.0
# A histogram with fewer ratings is not relied on.
MIN_ANSWERS = 20.0
# Safety margin of an estimated mean, in standard errors.
MARGIN_STANDARD_ERRORS = 1.5
# How far below the target a delivered answer may be rated.
MAX_SHORTFALL = 0.1
# Share of requests that try a skipped model, to notice if it got better.
EXPLORE_SHARE = 0.03
# A model is trusted only within this time of its last rating.
TRUST_SECONDS = 600.0
# Maximum number of histograms kept.
MAX_KEYS = 4096


class Mode(enum.Enum):
    """How a model of a ladder is used for a request."""

    SKIP = "skip"
    CHECK = "check"
    TRUST = "trust"


@dataclasses.dataclass(frozen=True)
class Step:
    """One model to try.

    :param min_rating: the lowest rating with which its answer is delivered.
    """

    model: str
    mode: Mode
    min_rating: float


@dataclasses.dataclass(frozen=True)
class Rung:
    """A model of a ladder.

    :param price: of one answer, in a unit that is common to the ladder.
    """

    model: str
    price: float


@dataclasses.dataclass(frozen=True)
class Histogram:
    """The ratings of a model's answers; older ones lose weight.

    :param weights: the weight of the answers in each of the equal bins of
        ratings from 0 to 1.
    :param total: the weighted sum of the ratings.
    :param squares: the weighted sum of the squared ratings.
    :param rated_at: monotonic seconds of the last rating.
    """

    weights: tuple[float, ...] = (0.0,) * BINS
    total: float = 0.0
    squares: float = 0.0
    rated_at: float = 0.0

    @property
    def answers(self) -> float:
        """The total weight of the ratings, in answers."""
        return sum(self.weights)

    @property
    def mean(self) -> float:
        """The mean rating; 0 if there are no ratings."""
        return self.total / self.answers if self.answers else 0.0

    @property
    def error(self) -> float:
        """The standard error of the mean; 1 if there are no ratings.

        The variance is increased by 1 / answers, so that a few equal ratings
        don't look certain.
        """
        if not self.answers:
            return 1.0
        variance = max(0.0, self.squares / self.answers - self.mean**2)
        return math.sqrt((variance + 1 / self.answers) / self.answers)

    @property
    def cautious_mean(self) -> float:
        """A lower bound that the true mean very likely exceeds."""
        return self.mean - MARGIN_STANDARD_ERRORS * self.error

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
    """Return the models to try, in order.

    The answer of the last one is delivered whatever its rating.

    :param rungs: the ladder, cheapest first.
    :param histograms: the ratings of each rung's model.
    :param target: the mean rating that delivered answers must reach.
    :param now: monotonic seconds.
    :param rng: decides which requests try a model that is to be skipped.
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
            step = Step(rung.model, Mode.CHECK, step.min_rating)
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
    min_rating = find_min_rating(histogram, last_histogram, target)
    if rung.price > find_pass_share(histogram, min_rating) * last_price:
        return Step(rung.model, Mode.SKIP, min_rating)
    return Step(rung.model, Mode.CHECK, min_rating)


def find_min_rating(
    histogram: Histogram, last_histogram: Histogram, target: float
) -> float:
    """Return the lowest minimum at which the delivered mean meets the target.

    Answers below the minimum rating are assumed to be replaced by the
    ladder's last model. While that model has too few ratings, the target
    itself is the minimum.

    :param histogram: the ratings of the model that is tried.
    :param last_histogram: the ratings of the ladder's last model.
    :param target: the mean rating that delivered answers must reach.
    """
    if last_histogram.answers < MIN_ANSWERS:
        return target
    last_mean = last_histogram.cautious_mean
    margin = MARGIN_STANDARD_ERRORS * histogram.error
    shares = [weight / histogram.answers for weight in histogram.weights]
    lowest = math.ceil(max(0.0, target - MAX_SHORTFALL) * BINS - 1e-9)
    for index in range(lowest, int(target * BINS)):
        pass_share = sum(shares[index:])
        passed_sum = sum(
            share * number / BINS
            for number, share in enumerate(shares)
            if number >= index
        )
        # Each rating counts as the lower edge of its bin, so the estimate
        # errs on the low side.
        if passed_sum + (1 - pass_share) * last_mean - margin >= target:
            return index / BINS
    return target


def find_pass_share(histogram: Histogram, min_rating: float) -> float:
    """Return the share of a model's answers that reach a minimum rating.

    :param histogram: the model's ratings; at least one.
    :param min_rating: the lowest rating that counts.
    """
    first = math.ceil(min_rating * BINS - 1e-9)
    return sum(histogram.weights[first:]) / histogram.answers


@dataclasses.dataclass(frozen=True)
class Key:
    """Identifies a histogram.

    :param version: the version that most new sessions of the model start on.
    """

    customer: str
    task: str
    model: str
    version: str


class HistogramStore:
    """The histograms by key.

    At most MAX_KEYS are kept; the one rated longest ago is dropped first.
    """

    def __init__(self) -> None:
        self._histograms: collections.OrderedDict[Key, Histogram] = (
            collections.OrderedDict()
        )

    def find(self, key: Key) -> Histogram:
        """Return the histogram of a key, which is empty if it is unknown.

        :param key: the key.
        """
        return self._histograms.get(key, Histogram())

    def add(self, key: Key, score: float, now: float) -> None:
        """Add a rating to the histogram of a key.

        :param key: the key of the rated answer.
        :param score: the rating, 0 to 1.
        :param now: monotonic seconds.
        """
        self._histograms[key] = self.find(key).add(score, now)
        self._histograms.move_to_end(key)
        if len(self._histograms) > MAX_KEYS:
            self._histograms.popitem(last=False)


@dataclasses.dataclass(frozen=True)
class RaterState:
    """The state of the circuit breaker for the rating service.

    :param misses: the number of consecutive ratings that failed to arrive.
    :param paused_until: monotonic seconds before which no request waits for
        a rating.
    """

    misses: int = 0
    paused_until: float = 0.0


# After MAX_MISSES consecutive misses, requests wait for no ratings during the
# next PAUSE_SECONDS.
MAX_MISSES = 3
PAUSE_SECONDS = 5.0


def record_rating(
    state: RaterState, has_arrived: bool, now: float
) -> RaterState:
    """Return the breaker's state after a rating arrived or was missed.

    :param state: the state before.
    :param has_arrived: whether the rating arrived.
    :param now: monotonic seconds.
    """
    if has_arrived:
        return RaterState()
    misses = state.misses + 1
    if misses < MAX_MISSES:
        return RaterState(misses)
    return RaterState(misses, now + PAUSE_SECONDS)
