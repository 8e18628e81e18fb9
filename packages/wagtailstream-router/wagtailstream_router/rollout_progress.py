"""The state of one roll-out order in this process."""

import collections.abc
import dataclasses
import time

from wagtailstream_router import (
    rollout_state,
    rollout_trend,
    rotation,
    store,
)

# A start that did not tell its evidence for this long may have ended; others
# pass it on from then on. Instances tell theirs about five times a second.
PASS_ON_SECONDS = 1.0
# Peers that were all silent for this long may have found what is not known
# here; it is gossip's limit of silence.
CONTACT_SECONDS = 2.0
# A roll-out that has not ended this long after its time is up is left to the
# instances that are still there: longer than the longest outage of the store
# in the users' specification.
OVERDUE_SECONDS = 10.0
# How long answers of a completed version are still judged: some of the time in
# which one that turned bad just before its completion shows it.
WATCH_SECONDS = 10.0
# Starts whose evidence one message passes on, so that its size stays bounded.
MAX_INHERITED = 8


@dataclasses.dataclass
class Progress:
    """The state of one roll-out order in this process.

    :param order: the operator's order.
    :param position: where the order is in the operator's topic.
    :param started_at: when the order came, by the monotonic clock.
    :param is_start_witnessed: whether this process, or a peer that told it,
        saw the order come. Otherwise the start is an estimate by wall clocks.
    :param written_stage: the stage in the status topic; None if unknown.
    :param is_announced: whether any status was in the status topic.
    :param evidence: this process's evidence.
    :param peer_evidence: the evidence of other starts, also of ended ones.
    :param ended_at: when it ended here, by the monotonic clock.
    :param evidence_at_end: the evidence on the new version then.
    :param peer_totals: the sums of those; None if they have changed.
    :param handover_at: when the handover to the new version begins, by the
        monotonic clock; None while none is decided.
    :param trend: recent sums of the evidence.
    :param heard_at: when each start last told its own evidence, by the
        monotonic clock.
    """

    order: rollout_state.Order
    position: store.Position
    started_at: float
    is_start_witnessed: bool
    stage: rollout_state.Stage = rollout_state.Stage.RUNNING
    written_stage: rollout_state.Stage | None = None
    is_announced: bool = False
    evidence: rollout_state.EvidenceByVersion = dataclasses.field(
        default_factory=dict
    )
    peer_evidence: dict[
        rollout_state.Start, rollout_state.EvidenceByVersion
    ] = dataclasses.field(default_factory=dict)
    ended_at: float = float("inf")
    evidence_at_end: rollout_state.Evidence = dataclasses.field(
        default_factory=rollout_state.Evidence
    )
    peer_totals: rollout_trend.Totals | None = None
    handover_at: float | None = None
    trend: rollout_trend.Trend = dataclasses.field(
        default_factory=rollout_trend.Trend
    )
    heard_at: dict[rollout_state.Start, float] = dataclasses.field(
        default_factory=dict
    )

    @property
    def needs_write(self) -> bool:
        """Whether the status has to be written for the operator.

        The first final status that was written stays: the operator has acted
        on it.
        """
        if self.written_stage is not None and self.written_stage.is_final:
            return False
        return self.written_stage is not self.stage

    @property
    def has_contact(self) -> bool:
        """Whether what peers know of the version would be known here."""
        if not self.heard_at:
            return True
        since = time.monotonic() - CONTACT_SECONDS
        return max(self.heard_at.values()) >= since

    @property
    def is_overdue(self) -> bool:
        """Whether peers that live would have ended the roll-out by now."""
        return self.age_seconds > (
            self.order.duration_seconds + OVERDUE_SECONDS
        )

    @property
    def is_verdict_known(self) -> bool:
        """Whether a verdict would be known here if there was one.

        An instance that started after the order has to hear of a witness or
        read the status first.
        """
        return (
            self.is_start_witnessed
            or self.is_announced
            or self.stage is not rollout_state.Stage.RUNNING
        )

    @property
    def status(self) -> rollout_state.Status:
        """The status that is written for the operator."""
        return rollout_state.Status(
            self.order.service,
            self.order.target,
            self.stage,
            self.position,
        )

    @property
    def age_seconds(self) -> float:
        """The time since the order came."""
        return time.monotonic() - self.started_at

    @property
    def is_judged(self) -> bool:
        """Whether answers still count: it runs, or was just completed."""
        if self.stage is rollout_state.Stage.COMPLETED:
            return time.monotonic() < self.ended_at + WATCH_SECONDS
        return not self.stage.is_final

    @property
    def seconds_left(self) -> float:
        """The time until the end of the order's time; 0 after it."""
        return max(0.0, self.order.duration_seconds - self.age_seconds)

    @property
    def is_handover_begun(self) -> bool:
        """Whether more and more requests go to the new version."""
        return (
            self.handover_at is not None
            and time.monotonic() >= self.handover_at
        )

    @property
    def elapsed_share(self) -> float:
        """The elapsed time as a fraction of the order's duration."""
        return self.age_seconds / max(self.order.duration_seconds, 0.001)

    def merge_start(self, started_at: float, is_witnessed: bool) -> None:
        """Merge a start: a witnessed one is better, then the earliest.

        A wall clock may be wrong by seconds, and one wrong clock must not
        decide for all instances.

        :param started_at: the start, by the monotonic clock.
        """
        if is_witnessed is self.is_start_witnessed:
            self.started_at = min(self.started_at, started_at)
        elif is_witnessed:
            self.started_at = started_at
            self.is_start_witnessed = True

    def merge_handover(self, handover_at: float) -> None:
        """Merge the time of a handover: the earliest that was decided.

        :param handover_at: the time, by the monotonic clock.
        """
        if self.handover_at is None or handover_at < self.handover_at:
            self.handover_at = handover_at

    def merge_evidence(
        self,
        start: rollout_state.Start,
        evidence: rollout_state.EvidenceByVersion,
    ) -> None:
        """Merge the evidence of another start, from itself or passed on."""
        self.peer_totals = None
        known = self.peer_evidence.setdefault(start, {})
        for version, counts in evidence.items():
            known.setdefault(version, rollout_state.Evidence()).merge(counts)

    def find_evidence(self, version: str) -> rollout_state.Evidence:
        """Return this process's own counts on a version."""
        return self.evidence.setdefault(version, rollout_state.Evidence())

    def list_inherited(
        self, turn: int
    ) -> dict[rollout_state.Start, rollout_state.EvidenceByVersion]:
        """Return the evidence to pass on: that of starts that fell silent.

        :param turn: the number of the message; with more than
            MAX_INHERITED starts they take turns.
        """
        since = time.monotonic() - PASS_ON_SECONDS
        silent = {
            start
            for start in self.peer_evidence
            if self.heard_at.get(start, since) <= since
        }
        return {
            start: self.peer_evidence[start]
            for start in rotation.round_robin(silent, MAX_INHERITED, turn)
        }

    def sum_evidence(self) -> rollout_trend.Totals:
        """Return the evidence on the new version and on all others."""
        if self.peer_totals is None:
            self.peer_totals = self._sum(self.peer_evidence.values())
        totals = self._sum([self.evidence])
        for total, of_peers in zip(totals, self.peer_totals, strict=True):
            total.add(of_peers)
        return totals

    def _sum(
        self, counts: collections.abc.Iterable[rollout_state.EvidenceByVersion]
    ) -> rollout_trend.Totals:
        new = rollout_state.Evidence()
        old = rollout_state.Evidence()
        for by_version in counts:
            for version, evidence in by_version.items():
                (new if version == self.order.target else old).add(evidence)
        return new, old
