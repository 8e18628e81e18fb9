"""One attempt at one endpoint: sends a request and reads the answer."""

import asyncio
import collections.abc
import contextlib
import time
import typing

from wagtailstream_router import (
    directory,
    endpoint_link,
    errors,
    event_log,
    health,
    job,
    metrics,
    notice_recorder,
    request,
    wire,
)
from wagtailstream_router.engines import order
from wagtailstream_router.flow import ledger, whole_body

# Bounds the memory for one answer; all answers in the users' specification are
# shorter.
MAX_BODY_BYTES = 8 * 1024 * 1024
# How long the body of a refusal is read, so that its connection can be used
# again. It is shorter than opening another connection may take.
REFUSAL_BODY_SECONDS = 0.1


class AttemptError(Exception):
    """An attempt failed without an answer that can be passed on.

    :param fault: the kind of failure.
    :param may_have_run: whether the endpoint may have run the request.
    :param detail: what went wrong.
    :param answered_seconds: the time since the head of the answer; None if
        there was no head.
    """

    def __init__(
        self,
        fault: health.Fault,
        may_have_run: bool,
        detail: str,
        answered_seconds: float | None = None,
    ) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.may_have_run = may_have_run
        self.answered_seconds = answered_seconds


def make_held_back(error: AttemptError) -> AttemptError:
    """Return the error of an answer that broke as its caller did not read."""
    return AttemptError(
        health.Fault.HELD_BACK,
        error.may_have_run,
        str(error),
        error.answered_seconds,
    )


class Exchange:
    """An attempt whose answer has started.

    :param member: the endpoint.
    :param model: the requested model; "" for a plain service.
    :param link: the connection to read the body from.
    :param head: the head of the answer.
    """

    def __init__(
        self,
        member: directory.Member,
        model: str,
        link: endpoint_link.EndpointLink,
        head: request.AnswerHead,
    ) -> None:
        self.member = member
        self.model = model
        self.head = head
        self._link = link
        self._answered_at = time.monotonic()

    @property
    def is_framed(self) -> bool:
        """Whether a broken answer can be told from a whole one."""
        return self._link.is_framed

    @property
    def answered_seconds(self) -> float:
        """The time since the head of the answer."""
        return time.monotonic() - self._answered_at

    async def read_chunk(self) -> bytes | None:
        """Return the next chunk of the body; None at its end.

        :raises AttemptError: the body is incomplete.
        """
        try:
            return await self._link.read_chunk()
        except errors.BrokenAnswerError as error:
            raise AttemptError(
                health.Fault.BROKEN,
                True,
                str(error),
                self.answered_seconds,
            ) from error

    async def collect(self, body: whole_body.WholeBody) -> bool:
        """Read the body while there is room for it.

        :param body: gets what was read.
        :returns: whether the body is complete.
        :raises AttemptError: the body is incomplete or longer than
            `MAX_BODY_BYTES`.
        """
        while (chunk := await self.read_chunk()) is not None:
            has_room = body.add(chunk)
            if body.size > MAX_BODY_BYTES:
                raise AttemptError(
                    health.Fault.BROKEN,
                    True,
                    f"body is longer than {MAX_BODY_BYTES} bytes",
                )
            if not has_room:
                return False
        return True

    async def read_body(self, room: ledger.Holding) -> bytes:
        """Return the complete body.

        :param room: counts what is held of the answer.
        :raises AttemptError: the body is incomplete, or longer than
            `MAX_BODY_BYTES` or than there is room for.
        """
        body = whole_body.WholeBody(room)
        try:
            if await self.collect(body):
                return body.take_all()
        finally:
            body.close()
        raise AttemptError(
            health.Fault.BROKEN,
            True,
            f"no room for a body of over {body.size} bytes",
        )

    async def read_refusal(self, room: ledger.Holding) -> AttemptError:
        """Return the error of an answer that states that nothing ran.

        The body is read as far as it comes at once. The head says all that
        matters; a connection with a body left is closed and not used again.

        :param room: counts what is held of the answer.
        """
        detail = f"status {self.head.status}"
        try:
            async with asyncio.timeout(REFUSAL_BODY_SECONDS):
                await self.read_body(room)
        except (AttemptError, TimeoutError) as error:
            detail += f", incomplete body: {error!r}"
        return AttemptError(health.Fault.SHED, False, detail)


