"""Writes the status of roll-outs to the store, for the operator."""

import dataclasses
import time

from wagtailstream_router import (
    errors,
    event_log,
    rollout,
    rollout_progress,
    rollout_state,
    store,
    wire,
)

# A longer pause between two steps says that the process stood still: what it
# believes is old until its peers have sent their reports.
MAX_PAUSE_SECONDS = 1.0
# The time for that: several reports of each peer.
CATCH_UP_SECONDS = 1.0


class RolloutStatusWriter:
    """Writes the status of each roll-out for the operator.

    Every process may write. Appends are conditional on the topic's end, so of
    two concurrent writers one fails and then reads the other's status. A
    version counts as completed only once that is written; a version that was
    found bad counts as rolled back at once. The first final status stays.

    :param topic: the topic that the operator reads.
    :param rollouts: the roll-outs and their stages.
    :param codec: encodes the status.
    """

    def __init__(
        self,
        topic: store.Topic,
        rollouts: rollout.Rollouts,
        codec: wire.RecordCodec,
        log: event_log.EventLog,
    ) -> None:
        self._topic = topic
        self._rollouts = rollouts
        self._codec = codec
        self._log = log
        self._last_step_at = float("-inf")
        self._current_from = float("inf")

    async def step(self) -> None:
        """Decide on all roll-outs and write each status not yet written.

        :raises errors.StoreError: the store gave no usable answer.
        """
        self._record_pause(time.monotonic())
        try:
            self._rollouts.refresh()
            self._rollouts.log_evidence()
            for progress in list(self._rollouts.progress.values()):
                self._rollouts.evaluate(progress)
                if progress.needs_write or self._may_complete(progress):
                    await self._write(progress)
        finally:
            self._last_step_at = time.monotonic()

    def _record_pause(self, now: float) -> None:
        """Find out whether the process stood still before this step."""
        if now - self._last_step_at > MAX_PAUSE_SECONDS:
            self._current_from = now + CATCH_UP_SECONDS

    def _may_complete(self, progress: rollout_progress.Progress) -> bool:
        return (
            time.monotonic() >= self._current_from
            and self._rollouts.may_complete(progress)
        )

    async def _write(self, progress: rollout_progress.Progress) -> None:
        """Write a roll-out's status unless another process has done so.

        :raises errors.StoreError: the store gave no usable answer.
        """
        page = await self._topic.read_newest()
        key = rollout.ORDER_KEY_PREFIX + progress.order.service
        for record in page.records:
            if record.key == key and record.value is not None:
                self._merge_written(progress, record.value)
        stage = progress.stage
        if self._may_complete(progress):
            stage = rollout_state.Stage.COMPLETED
        elif not progress.needs_write:
            return
        started_ms = (time.time() - progress.age_seconds) * 1000.0
        status = dataclasses.replace(progress.status, stage=stage)
        value = self._codec.encode_status(
            rollout_state.StatusRecord(status, round(started_ms))
        )
        try:
            await self._topic.append(key, value, page.end)
        except errors.StoreConflictError:
            # Another process wrote first; the next step reads its status.
            return
        if stage is rollout_state.Stage.COMPLETED:
            self._rollouts.confirm_completed(progress)
        self._record_written(progress, stage)

    def _merge_written(
        self, progress: rollout_progress.Progress, value: bytes
    ) -> None:
        try:
            record = self._codec.decode_status(value)
        except ValueError as error:
            self._log.write("status_ignored", detail=str(error))
            return
        if not record.status.is_same_order(progress.status):
            return
        self._rollouts.merge_record(record)
        self._record_written(progress, record.status.stage)

    def _record_written(
        self, progress: rollout_progress.Progress, stage: rollout_state.Stage
    ) -> None:
        progress.is_announced = True
        progress.written_stage = stage
        if stage is progress.stage:
            event = "rollout_written"
        elif stage.is_final and progress.stage.is_final:
            event = "rollout_verdicts_differ"
        else:
            return
        self._log.write(
            event,
            service=progress.order.service,
            target=progress.order.target,
            stage=progress.stage.value,
            written=stage.value,
        )
