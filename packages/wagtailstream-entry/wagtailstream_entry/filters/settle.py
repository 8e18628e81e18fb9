"""Bills a request, and holds back the end of its answer until that is safe."""

import asyncio

import expression

from wagtailstream_core import billing, clock, errors
from wagtailstream_entry.filters import exchange, pipeline
from wagtailstream_runtime import bill_outbox

STEP = "settle"
# How long to wait for the log before the agents are asked to keep the bill.
DURABLE_WAIT_SECONDS = 0.5


class Settle(pipeline.Filter):
    """Bills a request.

    The end of the answer is sent once the log holds the bill or, while the
    log is slow or down, once an agent has confirmed that it also holds the
    complete bill.

    :param outbox: holds bills until the log does.
    :param system_clock: the clock for deadlines.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        outbox: bill_outbox.BillOutbox,
        system_clock: clock.Clock,
        peer: str,
    ) -> None:
        self._outbox = outbox
        self._clock = system_clock
        self._peer = peer
        self._tasks: set[asyncio.Task[bool]] = set()

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Bill the request; refuse it if the bill is not safe in time.

        :param request: a request whose answer is complete except for the end
            of the response.
        """
        if not request.costs:
            return pipeline.PASSED
        durable = self._outbox.add(
            billing.Bill(
                customer=request.customer.name if request.customer else "",
                request_id=request.request_id,
                attempts=tuple(request.costs),
            )
        )
        if await self._wait(durable, DURABLE_WAIT_SECONDS):
            self._settle_in_background(request)
            return pipeline.PASSED
        if await self._hand_over_bill(request):
            return pipeline.PASSED
        remaining = request.deadline - self._clock.wall()
        if await self._wait(durable, max(0.0, remaining)):
            return pipeline.PASSED
        return self._refuse()

    async def _hand_over_bill(self, request: exchange.Exchange) -> bool:
        """Ask the agents to hold the bill; return whether one confirmed."""
        confirmed = await asyncio.gather(
            *(run.settle(False, request.costs) for run in request.runs)
        )
        request.runs.clear()
        return any(confirmed)

    async def _wait(
        self, durable: "asyncio.Future[None]", seconds: float
    ) -> bool:
        done, _ = await asyncio.wait([durable], timeout=seconds)
        return bool(done)

    def _refuse(self) -> pipeline.Verdict:
        return expression.Error(
            errors.unknown(
                errors.Reason.BILLING_FULL,
                "the request ran, but its bill could not be stored in time",
                STEP,
                self._peer,
            )
        )

    def _settle_in_background(self, request: exchange.Exchange) -> None:
        for run in request.runs:
            task = asyncio.ensure_future(run.settle(True, ()))
            self._tasks.add(task)
            task.add_done_callback(self._tasks.discard)
        request.runs.clear()

    async def wait_settled(self) -> None:
        """Wait until all agents of billed requests have been notified."""
        await asyncio.gather(*self._tasks, return_exceptions=True)
