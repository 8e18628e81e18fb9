"""Dispatches jobs to endpoints, with retries, hedges and resumption."""

import asyncio
import dataclasses
import random

import expression

from wagtailstream_core import (
    admission,
    assembly,
    clock,
    configuration,
    errors,
    retries,
    routing,
    wire_codec,
    work,
)
from wagtailstream_entry.endpoints import (
    agent_link,
    agent_state,
    connection,
    hedge,
    links,
    quarantine,
    target,
)
from wagtailstream_entry.filters import exchange, job
from wagtailstream_runtime import metrics

STEP = "dispatch"
# When a caller may retry after a failure or while no endpoint is available.
RETRY_SECONDS = 2.0
# Extra wait after the deadline for the agent's own refusal, which may state
# whether the attempt ran.
REFUSAL_GRACE_SECONDS = 0.25
# How long a job whose answer has started waits for an available endpoint.
ENDPOINT_WAIT_SECONDS = 2.0
# Interval at which that wait looks for an endpoint.
ENDPOINT_POLL_SECONDS = 0.05


@dataclasses.dataclass(frozen=True)
class Completed:
    """An attempt that delivered the end of the answer.

    :param ended: the end mark of the answer.
    :param run: the attempt's stream; open until the bill is settled.
    :param endpoint: the endpoint's name.
    """

    ended: work.Ended
    run: connection.Run
    endpoint: str


Outcome = expression.Result[Completed, errors.Refusal]
Answer = wire_codec.Answer


