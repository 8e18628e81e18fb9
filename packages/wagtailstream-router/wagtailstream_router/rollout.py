"""Follows orders to roll services out, and decides on the new versions."""

import collections.abc
import time

from wagtailstream_router import (
    directory,
    event_log,
    exposure,
    job,
    peer_report,
    replica,
    rollout_progress,
    rollout_state,
    rollout_trend,
    store,
    version_choice,
    wire,
)

ORDER_KEY_PREFIX = "rollout/"
# Shortest time between two log lines on the evidence of a running roll-out; it
# bounds the volume of the log.
EVIDENCE_LOG_SECONDS = 1.0
# Bad versions that are remembered for each service, so that messages stay
# short; the endpoints of older ones have long left.
MAX_REJECTED = 8


class Rollouts:
    """The roll-outs of all services, and the evidence on their versions.

    :param start: this start of the instance.
    :param operator: the replica of the operator's topic.
    :param codec: decodes orders.
    :param bounds: the most requests that a bad version may get.
    :param list_withheld: returns the versions of a service whose endpoints
        are all in emptied data centres.
    """

    def __init__(
        self,
        start: rollout_state.Start,
        operator: replica.Replica,
        codec: wire.RecordCodec,
        bounds: exposure.ExposureBounds,
        log: event_log.EventLog,
        list_withheld: collections.abc.Callable[
            [str], collections.abc.Set[str]
        ] = lambda service: frozenset(),
    ) -> None:
        self._start = start
        self._list_withheld = list_withheld
        self._operator = operator
        self._codec = codec
        self._bounds = bounds
        self._log = log
        self._seen_change = -1
        self._was_loaded = False
        self._seen_era = 0
        self._progress: dict[str, rollout_progress.Progress] = {}
        self._superseded: dict[str, set[str]] = {}
        # The versions of each service that were found bad, the oldest first.
        self._rejected: dict[str, list[str]] = {}
        self._choice = version_choice.VersionChoice(
            self._progress, self._rejected, bounds, list_withheld, log
        )
        self._logged_evidence: dict[str, rollout_trend.Totals] = {}
        self._evidence_log_due = float("-inf")

    @property
    def start(self) -> rollout_state.Start:
        """This start of the instance, under which its evidence counts."""
        return self._start

    @property
    def progress(self) -> dict[str, rollout_progress.Progress]:
        """The newest order of each service."""
        return self._progress

    def set_exposure_bounds(self, bounds: exposure.ExposureBounds) -> None:
        """Replace the bounds of the exposure."""
        self._bounds = bounds
        self._choice.set_bounds(bounds)

    def refresh(self) -> None:
        """Apply new orders of the operator's topic."""
        # Orders of the first read may have come long before this process.
        is_witness = self._was_loaded
        self._was_loaded = self._operator.is_loaded
        if self._operator.end.era != self._seen_era:
            self._seen_era = self._operator.end.era
            for progress in self._progress.values():
                # The store may have lost the status.
                progress.written_stage = None
        if self._operator.change == self._seen_change:
            return
        self._seen_change = self._operator.change
        for key, record in self._operator.records.items():
            if key.startswith(ORDER_KEY_PREFIX) and record.value is not None:
                self._apply_order(record.value, record.offset, is_witness)

    def _apply_order(
        self, value: bytes, offset: int, is_witness: bool
    ) -> None:
        try:
            order = self._codec.decode_order(value)
        except ValueError as error:
            self._log.write("order_ignored", detail=str(error), offset=offset)
            return
        position = store.Position(self._seen_era, offset)
        progress = self._progress.get(order.service)
        if progress is not None:
            if progress.position >= position:
                return
            if self._is_restored(progress, position):
                if order.target == progress.order.target:
                    self._move(progress, position)
                    return
                if order.target in self._superseded.get(order.service, ()):
                    return
            self._superseded.setdefault(order.service, set()).add(
                progress.order.target
            )
        self._progress[order.service] = rollout_progress.Progress(
            order, position, time.monotonic(), is_witness
        )
        # The operator orders it anew, and so it is tried anew.
        rejected = self._rejected.get(order.service, [])
        if order.target in rejected:
            rejected.remove(order.target)
        self._log.write(
            "rollout_ordered",
            service=order.service,
            target=order.target,
            seconds=order.duration_seconds,
            offset=offset,
            is_start_witnessed=is_witness,
        )

    def _is_restored(
        self, progress: rollout_progress.Progress, position: store.Position
    ) -> bool:
        """Return whether an order may be from before a restored store.

        It may be the newest one, written again, or an earlier one in the copy
        that the store came back from.

        :param progress: the newest order that is known.
        :param position: where the order was read.
        """
        return (
            position.era > progress.position.era or self._operator.is_settling
        )

    def _move(
        self, progress: rollout_progress.Progress, position: store.Position
    ) -> None:
        """Follow an order that was written again at another position."""
        progress.position = position
        progress.written_stage = None
        self._log.write(
            "rollout_order_moved",
            service=progress.order.service,
            target=progress.order.target,
            stage=progress.stage.value,
            era=position.era,
            offset=position.offset,
        )

    def merge_record(self, record: rollout_state.StatusRecord) -> None:
        """Merge a status that an instance wrote to the store.

        Statuses of another order are ignored.
        """
        progress = self._find_progress(record.status)
        if progress is None:
            return
        age_seconds = max(0.0, time.time() - record.started_ms / 1000.0)
        progress.merge_start(
            time.monotonic() - age_seconds, is_witnessed=False
        )
        self.merge_status(record.status)

    def _find_progress(
        self, status: rollout_state.Status
    ) -> rollout_progress.Progress | None:
        """Return the progress of the order that a status is about."""
        progress = self._progress.get(status.service)
        if progress is None or not progress.status.is_same_order(status):
            return None
        return progress

    def merge_status(self, status: rollout_state.Status) -> None:
        """Merge the stage of a roll-out that another instance ended.

        Statuses of another order are ignored. Of two verdicts the bad one
        holds: whoever found the version bad has seen its answers.
        """
        progress = self._find_progress(status)
        if progress is None or not status.stage.is_final:
            return
        if (
            not progress.stage.is_final
            or status.stage is rollout_state.Stage.ROLLED_BACK
        ) and progress.stage is not status.stage:
            self._end(progress, status.stage, "told")

    def handle_report(
        self, peer: rollout_state.Start, report: peer_report.RolloutReport
    ) -> None:
        """Merge a peer's status of a roll-out and the evidence it has."""
        self.refresh()
        progress = self._find_progress(report.status)
        if progress is None:
            return
        for version in sorted(report.rejected - {progress.order.target}):
            self._reject(progress.order.service, version)
        progress.heard_at[peer] = time.monotonic()
        progress.merge_evidence(peer, report.evidence)
        for start, evidence in report.inherited.items():
            if start != self._start:
                progress.merge_evidence(start, evidence)
        if report.age_seconds is not None:
            progress.merge_start(
                time.monotonic() - report.age_seconds, is_witnessed=True
            )
        if report.handover_in_seconds is not None:
            progress.merge_handover(
                time.monotonic() + report.handover_in_seconds
            )
        self.merge_status(report.status)
        self.evaluate(progress)

    def list_reports(
        self, turn: int = 0
    ) -> tuple[peer_report.RolloutReport, ...]:
        """Return this process's status and evidence of all roll-outs.

        :param turn: the number of the message that the reports are for.
        """
        return tuple(
            peer_report.RolloutReport(
                progress.status,
                progress.evidence,
                progress.age_seconds if progress.is_start_witnessed else None,
                progress.list_inherited(turn),
                None
                if progress.handover_at is None
                else progress.handover_at - time.monotonic(),
                frozenset(self._rejected.get(progress.order.service, ())),
            )
            for progress in self._progress.values()
        )

    def filter(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the members of the version chosen for a request.

        :param members: the ready members of its service.
        """
        self.refresh()
        return self._choice.filter(task, members)

    def list_settled(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> list[directory.Member]:
        """Return the members of the version that is not on trial."""
        self.refresh()
        return self._choice.list_settled(service, members)

    def list_serving(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> list[directory.Member]:
        """Return the members that bear a service's requests now."""
        self.refresh()
        return self._choice.list_serving(service, members)

    def record_send(self, task: job.Job, member: directory.Member) -> None:
        """Count an attempt, just before it is sent to an endpoint."""
        task.tried_versions.add(member.entry.version)
        progress = self._find_judged(task.service)
        if progress is not None:
            progress.find_evidence(member.entry.version).count_send(
                is_repeat=task.sent > 0
            )

    def record_answer(
        self,
        task: job.Job,
        member: directory.Member,
        sample: rollout_state.Sample,
    ) -> None:
        """Count an answer as evidence on its endpoint's version."""
        progress = self._find_judged(task.service)
        if progress is not None:
            progress.find_evidence(member.entry.version).count(sample)
            self.evaluate(progress)

    def _find_judged(self, service: str) -> rollout_progress.Progress | None:
        """Return the progress of a service's order while answers count."""
        progress = self._progress.get(service)
        if progress is None or not progress.is_judged:
            return None
        return progress

    def evaluate(self, progress: rollout_progress.Progress) -> None:
        """Roll back on bad evidence, or take the next step when it is due."""
        if not progress.is_judged:
            return
        totals = progress.sum_evidence()
        progress.trend.record(time.monotonic(), totals)
        new, old = totals
        if progress.stage.is_final:
            self._judge_completed(progress, totals)
        elif rollout_state.is_bad(new, old):
            self._end(progress, rollout_state.Stage.ROLLED_BACK, "evidence")
        elif any(
            rollout_state.is_bad_lately(recent_new, old, recent_old)
            for recent_new, recent_old in progress.trend.list_recent(
                time.monotonic(), totals
            )
        ):
            self._end(
                progress, rollout_state.Stage.ROLLED_BACK, "recent_evidence"
            )
        elif (
            progress.handover_at is None
            # The begin holds for all instances; one whose clock is wrong must
            # not choose it.
            and progress.is_start_witnessed
            and progress.elapsed_share >= exposure.HANDOVER_FROM
            and not self._is_held_back(progress, totals)
        ):
            self._decide_handover(progress, totals)

    def _judge_completed(
        self,
        progress: rollout_progress.Progress,
        totals: rollout_trend.Totals,
    ) -> None:
        """Take a completed version back that has turned bad.

        Its requests are refused then: the old endpoints have stopped.
        """
        new, old = totals
        if rollout_state.is_bad_after_completion(
            new.minus(progress.evidence_at_end), old
        ):
            self._end(
                progress,
                rollout_state.Stage.ROLLED_BACK,
                "evidence_after_completion",
            )

    def _is_held_back(
        self,
        progress: rollout_progress.Progress,
        totals: rollout_trend.Totals,
    ) -> bool:
        """Return whether a version must not take the next step now."""
        _, old = totals
        if any(
            rollout_state.is_suspect(recent_new, old, recent_old)
            for recent_new, recent_old in progress.trend.list_recent(
                time.monotonic(), totals
            )
        ):
            return True
        # The old endpoints stop once it is completed.
        withheld = self._list_withheld(progress.order.service)
        return progress.order.target in withheld

    def confirm_completed(self, progress: rollout_progress.Progress) -> None:
        """Complete a roll-out after its status was written.

        A version that was found bad meanwhile stays rolled back here.
        """
        if not progress.stage.is_final:
            self._end(progress, rollout_state.Stage.COMPLETED, "time")

    def may_complete(self, progress: rollout_progress.Progress) -> bool:
        """Return whether a running roll-out may be written as completed.

        It needs current evidence, which no longer speaks against the version,
        and a bound that covers what follows until the end of its time.
        """
        if progress.stage.is_final:
            return False
        if not progress.has_contact and not progress.is_overdue:
            return False
        totals = progress.sum_evidence()
        if self._is_held_back(progress, totals):
            return False
        new, old = totals
        due_seconds = exposure.completion_seconds(
            progress.order.duration_seconds
        )
        if progress.age_seconds < due_seconds or not new.total:
            return False
        further = progress.seconds_left * progress.trend.requests_per_second(
            time.monotonic(), totals
        )
        return new.sent + further <= self._bounds.final_limit(
            new.requests + old.requests + further
        )

    def _decide_handover(
        self,
        progress: rollout_progress.Progress,
        totals: rollout_trend.Totals,
    ) -> None:
        """Hand the service over if the bound covers all that follows."""
        now = time.monotonic()
        new, old = totals
        requests = new.requests + old.requests
        per_second = progress.trend.requests_per_second(now, totals)
        if not exposure.may_hand_over(
            self._bounds,
            requests,
            new.sent,
            per_second,
            progress.age_seconds,
            progress.order.duration_seconds,
        ):
            return
        progress.merge_handover(now + exposure.HANDOVER_LEAD_SECONDS)
        self._log.write(
            "rollout_handover",
            service=progress.order.service,
            target=progress.order.target,
            order=progress.position.offset,
            elapsed_share=round(progress.elapsed_share, 3),
            starts_in_ms=round(exposure.HANDOVER_LEAD_SECONDS * 1000.0),
            per_second=round(per_second, 1),
            limit=round(self._bounds.limit(requests), 1),
            **_describe(totals),
        )

    def log_evidence(self) -> None:
        """Log the evidence of running roll-outs that has changed."""
        now = time.monotonic()
        if now < self._evidence_log_due:
            return
        for service, progress in self._progress.items():
            totals = progress.sum_evidence()
            if (
                progress.stage is not rollout_state.Stage.RUNNING
                or self._logged_evidence.get(service) == totals
            ):
                continue
            self._logged_evidence[service] = totals
            self._evidence_log_due = now + EVIDENCE_LOG_SECONDS
            self._log.write(
                "rollout_evidence",
                service=service,
                target=progress.order.target,
                order=progress.position.offset,
                peers=len(progress.peer_evidence),
                own_answers=sum(
                    evidence.total for evidence in progress.evidence.values()
                ),
                elapsed_share=round(progress.elapsed_share, 3),
                **_describe(totals),
            )

    def _reject(self, service: str, version: str) -> None:
        """Remember that a version is bad, beyond the order that tried it."""
        rejected = self._rejected.setdefault(service, [])
        if version not in rejected:
            rejected.append(version)
            del rejected[:-MAX_REJECTED]

    def _end(
        self,
        progress: rollout_progress.Progress,
        stage: rollout_state.Stage,
        cause: str,
    ) -> None:
        progress.stage = stage
        progress.ended_at = time.monotonic()
        progress.evidence_at_end = progress.sum_evidence()[0]
        if stage is rollout_state.Stage.ROLLED_BACK:
            self._reject(progress.order.service, progress.order.target)
        self._log.write(
            "rollout_ended",
            service=progress.order.service,
            target=progress.order.target,
            stage=stage.value,
            cause=cause,
            elapsed_share=round(progress.elapsed_share, 3),
            **_describe(progress.sum_evidence()),
        )


def _describe(totals: rollout_trend.Totals) -> dict[str, int]:
    """Return the counts on both versions as fields of a log line."""
    new, old = totals
    return {
        "new_good": new.good,
        "new_bad": new.bad,
        "new_slow": new.slow,
        "old_good": old.good,
        "old_bad": old.bad,
        "old_slow": old.slow,
        "new_sent": new.sent,
        "requests": new.requests + old.requests,
    }
