"""Runs one attempt independently of the connection that requested it.

When the connection ends, the attempt is cancelled, but its runner may first
complete work that must not be interrupted. The agent bills what the attempt
used unless the entry has settled it, that is, has put the request's bill into
the log.
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
# Frames queued for a slow entry before the runner has to wait.
MAX_WAITING_FRAMES = 4096


class Execution:
    """Runs an attempt and queues the frames of its answer.

    :param attempt: the attempt.
    :param attempt_runner: runs the attempt.
    :param outbox: receives the bill if the entry does not settle it.
    :param offset: log offset of this agent's configuration.
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
        self._entry_costs: tuple[billing.AttemptCost, ...] = ()
        self._task = asyncio.ensure_future(self._run())

    @property
    def attempt(self) -> work.Attempt:
        """The attempt that this execution runs."""
        return self._attempt

    async def next_frame(self) -> wire_pb2.AnswerFrame | None:
        """Return the next frame of the answer, or None after the last."""
        return await self._frames.get()

    def settle(
        self,
        is_durable: bool,
        costs: collections.abc.Sequence[billing.AttemptCost],
    ) -> None:
        """Record that the entry has billed the whole request.

        :param is_durable: whether the bill is in the log; if not, this agent
            keeps the whole bill as well.
        :param costs: the costs of the request's attempts that the entry
            knows.
        """
        if is_durable:
            self._is_settled = True
        self._entry_costs = tuple(costs)

    async def finish(self) -> None:
        """Stop the attempt and bill it unless the entry settled it.

        Called once the connection of the attempt has ended.
        """
        self._is_detached = True
        self._drain_frames()
        if not self._task.done():
            self._task.cancel()
        await asyncio.gather(self._task, return_exceptions=True)
        if not self._is_settled:
            self._bill()

    def _bill(self) -> None:
        costs = self._entry_costs
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
                    work.Refused(self._make_fault_refusal(), self._offset)
                )
            )
        await self._put(None)

    def _make_fault_refusal(self) -> errors.Refusal:
        if self._meter.cost is None:
            return errors.not_run(
                errors.Reason.INTERNAL, "internal error", "run", "agent"
            )
        return errors.unknown(
            errors.Reason.INTERNAL, "internal error", "run", "agent"
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
