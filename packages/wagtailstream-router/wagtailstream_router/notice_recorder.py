"""Records what endpoints report in the heads of their answers."""

import collections.abc
import time

from wagtailstream_router import (
    directory,
    event_log,
    job,
    metrics,
    request,
)


class NoticeRecorder:
    """Records that endpoints leave or are full.

    :param members: the endpoints.
    :param read_idle_seconds: returns the longest time that an endpoint may be
        full, the idle limit of the configuration.
    :param tell_peers: called when an endpoint is learnt to leave.
    :param log: gets a line for each change.
    :param counters: count the changes and the notices that can't be read.
    """

    def __init__(
        self,
        members: directory.Directory,
        read_idle_seconds: collections.abc.Callable[[], float],
        tell_peers: collections.abc.Callable[[], None],
        log: event_log.EventLog,
        counters: metrics.Metrics,
    ) -> None:
        self._members = members
        self._read_idle_seconds = read_idle_seconds
        self._tell_peers = tell_peers
        self._log = log
        self._counters = counters

    def record(
        self,
        task: job.Job,
        member: directory.Member,
        head: request.AnswerHead,
        asked_at: float,
    ) -> None:
        """Record what the head of an answer reports of its endpoint.

        :param asked_at: when the request was sent, by the monotonic clock.
        """
        if not self._is_from(member, head):
            return
        member.cold.extend((head.cold_ms or 0.0) / 1000.0)
        self._record_leaving(task, member, head.leaving)
        if head.status == 503:
            self._record_full(task, member, head.retry_after, asked_at)

    def _is_from(
        self, member: directory.Member, head: request.AnswerHead
    ) -> bool:
        """Return whether an answer is the endpoint's own.

        Its address may have been given to another endpoint. Answers to other
        requests are dropped before.
        """
        if head.status == 421:
            return False
        if head.endpoint:
            return head.endpoint == member.identity
        return not self._members.has_successor(member)

    def _record_leaving(
        self,
        task: job.Job,
        member: directory.Member,
        leaving: request.Leaving,
    ) -> None:
        if leaving is request.Leaving.MALFORMED:
            self._counters.count(metrics.Counter.LEAVING_IGNORED)
            self._log.write_routine(
                "leaving_ignored",
                endpoint=member.identity,
                request=task.call.identity,
            )
        if leaving is not request.Leaving.STATED:
            return
        if not member.notices.record_leaving():
            return
        self._counters.count(metrics.Counter.ENDPOINTS_LEAVING)
        self._log.write(
            "endpoint_leaving",
            endpoint=member.identity,
            service=member.entry.service,
            request=task.call.identity,
            state=member.entry.state.value,
            in_flight=member.in_flight,
        )
        self._tell_peers()

    def _record_full(
        self,
        task: job.Job,
        member: directory.Member,
        retry_after: request.RetryAfter,
        asked_at: float,
    ) -> None:
        if retry_after.is_malformed:
            self._counters.count(metrics.Counter.RETRY_AFTERS_IGNORED)
            self._log.write_routine(
                "retry_after_ignored",
                endpoint=member.identity,
                request=task.call.identity,
            )
        named = retry_after.seconds
        if named is None:
            return
        seconds = min(named, self._read_idle_seconds())
        if seconds < named:
            self._counters.count(metrics.Counter.RETRY_AFTERS_CLAMPED)
        until = time.monotonic() + seconds
        if not member.notices.record_full(asked_at, until):
            return
        self._counters.count(metrics.Counter.ENDPOINTS_FULL)
        self._log.write(
            "endpoint_full",
            endpoint=member.identity,
            service=member.entry.service,
            request=task.call.identity,
            named_seconds=named,
            seconds=round(seconds, 3),
            until=round(time.time() + seconds, 3),
        )
