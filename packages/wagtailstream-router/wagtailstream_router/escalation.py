"""Decides whether a larger model is asked instead of relaying an answer."""

import dataclasses
import time

from wagtailstream_router import (
    directory,
    engine_time,
    event_log,
    exchange,
    forwarding,
    job,
    metrics,
    rollout,
)
from wagtailstream_router.admission import admission
from wagtailstream_router.cascade import demand, ladder, time_price, worth
from wagtailstream_router.engines import engine_speed


@dataclasses.dataclass(frozen=True)
class Sources:
    """What the decisions of all requests depend on.

    :param members: the model servers.
    :param versions: which of them bear requests now.
    :param gate: what waits for room.
    :param prices: the prices of the services' engine time.
    :param speeds: the learnt times of the model servers.
    :param retry_policy: whether the retry budget allows a further attempt.
    :param log: gets a line for each decision.
    :param counters: count them.
    """

    members: directory.Directory
    versions: rollout.Rollouts
    gate: admission.Admission
    prices: time_price.TimePrices
    speeds: engine_speed.EngineSpeeds
    retry_policy: forwarding.RetryPolicy
    log: event_log.EventLog
    counters: metrics.Metrics


class Escalation:
    """The choice of a model for one request, and what it teaches.

    :param credit: what a good answer in time earns.
    :param late_share: the part of that which a late answer earns.
    """

    def __init__(
        self,
        sources: Sources,
        task: job.Job,
        credit: float,
        late_share: float,
    ) -> None:
        self._sources = sources
        self._task = task
        self._credit = credit
        self._late_share = late_share
        self._price = sources.prices.of(task.service)
        self._is_decided = False

    def record_first_demand(self, model: str) -> None:
        """Record the engine time of the request's first answer as offered.

        It is offered before there is room for it, also if it is refused.
        """
        task = self._task
        call = task.call
        work_ms = engine_time.prefill_ms(
            self._sources.speeds.estimate(task.service, task.route, model),
            call.prompt_tokens,
            call.prompt_tokens - call.own_tokens,
        )
        value = ladder.value_first(task.route, self._credit)
        self._price.record_demand(
            demand.list_offers([(work_ms, value)]), task.route.target_ms
        )

    def record_outcome(self, model: str) -> None:
        """Record that a model's answer begins now, or is no longer awaited.

        Only larger models' answers show the room that they were given.
        """
        route = self._task.route
        if model not in route.sizes[1:]:
            return
        taken_ms = (time.monotonic() - self._task.call.arrived) * 1000.0
        self._price.record_outcome(taken_ms <= route.target_ms, self._credit)

    def is_open(self, answer: exchange.Exchange) -> bool:
        """Return whether an answer is to be decided on.

        That is done once a request, for an answer with a confidence.
        """
        return (
            not self._is_decided
            and answer.head.confidence is not None
            and answer.model in self._task.route.sizes
        )

    def choose(
        self,
        answer: exchange.Exchange,
        larger_models: list[ladder.Candidate],
    ) -> str | None:
        """Return the model to ask instead of relaying an answer.

        :param larger_models: those that could be asked.
        :returns: None to relay it.
        """
        self._is_decided = True
        task = self._task
        target = task.call.arrived + task.route.target_ms / 1000.0
        answered = ladder.Answered(
            answer.head.confidence or 0.0,
            self._credit,
            (target - time.monotonic()) * 1000.0,
            worth.paid_tokens(task.call),
        )
        gains = ladder.list_gains(answered, larger_models, self._late_share)
        works = [candidate.work_ms for candidate in larger_models]
        self._price.record_demand(
            demand.list_offers(zip(works, gains, strict=True)),
            task.route.target_ms,
        )
        quote = self._price.quote(self._observe_engines)
        larger = ladder.choose_next(
            answered, larger_models, self._late_share, quote.per_second
        )
        self._log_choice(answer, answered, larger_models, quote, larger)
        self._count_choice(quote, max(gains, default=0.0) > 0.0, larger)
        if larger is None:
            return None
        counters = self._sources.counters
        if not self._sources.retry_policy.may_send_extra(task):
            counters.count(metrics.Counter.CLIMB_DENIED)
            return None
        counters.count(metrics.Counter.CLIMBED)
        return larger

    def _observe_engines(self) -> time_price.Engines:
        service = self._task.service
        ready = self._sources.members.list_ready(service)
        serving = self._sources.versions.list_serving(service, ready)
        return time_price.observe_engines(
            directory.list_available(serving),
            self._sources.gate.fleet_waiting_ms,
        )

    def _count_choice(
        self, quote: time_price.Quote, is_offered: bool, larger: str | None
    ) -> None:
        """Count why an answer was kept.

        :param is_offered: whether a larger model would gain without a price
            of engine time.
        """
        counters = self._sources.counters
        counters.set_gauge(metrics.Gauge.TIME_PRICE, quote.per_second)
        if larger is None and is_offered:
            counters.count(metrics.Counter.CLIMB_DENIED_PRICE)
        elif larger is None:
            counters.count(metrics.Counter.CLIMB_NOT_WORTH)

    def _log_choice(
        self,
        answer: exchange.Exchange,
        answered: ladder.Answered,
        larger_models: list[ladder.Candidate],
        quote: time_price.Quote,
        larger: str | None,
    ) -> None:
        self._sources.log.write_routine(
            "model_kept" if larger is None else "model_climbed",
            request=self._task.call.identity,
            endpoint=answer.member.identity,
            model=answer.model,
            larger=larger,
            confidence=answered.confidence,
            credit=round(answered.credit, 2),
            left_ms=round(answered.left_ms),
            first_ms=[round(each.first_ms) for each in larger_models],
            work_ms=[round(each.work_ms) for each in larger_models],
            time_price=round(quote.per_second, 3),
            price_age_ms=round((time.monotonic() - quote.at) * 1000.0),
            engines=quote.engines.count,
            queue_ms=round(quote.engines.queue_ms),
            offered_ms=round(quote.offered_ms),
            room_ms=round(quote.room_ms),
            learnt_share=round(quote.learnt_share, 2),
        )
