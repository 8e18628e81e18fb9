"""Writes the status of roll-outs to the store, for the operator."""

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


class RolloutStatusWriter:
    """Writes the status of each roll-out for the operator.

    Every process may write. Appends are conditional on the topic's end, so of
    two concurrent writers one fails and then reads the other's status.

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

    async def step(self) -> None:
        """Decide on all roll-outs and write each status not yet written.

        :raises errors.StoreError: the store gave no usable answer.
        """
        self._rollouts.refresh()
        self._rollouts.log_evidence()
        for progress in list(self._rollouts.progress.values()):
            self._rollouts.evaluate(progress)
            if progress.needs_write:
                await self._write(progress)

    async def _write(self, progress: rollout_progress.Progress) -> None:
        """Write a roll-out's status unless another process has done so.

        :raises errors.StoreError: the store gave no usable answer.
        """
        page = await self._topic.read_newest()
        key = rollout.ORDER_KEY_PREFIX + progress.order.service
        for record in page.records:
            if record.key == key and record.value is not None:
                self._merge_written(progress, record.value)
        if not progress.needs_write:
            return
        stage = progress.stage
        started_ms = (time.time() - progress.age_seconds) * 1000.0
        value = self._codec.encode_status(
            rollout_state.StatusRecord(progress.status, round(started_ms))
        )
        try:
            await self._topic.append(key, value, page.end)
        except errors.StoreConflictError:
            # Another process wrote first; the next step reads its status.
            return
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
            self._log.write(
                "rollout_written",
                service=progress.order.service,
                target=progress.order.target,
                stage=stage.value,
            )
