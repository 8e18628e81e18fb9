"""One attempt under way, apart from the connection that asked for it.

The attempt goes on until its runner is done, also where the connection is
lost; whatever it used and nobody settled is billed by the agent.
"""

import asyncio
import collections.abc
import logging

from wagtailstream_agent import runner
from wagtailstream_core import (
    assembly,
    billing,
    errors,
    wire_codec,
    wire_pb2,
    work,
)
from wagtailstream_runtime import bill_outbox

_LOGGER = logging.getLogger(__name__)
MAX_WAITING_FRAMES = 4096


class Execution:
    """Runs an attempt and queues the frames of its answer.

    :param attempt: the attempt.
    :param attempt_runner: runs it.
    :param outbox: takes the bill if the entry does not settle.
    :param offset: the offset of this agent's configuration.
    """

    def __init__(
        self,
        attempt: work.Attempt,
        attempt_runner: runner.Runner,
        outbox: bill_outbox.BillOutbox,
        offset: int,
    ) -> None:
        self._attempt = attempt
        self._runner = attempt_runner
        self._outbox = outbox
        self._offset = offset
        self._meter = runner.Meter()
        self._frames: asyncio.Queue[wire_pb2.AnswerFrame | None] = (
            asyncio.Queue(MAX_WAITING_FRAMES)
        )
        self._is_detached = False
        self._is_settled = False
        self._costs: tuple[billing.AttemptCost, ...] = ()
        self._task = asyncio.ensure_future(self._run())

    @property
    def attempt(self) -> work.Attempt:
        """The attempt that is run."""
        return self._attempt

    async def next_frame(self) -> wire_pb2.AnswerFrame | None:
        """Return the next frame of the answer, or None after the last."""
        return await self._frames.get()

    def settle(
        self,
        is_durable: bool,
        costs: collections.abc.Sequence[billing.AttemptCost],
    ) -> None:
        """Note that the entry has the bill of the whole request.

        :param is_durable: whether the log holds it; otherwise this agent
            holds the whole bill too.
        :param costs: what the entry knows of the request.
        """
        if is_durable:
            self._is_settled = True
        self._costs = tuple(costs)

    async def finish(self) -> None:
        """End the attempt after its connection; bill what is not settled."""
        self._is_detached = True
        self._drain_frames()
        if not self._task.done():
            self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if not self._is_settled:
            self._bill()

    def _bill(self) -> None:
        costs = self._costs
        if self._meter.cost is not None:
            costs += (self._meter.cost,)
        if costs:
            self._outbox.add(
                billing.Bill(
                    customer=self._attempt.customer,
                    request_id=self._attempt.request_id,
                    attempts=costs,
                )
            )

    def _drain_frames(self) -> None:
        while not self._frames.empty():
            self._frames.get_nowait()

    async def _run(self) -> None:
        try:
            await self._runner.run(self._attempt, self._emit, self._meter)
        except runner.AttemptAbortedError as error:
            await self._put(
                wire_codec.encode_refused(
                    work.Refused(error.refusal, self._offset)
                )
            )
        except asyncio.CancelledError:
            raise
        except Exception:
            _LOGGER.exception("attempt failed")
            await self._put(
                wire_codec.encode_refused(
                    work.Refused(self._describe_fault(), self._offset)
                )
            )
        await self._put(None)

    def _describe_fault(self) -> errors.Refusal:
        if self._meter.cost is None:
            return errors.not_run(
                errors.Reason.INTERNAL, "internal fault", "run", "agent"
            )
        return errors.unknown(
            errors.Reason.INTERNAL, "internal fault", "run", "agent"
        )

    async def _emit(
        self, item: work.Accepted | assembly.Chunk | work.Ended
    ) -> None:
        match item:
            case work.Accepted():
                await self._put(wire_codec.encode_accepted(item))
            case assembly.Chunk():
                await self._put(wire_codec.encode_chunk(item))
            case work.Ended():
                await self._put(wire_codec.encode_ended(self._attempt, item))

    async def _put(self, frame: wire_pb2.AnswerFrame | None) -> None:
        if not self._is_detached:
            await self._frames.put(frame)
