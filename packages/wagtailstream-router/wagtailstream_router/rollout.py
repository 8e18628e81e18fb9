"""Moves services to new versions step by step, or back."""

import collections.abc
import dataclasses
import time

import xxhash

from wagtailstream_router import (
    directory,
    event_log,
    job,
    peer_news,
    replica,
    rollout_state,
    wire,
)

ORDER_KEY_PREFIX = "rollout/"


@dataclasses.dataclass
class Progress:
    """One order, as this process knows it.

    :param answers: evidence of this process by version.
    :param peer_answers: evidence of its peers by version.
    """

    order: rollout_state.Order
    order_offset: int
    started_ms: int
    stage: rollout_state.Stage = rollout_state.Stage.RUNNING
    is_written: bool = False
    is_announced: bool = False
    answers: dict[str, rollout_state.Evidence] = dataclasses.field(
        default_factory=dict
    )
    peer_answers: dict[str, dict[str, rollout_state.Evidence]] = (
        dataclasses.field(default_factory=dict)
    )

    @property
    def needs_write(self) -> bool:
        """Whether the operator has still to be told."""
        if self.stage is rollout_state.Stage.RUNNING:
            return not self.is_announced
        return not self.is_written

    @property
    def status(self) -> rollout_state.Status:
        """The roll-out's status, as written for the operator."""
        return rollout_state.Status(
            self.order.service,
            self.order.target,
            self.stage,
            self.order_offset,
            self.started_ms,
        )

    @property
    def elapsed_share(self) -> float:
        """The part of the order's time that has passed."""
        elapsed = time.time() - self.started_ms / 1000.0
        return elapsed / max(self.order.duration_seconds, 0.001)

    def sum_evidence(
        self,
    ) -> tuple[rollout_state.Evidence, rollout_state.Evidence]:
        """Return the evidence on the new version and on all others."""
        new = rollout_state.Evidence()
        old = rollout_state.Evidence()
        for answers in (self.answers, *self.peer_answers.values()):
            for version, evidence in answers.items():
                (new if version == self.order.target else old).add(evidence)
        return new, old


class SessionPins:
    """The version that each live session runs on, as seen here.

    :param lifetime_seconds: how long a session lives after a request.
    """

    def __init__(self, lifetime_seconds: float) -> None:
        self._lifetime = lifetime_seconds
        self._pins: dict[str, tuple[str, float]] = {}
        self._swept_at = 0.0

    def set_lifetime(self, seconds: float) -> None:
        """Let sessions live for another time from their next request on."""
        self._lifetime = seconds

    def find(self, session: str) -> str:
        """Return the session's version; "" if none is known."""
        version, deadline = self._pins.get(session, ("", 0.0))
        return version if time.monotonic() < deadline else ""

    def note(self, session: str, version: str) -> None:
        """Remember the version of a session's request."""
        now = time.monotonic()
        self._pins[session] = (version, now + self._lifetime)
        if now - self._swept_at > self._lifetime:
            self._swept_at = now
            self._pins = {
                key: pin for key, pin in self._pins.items() if pin[1] > now
            }


