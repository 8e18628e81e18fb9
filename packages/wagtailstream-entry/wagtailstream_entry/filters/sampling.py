"""Rates a sample of the answers, off the request path.

Whether the rating service is fast, slow or down, no caller waits for it.
"""

import asyncio
import random
import time

from wagtailstream_core import cascade, configuration
from wagtailstream_entry.filters import exchange
from wagtailstream_entry.versions import rating, version_watch
from wagtailstream_runtime import follower, metrics

MAX_ANSWER_BYTES = 65536


class Sample(exchange.AnswerSink):
    """Keeps a copy of an answer on its way to the caller.

    :param sink: where the answer goes.
    """

    def __init__(self, sink: exchange.AnswerSink) -> None:
        self._sink = sink
        self._pieces: list[bytes] = []
        self._size = 0

    @property
    def content(self) -> bytes | None:
        """The whole answer; None where it was too large to keep."""
        if self._size > MAX_ANSWER_BYTES:
            return None
        return b"".join(self._pieces)

    async def start(self, exchange: exchange.Exchange) -> None:
        """Prepare for the first piece; the origin is known.

        :param exchange: the request.
        """
        await self._sink.start(exchange)

    async def write(self, data: bytes) -> None:
        """Take a piece of the answer.

        :param data: the piece.
        """
        self._size += len(data)
        if self._size <= MAX_ANSWER_BYTES:
            self._pieces.append(data)
        await self._sink.write(data)


class Sampler:
    """Chooses answers to rate and has them rated in the background.

    :param rater: rates answers.
    :param watch: counts the ratings.
    :param memory: keeps the ratings, for ladders.
    :param config_follower: holds the configuration in force.
    :param share: the rated share of the answers of stable versions; all of
        the others and of ladders' answers are rated.
    :param limit: how many ratings may be under way; beyond, none is asked.
    :param rng: draws the sample.
    :param counters: takes the counts.
    """

    def __init__(
        self,
        rater: rating.Rater,
        watch: version_watch.VersionWatch,
        memory: cascade.Memory,
        config_follower: follower.Follower,
        share: float,
        limit: int,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._rater = rater
        self._watch = watch
        self._memory = memory
        self._follower = config_follower
        self._share = share
        self._limit = limit
        self._rng = rng
        self._metrics = counters
        self._tasks: set[asyncio.Task[None]] = set()

    def wants(
        self,
        request: exchange.Exchange,
        version: configuration.ModelVersion,
    ) -> bool:
        """Return whether an answer of a version is to be rated.

        :param request: the request; a ladder learns from all its answers.
        :param version: the version that will make it.
        """
        known = self._follower.state.bundle
        model = known.find_model(version.model) if known else None
        if model is None:
            return False
        if request.is_on_ladder or version.version != model.stable:
            return not request.is_rated_on_path
        if self._watch.is_watchful(version.model):
            return True
        return self._rng.random() < self._share

    def submit(self, request: exchange.Exchange, sample: Sample) -> None:
        """Have an answer rated in the background, if there is room.

        :param request: a request that a version answered.
        :param sample: the answer.
        """
        content = sample.content
        if content is None or len(self._tasks) >= self._limit:
            self._metrics.count(metrics.Metric.RATINGS_SKIPPED)
            return
        task = asyncio.ensure_future(
            self._rate(request, rating.make_rated(request, content))
        )
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)

    async def _rate(
        self, request: exchange.Exchange, rated: rating.Rated
    ) -> None:
        score = await self._rater.rate(rated)
        if score is None:
            self._metrics.count(metrics.Metric.RATINGS_MISSED)
            return
        version = configuration.ModelVersion(rated.model, rated.version)
        self._watch.note_rating(version, score)
        self._memory.add(
            rating.make_key(request, rated), score, time.monotonic()
        )

    def close(self) -> None:
        """Give up the ratings under way."""
        for task in self._tasks:
            task.cancel()
