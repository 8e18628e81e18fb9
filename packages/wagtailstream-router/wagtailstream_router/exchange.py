"""One attempt at one endpoint, from sending to the end of the answer."""

import asyncio
import collections.abc
import contextlib
import time
import typing

from wagtailstream_router import (
    directory,
    endpoint_link,
    errors,
    health,
    job,
    request,
    wire,
)

# Priorities on the wire run from 0 to 9.
MAX_PRIORITY = 9
# A body beyond this is no answer that the sheets describe.
MAX_BODY_BYTES = 8 * 1024 * 1024


class AttemptError(Exception):
    """An attempt gave nothing that can be passed on.

    :param fault: how it failed.
    :param may_have_run: whether the endpoint may have begun to work.
    :param detail: what went wrong.
    """

    def __init__(
        self, fault: health.Fault, may_have_run: bool, detail: str
    ) -> None:
        super().__init__(f"{fault.value}: {detail}")
        self.fault = fault
        self.may_have_run = may_have_run


class Exchange:
    """An attempt whose answer has begun.

    :param member: the endpoint.
    :param model: the model that was asked; "" for a plain service.
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

    async def read_piece(self) -> bytes | None:
        """Return the next bytes of the body; None after the last.

        :raises AttemptError: the body is cut.
        """
        try:
            return await self._link.read_piece()
        except errors.BrokenAnswerError as error:
            raise AttemptError(
                health.Fault.BROKEN, True, str(error)
            ) from error

    async def read_body(self) -> bytes:
        """Return the whole body.

        :raises AttemptError: the body is cut or too long.
        """
        pieces = []
        size = 0
        while (piece := await self.read_piece()) is not None:
            pieces.append(piece)
            size += len(piece)
            if size > MAX_BODY_BYTES:
                raise AttemptError(
                    health.Fault.BROKEN, True, "body is too long"
                )
        return b"".join(pieces)


class Sender:
    """Sends attempts, and keeps count of what is under way.

    :param pool: connections to endpoints.
    :param codec: encodes requests.
    """

    def __init__(
        self, pool: endpoint_link.LinkPool, codec: wire.HeaderCodec
    ) -> None:
        self._pool = pool
        self._codec = codec

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
        """Send a request to an endpoint and wait for the head.

        The connection goes back to the pool if the answer was read to its
        end; else it is closed, which ends the work at the endpoint.

        :param head_timeout_seconds: how long to wait for the head.
        :param may_fail_over: whether, after that, the request may go elsewhere;
            where it may not, the wait goes on.
        :param work_ms: the endpoint's estimated time until the answer begins.
        :param last_event: the id of the last event that the caller holds.
        :raises AttemptError: no usable answer began.
        """
        member.in_flight += 1
        ticket = member.pending.add(work_ms)
        link: endpoint_link.EndpointLink | None = None
        try:
            link = await self._connect(member)
            self._send(task, member, model, link, last_event)
            head = await self._read_head(
                task, link, head_timeout_seconds, may_fail_over
            )
            member.pending.remove(ticket)
            yield Exchange(member, model, link, head)
        finally:
            member.in_flight -= 1
            member.pending.remove(ticket)
            if link is not None:
                self._pool.give_back(link)

    async def _connect(
        self, member: directory.Member
    ) -> endpoint_link.EndpointLink:
        try:
            return await self._pool.take(member.entry.address)
        except errors.NotSentError as error:
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
            min(max(task.priority, 0), MAX_PRIORITY) if model else None,
            model,
            last_event,
        )
        headers = self._codec.encode_request(task.call, dispatch)
        call = task.call
        task.sent += 1
        task.tried.add(member.identity)
        try:
            link.send(call.method, call.target, headers, call.body)
            # Until the endpoint says otherwise; a deadline may come first.
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
        if head.is_not_run:
            task.uncertain_runs -= 1
            return head
        if head.request_identity not in ("", task.call.identity):
            link.close()
            raise AttemptError(
                health.Fault.BROKEN, True, "the answer is another request's"
            )
        if head.is_success and (not head.is_signed or head.is_encoded):
            link.close()
            raise AttemptError(
                health.Fault.BROKEN, True, "the answer is not the endpoint's"
            )
        return head


async def _wait_head(
    link: endpoint_link.EndpointLink,
    head_timeout_seconds: float,
    may_fail_over: collections.abc.Callable[[], bool],
) -> request.AnswerHead:
    """Return the head of an answer.

    :raises TimeoutError: the request had better go elsewhere.
    """
    while True:
        try:
            async with asyncio.timeout(head_timeout_seconds):
                return await link.read_head()
        except TimeoutError:
            if may_fail_over():
                raise