class Sender:
    """Sends attempts and counts the requests in flight at each endpoint.

    :param pool: connections to endpoints.
    :param codec: encodes requests.
    :param log: gets a line when an endpoint advertises another rate limit.
    :param counters: count the notices of endpoints.
    :param notices: records what endpoints report in their answers.
    """

    def __init__(
        self,
        pool: endpoint_link.LinkPool,
        codec: wire.HeaderCodec,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        notices: notice_recorder.NoticeRecorder,
    ) -> None:
        self._pool = pool
        self._codec = codec
        self._log = log
        self._counters = counters
        self._notices = notices

    @contextlib.asynccontextmanager
    async def open(
        self,
        task: job.Job,
        member: directory.Member,
        model: str,
        head_timeout_seconds: float,
        may_fail_over: collections.abc.Callable[[], bool],
        work_ms: float = 1.0,
        last_event: str | None = None,
    ) -> typing.AsyncIterator[Exchange]:
        """Send a request to an endpoint and wait for the head of the answer.

        The connection returns to the pool if the answer was read to its end;
        otherwise it is closed, which cancels the work at the endpoint.

        :param head_timeout_seconds: how long to wait for the head.
        :param may_fail_over: called after that time; the wait starts again
            if it returns False.
        :param work_ms: the estimated time that the endpoint works on the
            request before its answer starts.
        :param last_event: the id of the last event that the caller received.
        :raises AttemptError: no usable answer started.
        """
        member.in_flight += 1
        ticket = member.pending.add(work_ms)
        reservation = member.cold.reserve()
        link: endpoint_link.EndpointLink | None = None
        try:
            link = await self._connect(task, member)
            self._check_allowed(task, member)
            asked_at = time.monotonic()
            self._send(task, member, model, link, last_event)
            reservation.release()
            head = await self._read_head(
                task, link, head_timeout_seconds, may_fail_over
            )
            member.pending.remove(ticket)
            self._notices.record(task, member, head, asked_at)
            _check_head(link, head)
            self._record_rate_limit(member, head)
            yield Exchange(member, model, link, head)
        finally:
            member.in_flight -= 1
            member.pending.remove(ticket)
            reservation.release()
            if link is not None:
                self._pool.release(link)

    def _check_allowed(self, task: job.Job, member: directory.Member) -> None:
        """Check what became known of an endpoint since it was chosen.

        :raises AttemptError: it may get no request now.
        """
        member.cold.record_reached()
        if member.is_emptied:
            self._stop(
                task,
                member,
                health.Fault.EMPTIED,
                metrics.Counter.SENDS_STOPPED_EMPTIED,
            )
        _check_notices(member)
        if not member.cold.may_write:
            self._stop(
                task,
                member,
                health.Fault.COLD,
                metrics.Counter.SENDS_STOPPED_COLD,
            )

    def _stop(
        self,
        task: job.Job,
        member: directory.Member,
        fault: health.Fault,
        counter: metrics.Counter,
    ) -> typing.NoReturn:
        """Log and count an attempt that is not sent after all.

        :raises AttemptError: always.
        """
        self._counters.count(counter)
        self._log.write_routine(
            "attempt_stopped",
            request=task.call.identity,
            endpoint=member.identity,
            zone=member.entry.zone,
            fault=fault.value,
        )
        raise AttemptError(fault, False, f"{fault.value} since; not sent")

    def _record_rate_limit(
        self, member: directory.Member, head: request.AnswerHead
    ) -> None:
        """Record the limit that an answer advertises, or that it has none.

        An answer that states that nothing ran may come from another endpoint
        at the address, or from something before it: it ends no limit.
        """
        limit = head.rate_limit
        if limit.is_malformed:
            self._counters.count(metrics.Counter.RATE_LIMITS_IGNORED)
            self._log.write_routine(
                "endpoint_limit_ignored", endpoint=member.identity
            )
            return
        if head.is_not_run and limit.per_second is None:
            return
        if member.limit.observe(limit.per_second):
            self._log.write(
                "endpoint_limit",
                endpoint=member.identity,
                per_second=limit.per_second,
            )

    async def _connect(
        self, task: job.Job, member: directory.Member
    ) -> endpoint_link.EndpointLink:
        try:
            # A late copy of an earlier answer would bear the request's own id.
            return await self._pool.acquire(
                member.entry.address, task.links, task.call.identity
            )
        except errors.NotSentError as error:
            task.tried.add(member.identity)
            raise AttemptError(
                health.Fault.UNREACHABLE, False, str(error)
            ) from error

    def _send(
        self,
        task: job.Job,
        member: directory.Member,
        model: str,
        link: endpoint_link.EndpointLink,
        last_event: str | None,
    ) -> None:
        left_ms = (task.deadline - time.monotonic()) * 1000.0
        dispatch = request.Dispatch(
            member.identity,
            max(left_ms, 1.0),
            task.tenant.name if task.tenant is not None else "",
            order.find_priority(
                _choose_rank(task), task.route, model, last_event is not None
            )
            if model
            else None,
            model,
            last_event,
        )
        headers = self._codec.encode_request(task.call, dispatch)
        call = task.call
        member.cold.record_send()
        task.sent += 1
        task.tried.add(member.identity)
        task.links.append(link)
        link.record_carried(call.identity)
        try:
            link.send(call.method, call.target, headers, call.body)
            # Undone if the endpoint states that nothing ran. The deadline may
            # pass before any answer, and then the outcome is unknown.
            task.uncertain_runs += 1
        except errors.NotSentError as error:
            raise AttemptError(
                health.Fault.UNREACHABLE, False, str(error)
            ) from error

    async def _read_head(
        self,
        task: job.Job,
        link: endpoint_link.EndpointLink,
        head_timeout_seconds: float,
        may_fail_over: collections.abc.Callable[[], bool],
    ) -> request.AnswerHead:
        try:
            head = await _wait_head(link, head_timeout_seconds, may_fail_over)
        except TimeoutError as error:
            link.close()
            raise AttemptError(
                health.Fault.SILENT,
                True,
                f"no answer in {head_timeout_seconds:.3f} s",
            ) from error
        except errors.BrokenAnswerError as error:
            link.close()
            raise AttemptError(
                health.Fault.BROKEN, True, str(error)
            ) from error
        if head.request_identity not in ("", task.call.identity):
            # A late copy of an earlier answer: it says nothing about this
            # request, also if it states that nothing ran.
            link.close()
            raise AttemptError(
                health.Fault.BROKEN, True, "answer has another request's id"
            )
        if head.is_not_run:
            task.uncertain_runs -= 1
        return head


