"""One piece of work over all its attempts."""

import collections.abc

from wagtailstream_core import admission, assembly, clock, errors, work
from wagtailstream_entry.endpoints import target
from wagtailstream_entry.filters import exchange

WorkMaker = collections.abc.Callable[[int], work.ModelWork | work.ServiceWork]


class Job:
    """The state of one piece of work over its attempts.

    :param request: the request that it is done for.
    :param work_target: where it may run.
    :param make_work: returns the work from a position on.
    :param sink: takes the answer.
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
        self.tried: set[str] = set()
        self.attempts = 0
        self.digest = work.digest(make_work(0))
        # Whether what was passed on differs from what was sent.
        self.is_corrupt = False
        self.last_refusal: errors.Refusal | None = None
        self.exhausted: errors.Refusal | None = None
        self.late: admission.Late | None = None
        self._sink = sink
        self._has_started = False
        self._broken: set[str] = set()

    @property
    def has_started(self) -> bool:
        """Whether a piece of the answer was passed on."""
        return self._has_started

    @property
    def customer(self) -> str:
        """The customer's name."""
        return self.request.customer.name if self.request.customer else ""

    @property
    def priority(self) -> int:
        """The customer's priority."""
        return self.request.customer.priority if self.request.customer else 0

    def note_late(self, late: admission.Late) -> None:
        """Note an endpoint that can't answer in time; keep the soonest.

        :param late: when to come back to it.
        """
        if self.late is None or late.retry_at < self.late.retry_at:
            self.late = late

    def note_broken(self, address: str) -> None:
        """Note a connection that broke; earlier ones are worth another try.

        A begun answer is lost unless somebody goes on with it, and a
        connection that breaks says little of the endpoint behind it. An
        endpoint that died, or refused, is not asked again.

        :param address: the agent's.
        """
        if self._has_started:
            self.tried -= self._broken
            self._broken.add(address)

    async def write(
        self, pieces: collections.abc.Sequence[bytes], now: clock.Clock
    ) -> None:
        """Pass pieces on to the sink.

        :param pieces: in order, each once.
        :param now: tells when the first came.
        """
        if pieces and not self._has_started:
            self._has_started = True
            self.request.first_token_at = now.wall()
            await self._sink.start(self.request)
        for piece in pieces:
            await self._sink.write(piece)

    def finish(self, ended: work.Ended) -> None:
        """Take in the end mark.

        :param ended: the end mark.
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
