"""Tests versions sequentially by their pooled counts, to stop bad ones.

Each version carries one cumulative sum (Page's test) for each degradation
that it is tested for: the log likelihood ratio of its answers being that much
worse than the reference against being as good, never below zero, so that a
long good past does not hide a change. For ratings between 0 and 1 the ratio's
expectation under the reference is at most one, whatever their distribution;
small degradations are judged by the ratings' own spread, which is less.

A candidate is compared with what the stable version answers at the same time;
the stable version with its own past. Where both have become worse, the cause
is likely common (the rating service, a change of the requests) and nothing is
stopped without an operator; neither is the last version of a model.
"""

import collections.abc
import dataclasses
import enum
import math

from wagtailstream_core import bundle, configuration, tallies

DEGRADATIONS = (0.05, 0.1, 0.2, 0.5, 0.9)
BOUND = 12.0
REFERENCE_ANSWERS = 4000
MIN_OWN_PAST_ANSWERS = 20
MIN_REPLACEMENT_ANSWERS = 50
PRIOR_ANSWERS = 10
PRIOR_QUALITY = 0.5
# Up to here the evidence of many answers is added up, so that their spread
# may be taken into account; beyond, a few answers decide.
MAX_SCALED_DEGRADATION = 0.2
MIN_DISPERSION = 0.2
WATCHFUL = 3.0
MIN_CONCURRENT_ANSWERS = 5
# Evidence this strong needs no concurrent answers of the stable version.
LONE_BOUND = 2 * BOUND
_MIN_QUALITY = 0.01
_MAX_QUALITY = 0.99


@dataclasses.dataclass(frozen=True)
class Track:
    """How a version has done.

    :param settled: what was counted before the evidence last began to rise.
    :param recent: what was counted since.
    :param evidence: one cumulative sum for each of the degradations.
    :param total_answers: all that were ever counted.
    :param watched_from: the stable version's total when this one became
        suspicious last.
    """

    settled: tallies.Counts = tallies.Counts()
    recent: tallies.Counts = tallies.Counts()
    evidence: tuple[float, ...] = (0.0,) * len(DEGRADATIONS)
    total_answers: float = 0.0
    watched_from: float = 0.0

    @property
    def counts(self) -> tallies.Counts:
        """All that is remembered."""
        return self.settled + self.recent

    @property
    def strongest(self) -> float:
        """The strongest evidence against the version."""
        return max(self.evidence)


def estimate_quality(reference: tallies.Counts) -> float:
    """Return a cautious estimate of a reference's mean rating.

    One standard error is taken off, so that a reference that is little known
    stops nobody.

    :param reference: what was counted of it.
    """
    answers = reference.answers + PRIOR_ANSWERS
    good = reference.good / tallies.UNITS_PER_ANSWER
    mean = (good + PRIOR_ANSWERS * PRIOR_QUALITY) / answers
    estimate = mean - math.sqrt(mean * (1 - mean) / answers)
    return min(_MAX_QUALITY, max(_MIN_QUALITY, estimate))


def estimate_dispersion(reference: tallies.Counts) -> float:
    """Return how much ratings spread, where ratings of 0 and 1 alone give 1.

    :param reference: what was counted.
    """
    quality = min(_MAX_QUALITY, max(_MIN_QUALITY, reference.quality))
    known = reference.variance / (quality * (1 - quality))
    answers = reference.answers
    dispersion = (known * answers + PRIOR_ANSWERS) / (answers + PRIOR_ANSWERS)
    return min(1.0, max(MIN_DISPERSION, dispersion))


def advance(
    track: Track,
    increase: tallies.Counts,
    reference: tallies.Counts | None,
    reference_total: float = 0.0,
) -> Track:
    """Return a version's track after more answers.

    :param track: the track so far.
    :param increase: what was counted since.
    :param reference: what it is compared with; None where that is unknown.
    :param reference_total: all answers ever counted of the stable version.
    """
    evidence = (0.0,) * len(DEGRADATIONS)
    total = track.total_answers + increase.answers
    if reference is not None:
        evidence = add_evidence(track.evidence, increase, reference)
    watched_from = track.watched_from
    if track.strongest < WATCHFUL:
        watched_from = reference_total
    settled, recent = track.settled, track.recent + increase
    if not any(evidence):
        settled = (settled + recent).trim(REFERENCE_ANSWERS)
        recent = tallies.Counts()
    return Track(settled, recent, evidence, total, watched_from)


