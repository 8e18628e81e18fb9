"""The state of a job: one call of a model or service, over all attempts."""

import collections.abc

from wagtailstream_core import admission, assembly, clock, errors, work
from wagtailstream_entry.endpoints import target
from wagtailstream_entry.filters import exchange

WorkMaker = collections.abc.Callable[[int], work.ModelWork | work.ServiceWork]


class Job:
    """One call of a model or service, over all its attempts.

    :param request: the request that the job belongs to.
    :param work_target: the endpoints that may run it.
    :param make_work: returns the work that remains from a position of the
        answer on.
    :param sink: receives the answer.
    """

    def __init__(
        self,
        request: exchange.Exchange,
        work_target: target.Target,
        make_work: WorkMaker,
        sink: exchange.AnswerSink,
    ) -> None:
        self.request = request
        self.target = work_target
        self.make_work = make_work
        self.assembler = assembly.Assembler(request.request_id)
        # Addresses of agents that the next attempt must not go to.
        self.tried: set[str] = set()
        self.attempt_count = 0
        self.digest = work.digest(make_work(0))
        # Whether the delivered pieces failed the check of the answer's
        # digest. They can't be taken back, so the job is not retried.
        self.is_corrupt = False
        self.last_refusal: errors.Refusal | None = None
        # Set once no endpoint is left; this refusal is not retried.
        self.final_refusal: errors.Refusal | None = None
        self.missed_deadline: admission.MissedDeadline | None = None
        self._sink = sink
        self._has_started = False
        self._broken_addresses: set[str] = set()

    @property
    def has_started(self) -> bool:
        """Whether a piece of the answer was written to the sink."""
        return self._has_started

    @property
    def customer(self) -> str:
        """The customer's name."""
        return self.request.customer.name if self.request.customer else ""

    @property
    def priority(self) -> int:
        """The customer's priority."""
        return self.request.customer.priority if self.request.customer else 0

    def record_missed_deadline(self, missed: admission.MissedDeadline) -> None:
        """Record an endpoint that is not expected to meet the deadline.

        The earliest time to retry is kept.

        :param missed: when to retry at that endpoint.
        """
        if (
            self.missed_deadline is None
            or missed.retry_at < self.missed_deadline.retry_at
        ):
            self.missed_deadline = missed

    def record_broken_connection(self, address: str) -> None:
        """Record an agent whose connection broke during the answer.

        The agents whose connections broke before this one may be tried again,
        since an answer that has started is lost unless an endpoint resumes
        it, and a broken connection does not prove that the endpoint failed.
        Agents that refused and endpoints that crashed are not tried again.
        Before the answer has started, this does nothing.

        :param address: the address of the agent.
        """
        if self._has_started:
            self.tried -= self._broken_addresses
            self._broken_addresses.add(address)

    async def write(
        self,
        pieces: collections.abc.Sequence[bytes],
        system_clock: clock.Clock,
    ) -> None:
        """Write pieces of the answer to the sink.

        :param pieces: the pieces, each once and in order.
        :param system_clock: the clock for the time of the first piece.
        """
        if pieces and not self._has_started:
            self._has_started = True
            self.request.first_token_at = system_clock.wall()
            await self._sink.start(self.request)
        for piece in pieces:
            await self._sink.write(piece)

    def finish(self, ended: work.Ended) -> None:
        """Record the status and cost from the end mark, and verify it.

        :param ended: the end mark.
        :raises errors.CorruptAnswerError: the answer's digest differs.
        """
        self.request.status = ended.status
        self.request.costs.append(ended.cost)
        self.assembler.finish(
            assembly.EndMark(
                self.request.request_id,
                ended.attempt,
                ended.count,
                ended.digest,
            )
        )
