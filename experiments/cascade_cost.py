"""Compares the cost of cascade policies that must reach a quality target.

A ladder has a small and a large model. The policies always run the large one,
always try the small one first, or learn from ratings when to try it.
"""

import abc
import collections
import dataclasses
import random

from experiments import base, workload
from wagtailstream_core import cascade

SEEDS = 3
REQUESTS = 12000
REQUESTS_PER_SECOND = 20.0
TARGET = 0.8
# The sum of both parameters of the beta distribution of ratings.
RATING_CONCENTRATION = 6.0
FEW_SAMPLED_SHARE = 0.2
# How long a caller waits for a rating that comes, and for one that doesn't.
RATING_SECONDS = 0.1
RATING_TIMEOUT_SECONDS = 1.0
CUSTOMERS = 10
# Pairs of a customer and a task with fewer requests don't count in keys_below.
MIN_KEY_REQUESTS = 100
TOLERANCE = 0.01


@dataclasses.dataclass(frozen=True)
class Task:
    """A kind of request, and the quality of each model's answers to it.

    :param small: the mean rating of the small model.
    :param large: the mean rating of the large model.
    """

    name: str
    small: float
    large: float


TASKS = (
    Task("question", 0.92, 0.93),
    Task("letter", 0.82, 0.90),
    Task("compare", 0.65, 0.88),
    Task("dossier", 0.30, 0.85),
)


@dataclasses.dataclass(frozen=True)
class Condition:
    """The prices and the injected faults of a run.

    :param price: the price of the large model, where the small one costs 1.
    :param when_unrated: what happens to an answer without a rating: "largest"
        runs the largest model, "accept" delivers the answer.
    :param miss_share: the fraction of ratings that do not come in time.
    :param is_down: whether no rating comes for the middle third of the
        requests.
    :param has_drift: whether the small model's mean ratings are halved from
        the middle of the run on.
    """

    name: str
    price: float = 10.0
    when_unrated: str = "largest"
    miss_share: float = 0.0
    is_down: bool = False
    has_drift: bool = False


CONDITIONS = (
    Condition("plain"),
    Condition("plain, large costs 3", price=3.0),
    Condition("ratings slow (30 % missed)", miss_share=0.3),
    Condition("ratings down, largest", is_down=True),
    Condition("ratings down, accept", is_down=True, when_unrated="accept"),
    Condition("small model turns bad", has_drift=True),
)


@dataclasses.dataclass(frozen=True)
class Row(base.Row):
    """The cost and the quality of one policy.

    :param seeds: the number of seeded runs.
    :param cost: the mean cost per request, where the large model costs 1.
    :param quality: the mean rating of the delivered answers.
    :param keys_below: the fraction of pairs of a customer and a task whose
        mean rating is below the target by more than TOLERANCE.
    :param rated: ratings that a caller waited for, mean per request.
    :param wait_ms: the mean time that a caller waited for ratings, in
        milliseconds.
    """

    condition: str
    seeds: int
    cost: float
    quality: float
    keys_below: float
    rated: float
    wait_ms: float


@dataclasses.dataclass(frozen=True)
class _Request:
    """A request, with the ratings that the models' answers would get.

    :param arrived_at: seconds since the start.
    :param small: the rating of the small model's answer.
    :param large: the rating of the large model's answer.
    """

    customer: str
    task: Task
    arrived_at: float
    small: float
    large: float
    is_rating_missed: bool


@dataclasses.dataclass
class Delivery:
    """The cost and the result of a request.

    :param cost: the sum of the prices of the models that ran.
    :param quality: the rating of the delivered answer.
    :param ratings: the number of ratings that the caller waited for.
    :param wait_seconds: how long it waited for them.
    """

    cost: float = 0.0
    quality: float = 0.0
    ratings: int = 0
    wait_seconds: float = 0.0


