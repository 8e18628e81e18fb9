"""Forwards requests to plain services; answers are read completely first."""

import asyncio
import functools
import random
import time

from wagtailstream_router import (
    answer_watch,
    directory,
    event_log,
    exchange,
    forwarding,
    health,
    job,
    metrics,
    placement,
    request,
    rollout,
    rollout_state,
    route_times,
)
from wagtailstream_router.admission import admission
from wagtailstream_router.flow import reading_pause, whole_body

# The timeout for the head of an answer, and then for its body, after which a
# repeatable request fails over: this multiple of the endpoint's mean duration,
# but at least MIN_HEAD_TIMEOUT_SECONDS, the time that the slowest request in
# the users' specification takes.
HEAD_TIMEOUT_FACTOR = 5.0
MIN_HEAD_TIMEOUT_SECONDS = 0.15


class PlainForwarder:
    """Forwards requests to endpoints of plain services.

    :param members: the endpoints.
    :param sender: sends attempts.
    :param retry_policy: decides whether a failed request is sent again.
    :param responder: sends the router's own error answers.
    :param versions: decides which version a request may go to.
    :param zone: this process's zone; its endpoints are preferred.
    :param gate: keeps requests that no endpoint has room for.
    """

    def __init__(
        self,
        members: directory.Directory,
        sender: exchange.Sender,
        retry_policy: forwarding.RetryPolicy,
        responder: forwarding.ErrorResponder,
        versions: rollout.Rollouts,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        zone: str,
        gate: admission.Admission,
    ) -> None:
        self._members = members
        self._sender = sender
        self._retry_policy = retry_policy
        self._responder = responder
        self._versions = versions
        self._log = log
        self._counters = counters
        self._zone = zone
        self._gate = gate
        self._random = random.Random()
        self._route_times = route_times.RouteTimes()

    async def forward(self, task: job.Job) -> None:
        """Answer a request, at the latest at its deadline."""
        self._retry_policy.record_request(task.service)
        try:
            async with task.limit_time():
                await self._try_endpoints(task)
        except TimeoutError:
            self._responder.answer_timed_out(task)
        finally:
            self._record_failure_evidence(task)

    def _record_failure_evidence(self, task: job.Job) -> None:
        """Count an error of one endpoint as evidence on its version.

        A request that fails at a second endpoint is the likely cause itself,
        and says nothing about a version.
        """
        if len(task.failed_at) == 1:
            self._versions.record_answer(
                task, task.failed_at[0], rollout_state.Sample(is_failed=True)
            )

    async def _try_endpoints(self, task: job.Job) -> None:
        reason = metrics.Counter.REFUSED_NO_ENDPOINT
        if await self._is_refused(task):
            return
        while True:
            if await self._retry_policy.is_crashing(task):
                self._responder.answer_unserved(
                    task, metrics.Counter.REFUSED_CRASHING
                )
                return
            member = self._choose(task)
            if member is None:
                untried = self._list_untried(task)
                if await self._retry_policy.wait_until_free(task, untried):
                    continue
                reason = forwarding.absence_reason(task, self._members, reason)
                self._responder.answer_without_endpoint(task, untried, reason)
                return
            try:
                if await self._attempt(task, member):
                    return
                fault = health.Fault.ERROR
            except exchange.AttemptError as error:
                self._retry_policy.record_failure(task, member, error)
                fault = error.fault
                reason = metrics.Counter.REFUSED_BY_ENDPOINT
            if task.reply.is_started or not self._retry_policy.may_send_again(
                task, fault
            ):
                self._responder.answer_unserved(task, reason)
                return

    async def _is_refused(self, task: job.Job) -> bool:
        """Wait for room; answer and return True if the request is refused."""
        if await self._retry_policy.is_crashing(task):
            self._responder.answer_unserved(
                task, metrics.Counter.REFUSED_CRASHING
            )
            return True
        verdict = await self._gate.wait_for_room(
            task, functools.partial(self._list_untried, task)
        )
        if verdict.reason is None:
            return False
        self._responder.answer_unserved(
            task, verdict.reason, verdict.retry_after_seconds
        )
        return True

    def _choose(self, task: job.Job) -> directory.Member | None:
        available = directory.list_available(self._list_untried(task))
        return placement.choose_plain(
            self._gate.list_with_room(task, available),
            self._zone,
            self._random,
        )

    def _list_untried(self, task: job.Job) -> list[directory.Member]:
        """Return the endpoints of its version that a request may go to."""
        ready = self._members.list_ready(task.service)
        if task.sent == 0:
            allowed = self._versions.filter(task, ready)
        else:
            # A version on trial gets no repeats: if the settled one answers,
            # the failure is evidence.
            allowed = self._versions.list_settled(task.service, ready)
        return [
            member for member in allowed if member.identity not in task.tried
        ]

    def _watch_answer(
        self, task: job.Job, member: directory.Member, is_settled: bool
    ) -> answer_watch.AnswerWatch:
        """Return a watch on the time that an attempt's answer takes."""
        limit_ms = self._route_times.limit_ms(task.route.name)
        return answer_watch.AnswerWatch(
            task.route.target_ms if limit_ms is None else limit_ms,
            functools.partial(
                self._record_lateness,
                task,
                member,
                is_settled,
                member.is_cold,
            ),
        )

    def _is_settled(self, task: job.Job, member: directory.Member) -> bool:
        return member in self._versions.list_settled(
            task.service, self._members.list_ready(task.service)
        )

    def _record_lateness(
        self,
        task: job.Job,
        member: directory.Member,
        is_settled: bool,
        is_cold: bool,
        sample: rollout_state.Sample,
    ) -> None:
        if is_settled:
            self._route_times.record(task.route.name, sample.is_slow)
        if is_cold or self._route_times.is_usually_late(task.route.name):
            sample = rollout_state.Sample()
        self._versions.record_answer(task, member, sample)

    def _head_timeout_seconds(
        self, task: job.Job, member: directory.Member
    ) -> float:
        left = forwarding.seconds_left(task)
        if not task.route.may_repeat or not self._has_spare_attempts(task):
            return left
        return min(left, _failover_seconds(member))

    def _may_fail_over(self, task: job.Job) -> bool:
        """Return whether a request may be sent to another endpoint.

        It has to be repeatable and within the retry limits, and an endpoint
        that it was not yet sent to has to be ready.
        """
        return (
            task.route.may_repeat
            and self._retry_policy.may_send_extra(task)
            and self._choose(task) is not None
        )

    def _has_spare_attempts(self, task: job.Job) -> bool:
        """Return whether the route allows more than one further attempt."""
        return task.sent + 1 < task.route.max_attempts

    async def _attempt(self, task: job.Job, member: directory.Member) -> bool:
        """Send the request to an endpoint and pass its answer on.

        :returns: whether the caller was answered; False if the endpoint
            failed and another one may be tried.
        :raises exchange.AttemptError: there is no answer to pass on.
        """
        self._retry_policy.record_send(task, member)
        self._versions.record_send(task, member)
        ticket = self._gate.begin_attempt(
            task, member, work_ms=member.health.duration_ms
        )
        # A cold endpoint's times say nothing about its version or route.
        is_settled = self._is_settled(task, member) and not member.is_cold
        watch = self._watch_answer(task, member, is_settled)
        try:
            return await self._send(task, member, is_settled, watch)
        except exchange.AttemptError as error:
            if error.fault is health.Fault.SILENT:
                watch.record_silence()
            raise
        finally:
            watch.stop()
            self._gate.end_attempt(ticket)

    async def _send(
        self,
        task: job.Job,
        member: directory.Member,
        is_settled: bool,
        watch: answer_watch.AnswerWatch,
    ) -> bool:
        """Send the request and pass its answer on, as `_attempt` says.

        :param is_settled: whether the endpoint's version is not on trial.
        :raises exchange.AttemptError: there is no answer to pass on.
        """
        began = time.monotonic()
        was_cold = member.is_cold
        async with self._sender.open(
            task,
            member,
            "",
            self._head_timeout_seconds(task, member),
            lambda: self._may_fail_over(task),
        ) as answer:
            head = answer.head
            if head.is_not_run:
                raise await answer.read_refusal(task.reply.room)
            whole = whole_body.WholeBody(task.reply.room)
            try:
                is_whole = await self._collect(task, answer, whole)
                if head.status >= 500 and self._record_server_error(
                    task, member
                ):
                    return False
                if head.is_success:
                    watch.record_arrival()
                    self._record_success(
                        task, member, is_settled, began, was_cold
                    )
                body = whole.take_all()
                if not is_whole:
                    await self._pass_on(task, answer, body)
            finally:
                whole.close()
        self._record_end(task, member, head, watch)
        if is_whole:
            task.reply.send(head.status, head.headers, body)
        return True

    def _record_success(
        self,
        task: job.Job,
        member: directory.Member,
        is_settled: bool,
        began: float,
        was_cold: bool,
    ) -> None:
        """Record an answer that is whole, or as long as there is room for.

        :param was_cold: whether its endpoint was cold; the time says nothing
            then.
        """
        duration_ms = (time.monotonic() - began) * 1000.0
        member.health.record_success(None if was_cold else duration_ms)
        if is_settled:
            self._route_times.record_duration(task.route.name, duration_ms)
        self._retry_policy.record_answer(task, member)
        self._gate.record_answer(task, time.monotonic())

    async def _pass_on(
        self, task: job.Job, answer: exchange.Exchange, begun: bytes
    ) -> None:
        """Pass an answer on as it comes, no faster than the caller reads.

        :param begun: what was read of its body.
        :raises exchange.AttemptError: the body is incomplete.
        """
        self._counters.count(metrics.Counter.PASSED_ON_EARLY)
        self._log.write_routine(
            "passed_on_early",
            request=task.call.identity,
            endpoint=answer.member.identity,
            bytes=len(begun),
        )
        held_back = reading_pause.ReadingPause()
        task.reply.start(answer.head.status, answer.head.headers)
        held_back.record(await task.reply.write(begun))
        try:
            while (chunk := await answer.read_chunk()) is not None:
                held_back.record(await task.reply.write(chunk))
        except exchange.AttemptError as error:
            if held_back.may_be_cause:
                raise exchange.make_held_back(error) from error
            raise
        if not answer.is_framed and held_back.may_be_cause:
            raise exchange.AttemptError(
                health.Fault.HELD_BACK, True, "the answer ended after a pause"
            )
        task.reply.finish()

    async def _collect(
        self,
        task: job.Job,
        answer: exchange.Exchange,
        whole: whole_body.WholeBody,
    ) -> bool:
        """Read an answer while there is room, unless it has to fail over.

        Also the last attempt allowed may be used for that: an endpoint that
        began to answer has run the request, and sends the body at once.

        :returns: whether the body is complete.
        :raises exchange.AttemptError: the body is incomplete or too long, or
            it did not end in time and the request may be sent elsewhere.
        """
        reading = asyncio.ensure_future(answer.collect(whole))
        timeout_seconds = _failover_seconds(answer.member)
        try:
            while True:
                await asyncio.wait({reading}, timeout=timeout_seconds)
                if reading.done():
                    return reading.result()
                if self._may_fail_over(task):
                    raise exchange.AttemptError(
                        health.Fault.SILENT,
                        True,
                        f"no whole body in {timeout_seconds:.3f} s",
                    )
        finally:
            reading.cancel()

    def _record_server_error(
        self, task: job.Job, member: directory.Member
    ) -> bool:
        """Record a 5xx answer; return whether the request may be retried."""
        member.health.record_failure(health.Fault.ERROR)
        task.failed_at.append(member)
        return self._may_fail_over(task)

    def _record_end(
        self,
        task: job.Job,
        member: directory.Member,
        head: request.AnswerHead,
        watch: answer_watch.AnswerWatch,
    ) -> None:
        now = time.monotonic()
        self._counters.count(
            metrics.Counter.ANSWERED
            if head.status < 500
            else metrics.Counter.FAILED_BY_ENDPOINT
        )
        self._counters.observe(
            metrics.Histogram.WHOLE_ANSWER, now - task.call.arrived
        )
        self._log.write_routine(
            "answered",
            request=task.call.identity,
            status=head.status,
            endpoint=member.identity,
            version=member.entry.version,
            sent=task.sent,
            route=task.route.name,
            customer=task.customer,
            is_late=(now - task.call.arrived) * 1000.0 > task.route.target_ms,
            ms=round((now - task.call.arrived) * 1000.0, 1),
            late_after_ms=round(watch.limit_ms, 1),
            configuration=task.configuration_version,
        )


def _failover_seconds(member: directory.Member) -> float:
    """Return the time after which an endpoint counts as silent."""
    usual_seconds = member.health.duration_ms / 1000.0
    return max(MIN_HEAD_TIMEOUT_SECONDS, usual_seconds * HEAD_TIMEOUT_FACTOR)
