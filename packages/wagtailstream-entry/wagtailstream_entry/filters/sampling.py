"""Rates a sample of the answers in the background.

No caller waits for the rating service, even if it is slow or down.
"""

import asyncio
import random
import time

from wagtailstream_core import cascade, configuration
from wagtailstream_entry.filters import exchange
from wagtailstream_entry.versions import rating, version_watch
from wagtailstream_runtime import follower, metrics

# Longer answers are not kept for rating.
MAX_ANSWER_BYTES = 65536


class Sample(exchange.AnswerSink):
    """Passes an answer on to a sink, and keeps a copy for rating.

    :param sink: receives the answer.
    """

    def __init__(self, sink: exchange.AnswerSink) -> None:
        self._sink = sink
        self._pieces: list[bytes] = []
        self._size = 0

    @property
    def content(self) -> bytes | None:
        """The answer; None if it is longer than `MAX_ANSWER_BYTES`."""
        if self._size > MAX_ANSWER_BYTES:
            return None
        return b"".join(self._pieces)

    async def start(self, request: exchange.Exchange) -> None:
        """Prepare for the first piece.

        :param request: the request.
        """
        await self._sink.start(request)

    async def write(self, data: bytes) -> None:
        """Pass a piece on and keep a copy.

        :param data: the piece.
        """
        self._size += len(data)
        if self._size <= MAX_ANSWER_BYTES:
            self._pieces.append(data)
        await self._sink.write(data)


class Sampler:
    """Selects answers and rates them in the background.

    :param rater: rates answers.
    :param watch: counts the ratings of versions.
    :param histogram_store: keeps the ratings for ladders.
    :param config_follower: holds the configuration in force.
    :param share: the share of the answers of stable versions that is rated,
        0 to 1; all answers of other versions and of ladders are rated.
    :param limit: the maximum number of concurrent ratings; answers beyond
        it are not rated.
    :param rng: draws the sample.
    :param counters: counts skipped and missed ratings.
    """

    def __init__(
        self,
        rater: rating.Rater,
        watch: version_watch.VersionWatch,
        histogram_store: cascade.HistogramStore,
        config_follower: follower.Follower,
        share: float,
        limit: int,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._rater = rater
        self._watch = watch
        self._histogram_store = histogram_store
        self._follower = config_follower
        self._share = share
        self._limit = limit
        self._rng = rng
        self._metrics = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def should_rate(
        self,
        request: exchange.Exchange,
        version: configuration.ModelVersion,
    ) -> bool:
        """Return whether to rate the answer to a request.

        All answers of a ladder are rated, since it is planned from ratings;
        those that the ladder rates itself are not rated again.

        :param request: the request.
        :param version: the version that will answer it.
        """
        current_bundle = self._follower.state.bundle
        model = (
            current_bundle.find_model(version.model)
            if current_bundle
            else None
        )
        if model is None:
            return False
        if request.is_on_ladder or version.version != model.stable:
            return not request.is_rated_before_delivery
        if self._watch.needs_all_ratings(version.model):
            return True
        return self._rng.random() < self._share

    def submit(self, request: exchange.Exchange, sample: Sample) -> None:
        """Start rating an answer in the background.

        The rating is skipped if the answer is too long or the limit of
        concurrent ratings is reached.

        :param request: a request that was answered.
        :param sample: the copy of the answer.
        """
        content = sample.content
        if content is None or len(self._tasks) >= self._limit:
            self._metrics.count(metrics.Metric.RATINGS_SKIPPED)
            return
        task = asyncio.ensure_future(
            self._rate(request, rating.make_rating_request(request, content))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rate(
        self, request: exchange.Exchange, rating_request: rating.RatingRequest
    ) -> None:
        score = await self._rater.rate(rating_request)
        if score is None:
            self._metrics.count(metrics.Metric.RATINGS_MISSED)
            return
        version = configuration.ModelVersion(
            rating_request.model, rating_request.version
        )
        self._watch.record_rating(version, score)
        self._histogram_store.add(
            rating.make_key(request, rating_request), score, time.monotonic()
        )

    def close(self) -> None:
        """Cancel the ratings in progress."""
        for task in self._tasks:
            task.cancel()
