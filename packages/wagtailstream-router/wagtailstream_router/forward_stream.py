"""Forwards requests to model servers and relays their event streams.

A stream that breaks or stalls is resumed at another endpoint after the last
event that the caller received.
"""

import collections.abc
import functools
import random
import time

from wagtailstream_router import (
    answer_watch,
    directory,
    escalation,
    event_log,
    event_relay,
    exchange,
    forwarding,
    health,
    job,
    metrics,
    placement,
    relay,
    rollout,
    rollout_state,
    warm_prompts,
)
from wagtailstream_router.admission import admission
from wagtailstream_router.cascade import ladder, time_price, worth
from wagtailstream_router.engines import candidates, engine_speed

# The timeout for the first bytes of an answer, after which the request fails
# over: MIN_HEAD_TIMEOUT_SECONDS, for delays that the estimate doesn't cover,
# plus this multiple of the estimated time to the first token. It is never less
# than MIN_TARGET_SHARE of the route's target time, and ends at the deadline.
HEAD_TIMEOUT_FACTOR = 3.0
MIN_HEAD_TIMEOUT_SECONDS = 0.5
MIN_TARGET_SHARE = 0.6
# It replaces MIN_TARGET_SHARE if at most one further attempt is allowed
# (`_has_spare_attempts`): it is reserved for a crash of the server and not
# spent because the server is slow. On test days, answers then earned 0.02 to
# 0.03 more of the possible credit.
LAST_TARGET_SHARE = 1.5
# A stream that was cut off as its caller did not read is resumed this often.
MAX_HELD_BACK = 1
# The longest step of an engine during a prefill; a first token is late only if
# it exceeds its limit by that much.
FIRST_TOKEN_MARGIN_MS = 100.0

# Returns the servers with room for a request and a model.
ListRoomy = collections.abc.Callable[
    [job.Job, collections.abc.Sequence[directory.Member], str],
    collections.abc.Sequence[directory.Member],
]


class StreamForwarder:
    """Forwards requests to model servers.

    :param members: the model servers.
    :param sender: sends attempts.
    :param retry_policy: decides whether a failed request is sent again.
    :param responder: sends the router's own error answers.
    :param versions: decides which version a request may go to.
    :param warm: tracks which prompt parts each server has cached.
    :param credits_: the credit that an answer earns.
    :param prices: the prices of the services' engine time.
    :param gate: keeps requests that no server has room for.
    :param speeds: the learnt times of the model servers.
    """

    def __init__(
        self,
        members: directory.Directory,
        sender: exchange.Sender,
        retry_policy: forwarding.RetryPolicy,
        responder: forwarding.ErrorResponder,
        versions: rollout.Rollouts,
        warm: warm_prompts.WarmPrompts,
        credits_: worth.Credits,
        prices: time_price.TimePrices,
        speeds: engine_speed.EngineSpeeds,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        gate: admission.Admission,
    ) -> None:
        self._members = members
        self._sender = sender
        self._retry_policy = retry_policy
        self._responder = responder
        self._versions = versions
        self._warm = warm
        self._credits = credits_
        self._appraiser = worth.Appraiser()
        self._speeds = speeds
        self._candidates = candidates.CandidatesByService(random.Random())
        self._log = log
        self._counters = counters
        self._gate = gate
        self._sources = escalation.Sources(
            members,
            versions,
            gate,
            prices,
            speeds,
            retry_policy,
            log,
            counters,
        )

    def set_credits(self, credits_: worth.Credits) -> None:
        """Replace the credits, for requests from now on."""
        self._credits = credits_

    async def forward(self, task: job.Job) -> None:
        """Answer a request, at the latest at its deadline."""
        self._retry_policy.record_request(task.service)
        try:
            async with task.limit_time():
                await _StreamRun(self, task).run()
        except TimeoutError:
            self._responder.answer_timed_out(task)