class Rollouts:
    """Decides which version a request may go to.

    :param operator: the copy of the operator's topic.
    :param codec: decodes orders.
    :param exposure_bound: the bound on a bad version's share.
    :param session_seconds: how long a session lives after a request.
    """

    def __init__(
        self,
        operator: replica.Replica,
        codec: wire.RecordCodec,
        exposure_bound: float,
        session_seconds: float,
        log: event_log.EventLog,
    ) -> None:
        self._operator = operator
        self._codec = codec
        self._exposure_bound = exposure_bound
        self._pins = SessionPins(session_seconds)
        self._log = log
        self._seen_change = -1
        self._progress: dict[str, Progress] = {}
        self._first_versions: dict[str, list[str]] = {}

    @property
    def progress(self) -> dict[str, Progress]:
        """The newest order of each service."""
        return self._progress

    def set_bounds(
        self, exposure_bound: float, session_seconds: float
    ) -> None:
        """Put other bounds in force."""
        self._exposure_bound = exposure_bound
        self._pins.set_lifetime(session_seconds)

    def refresh(self) -> None:
        """Take over new orders."""
        if self._operator.change == self._seen_change:
            return
        self._seen_change = self._operator.change
        for key, record in self._operator.records.items():
            if key.startswith(ORDER_KEY_PREFIX) and record.value is not None:
                self._apply_order(record.value, record.offset)

    def _apply_order(self, value: bytes, offset: int) -> None:
        try:
            order = self._codec.decode_order(value)
        except ValueError as error:
            self._log.write("order_ignored", detail=str(error), offset=offset)
            return
        known = self._progress.get(order.service)
        if known is not None and known.order_offset >= offset:
            return
        self._progress[order.service] = Progress(
            order, offset, int(time.time() * 1000.0)
        )
        self._log.write(
            "rollout_ordered",
            service=order.service,
            target=order.target,
            seconds=order.duration_seconds,
            offset=offset,
        )

    def take_status(self, status: rollout_state.Status) -> None:
        """Take what the store or a peer says of a roll-out."""
        known = self._progress.get(status.service)
        if known is None or known.order_offset != status.order_offset:
            return
        known.started_ms = min(known.started_ms, status.started_ms)
        if (
            known.stage is rollout_state.Stage.RUNNING
            and status.stage is not rollout_state.Stage.RUNNING
        ):
            self._end(known, status.stage, "told")

    def take_news(self, peer: str, news: peer_news.RolloutNews) -> None:
        """Take a peer's evidence and what it knows of a roll-out."""
        self.refresh()
        status = news.status
        known = self._progress.get(status.service)
        if known is None or known.order_offset != status.order_offset:
            return
        known.peer_answers[peer] = news.evidence
        self.take_status(status)
        self.evaluate(known)

    def list_news(self) -> tuple[peer_news.RolloutNews, ...]:
        """Return what this process knows of its roll-outs."""
        return tuple(
            peer_news.RolloutNews(progress.status, progress.answers)
            for progress in self._progress.values()
        )

    def filter(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the members of the version that a request may go to."""
        self.refresh()
        self._record_versions(task.service, members)
        version = self._choose_version(task, members)
        chosen = [one for one in members if one.entry.version == version]
        if chosen and task.call.session:
            self._pins.note(task.call.session, version)
        return self._limit_exposed(task.service, version, chosen)

    def _limit_exposed(
        self, service: str, version: str, members: list[directory.Member]
    ) -> list[directory.Member]:
        """Leave out new servers that are not yet exposed."""
        progress = self._progress.get(service)
        if (
            progress is None
            or progress.order.target != version
            or progress.stage is not rollout_state.Stage.RUNNING
        ):
            return members
        exposure = rollout_state.exposure_at(
            progress.elapsed_share, self._exposure_bound
        )
        count = rollout_state.count_exposed(exposure, len(members))
        ranked = sorted(
            members, key=lambda member: _rendezvous_hash(version, member)
        )
        return ranked[:count]

    def _record_versions(
        self,
        service: str,
        members: collections.abc.Sequence[directory.Member],
    ) -> None:
        known = self._first_versions.setdefault(service, [])
        for member in members:
            if member.entry.version not in known:
                known.append(member.entry.version)

    def _choose_version(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
    ) -> str:
        present = {member.entry.version for member in members}
        progress = self._progress.get(task.service)
        olds = [
            version
            for version in self._first_versions[task.service]
            if version in present
            and (progress is None or version != progress.order.target)
        ]
        if progress is None:
            return olds[0] if olds else ""
        target = progress.order.target
        if target not in present:
            return olds[0] if olds else ""
        if progress.stage is rollout_state.Stage.COMPLETED:
            return target
        if progress.stage is rollout_state.Stage.ROLLED_BACK:
            return olds[0] if olds else ""
        if not olds:
            return target
        return self._choose_running(task, progress, olds[0])

    def _choose_running(
        self, task: job.Job, progress: Progress, old: str
    ) -> str:
        target = progress.order.target
        exposure = rollout_state.exposure_at(
            progress.elapsed_share, self._exposure_bound
        )
        pinned = self._pins.find(task.call.session)
        if pinned == target or exposure >= 1.0:
            return target
        if pinned and progress.elapsed_share < rollout_state.RAMP_START:
            return old
        # Prompts that share their beginning move together, so that each is
        # read anew once.
        name = task.call.shared_part or task.call.session
        name = name or task.call.identity
        place = xxhash.xxh32_intdigest(f"{target}|{name}".encode()) / 2**32
        return target if place < exposure else old

    def note_answer(
        self,
        task: job.Job,
        member: directory.Member,
        sample: rollout_state.Sample,
    ) -> None:
        """Count an answer as evidence on its version."""
        progress = self._progress.get(task.service)
        if progress is None or (
            progress.stage is not rollout_state.Stage.RUNNING
        ):
            return
        progress.answers.setdefault(
            member.entry.version, rollout_state.Evidence()
        ).count(sample)
        self.evaluate(progress)

    def evaluate(self, progress: Progress) -> None:
        """End a roll-out whose evidence or time says so."""
        if progress.stage is not rollout_state.Stage.RUNNING:
            return
        new, old = progress.sum_evidence()
        if rollout_state.is_bad(new, old):
            self._end(progress, rollout_state.Stage.ROLLED_BACK, "evidence")
        elif progress.elapsed_share >= rollout_state.COMPLETE_AT and new.total:
            self._end(progress, rollout_state.Stage.COMPLETED, "time")

    def _end(
        self, progress: Progress, stage: rollout_state.Stage, cause: str
    ) -> None:
        progress.stage = stage
        progress.is_written = False
        new, old = progress.sum_evidence()
        self._log.write(
            "rollout_ended",
            service=progress.order.service,
            target=progress.order.target,
            stage=stage.value,
            cause=cause,
            new_good=new.good,
            new_bad=new.bad,
            new_slow=new.slow,
            old_good=old.good,
            old_bad=old.bad,
            old_slow=old.slow,
            elapsed_share=round(progress.elapsed_share, 3),
        )


def _rendezvous_hash(version: str, member: directory.Member) -> int:
    return xxhash.xxh32_intdigest(f"{version}|{member.identity}".encode())