def add_evidence(
    evidence: tuple[float, ...],
    increase: tallies.Counts,
    reference: tallies.Counts,
    floor: float = 0.0,
) -> tuple[float, ...]:
    """Return the sums after more answers.

    :param evidence: the sums so far, one for each of the degradations.
    :param increase: what was counted since.
    :param reference: what it is compared with.
    :param floor: below which no sum falls.
    """
    good = increase.good / tallies.UNITS_PER_ANSWER
    bad = increase.bad / tallies.UNITS_PER_ANSWER
    quality = estimate_quality(reference)
    dispersion = estimate_dispersion(reference)
    sums = []
    for known, degradation in zip(evidence, DEGRADATIONS, strict=True):
        degraded = quality * (1 - degradation)
        ratio = good * math.log(degraded / quality)
        ratio += bad * math.log((1 - degraded) / (1 - quality))
        if degradation <= MAX_SCALED_DEGRADATION:
            ratio /= dispersion
        sums.append(max(floor, known + ratio))
    return tuple(sums)


class Action(enum.Enum):
    """What to do about a version whose evidence crossed the bound."""

    SUSPEND = "suspend"
    HOLD = "hold"


@dataclasses.dataclass(frozen=True)
class Finding:
    """A version whose evidence crossed the bound.

    :param evidence: a sentence for the record and the operators.
    """

    version: configuration.ModelVersion
    action: Action
    evidence: str


Tracks = collections.abc.Mapping[configuration.ModelVersion, Track]


def find_bad_versions(
    state: configuration.Configuration, tracks: Tracks
) -> list[Finding]:
    """Return what to do about each version that did too badly.

    :param state: the configuration in force.
    :param tracks: how each version has done.
    """
    if state.bundle is None:
        return []
    return [
        _make_finding(state, model, version, tracks)
        for model in state.bundle.models
        for version in model.versions
        if not state.is_stopped(model.name, version)
        and _find_track(tracks, model, version).strongest >= BOUND
    ]


def _make_finding(
    state: configuration.Configuration,
    model: bundle.ServedModel,
    version: str,
    tracks: Tracks,
) -> Finding:
    track = _find_track(tracks, model, version)
    action = Action.HOLD
    if _can_replace(state, model, version, tracks):
        action = Action.SUSPEND
    evidence = (
        f"{track.recent.answers:.0f} answers since the evidence rose, "
        f"quality {track.recent.quality:.3f}, "
        f"log likelihood ratio {track.strongest:.1f}"
    )
    found = configuration.ModelVersion(model.name, version)
    return Finding(found, action, evidence)


def _can_replace(
    state: configuration.Configuration,
    model: bundle.ServedModel,
    version: str,
    tracks: Tracks,
) -> bool:
    """Return whether another version can take over, and does well itself."""
    others = [
        other
        for other in model.versions
        if other != version and not state.is_stopped(model.name, other)
    ]
    if version != model.stable and model.stable in others:
        return _is_better(
            _find_track(tracks, model, model.stable),
            _find_track(tracks, model, version),
            _gives_stable_work(state, model),
        )
    known = [_find_track(tracks, model, other) for other in others]
    return any(
        _does_well(track) and track.counts.answers >= MIN_REPLACEMENT_ANSWERS
        for track in known
    )


def _gives_stable_work(
    state: configuration.Configuration, model: bundle.ServedModel
) -> bool:
    """Return whether the stable version answers new sessions too."""
    rollout = model.rollout
    if rollout is None:
        return True
    stage = state.find_stage(model.name, rollout.candidate)
    return rollout.stages[min(stage, len(rollout.stages) - 1)] < 1


def _is_better(stable: Track, suspect: Track, has_work: bool) -> bool:
    """Return whether the stable version did well while the suspect did not.

    Where it has no answers to show, strong evidence is enough; where it gets
    no work, there is nothing to wait for.
    """
    concurrent = stable.total_answers - suspect.watched_from
    is_compared = concurrent >= MIN_CONCURRENT_ANSWERS or not has_work
    is_overwhelming = suspect.strongest >= LONE_BOUND
    return _does_well(stable) and (is_compared or is_overwhelming)