class Policy(abc.ABC):
    """A policy for running the models of a ladder.

    :param condition: the prices and the policy for unrated answers.
    :param rng: the generator for random choices.
    """

    name = ""

    def __init__(self, condition: Condition, rng: random.Random) -> None:
        self.condition = condition
        self.rng = rng

    @abc.abstractmethod
    def deliver(self, request: _Request) -> Delivery:
        """Return the cost and the result of a request.

        :param request: the request.
        """

    def rate(
        self, request: _Request, score: float, delivery: Delivery
    ) -> float | None:
        """Return a rating that the caller waits for, or None if it is missed.

        :param request: the request.
        :param score: the rating that the answer would get.
        :param delivery: updated with the rating and the time waited.
        """
        delivery.ratings += 1
        if request.is_rating_missed:
            delivery.wait_seconds += RATING_TIMEOUT_SECONDS
            return None
        delivery.wait_seconds += RATING_SECONDS
        return score


class AlwaysLargest(Policy):
    """Runs only the large model."""

    name = "naive: always largest"

    def deliver(self, request: _Request) -> Delivery:
        return Delivery(self.condition.price, request.large)


class AlwaysLadder(Policy):
    """Runs the small model first and waits for the rating of its answer."""

    name = "naive: always ladder"

    def deliver(self, request: _Request) -> Delivery:
        delivery = Delivery(1.0, request.small)
        score = self.rate(request, request.small, delivery)
        if score is None and self.condition.when_unrated == "accept":
            return delivery
        if score is None or score < TARGET:
            delivery.cost += self.condition.price
            delivery.quality = request.large
        return delivery


class Learned(Policy):
    """The router's policy: plans from the ratings of earlier requests.

    The attribute ``is_min_rating_at_target`` is whether a checked answer must
    reach the target; otherwise the plan sets the lowest rating. The attribute
    ``sampled_share`` is the fraction of unchecked answers that are rated
    after their delivery.
    """

    name = "learned, mean over answers"
    is_min_rating_at_target = False
    sampled_share = 1.0

    def __init__(self, condition: Condition, rng: random.Random) -> None:
        super().__init__(condition, rng)
        self._histograms = cascade.HistogramStore()
        self._rater = cascade.RaterState()
        self._rungs = (
            cascade.Rung("small", 1.0),
            cascade.Rung("large", condition.price),
        )

    def deliver(self, request: _Request) -> Delivery:
        delivery = Delivery()
        keys = [
            cascade.Key(request.customer, request.task.name, rung.model, "1")
            for rung in self._rungs
        ]
        steps = cascade.plan(
            self._rungs,
            tuple(self._histograms.find(key) for key in keys),
            TARGET,
            request.arrived_at,
            self.rng,
        )
        is_small_tried = steps[0].model == "small"
        if is_small_tried and self._run_small(
            request, steps[0], keys[0], delivery
        ):
            return delivery
        delivery.cost += self.condition.price
        delivery.quality = request.large
        self._rate_afterwards(request, keys[1], request.large)
        return delivery

    def _run_small(
        self,
        request: _Request,
        step: cascade.Step,
        key: cascade.Key,
        delivery: Delivery,
    ) -> bool:
        """Run the small model; return whether its answer is delivered."""
        accepts_unrated = self.condition.when_unrated == "accept"
        is_paused = request.arrived_at < self._rater.paused_until
        if (
            step.mode is cascade.Mode.CHECK
            and is_paused
            and not accepts_unrated
        ):
            return False
        delivery.cost += 1.0
        delivery.quality = request.small
        if step.mode is cascade.Mode.TRUST or is_paused:
            self._rate_afterwards(request, key, request.small)
            return True
        score = self.rate(request, request.small, delivery)
        self._rater = cascade.record_rating(
            self._rater, score is not None, request.arrived_at
        )
        if score is None:
            return accepts_unrated
        self._histograms.add(key, score, request.arrived_at)
        return score >= (
            TARGET if self.is_min_rating_at_target else step.min_rating
        )

    def _rate_afterwards(
        self, request: _Request, key: cascade.Key, score: float
    ) -> None:
        if (
            not request.is_rating_missed
            and self.rng.random() < self.sampled_share
        ):
            self._histograms.add(key, score, request.arrived_at)