def _choose_rank(task: job.Job) -> int:
    """Return the rank of a request; one that is overdue is among the first."""
    return 0 if task.is_overdue else task.priority


def _check_notices(member: directory.Member) -> None:
    """Check what an endpoint reported since it was chosen.

    :raises AttemptError: it wants no request now.
    """
    if member.notices.is_leaving:
        raise AttemptError(
            health.Fault.LEAVING, False, "said that it leaves; not sent"
        )
    if member.notices.is_full:
        raise AttemptError(
            health.Fault.FULL, False, "said that it is full; not sent"
        )


def _check_head(
    link: endpoint_link.EndpointLink, head: request.AnswerHead
) -> None:
    """Check that a head belongs to an answer that can be passed on.

    :raises AttemptError: a success is unsigned or has a content encoding.
    """
    if head.is_not_run:
        return
    if head.is_success and (not head.is_signed or head.is_encoded):
        link.close()
        raise AttemptError(
            health.Fault.BROKEN,
            True,
            "answer is unsigned or has a content encoding",
        )


async def _wait_head(
    link: endpoint_link.EndpointLink,
    head_timeout_seconds: float,
    may_fail_over: collections.abc.Callable[[], bool],
) -> request.AnswerHead:
    """Return the head of an answer.

    :param head_timeout_seconds: the time between calls of `may_fail_over`.
    :raises TimeoutError: the time is over and the request may fail over.
    """
    while True:
        try:
            async with asyncio.timeout(head_timeout_seconds):
                return await link.read_head()
        except TimeoutError:
            if may_fail_over():
                raise