class Dispatcher:
    """Runs jobs to completion or refusal, each over one or more attempts.

    :param table: the links to the agents.
    :param data_centre: the data centre of this entry.
    :param system_clock: the clock for deadlines and latencies.
    :param rng: draws the endpoints that are compared for an attempt.
    :param counters: counts retries, hedges and resumptions.
    :param peer: this instance's name, for refusals.
    :param body_quarantine: tracks the request bodies under which endpoints
        crashed.
    """

    def __init__(
        self,
        table: links.LinkTable,
        data_centre: str,
        system_clock: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
        peer: str,
        body_quarantine: quarantine.Quarantine,
    ) -> None:
        self._table = table
        self._data_centre = data_centre
        self._clock = system_clock
        self._rng = rng
        self._metrics = counters
        self._peer = peer
        self._budget = retries.Budget(retries.RETRY_SHARE)
        self._hedger = hedge.Hedger(system_clock)
        self._quarantine = body_quarantine

    @property
    def table(self) -> links.LinkTable:
        """The links to the agents."""
        return self._table

    async def run(
        self,
        request: exchange.Exchange,
        work_target: target.Target,
        make_work: job.WorkMaker,
        sink: exchange.AnswerSink,
    ) -> Outcome:
        """Run a job and return its completed attempt or its refusal.

        :param request: the request.
        :param work_target: where the work may run.
        :param make_work: returns the work that remains from a position of
            the answer on.
        :param sink: receives the answer.
        """
        current_job = job.Job(request, work_target, make_work, sink)
        self._budget.record_request(
            current_job.customer, self._clock.monotonic()
        )
        self._hedger.record_request(current_job)
        while True:
            outcome = await self._try_once(current_job)
            if outcome.is_ok():
                return outcome
            if not self._may_retry(current_job, outcome.error):
                return expression.Error(request.finish_refusal(outcome.error))
            self._metrics.count(
                metrics.Metric.RETRIED, outcome.error.reason.value
            )

    def _may_retry(
        self, current_job: job.Job, refusal: errors.Refusal
    ) -> bool:
        if current_job.is_corrupt or refusal is current_job.final_refusal:
            return False
        failed = retries.FailedRequest(
            refusal, current_job.attempt_count, current_job.request.deadline
        )
        if not retries.is_retriable(failed, self._clock.wall()):
            return False
        if self._budget.try_take(
            current_job.customer, self._clock.monotonic()
        ):
            return True
        self._metrics.count(metrics.Metric.RETRY_DENIED, refusal.reason.value)
        return False

    async def _try_once(self, current_job: job.Job) -> Outcome:
        found = await self._find_link(current_job)
        if found.is_error():
            return expression.Error(found.error)
        try:
            attempt = await self._open(current_job, found.ok)
        except errors.PeerError as error:
            refusal = await self._make_failure_refusal(found.ok, error)
            current_job.record_broken_connection(found.ok.address)
            await self._handle_refusal(current_job, found.ok, refusal)
            return expression.Error(refusal)
        return await self._run_attempt(current_job, [attempt])

    async def _find_link(
        self, current_job: job.Job
    ) -> expression.Result[agent_link.AgentLink, errors.Refusal]:
        """Choose an endpoint.

        A job whose answer has started waits for an endpoint, since a refusal
        would cut its answer short; any other job is refused at once.
        """
        wait_until = min(
            current_job.request.deadline,
            self._clock.wall() + ENDPOINT_WAIT_SECONDS,
        )
        while True:
            # The body may be quarantined during the wait.
            refusal = self._quarantine.check(current_job.digest)
            if refusal is not None:
                return expression.Error(refusal)
            link = self._choose_link(current_job)
            if link is not None:
                return expression.Ok(link)
            if not current_job.has_started or self._clock.wall() >= wait_until:
                current_job.final_refusal = (
                    current_job.last_refusal
                    or self._make_no_endpoint_refusal(current_job)
                )
                return expression.Error(current_job.final_refusal)
            await asyncio.sleep(ENDPOINT_POLL_SECONDS)

    async def _make_failure_refusal(
        self,
        link: agent_link.AgentLink,
        error: errors.PeerError,
        was_accepted: bool = False,
    ) -> errors.Refusal:
        """Return the refusal for an attempt that a transport error ended."""
        was_sent = not isinstance(error, connection.NotSentError)
        is_lost = (
            was_accepted and not link.is_draining and not await link.is_alive()
        )
        return errors.Refusal(
            errors.Reason.ENDPOINT_LOST
            if is_lost
            else errors.Reason.ENDPOINT_FAILED,
            errors.Outcome.UNKNOWN if was_sent else errors.Outcome.NOT_RUN,
            "the attempt failed at the endpoint or on the way to it",
            error.step,
            link.address,
            self._clock.wall() + RETRY_SECONDS,
        )

    def _make_no_endpoint_refusal(
        self, current_job: job.Job
    ) -> errors.Refusal:
        if current_job.missed_deadline is not None:
            return errors.not_run(
                errors.Reason.DEADLINE_UNREACHABLE,
                "no endpoint is expected to answer by the deadline",
                STEP,
                self._peer,
                current_job.missed_deadline.retry_at,
            )
        return errors.not_run(
            errors.Reason.NO_ENDPOINT,
            "no endpoint is available for the request",
            STEP,
            self._peer,
            self._clock.wall() + RETRY_SECONDS,
        )

    def _choose_link(
        self, current_job: job.Job
    ) -> agent_link.AgentLink | None:
        by_endpoint = {
            link.state.endpoint: link
            for link in self._table.list_links()
            if link.state is not None
            and link.address not in current_job.tried
            and link.is_usable
            and current_job.target.admits(link.state)
            and self._can_meet_deadline(current_job, link.state)
        }
        candidates = [
            self._make_candidate(link, link.state)
            for link in by_endpoint.values()
            if link.state is not None
        ]
        chosen = routing.choose_endpoint(
            candidates, current_job.target.prefix_hash, self._rng
        )
        return by_endpoint[chosen] if chosen is not None else None

    def _can_meet_deadline(
        self, current_job: job.Job, state: agent_state.AgentState
    ) -> bool:
        """Return whether an endpoint is expected to meet the deadline."""
        missed = admission.check_deadline(
            target.make_occupancy(state, current_job.priority),
            current_job.request.deadline,
            self._clock.wall(),
            self._rng,
        )
        if missed is not None:
            current_job.record_missed_deadline(missed)
        return missed is None

    def _make_candidate(
        self, link: agent_link.AgentLink, state: agent_state.AgentState
    ) -> routing.Candidate:
        return routing.Candidate(
            state.endpoint,
            state.running + state.queued,
            link.in_flight,
            state.own_in_flight,
            state.slots,
            state.data_centre == self._data_centre,
            link.is_suspect,
            state.is_draining,
        )

    async def _open(
        self, current_job: job.Job, link: agent_link.AgentLink
    ) -> hedge.RacingAttempt:
        """Send an attempt to an agent.

        :raises errors.PeerError: sending failed.
        """
        request = current_job.request
        number = request.next_attempt()
        current_job.attempt_count += 1
        request.unresolved_attempts += 1
        attempt = work.Attempt(
            request.request_id,
            number,
            current_job.customer,
            self._table.follower.state.offset,
            request.deadline,
            current_job.priority,
            current_job.make_work(current_job.assembler.position),
            self._quarantine.is_suspect(current_job.digest),
        )
        life = link.state.life if link.state is not None else ""
        run = await link.open_run(attempt)
        return hedge.RacingAttempt(
            link, run, number, self._clock.monotonic(), life
        )

    async def _run_attempt(
        self, current_job: job.Job, attempts: list[hedge.RacingAttempt]
    ) -> Outcome:
        """Receive the answer of a sent attempt, or of a hedge beside it.

        Every run but that of a completed attempt is closed.
        """
        remaining = current_job.request.deadline - self._clock.wall()
        outcome: Outcome = expression.Error(self._make_deadline_refusal())
        try:
            # The agent also refuses at the deadline, and knows whether the
            # attempt ran.
            async with asyncio.timeout(
                max(0.0, remaining) + REFUSAL_GRACE_SECONDS
            ):
                outcome = await self._race(current_job, attempts)
        except TimeoutError:
            current_job.last_refusal = outcome.error
        finally:
            kept = outcome.ok.run if outcome.is_ok() else None
            for attempt in attempts:
                if attempt.run is not kept:
                    await attempt.run.close()
        return outcome

    async def _race(
        self, current_job: job.Job, attempts: list[hedge.RacingAttempt]
    ) -> Outcome:
        first = attempts[0]
        delay = self._hedger.find_delay(current_job)
        # A body that may crash endpoints is not sent to two at once.
        if delay is None or self._quarantine.is_suspect(current_job.digest):
            answer = await self._next_decisive_answer(current_job, first)
            return await self._receive(current_job, first, first, answer)
        pending = {self._start_receiving(current_job, first): first}
        try:
            await asyncio.wait(pending, timeout=delay)
            if not any(task.done() for task in pending):
                await self._add_hedge(current_job, attempts, pending)
            attempt, answer = await self._pick_winner(current_job, pending)
        finally:
            for task in pending:
                task.cancel()
        return await self._receive(current_job, first, attempt, answer)

    def _start_receiving(
        self, current_job: job.Job, attempt: hedge.RacingAttempt
    ) -> "asyncio.Task[Answer]":
        return asyncio.ensure_future(
            self._next_decisive_answer(current_job, attempt)
        )

    async def _add_hedge(
        self,
        current_job: job.Job,
        attempts: list[hedge.RacingAttempt],
        pending: "dict[asyncio.Task[Answer], hedge.RacingAttempt]",
    ) -> None:
        """Send a hedge to another endpoint if one has a free slot.

        The hedge budget has to allow it too.
        """
        current_job.tried.add(attempts[0].link.address)
        link = self._choose_link(current_job)
        current_job.tried.discard(attempts[0].link.address)
        if link is None or link.state is None:
            return
        candidate = self._make_candidate(link, link.state)
        if not self._hedger.reserve_hedge(current_job, candidate):
            return
        self._metrics.count(metrics.Metric.HEDGED)
        try:
            attempt = await self._open(current_job, link)
        except errors.PeerError as error:
            refusal = await self._make_failure_refusal(link, error)
            await self._handle_refusal(current_job, link, refusal)
            return
        attempts.append(attempt)
        pending[self._start_receiving(current_job, attempt)] = attempt

    async def _pick_winner(
        self,
        current_job: job.Job,
        pending: "dict[asyncio.Task[Answer], hedge.RacingAttempt]",
    ) -> tuple[hedge.RacingAttempt, Answer]:
        """Return the attempt that answered first, or the last to fail."""
        while True:
            done, _ = await asyncio.wait(
                pending, return_when=asyncio.FIRST_COMPLETED
            )
            for task in done:
                attempt = pending.pop(task)
                answer = task.result()
                if not pending or not isinstance(answer, work.Refused):
                    return attempt, answer
                await self._handle_refusal(
                    current_job,
                    attempt.link,
                    answer.refusal,
                    attempt.unconfirmed_life,
                )

    async def _next_decisive_answer(
        self, current_job: job.Job, attempt: hedge.RacingAttempt
    ) -> Answer:
        """Return the next frame that is not an acceptance."""
        while True:
            answer = await self._next_answer(current_job, attempt)
            if not isinstance(answer, work.Accepted):
                return answer
            attempt.is_accepted = True
            self._pull_newer_configuration(
                attempt.link, answer.configuration_offset
            )

    async def _next_answer(
        self, current_job: job.Job, attempt: hedge.RacingAttempt
    ) -> Answer:
        try:
            answer = await attempt.run.next_answer()
        except errors.PeerError as error:
            return await self._handle_receive_error(
                current_job, attempt, error
            )
        attempt.link.record_progress()
        return answer

    async def _handle_receive_error(
        self,
        current_job: job.Job,
        attempt: hedge.RacingAttempt,
        error: errors.PeerError,
    ) -> work.Refused:
        refusal = await self._make_failure_refusal(
            attempt.link, error, attempt.is_accepted
        )
        attempt.is_agent_lost = refusal.reason is errors.Reason.ENDPOINT_LOST
        current_job.is_corrupt |= isinstance(error, errors.CorruptAnswerError)
        if refusal.reason is errors.Reason.ENDPOINT_FAILED:
            current_job.record_broken_connection(attempt.link.address)
        return work.Refused(refusal, configuration.NO_OFFSET)

    def _make_deadline_refusal(self) -> errors.Refusal:
        return errors.Refusal(
            errors.Reason.DEADLINE_PAST,
            errors.Outcome.UNKNOWN,
            "the deadline passed before the answer was complete",
            STEP,
            self._peer,
        )

    async def _receive(
        self,
        current_job: job.Job,
        first: hedge.RacingAttempt,
        attempt: hedge.RacingAttempt,
        answer: Answer,
    ) -> Outcome:
        """Receive an attempt's answer, from the given first frame on.

        :param current_job: the job.
        :param first: the attempt that was sent first, for the latency.
        :param attempt: the attempt to receive from.
        :param answer: its first frame other than an acceptance.
        """
        if current_job.assembler.start_attempt(attempt.number):
            self._metrics.count(metrics.Metric.RESUMED)
        if isinstance(answer, assembly.Chunk):
            self._hedger.record_first_chunk(current_job, first)
        self._record_endpoint(current_job, attempt)
        ended: work.Ended | None = None
        while not isinstance(answer, work.Refused):
            try:
                if isinstance(answer, assembly.Chunk):
                    pieces = current_job.assembler.add(answer)
                    await current_job.write(pieces, self._clock)
                elif isinstance(answer, work.Ended):
                    ended = answer
                    current_job.finish(answer)
            except errors.PeerError as error:
                answer = await self._handle_receive_error(
                    current_job, attempt, error
                )
                break
            if ended is not None and current_job.assembler.is_complete:
                self._quarantine.record_answer(current_job.digest)
                return expression.Ok(
                    Completed(
                        ended, attempt.run, current_job.request.origin.endpoint
                    )
                )
            answer = await self._next_answer(current_job, attempt)
        self._pull_newer_configuration(
            attempt.link, answer.configuration_offset
        )
        if _is_reported_by_agent(answer):
            current_job.target.on_endpoint_failed()
        await self._handle_refusal(
            current_job, attempt.link, answer.refusal, attempt.unconfirmed_life
        )
        return expression.Error(answer.refusal)

    def _record_endpoint(
        self, current_job: job.Job, attempt: hedge.RacingAttempt
    ) -> None:
        if attempt.link.state is not None:
            current_job.request.origin = dataclasses.replace(
                current_job.request.origin,
                endpoint=attempt.link.state.endpoint,
            )

    def _pull_newer_configuration(
        self, link: agent_link.AgentLink, offset: int
    ) -> None:
        if offset > self._table.follower.state.offset:
            self._table.spawn(link.pull_configuration())

    async def _handle_refusal(
        self,
        current_job: job.Job,
        link: agent_link.AgentLink,
        refusal: errors.Refusal,
        unconfirmed_life: str = "",
    ) -> None:
        current_job.last_refusal = refusal
        if _did_not_run(refusal):
            current_job.request.unresolved_attempts -= 1
        match refusal.reason:
            case errors.Reason.AGENT_BEHIND:
                if await link.push_configuration():
                    return
            case errors.Reason.DRAINING:
                link.record_draining()
            case errors.Reason.ENDPOINT_FAILED:
                link.record_failure()
            case errors.Reason.ENDPOINT_STALLED:
                link.record_failure()
            case errors.Reason.ENDPOINT_LOST:
                link.record_failure()
                endpoint = link.state.endpoint if link.state else ""
                await self._quarantine.record_crash(
                    current_job.digest, endpoint, unconfirmed_life
                )
        current_job.tried.add(link.address)


def _is_reported_by_agent(answer: work.Refused) -> bool:
    """Return whether an agent reported that its endpoint failed.

    Refusals that this entry makes for a broken connection have no offset.
    """
    return (
        answer.refusal.reason is errors.Reason.ENDPOINT_FAILED
        and answer.configuration_offset != configuration.NO_OFFSET
    )


def _did_not_run(refusal: errors.Refusal) -> bool:
    # An attempt that lost its claim did not run, though the attempt that won
    # the claim may have run.
    return (
        refusal.outcome is errors.Outcome.NOT_RUN
        or refusal.reason is errors.Reason.CLAIM_LOST
    )