class LearnedAtTarget(Learned):
    """Like :class:`Learned`, but checked answers must reach the target."""

    name = "learned, each answer"
    is_min_rating_at_target = True


class LearnedFewSamples(Learned):
    """Like :class:`Learned`, but rates only 20 % of unchecked answers."""

    name = "learned, mean, 20 % sampled"
    sampled_share = FEW_SAMPLED_SHARE


POLICIES: tuple[type[Policy], ...] = (
    AlwaysLargest,
    AlwaysLadder,
    LearnedAtTarget,
    LearnedFewSamples,
    Learned,
)


def _draw_requests(condition: Condition, seed: int) -> list[_Request]:
    rng = random.Random(seed)
    weights = workload.make_customer_weights(CUSTOMERS)
    requests = []
    for number in range(REQUESTS):
        task = rng.choice(TASKS)
        is_drifted = condition.has_drift and number >= REQUESTS // 2
        is_middle = REQUESTS // 3 <= number < 2 * REQUESTS // 3
        is_down = condition.is_down and is_middle
        requests.append(
            _Request(
                f"c{rng.choices(range(CUSTOMERS), weights)[0]}",
                task,
                number / REQUESTS_PER_SECOND,
                _draw_rating(rng, task.small * (0.5 if is_drifted else 1.0)),
                _draw_rating(rng, task.large),
                is_down or rng.random() < condition.miss_share,
            )
        )
    return requests


def _draw_rating(rng: random.Random, mean: float) -> float:
    return rng.betavariate(
        mean * RATING_CONCENTRATION, (1 - mean) * RATING_CONCENTRATION
    )


def measure(
    condition: Condition, policy_class: type[Policy], seed: int
) -> Row:
    """Run one policy with several seeds and return its row.

    :param condition: the prices and the injected faults.
    :param policy_class: the policy.
    :param seed: the number from which the seeds of all runs are derived.
    """
    delivered: list[Delivery] = []
    below: list[bool] = []
    for number in range(SEEDS):
        policy = policy_class(condition, random.Random(seed * 1000 + number))
        by_key = collections.defaultdict(list)
        for request in _draw_requests(condition, seed * 1000 + number):
            delivery = policy.deliver(request)
            delivered.append(delivery)
            by_key[request.customer, request.task].append(delivery.quality)
        below += [
            sum(qualities) / len(qualities) < TARGET - TOLERANCE
            for qualities in by_key.values()
            if len(qualities) >= MIN_KEY_REQUESTS
        ]
    count = len(delivered)
    return Row(
        way=policy_class.name,
        condition=condition.name,
        seeds=SEEDS,
        cost=sum(d.cost for d in delivered) / count / condition.price,
        quality=sum(d.quality for d in delivered) / count,
        keys_below=sum(below) / len(below),
        rated=sum(d.ratings for d in delivered) / count,
        wait_ms=sum(d.wait_seconds for d in delivered) / count * 1000.0,
    )


class CascadeCost(base.Experiment):
    """Compares cost and quality with slow, missing and drifting ratings."""

    @property
    def name(self) -> str:
        """The experiment's name, as given to ``--only``."""
        return "cascade"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts to draw from the rows."""
        return (
            base.Chart("cost", "condition", "way", "always largest = 1"),
            base.Chart("quality", "condition", "way", "mean rating"),
        )

    def run(self, seed: int) -> list[Row]:
        """Measure every algorithm and return the rows.

        :param seed: seed for all random generators.
        """
        return [
            measure(condition, policy_class, seed)
            for condition in CONDITIONS
            for policy_class in POLICIES
        ]