class _StreamRun:
    """Runs one request: its attempts, model choice and relayed events."""

    def __init__(self, owner: StreamForwarder, task: job.Job) -> None:
        self._owner = owner
        self._task = task
        self._relay = relay.Relay(task)
        self._model = ladder.choose_first(task.route) or task.call.model
        self._escalation = escalation.Escalation(
            owner._sources,
            task,
            owner._appraiser.appraise(owner._credits, task),
            owner._credits.late_share,
        )
        self._began = 0.0
        self._watch: answer_watch.AnswerWatch | None = None
        # Whether the endpoint was cold when the last attempt was sent.
        self._was_cold = False
        self._reason = metrics.Counter.REFUSED_NO_ENDPOINT
        self._held_back = 0

    async def run(self) -> None:
        task = self._task
        policy = self._owner._retry_policy
        self._escalation.record_first_demand(self._model)
        if await self._is_refused():
            return
        while True:
            if await policy.is_crashing(task):
                self._owner._responder.answer_unserved(
                    task, metrics.Counter.REFUSED_CRASHING
                )
                return
            chosen = self._choose(self._model)
            if chosen is None:
                candidates = self._list_candidates()
                if await policy.wait_until_free(task, candidates):
                    continue
                reason = forwarding.absence_reason(
                    task, self._owner._members, self._reason
                )
                self._owner._responder.answer_without_endpoint(
                    task, candidates, reason
                )
                return
            try:
                if await self._attempt(chosen):
                    return
            except exchange.AttemptError as error:
                if not self._may_send_again(chosen, error):
                    self._owner._responder.answer_unserved(task, self._reason)
                    return

    async def _is_refused(self) -> bool:
        """Wait for room; answer and return True if the request is refused."""
        task = self._task
        owner = self._owner
        if await owner._retry_policy.is_crashing(task):
            owner._responder.answer_unserved(
                task, metrics.Counter.REFUSED_CRASHING
            )
            return True
        verdict = await owner._gate.wait_for_room(
            task, self._list_candidates, self._model
        )
        if verdict.reason is None:
            return False
        owner._responder.answer_unserved(
            task, verdict.reason, verdict.retry_after_seconds
        )
        return True

    def _may_send_again(
        self, chosen: placement.Estimate, error: exchange.AttemptError
    ) -> bool:
        """Record a failed attempt; return whether another one may follow."""
        task = self._task
        policy = self._owner._retry_policy
        self._record_silence(chosen, error.fault)
        policy.record_failure(task, chosen.member, error)
        self._record_version_failure(chosen.member, error.fault)
        self._reason = metrics.Counter.REFUSED_BY_ENDPOINT
        if error.fault is health.Fault.HELD_BACK:
            self._held_back += 1
            self._reason = metrics.Counter.ENDED_UNREAD
        if self._held_back > MAX_HELD_BACK:
            return False
        return policy.may_send_again(task, error.fault)

    def _record_silence(
        self, chosen: placement.Estimate, fault: health.Fault
    ) -> None:
        """Record a timed-out wait as lag of the server."""
        if fault is health.Fault.SILENT and not self._was_cold:
            since = max(self._began, self._relay.last_at)
            waited_ms = (time.monotonic() - since) * 1000.0
            chosen.member.lag.record(waited_ms - chosen.known_ms)
            if not self._relay.is_started:
                self._escalation.record_outcome(self._model)

    def _record_version_failure(
        self, member: directory.Member, fault: health.Fault
    ) -> None:
        """Count an error or a timeout as evidence against a version.

        Other faults (unreachable, broken answer, refusal) concern the single
        server and are not counted.
        """
        versions = self._owner._versions
        if fault is health.Fault.ERROR:
            sample = rollout_state.Sample(is_failed=True)
            versions.record_answer(self._task, member, sample)
        elif fault is health.Fault.SILENT and self._watch is not None:
            if self._watch.has_arrived:
                sample = rollout_state.Sample(is_slow=True)
                self._record_first_token(member, sample)
            else:
                self._watch.record_silence()

    def _record_first_token(
        self, member: directory.Member, sample: rollout_state.Sample
    ) -> None:
        """Count an answer; a cold endpoint's is not counted as late."""
        if self._was_cold:
            sample = rollout_state.Sample()
        self._owner._versions.record_answer(self._task, member, sample)

    def _choose(self, model: str) -> placement.Estimate | None:
        return self._choose_among(self._owner._gate.list_with_room, model)

    def _choose_larger(self, model: str) -> placement.Estimate | None:
        """Return the server for a larger model; None if none has room."""
        return self._choose_among(self._owner._gate.list_for_larger, model)

    def _choose_among(
        self, list_roomy: ListRoomy, model: str
    ) -> placement.Estimate | None:
        task = self._task
        return placement.choose_engine(
            self._list_candidates(),
            task.route,
            model,
            task.call,
            self._owner._warm,
            self._owner._candidates.of(task.service),
            self._owner._speeds,
            lambda members: list_roomy(
                task, directory.list_available(members), model
            ),
        )

    def _list_candidates(
        self,
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the servers of its version that a request may go to.

        These are the ones it was not sent to yet, if there are any.
        """
        task = self._task
        ready = self._owner._versions.filter(
            task, self._owner._members.list_ready(task.service)
        )
        untried = [
            member for member in ready if member.identity not in task.tried
        ]
        return untried or ready

    def _head_timeout_seconds(self, chosen: placement.Estimate) -> float:
        task = self._task
        left = forwarding.seconds_left(task)
        target = task.route.target_ms / 1000.0
        share = MIN_TARGET_SHARE
        if not self._has_spare_attempts():
            share = LAST_TARGET_SHARE
        timeout = MIN_HEAD_TIMEOUT_SECONDS + (
            HEAD_TIMEOUT_FACTOR * chosen.first_ms / 1000.0
        )
        return min(left, max(target * share, timeout))

    def _has_spare_attempts(self) -> bool:
        """Return whether the route allows more than one further attempt.

        An attempt that is about to be sent counts as a further one.
        """
        return self._task.sent + 1 < self._task.route.max_attempts

    def _may_fail_over(self) -> bool:
        """Return whether a silent server's request may be sent to another.

        The request has to be repeatable and within the retry limits, and the
        service needs at least two ready servers.
        """
        return self._is_repeatable_elsewhere() and (
            self._owner._retry_policy.may_send_extra(self._task)
        )

    def _is_repeatable_elsewhere(self) -> bool:
        task = self._task
        ready = self._owner._members.list_ready(task.service)
        return (
            task.route.may_repeat
            and len(ready) > 1
            and bool(directory.list_available(self._list_candidates()))
        )

    async def _attempt(self, chosen: placement.Estimate) -> bool:
        """Send the request to an endpoint and relay the answer.

        :returns: whether the request is complete; False if a larger model
            has to be asked.
        :raises exchange.AttemptError: the attempt failed; the request may be
            sent to another endpoint.
        """
        task = self._task
        owner = self._owner
        member = chosen.member
        owner._retry_policy.record_send(
            task, member, self._model, chosen.first_ms
        )
        owner._versions.record_send(task, member)
        ticket = owner._gate.begin_attempt(
            task,
            member,
            self._model,
            chosen.work_ms,
            owner._warm.list_cached(member.identity, self._model, task.call),
        )
        owner._warm.record(member.identity, self._model, task.call)
        self._relay.start_attempt()
        self._began = time.monotonic()
        self._was_cold = member.is_cold
        limit_ms = answer_watch.LATE_FACTOR * chosen.known_ms
        watch = answer_watch.AnswerWatch(
            FIRST_TOKEN_MARGIN_MS + limit_ms,
            functools.partial(self._record_first_token, member),
        )
        self._watch = watch
        try:
            return await self._send_and_relay(chosen, watch)
        finally:
            watch.stop()
            owner._gate.end_attempt(ticket)

    async def _send_and_relay(
        self, chosen: placement.Estimate, watch: answer_watch.AnswerWatch
    ) -> bool:
        """Send the request and relay the answer, as `_attempt` says.

        :param watch: notified when the first token arrives.
        :raises exchange.AttemptError: the attempt failed.
        """
        task = self._task
        member = chosen.member
        began = self._began
        async with self._owner._sender.open(
            task,
            member,
            self._model,
            self._head_timeout_seconds(chosen),
            self._may_fail_over,
            chosen.work_ms,
            self._relay.last_identity,
        ) as answer:
            # Its prompt no longer counts as queued there.
            self._owner._gate.wake(task.service)
            head = answer.head
            head_ms = (time.monotonic() - began) * 1000.0
            if head.is_success and not self._was_cold:
                member.lag.record(head_ms - chosen.known_ms)
                self._record_speed(chosen, head_ms)
            if head.is_not_run:
                raise await answer.read_refusal(task.reply.room)
            if not head.is_success:
                return await self._handle_failure(answer)
            if not self._relay.is_started:
                if self._escalate(answer):
                    watch.record_arrival()
                    return False
                self._escalation.record_outcome(self._model)
            await self._relay_events(answer, watch)
            is_framed = answer.is_framed
        self._record_success(chosen, began, is_framed)
        return True

    def _record_speed(
        self, chosen: placement.Estimate, first_ms: float
    ) -> None:
        """Learn from the time to the first token of this attempt."""
        member = chosen.member
        # A resumed stream is not prefilled from its prompt alone.
        is_alone = chosen.is_idle and member.load <= 1
        self._owner._speeds.record(
            engine_speed.FirstToken(
                self._task.service,
                self._model,
                member.identity,
                chosen.prefill_ms,
                first_ms,
                is_alone and not self._relay.is_started,
                chosen.is_cached,
            )
        )

    async def _handle_failure(self, answer: exchange.Exchange) -> bool:
        body = await answer.read_body(self._task.reply.room)
        task = self._task
        head = answer.head
        may_repeat = head.status >= 500 and task.route.may_repeat
        if may_repeat and self._owner._retry_policy.may_send_extra(task):
            raise exchange.AttemptError(
                health.Fault.ERROR, True, f"status {head.status}"
            )
        if self._relay.is_started:
            raise exchange.AttemptError(
                health.Fault.ERROR, True, f"status {head.status}"
            )
        answer.member.health.record_failure(health.Fault.ERROR)
        self._owner._versions.record_answer(
            task, answer.member, rollout_state.Sample(is_failed=True)
        )
        self._owner._counters.count(metrics.Counter.FAILED_BY_ENDPOINT)
        self._owner._log.write(
            "answered",
            request=task.call.identity,
            status=head.status,
            endpoint=answer.member.identity,
        )
        task.reply.send(head.status, head.headers, body)
        return True

    def _escalate(self, answer: exchange.Exchange) -> bool:
        """Decide whether to ask a larger model instead of relaying an answer.

        :returns: whether a larger model has to be asked; `_model` is set to
            it.
        """
        if not self._escalation.is_open(answer):
            return False
        larger = self._escalation.choose(answer, self._list_larger())
        if larger is None:
            return False
        self._model = larger
        return True

    def _list_larger(self) -> list[ladder.Candidate]:
        task = self._task
        place = task.route.sizes.index(self._model)
        larger_models = []
        for model in task.route.sizes[place + 1 :]:
            estimate = self._choose_larger(model)
            if estimate is not None:
                larger_models.append(
                    ladder.Candidate(
                        model,
                        estimate.first_ms,
                        estimate.work_ms,
                        task.model_costs.get(model, 0.0),
                    )
                )
        return larger_models

    async def _relay_events(
        self, answer: exchange.Exchange, watch: answer_watch.AnswerWatch
    ) -> None:
        """Relay the events of an answer to its end.

        :raises exchange.AttemptError: it broke off or stalled.
        """
        events = event_relay.EventRelay(
            self._task,
            self._relay,
            self._has_spare_attempts,
            self._may_fail_over,
            self._estimate_first_ms,
            self._owner._counters,
        )
        try:
            await events.run(answer, watch)
        except exchange.AttemptError as error:
            if error.fault is health.Fault.BROKEN and events.is_held_back:
                raise exchange.make_held_back(error) from error
            raise

    def _estimate_first_ms(self) -> float | None:
        """Return the time until another server would begin to answer."""
        chosen = self._choose(self._model)
        return chosen.first_ms if chosen is not None else None

    def _record_success(
        self, chosen: placement.Estimate, began: float, is_framed: bool
    ) -> None:
        member = chosen.member
        task = self._task
        owner = self._owner
        speed = owner._speeds.estimate(task.service, task.route, self._model)
        gap_ms = self._relay.mean_gap_seconds * 1000.0
        # A smaller model shares its batch with larger ones, so its pauses
        # measure their speed rather than the endpoint's.
        is_largest = self._model in task.route.sizes[-1:]
        relative_gap = (
            gap_ms / speed.decode_ms if gap_ms and is_largest else None
        )
        member.health.record_success(None if self._was_cold else relative_gap)
        owner._retry_policy.record_answer(task, member)
        if is_framed:
            owner._retry_policy.record_sound_parts(task)
        owner._counters.count(metrics.Counter.ANSWERED)
        now = time.monotonic()
        owner._gate.record_answer(task, self._relay.first_at)
        waited_ms = (self._relay.first_at - task.call.arrived) * 1000.0
        owner._counters.observe(
            metrics.Histogram.FIRST_BYTE,
            max(0.0, self._relay.first_at - task.call.arrived),
        )
        owner._counters.observe(
            metrics.Histogram.WHOLE_ANSWER, now - task.call.arrived
        )
        owner._log.write_routine(
            "answered",
            request=task.call.identity,
            status=200,
            endpoint=member.identity,
            version=member.entry.version,
            model=self._model,
            sent=task.sent,
            route=task.route.name,
            customer=task.customer,
            is_late=waited_ms > task.route.target_ms,
            events=self._relay.count,
            # Measured from the start of this attempt; an attempt that resumed
            # a stream has no first event of its own.
            first_ms=round((self._relay.first_at - began) * 1000.0, 1)
            if self._relay.first_at >= began
            else None,
            expected_ms=round(chosen.first_ms, 1),
            work_ms=round(chosen.work_ms, 1),
            ms=round((now - task.call.arrived) * 1000.0, 1),
            configuration=task.configuration_version,
        )
