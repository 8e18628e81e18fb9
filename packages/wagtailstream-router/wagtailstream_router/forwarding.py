"""Refusals and retry decisions, shared by both kinds of forwarders."""

import asyncio
import collections.abc
import math
import random
import time

from wagtailstream_router import (
    crash_board,
    directory,
    event_log,
    exchange,
    full_endpoints,
    health,
    job,
    metrics,
    part_board,
    reply,
    retry_budget,
    wire,
)

# The Retry-After of a 503: an endpoint that is full for a moment has free
# slots again after a few answers.
RETRY_AFTER_SECONDS = 0.25
# The longest Retry-After: another instance, or an endpoint whose limit has
# ended, may take the request sooner than this one's part of a limit allows.
MAX_RETRY_AFTER_SECONDS = 1.0

# Returns whether the endpoint at an address accepts connections.
ReachesEndpoint = collections.abc.Callable[
    [str], collections.abc.Awaitable[bool]
]

_RETRIED = {
    health.Fault.UNREACHABLE: metrics.Counter.RETRIED_UNREACHABLE,
    health.Fault.SILENT: metrics.Counter.RETRIED_SILENT,
    health.Fault.BROKEN: metrics.Counter.RETRIED_BROKEN,
    health.Fault.ERROR: metrics.Counter.RETRIED_ERROR,
    health.Fault.SHED: metrics.Counter.RETRIED_SHED,
    health.Fault.LEAVING: metrics.Counter.RETRIED_LEAVING,
    health.Fault.FULL: metrics.Counter.RETRIED_FULL,
    health.Fault.EMPTIED: metrics.Counter.RETRIED_EMPTIED,
    health.Fault.COLD: metrics.Counter.RETRIED_COLD,
    health.Fault.HELD_BACK: metrics.Counter.RETRIED_HELD_BACK,
}
# These are no failures of the endpoint: it or the operator had asked that it
# does not get the request, or the caller did not read its answer.
_NO_FAILURES = frozenset(
    {
        health.Fault.LEAVING,
        health.Fault.FULL,
        health.Fault.EMPTIED,
        health.Fault.COLD,
        health.Fault.HELD_BACK,
    }
)


