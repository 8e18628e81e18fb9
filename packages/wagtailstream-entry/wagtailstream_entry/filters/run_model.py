"""Runs a chat completion: chooses ladder or model, and the version."""

import dataclasses

import expression

from wagtailstream_core import (
    bundle,
    configuration,
    errors,
    routing,
    session,
    versions,
    work,
)
from wagtailstream_entry.endpoints import dispatch, target
from wagtailstream_entry.filters import (
    climb_ladder,
    exchange,
    pipeline,
    sampling,
)
from wagtailstream_entry.versions import version_watch
from wagtailstream_runtime import follower

STEP = "plan"
# Maximum number of versions chosen for a request, if each one is withdrawn
# before its answer starts.
MAX_VERSION_CHOICES = 3


class RunModel(pipeline.Filter):
    """Dispatches a chat completion.

    :param dispatcher: dispatches the calls of models.
    :param config_follower: holds the configuration in force.
    :param climber: runs requests on ladders.
    :param sampler: rates answers in the background.
    :param watch: tracks failures of versions, and which are suspect.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        config_follower: follower.Follower,
        climber: climb_ladder.LadderClimber,
        sampler: sampling.Sampler,
        watch: version_watch.VersionWatch,
        peer: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._follower = config_follower
        self._climber = climber
        self._sampler = sampler
        self._watch = watch
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Run the model or ladder that the request names.

        :param request: the request.
        """
        verdict = await self._run_requested(request)
        if verdict.is_error():
            return expression.Error(request.finish_refusal(verdict.error))
        return verdict

    async def _run_requested(
        self, request: exchange.Exchange
    ) -> pipeline.Verdict:
        customer, current_bundle = (
            request.customer,
            self._follower.state.bundle,
        )
        if customer is None or current_bundle is None:
            return expression.Error(self._refuse_unknown_model(request))
        ladder = current_bundle.find_ladder(request.requested_model)
        if ladder is not None and ladder.name in customer.ladders:
            return await self._climber.climb(request, ladder, self._run_model)
        model = current_bundle.find_model(request.requested_model)
        if model is None:
            return expression.Error(self._refuse_unknown_model(request))
        if customer.find_allowance(model.name) is None:
            return expression.Error(
                errors.not_run(
                    errors.Reason.MODEL_FORBIDDEN,
                    f"customer {customer.name} may not use model {model.name}",
                    STEP,
                    self._peer,
                )
            )
        return await self._run_model(request, model.name, request.sink)

    def _refuse_unknown_model(
        self, request: exchange.Exchange
    ) -> errors.Refusal:
        return errors.not_run(
            errors.Reason.MODEL_UNKNOWN,
            f"model {request.requested_model} does not exist",
            STEP,
            self._peer,
        )

    async def _run_model(
        self,
        request: exchange.Exchange,
        name: str,
        sink: exchange.AnswerSink,
    ) -> pipeline.Verdict:
        """Run one model.

        If its version is withdrawn before the answer starts, another version
        is chosen.
        """
        start_recorder = _StartRecorder(sink)
        for _ in range(MAX_VERSION_CHOICES):
            chosen = self._choose_version(request, name)
            if chosen.is_error():
                return expression.Error(chosen.error)
            outcome = await self._run_version(
                request, name, chosen.ok, start_recorder
            )
            if outcome.is_ok():
                request.runs.append(outcome.ok.run)
                return pipeline.PASSED
            if not self._may_choose_another_version(
                request, outcome.error, start_recorder
            ):
                break
        return expression.Error(outcome.error)

    def _may_choose_another_version(
        self,
        request: exchange.Exchange,
        refusal: errors.Refusal,
        start_recorder: "_StartRecorder",
    ) -> bool:
        return (
            refusal.reason is errors.Reason.VERSION_WITHDRAWN
            and request.session is None
            and not start_recorder.has_started
        )

    def _choose_version(
        self, request: exchange.Exchange, name: str
    ) -> expression.Result[str, errors.Refusal]:
        state = self._follower.state
        model = state.bundle.find_model(name) if state.bundle else None
        customer = find_current_customer(state, request)
        if model is None or customer is None:
            return expression.Error(self._refuse_unknown_model(request))
        pinned = request.session
        if pinned is not None and pinned.model == name:
            return versions.check_version(
                state, customer, model, pinned.version, self._peer
            )
        without_suspects = self._watch.exclude_suspects(state)
        # New sessions avoid suspect versions and those that endpoints are
        # still loading. If that leaves no version, one that is still loading
        # may be chosen, and then a suspect one.
        without_unloaded = self._exclude_unloaded(
            without_suspects, customer, model
        )
        for narrowed in (without_unloaded, without_suspects, state):
            chosen = versions.choose_version(
                narrowed, customer, model, request.session_id, self._peer
            )
            if chosen.is_ok():
                break
        return chosen

    def _exclude_unloaded(
        self,
        state: configuration.Configuration,
        customer: bundle.Customer,
        model: bundle.ServedModel,
    ) -> configuration.Configuration:
        """Return a configuration that suspends versions not yet loaded.

        A version counts as loaded if it is loaded at a usable endpoint that
        the customer's allowance permits.
        """
        allowance = customer.find_allowance(model.name)
        if state.bundle is None or allowance is None:
            return state
        endpoints = target.find_model_endpoints(state.bundle, allowance)
        loaded = self._dispatcher.table.list_loaded_versions(endpoints)
        unloaded = {
            configuration.ModelVersion(model.name, version)
            for version in model.versions
        } - loaded
        return dataclasses.replace(state, suspended=state.suspended | unloaded)

    async def _run_version(
        self,
        request: exchange.Exchange,
        name: str,
        version: str,
        sink: exchange.AnswerSink,
    ) -> dispatch.Outcome:
        state = self._follower.state
        customer = find_current_customer(state, request)
        allowance = customer.find_allowance(name) if customer else None
        if state.bundle is None or allowance is None:
            return expression.Error(self._refuse_unknown_model(request))
        request.origin = exchange.Origin(name, version)
        chosen = configuration.ModelVersion(name, version)
        work_target = target.Target(
            target.find_model_endpoints(state.bundle, allowance),
            chosen,
            routing.hash_prefix(request.prompt),
            lambda: self._watch.record_failure(
                chosen, work.digest(make_work(0))
            ),
        )

        def make_work(position: int) -> work.ModelWork:
            return work.ModelWork(
                name, version, request.prompt, request.max_tokens, position
            )

        if not self._sampler.should_rate(request, chosen):
            return await self._dispatcher.run(
                request, work_target, make_work, sink
            )
        sample = sampling.Sample(sink)
        outcome = await self._dispatcher.run(
            request, work_target, make_work, sample
        )
        if outcome.is_ok():
            self._sampler.submit(request, sample)
        return outcome


class _StartRecorder(exchange.AnswerSink):
    """Records whether an answer has started, and passes it on to a sink."""

    def __init__(self, sink: exchange.AnswerSink) -> None:
        self._sink = sink
        self.has_started = False

    async def start(self, request: exchange.Exchange) -> None:
        self.has_started = True
        await self._sink.start(request)

    async def write(self, data: bytes) -> None:
        await self._sink.write(data)


def find_current_customer(
    state: configuration.Configuration, request: exchange.Exchange
) -> bundle.Customer | None:
    """Return the request's customer as defined by the bundle in force.

    :param state: the configuration in force.
    :param request: the request.
    """
    if state.bundle is None or request.customer is None:
        return None
    return state.bundle.find_customer(request.customer.name)


def make_session(request: exchange.Exchange) -> session.Session | None:
    """Return the session for the caller's next request, or None.

    There is none for a ladder, whose answers may come from any model.

    :param request: a request that a model answered.
    """
    if request.customer is None or not request.origin.model:
        return None
    if request.requested_model != request.origin.model:
        return None
    return session.Session(
        request.customer.name,
        request.session_id,
        request.origin.model,
        request.origin.version,
    )
