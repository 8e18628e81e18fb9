"""Runs a request on the models of a ladder until an answer is good enough.

A ladder lists models from cheap to expensive. An answer whose rating
is too low is discarded, and the request is escalated to the next model.
"""

import asyncio
import collections.abc
import random

from wagtailstream_core import bundle, cascade, clock, configuration, versions
from wagtailstream_entry.filters import exchange, pipeline
from wagtailstream_entry.versions import rating, version_watch
from wagtailstream_runtime import follower, metrics

Runner = collections.abc.Callable[
    [exchange.Exchange, str, exchange.AnswerSink],
    collections.abc.Awaitable[pipeline.Verdict],
]


class LadderClimber:
    """Chooses the models of a ladder to run, from the ratings so far.

    :param rater: rates answers.
    :param watch: counts the ratings of versions.
    :param histogram_store: the ratings by customer, task and model version.
    :param config_follower: holds the configuration in force.
    :param system_clock: the clock for deadlines and ratings.
    :param rng: draws the requests that try a model which would be skipped.
    :param counters: counts the steps, escalations and missed ratings.
    """

    def __init__(
        self,
        rater: rating.Rater,
        watch: version_watch.VersionWatch,
        histogram_store: cascade.HistogramStore,
        config_follower: follower.Follower,
        system_clock: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._rater = rater
        self._watch = watch
        self._histogram_store = histogram_store
        self._follower = config_follower
        self._clock = system_clock
        self._rng = rng
        self._metrics = counters
        self._rater_state = cascade.RaterState()

    async def climb(
        self,
        request: exchange.Exchange,
        ladder: bundle.Ladder,
        run_model: Runner,
    ) -> pipeline.Verdict:
        """Run the ladder's models until an answer is delivered.

        :param request: the request.
        :param ladder: the ladder.
        :param run_model: runs one model into a sink.
        """
        request.is_on_ladder = True
        for step in self._plan(request, ladder):
            step = self._replace_unratable_step(step, ladder)
            self._metrics.count(metrics.Metric.LADDER, step.mode.value)
            if step.mode is cascade.Mode.SKIP:
                continue
            if step.mode is cascade.Mode.TRUST:
                return await run_model(request, step.model, request.sink)
            sink = exchange.BufferSink()
            verdict = await self._run_for_rating(
                request, step.model, sink, run_model
            )
            if verdict.is_error():
                return verdict
            score = await self._rate(request, sink.content)
            if self._may_deliver(score, step, ladder):
                return await self._deliver(request, sink)
            self._metrics.count(metrics.Metric.ESCALATED, ladder.name)
            if score is None:
                break
        return await run_model(request, ladder.models[-1], request.sink)

    def _plan(
        self, request: exchange.Exchange, ladder: bundle.Ladder
    ) -> list[cascade.Step]:
        state = self._follower.state
        rungs, histograms = [], []
        for name in ladder.models:
            model = state.bundle.find_model(name) if state.bundle else None
            if model is None:
                continue
            rungs.append(cascade.Rung(name, model.price_per_1000_tokens))
            key = cascade.Key(
                request.customer.name if request.customer else "",
                request.task,
                name,
                versions.find_main_version(state, model),
            )
            histograms.append(self._histogram_store.find(key))
        if not rungs:
            return []
        return cascade.plan(
            tuple(rungs),
            tuple(histograms),
            ladder.quality_target,
            self._clock.monotonic(),
            self._rng,
        )

    def _replace_unratable_step(
        self, step: cascade.Step, ladder: bundle.Ladder
    ) -> cascade.Step:
        """Return the step to take instead while the rater is unavailable.

        The bundle's `when_unrated` decides whether an answer is delivered
        unrated or its model is skipped.
        """
        now = self._clock.monotonic()
        is_paused = now < self._rater_state.paused_until
        if step.mode is not cascade.Mode.CHECK or not is_paused:
            return step
        mode = cascade.Mode.SKIP
        if ladder.when_unrated == "accept":
            mode = cascade.Mode.TRUST
        return cascade.Step(step.model, mode, step.min_rating)

    async def _run_for_rating(
        self,
        request: exchange.Exchange,
        model: str,
        sink: exchange.BufferSink,
        run_model: Runner,
    ) -> pipeline.Verdict:
        request.is_rated_before_delivery = True
        try:
            return await run_model(request, model, sink)
        finally:
            request.is_rated_before_delivery = False

    async def _rate(
        self, request: exchange.Exchange, answer: bytes
    ) -> float | None:
        rating_request = rating.make_rating_request(request, answer)
        score = await self._rate_in_time(request, rating_request)
        now = self._clock.monotonic()
        self._rater_state = cascade.record_rating(
            self._rater_state, score is not None, now
        )
        if score is None:
            self._metrics.count(metrics.Metric.RATINGS_MISSED)
            return None
        version = configuration.ModelVersion(
            rating_request.model, rating_request.version
        )
        self._watch.record_rating(version, score)
        self._histogram_store.add(
            rating.make_key(request, rating_request), score, now
        )
        return score

    async def _rate_in_time(
        self, request: exchange.Exchange, rating_request: rating.RatingRequest
    ) -> float | None:
        try:
            async with asyncio.timeout(
                max(0.0, request.deadline - self._clock.wall())
            ):
                return await self._rater.rate(rating_request)
        except TimeoutError:
            return None

    def _may_deliver(
        self, score: float | None, step: cascade.Step, ladder: bundle.Ladder
    ) -> bool:
        if score is None:
            return ladder.when_unrated == "accept"
        return score >= step.min_rating

    async def _deliver(
        self, request: exchange.Exchange, sink: exchange.BufferSink
    ) -> pipeline.Verdict:
        await request.sink.start(request)
        await request.sink.write(sink.content)
        return pipeline.PASSED