class ErrorResponder:
    """Sends answers that the router itself generates.

    :param codec: encodes the heads of these answers.
    :param log: gets a line for each answer.
    :param counters: count the answers by reason.
    """

    def __init__(
        self,
        codec: wire.HeaderCodec,
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._codec = codec
        self._log = log
        self._counters = counters
        self._random = random.Random()

    def refuse(
        self,
        caller: reply.Reply,
        identity: str,
        status: int,
        reason: metrics.Counter,
        retry_after_seconds: float = RETRY_AFTER_SECONDS,
        **inputs: object,
    ) -> None:
        """Answer with an error; a 503 carries a Retry-After.

        An answer that has already started can only be aborted.

        :param status: the HTTP status; 503 only if the request has not run.
        :param reason: the counter of the reason.
        :param retry_after_seconds: when the caller may come back.
        :param inputs: the values behind the decision, for the log.
        """
        event = "refused" if status in (429, 503) else "failed"
        if caller.is_started:
            # Part of the answer was sent: no other status can follow.
            event, reason = "failed", metrics.Counter.FAILED_CUT
            if caller.is_blocked:
                event = "caller_not_reading"
                reason = metrics.Counter.ENDED_UNREAD
        self._counters.count(reason)
        self._log.write(
            event,
            request=identity,
            status=status,
            reason=reason.value,
            **inputs,
        )
        if caller.is_started:
            caller.abort()
            return
        headers = self._codec.encode_refusal(
            identity, retry_after_seconds if status == 503 else None
        )
        caller.send(status, headers, reason.value.encode() + b"\n")

    def answer_without_endpoint(
        self,
        task: job.Job,
        members: collections.abc.Collection[directory.Member],
        reason: metrics.Counter,
    ) -> None:
        """Answer a request for which no endpoint could be chosen.

        :param members: the endpoints that could run it, all full or at their
            limit.
        :param reason: the counter of the reason if there are none.
        """
        if not members:
            self.answer_unserved(task, reason, self._absence_seconds(reason))
            return
        wait_seconds = full_endpoints.free_at(members) - time.monotonic()
        if all(member.notices.is_full for member in members):
            if math.isinf(wait_seconds):
                wait_seconds = MAX_RETRY_AFTER_SECONDS
            self.answer_unserved(
                task,
                metrics.Counter.REFUSED_FULL,
                full_endpoints.spread_seconds(
                    max(wait_seconds, RETRY_AFTER_SECONDS), self._random
                ),
            )
            return
        is_cold = any(member.cold.wait_seconds for member in members)
        self.answer_unserved(
            task,
            metrics.Counter.REFUSED_COLD
            if is_cold
            else metrics.Counter.REFUSED_LIMITED,
            min(
                max(wait_seconds, RETRY_AFTER_SECONDS), MAX_RETRY_AFTER_SECONDS
            ),
        )

    def _absence_seconds(self, reason: metrics.Counter) -> float:
        """Return when a caller may come back that found no endpoint."""
        if reason is not metrics.Counter.REFUSED_EMPTIED:
            return RETRY_AFTER_SECONDS
        return full_endpoints.spread_seconds(
            MAX_RETRY_AFTER_SECONDS / full_endpoints.MAX_SPREAD, self._random
        )

    def answer_unserved(
        self,
        task: job.Job,
        reason: metrics.Counter,
        retry_after_seconds: float = RETRY_AFTER_SECONDS,
    ) -> None:
        """Answer a request that no endpoint answered.

        The status is 503 (not executed) if no endpoint may have run the
        request, else 502 (outcome unknown).

        :param reason: the counter of the reason if nothing ran.
        :param retry_after_seconds: when the caller may come back then.
        """
        status = 502 if task.may_have_run else 503
        self.refuse(
            task.reply,
            task.call.identity,
            status,
            metrics.Counter.FAILED_UNKNOWN if task.may_have_run else reason,
            retry_after_seconds,
            cause=reason.value,
            sent=task.sent,
            endpoints=sorted(task.tried),
            configuration=task.configuration_version,
            route=task.route.name,
            customer=task.customer,
        )

    def answer_timed_out(self, task: job.Job) -> None:
        """Answer a request whose deadline has passed."""
        self.refuse(
            task.reply,
            task.call.identity,
            504 if task.may_have_run else 503,
            metrics.Counter.FAILED_TIMEOUT
            if task.may_have_run
            else metrics.Counter.REFUSED_DEADLINE,
            sent=task.sent,
            endpoints=sorted(task.tried),
            configuration=task.configuration_version,
            route=task.route.name,
            customer=task.customer,
        )


class RetryPolicy:
    """Decides whether a request may be sent to another endpoint.

    It also records the outcome of each attempt: in the endpoint's health,
    the crash board, the log and the counters.

    :param bounds: the fleet's retry budget.
    :param count_processes: returns how many processes share the budget.
    :param crashes: counts the endpoints that a request crashed.
    :param reaches: returns whether an address accepts connections.
    :param log: gets a line for each attempt and each paused endpoint.
    :param counters: count retries, denials and pauses.
    :param rank_customer: returns the recent use of a customer; of two that
        wait for the same endpoint the one with less goes first.
    """

    def __init__(
        self,
        bounds: retry_budget.BudgetBounds,
        count_processes: collections.abc.Callable[[], int],
        crashes: crash_board.CrashBoard,
        reaches: ReachesEndpoint,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        rank_customer: collections.abc.Callable[[str], float] = (
            lambda name: 0.0
        ),
    ) -> None:
        self._bounds = bounds
        self._crashes = crashes
        self._reaches = reaches
        self._probes: set[asyncio.Task[None]] = set()
        self._log = log
        self._counters = counters
        self._budgets: dict[str, retry_budget.RetryBudget] = {}
        self._count_processes = count_processes
        self._full_queue = full_endpoints.FullQueue(rank_customer)

    def set_bounds(self, bounds: retry_budget.BudgetBounds) -> None:
        """Replace the bounds of the retry budget."""
        self._bounds = bounds
        for budget in self._budgets.values():
            budget.set_bounds(bounds)

    def record_request(self, service: str) -> None:
        """Count a request for a service; it adds to the retry budget."""
        self._budget_of(service).record_request()

    def record_failure(
        self,
        task: job.Job,
        member: directory.Member,
        error: exchange.AttemptError,
    ) -> None:
        """Record a failed attempt at an endpoint."""
        is_paused = False
        if error.fault not in _NO_FAILURES:
            is_paused = member.health.record_failure(error.fault)
        if error.fault is health.Fault.BROKEN:
            self._crashes.record_cut(
                _request_digest(task),
                member.identity,
                _list_suspects(task, error),
                has_begun=error.answered_seconds is not None,
                born_ms=member.entry.born_ms,
            )
            self._start_probe(member)
        elif error.fault is health.Fault.UNREACHABLE:
            member.cold.record_unreachable()
            self._crashes.record_lost(member.identity)
        self._log.write(
            "attempt_failed",
            request=task.call.identity,
            endpoint=member.identity,
            fault=error.fault.value,
            may_have_run=error.may_have_run,
            detail=str(error),
            answered_ms=None
            if error.answered_seconds is None
            else round(error.answered_seconds * 1000.0),
            shared_parts=[part.identity for part in task.call.shared_parts],
        )
        if is_paused:
            self._report_paused(member, error.fault)

    async def wait_until_free(
        self,
        task: job.Job,
        members: collections.abc.Collection[directory.Member],
    ) -> bool:
        """Wait until one of some full endpoints takes requests again.

        :param members: the endpoints that could run the request.
        :returns: whether one does; False, at once, if none was full or none
            is free so early that an answer may come in time: the route's
            target time before the request's deadline.
        """
        latest = task.deadline - task.route.target_ms / 1000.0
        until = full_endpoints.free_at(
            member for member in members if member.notices.is_full
        )
        if until >= latest or not self.may_send_extra(task):
            return False
        self._counters.count(metrics.Counter.WAITED_FULL)
        self._log.write_routine(
            "waiting_for_full_endpoint",
            request=task.call.identity,
            endpoints=sorted(member.identity for member in members),
            ms=round((until - time.monotonic()) * 1000.0),
        )
        await self._full_queue.wait(until, task.priority, task.customer)
        return True

    def wake_waiting(self) -> None:
        """Let requests that wait for full endpoints decide once more."""
        self._full_queue.wake_all()

    def _start_probe(self, member: directory.Member) -> None:
        """Start a check of whether an endpoint that cut an answer crashed."""
        probe = asyncio.ensure_future(self._probe(member))
        self._probes.add(probe)
        probe.add_done_callback(self._probes.discard)

    async def _probe(self, member: directory.Member) -> None:
        if await self._reaches(member.entry.address):
            return
        member.cold.record_unreachable()
        self._crashes.record_lost(member.identity)
        if member.health.record_failure(health.Fault.UNREACHABLE):
            self._report_paused(member, health.Fault.UNREACHABLE)

    def _report_paused(
        self, member: directory.Member, fault: health.Fault
    ) -> None:
        self._counters.count(metrics.Counter.ENDPOINTS_PAUSED)
        self._log.write(
            "endpoint_paused",
            endpoint=member.identity,
            fault=fault.value,
            bad_share=round(member.health.bad_share, 3),
        )

    def record_answer(self, task: job.Job, member: directory.Member) -> None:
        """Record that an endpoint answered, so the request didn't crash it."""
        if self._crashes.has_entries:
            self._crashes.record_answer(_request_digest(task), member.identity)

    def record_sound_parts(self, task: job.Job) -> None:
        """Record that the parts of a prompt crash no endpoint.

        It needs an answer that is whole for certain.
        """
        self._crashes.parts.record_answer(task.call)

    async def is_crashing(self, task: job.Job) -> bool:
        """Return whether a request, or a part of it, reached the crash limit.

        If one more crash would reach the limit, it first waits for the
        running checks of endpoints, which may detect that crash.
        """
        parts = self._crashes.parts
        if not self._crashes.has_entries and not parts.has_suspects:
            return False
        digest = _request_digest(task)
        is_near = self._crashes.count(
            digest
        ) >= crash_board.CRASH_LIMIT - 1 or parts.is_near_limit(task.call)
        if is_near and self._probes:
            await asyncio.wait(set(self._probes))
        blocked = parts.find_blocked(task.call, is_repeat=task.sent > 0)
        if blocked:
            self._log.write_routine(
                "part_refused", request=task.call.identity, part=blocked
            )
        return bool(blocked) or self._crashes.is_refused(
            digest, task.call.identity
        )

    def may_send_again(self, task: job.Job, fault: health.Fault) -> bool:
        """Return whether a failed request may be sent again; count the retry.

        :param fault: how the last attempt failed.
        """
        if task.may_have_run and not task.route.may_repeat:
            return False
        if not self.may_send_extra(task):
            self._counters.count(metrics.Counter.RETRY_DENIED)
            return False
        self._counters.count(_RETRIED[fault])
        if task.reply.is_started:
            self._counters.count(metrics.Counter.RESUMED)
        return True

    def may_send_extra(self, task: job.Job) -> bool:
        """Return whether the attempt limit and retry budget allow a send.

        The first send is always allowed.
        """
        if task.sent == 0:
            return True
        if task.sent >= task.route.max_attempts:
            return False
        return self._budget_of(task.service).allows(self._count_processes())

    def record_send(
        self,
        task: job.Job,
        member: directory.Member,
        model: str = "",
        expected_ms: float | None = None,
    ) -> None:
        """Log an attempt, and charge every one after the first to the budget.

        :param model: the requested model; "" for a plain service.
        :param expected_ms: the estimated time to the first token; None for a
            plain service, which is chosen without an estimate.
        """
        if task.sent > 0:
            self._budget_of(task.service).record_extra()
        self._crashes.parts.record_send(task.call)
        member.limit.record_send()
        self._log.write_routine(
            "sent",
            request=task.call.identity,
            endpoint=member.identity,
            session=task.call.session or None,
            attempt=task.sent + 1,
            route=task.route.name,
            customer=task.customer,
            model=model or None,
            version=member.entry.version,
            load=member.load,
            queue_ms=round(member.queue_ms),
            usual_ms=round(member.health.duration_ms, 1),
            bad_share=round(member.health.bad_share, 2),
            limit=member.limit.per_second,
            reported_leaving=member.notices.is_reported_leaving or None,
            expected_ms=round(expected_ms)
            if expected_ms is not None
            else None,
            left_ms=round(seconds_left(task) * 1000.0),
            configuration=task.configuration_version,
        )

    def _budget_of(self, service: str) -> retry_budget.RetryBudget:
        budget = self._budgets.get(service)
        if budget is None:
            budget = retry_budget.RetryBudget(self._bounds)
            self._budgets[service] = budget
        return budget


def _request_digest(task: job.Job) -> int:
    tenant = task.tenant.name if task.tenant is not None else ""
    return crash_board.request_digest(task.call, tenant)


def _list_suspects(
    task: job.Job, error: exchange.AttemptError
) -> tuple[str, ...]:
    """Return the prompt parts that may have crashed an endpoint."""
    if (error.answered_seconds or 0.0) > part_board.BEGIN_SECONDS:
        return ()
    return part_board.list_parts(task.call)


def absence_reason(
    task: job.Job, members: directory.Directory, reason: metrics.Counter
) -> metrics.Counter:
    """Return why there is no endpoint for a request.

    :param reason: the reason if no endpoint has reported leaving.
    """
    if reason is not metrics.Counter.REFUSED_NO_ENDPOINT:
        return reason
    if members.is_emptied(task.service):
        return metrics.Counter.REFUSED_EMPTIED
    if members.is_leaving(task.service):
        return metrics.Counter.REFUSED_LEAVING
    return reason


def seconds_left(task: job.Job) -> float:
    """Return the seconds until a request's deadline, at least 0."""
    return max(0.0, task.deadline - time.monotonic())