def _does_well(track: Track) -> bool:
    return track.strongest < BOUND / 2


def _find_track(
    tracks: Tracks, model: bundle.ServedModel, version: str
) -> Track:
    key = configuration.ModelVersion(model.name, version)
    return tracks.get(key, Track())


class Watch:
    """Counts and judges versions, from this instance's and others' counts.

    :param instance: the name under which this process counts.
    """

    def __init__(self, instance: str) -> None:
        self._board = tallies.TallyBoard(instance)
        self._tracks: dict[configuration.ModelVersion, Track] = {}
        self._epochs: dict[configuration.ModelVersion, int] = {}

    @property
    def tracks(self) -> Tracks:
        """How each version has done."""
        return self._tracks

    def count(
        self,
        state: configuration.Configuration,
        version: configuration.ModelVersion,
        counts: tallies.Counts,
        now: float,
    ) -> None:
        """Take in an answer that this instance gave.

        :param state: the configuration in force.
        :param version: the version that made the answer.
        :param counts: the answer's counts.
        :param now: monotonic seconds.
        """
        epoch = state.find_epoch(version)
        self._board.count(version, epoch, counts, now)
        self._advance(state, tallies.Increase(version, counts))

    def merge(
        self,
        state: configuration.Configuration,
        news: collections.abc.Iterable[tallies.Tally],
        now: float,
    ) -> None:
        """Take in what other instances counted.

        Tallies of another epoch than the one in force here are passed over;
        whoever is behind gets them again once it caught up.

        :param state: the configuration in force.
        :param news: tallies in any order, repeats included.
        :param now: monotonic seconds.
        """
        current = [t for t in news if t.epoch == state.find_epoch(t.version)]
        for increase in self._board.merge(current, now):
            self._advance(state, increase)

    def list_shared(
        self, state: configuration.Configuration, now: float
    ) -> list[tallies.Tally]:
        """Return the tallies for the next heartbeat.

        :param state: the configuration in force.
        :param now: monotonic seconds.
        """
        shared = self._board.list_shared(now)
        return [t for t in shared if t.epoch == state.find_epoch(t.version)]

    def is_watchful(self, model: str) -> bool:
        """Return whether all answers of a model should be rated now.

        While a version is suspected, its replacement must be known as well.

        :param model: the model's name.
        """
        return any(
            track.strongest >= WATCHFUL
            for version, track in self._tracks.items()
            if version.model == model
        )

    def judge(self, state: configuration.Configuration) -> list[Finding]:
        """Return what to do about each version that did too badly.

        :param state: the configuration in force.
        """
        self._reset_reinstated(state)
        return find_bad_versions(state, self._tracks)

    def _reset_reinstated(self, state: configuration.Configuration) -> None:
        for version in list(self._tracks):
            if self._epochs[version] != state.find_epoch(version):
                del self._tracks[version]

    def _advance(
        self,
        state: configuration.Configuration,
        increase: tallies.Increase,
    ) -> None:
        self._reset_reinstated(state)
        version = increase.version
        self._epochs[version] = state.find_epoch(version)
        track = self._tracks.get(version, Track())
        reference = self._find_reference(state, version, track)
        self._tracks[version] = advance(
            track,
            increase.counts,
            reference,
            self._find_stable_total(state, version),
        )

    def _find_stable_total(
        self,
        state: configuration.Configuration,
        version: configuration.ModelVersion,
    ) -> float:
        known = state.bundle
        model = known.find_model(version.model) if known else None
        if model is None:
            return 0.0
        stable = configuration.ModelVersion(model.name, model.stable)
        return self._tracks.get(stable, Track()).total_answers

    def _find_reference(
        self,
        state: configuration.Configuration,
        version: configuration.ModelVersion,
        track: Track,
    ) -> tallies.Counts | None:
        known = state.bundle
        model = known.find_model(version.model) if known else None
        if model is None:
            return None
        if version.version == model.stable:
            is_known = track.settled.answers >= MIN_OWN_PAST_ANSWERS
            return track.settled if is_known else None
        stable = configuration.ModelVersion(model.name, model.stable)
        reference = self._tracks.get(stable, Track())
        if state.is_stopped(stable.model, stable.version):
            return reference.settled
        return reference.counts.trim(REFERENCE_ANSWERS)
