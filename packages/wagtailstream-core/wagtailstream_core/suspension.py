"""Sequential tests on the pooled ratings of versions, to suspend bad ones.

Each version has one cumulative sum (CUSUM, Page's test) for each degradation
that it is tested for. The sum adds up the log likelihood ratio of its answers
being worse than the reference by that degradation, against being as good. It
never falls below zero, so that a long good past does not hide a change. For
ratings between 0 and 1, the expectation of the likelihood ratio under the
reference is at most one, whatever their distribution. For small degradations
the logarithm is divided by the dispersion of the ratings: their variance
relative to that of ratings of only 0 and 1, which is the largest possible.

A candidate is compared with the answers of the stable version at the same
time, and the stable version with its own past. If both have become worse, a
common cause is likely (the rating service, or a change of the requests), and
nothing is suspended without an operator. The last version of a model is not
suspended either.
"""

import collections.abc
import dataclasses
import enum
import math

from wagtailstream_core import bundle, configuration, tallies

# The relative losses of quality that are tested for.
DEGRADATIONS = (0.05, 0.1, 0.2, 0.5, 0.9)
# Log likelihood ratio from which a version is suspended or held.
BOUND = 12.0
# Maximum weight of a reference's past answers, in answers.
REFERENCE_ANSWERS = 4000
# Answers that a stable version needs before it is compared with its own past.
MIN_OWN_PAST_ANSWERS = 20
# Answers that another version needs to replace the stable version.
MIN_REPLACEMENT_ANSWERS = 50
# Weight in answers, and mean rating, of the prior of a reference.
PRIOR_ANSWERS = 10
PRIOR_QUALITY = 0.5
# Up to this degradation, evidence comes from many answers, so their
# dispersion can be taken into account. Beyond it, a few answers decide.
MAX_SCALED_DEGRADATION = 0.2
# Lower bound of an estimated dispersion.
MIN_DISPERSION = 0.2
# Log likelihood ratio from which a version is suspected: all answers of its
# model are rated then.
SUSPICION_BOUND = 3.0
# Answers of the stable version since the suspicion began that are needed to
# suspend another version.
MIN_CONCURRENT_ANSWERS = 5
# From this log likelihood ratio, a version is suspended without concurrent
# answers of the stable version.
OVERWHELMING_BOUND = 2 * BOUND
_MIN_QUALITY = 0.01
_MAX_QUALITY = 0.99


@dataclasses.dataclass(frozen=True)
class Track:
    """The ratings of a version and the evidence against it.

    :param settled: the counts from before the evidence last rose above zero.
    :param recent: the counts since then.
    :param evidence: one cumulative sum for each of the degradations.
    :param total_answers: the number of answers ever counted.
    :param stable_total_at_suspicion: the stable version's total answers when
        this version last became suspected.
    """

    settled: tallies.Counts = tallies.Counts()
    recent: tallies.Counts = tallies.Counts()
    evidence: tuple[float, ...] = (0.0,) * len(DEGRADATIONS)
    total_answers: float = 0.0
    stable_total_at_suspicion: float = 0.0

    @property
    def counts(self) -> tallies.Counts:
        """The settled and the recent counts together."""
        return self.settled + self.recent

    @property
    def strongest(self) -> float:
        """The highest cumulative sum."""
        return max(self.evidence)


def estimate_quality(reference: tallies.Counts) -> float:
    """Return a conservative estimate of a reference's mean rating.

    One standard error is subtracted, so that a reference with few answers
    leads to no suspension.

    :param reference: the counts of the reference.
    """
    answers = reference.answers + PRIOR_ANSWERS
    good = reference.good / tallies.UNITS_PER_ANSWER
    mean = (good + PRIOR_ANSWERS * PRIOR_QUALITY) / answers
    estimate = mean - math.sqrt(mean * (1 - mean) / answers)
    return min(_MAX_QUALITY, max(_MIN_QUALITY, estimate))


def estimate_dispersion(reference: tallies.Counts) -> float:
    """Return the variance of ratings relative to ratings of only 0 and 1.

    The latter have the largest variance for a given mean, so the result is at
    most 1.

    :param reference: the counts of the reference.
    """
    quality = min(_MAX_QUALITY, max(_MIN_QUALITY, reference.quality))
    measured = reference.variance / (quality * (1 - quality))
    answers = reference.answers
    dispersion = (measured * answers + PRIOR_ANSWERS) / (
        answers + PRIOR_ANSWERS
    )
    return min(1.0, max(MIN_DISPERSION, dispersion))


def advance(
    track: Track,
    increase: tallies.Counts,
    reference: tallies.Counts | None,
    stable_total: float = 0.0,
) -> Track:
    """Return a version's track after more answers.

    :param track: the track before.
    :param increase: the counts of the additional answers.
    :param reference: the counts to compare with; None if there are none yet.
    :param stable_total: the number of answers ever counted of the stable
        version.
    """
    evidence = (0.0,) * len(DEGRADATIONS)
    total = track.total_answers + increase.answers
    if reference is not None:
        evidence = add_evidence(track.evidence, increase, reference)
    stable_total_at_suspicion = track.stable_total_at_suspicion
    if track.strongest < SUSPICION_BOUND:
        stable_total_at_suspicion = stable_total
    settled, recent = track.settled, track.recent + increase
    if not any(evidence):
        settled = (settled + recent).trim(REFERENCE_ANSWERS)
        recent = tallies.Counts()
    return Track(settled, recent, evidence, total, stable_total_at_suspicion)


def add_evidence(
    evidence: tuple[float, ...],
    increase: tallies.Counts,
    reference: tallies.Counts,
    floor: float = 0.0,
) -> tuple[float, ...]:
    """Return the cumulative sums after more answers.

    :param evidence: the sums before, one for each of the degradations.
    :param increase: the counts of the additional answers.
    :param reference: the counts to compare with.
    :param floor: the lowest value of a sum.
    """
    good = increase.good / tallies.UNITS_PER_ANSWER
    bad = increase.bad / tallies.UNITS_PER_ANSWER
    quality = estimate_quality(reference)
    dispersion = estimate_dispersion(reference)
    sums = []
    for previous, degradation in zip(evidence, DEGRADATIONS, strict=True):
        degraded = quality * (1 - degradation)
        ratio = good * math.log(degraded / quality)
        ratio += bad * math.log((1 - degraded) / (1 - quality))
        if degradation <= MAX_SCALED_DEGRADATION:
            ratio /= dispersion
        sums.append(max(floor, previous + ratio))
    return tuple(sums)


class Action(enum.Enum):
    """What to do about a version whose evidence reached the bound.

    A held version keeps its traffic until an operator decides.
    """

    SUSPEND = "suspend"
    HOLD = "hold"


@dataclasses.dataclass(frozen=True)
class Finding:
    """A version whose evidence reached the bound.

    :param evidence: a summary for the log record and for operators.
    """

    version: configuration.ModelVersion
    action: Action
    evidence: str


Tracks = collections.abc.Mapping[configuration.ModelVersion, Track]


def find_bad_versions(
    state: configuration.Configuration, tracks: Tracks
) -> list[Finding]:
    """Return a finding for each version whose evidence reached the bound.

    Versions that are already withdrawn or suspended are left out.

    :param state: the configuration in force.
    :param tracks: the track of each version.
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
    if _has_replacement(state, model, version, tracks):
        action = Action.SUSPEND
    evidence = (
        f"{track.recent.answers:.0f} answers since the evidence rose, "
        f"quality {track.recent.quality:.3f}, "
        f"log likelihood ratio {track.strongest:.1f}"
    )
    found = configuration.ModelVersion(model.name, version)
    return Finding(found, action, evidence)


def _has_replacement(
    state: configuration.Configuration,
    model: bundle.ServedModel,
    version: str,
    tracks: Tracks,
) -> bool:
    """Return whether a version can be suspended in favour of another one.

    Only the stable version, unless it is stopped itself, can replace another
    version. Otherwise any version can that has enough answers and little
    evidence against it.
    """
    others = [
        other
        for other in model.versions
        if other != version and not state.is_stopped(model.name, other)
    ]
    if version != model.stable and model.stable in others:
        return _is_better(
            _find_track(tracks, model, model.stable),
            _find_track(tracks, model, version),
            _has_stable_traffic(state, model),
        )
    replacements = [_find_track(tracks, model, other) for other in others]
    return any(
        _has_little_evidence(track)
        and track.counts.answers >= MIN_REPLACEMENT_ANSWERS
        for track in replacements
    )


def _has_stable_traffic(
    state: configuration.Configuration, model: bundle.ServedModel
) -> bool:
    """Return whether some new sessions start on the stable version."""
    rollout = model.rollout
    if rollout is None:
        return True
    stage = state.find_stage(model.name, rollout.candidate)
    return rollout.stages[min(stage, len(rollout.stages) - 1)] < 1


def _is_better(stable: Track, suspect: Track, has_traffic: bool) -> bool:
    """Return whether the stable version is better than a suspected one.

    There must be little evidence against it. It must also have enough answers
    since the suspicion began, unless the evidence against the suspected
    version is overwhelming or the stable version gets no new sessions.
    """
    concurrent = stable.total_answers - suspect.stable_total_at_suspicion
    is_compared = concurrent >= MIN_CONCURRENT_ANSWERS or not has_traffic
    is_overwhelming = suspect.strongest >= OVERWHELMING_BOUND
    return _has_little_evidence(stable) and (is_compared or is_overwhelming)


def _has_little_evidence(track: Track) -> bool:
    return track.strongest < BOUND / 2


def _find_track(
    tracks: Tracks, model: bundle.ServedModel, version: str
) -> Track:
    key = configuration.ModelVersion(model.name, version)
    return tracks.get(key, Track())


class VersionMonitor:
    """Pools the counts of all instances and tests the versions.

    :param instance: the name of this process in its own tallies.
    """

    def __init__(self, instance: str) -> None:
        self._board = tallies.TallyBoard(instance)
        self._tracks: dict[configuration.ModelVersion, Track] = {}
        self._epochs: dict[configuration.ModelVersion, int] = {}

    @property
    def tracks(self) -> Tracks:
        """The track of each version."""
        return self._tracks

    def count(
        self,
        state: configuration.Configuration,
        version: configuration.ModelVersion,
        counts: tallies.Counts,
        now: float,
    ) -> None:
        """Count an answer that went through this instance.

        :param state: the configuration in force.
        :param version: the version that generated the answer.
        :param counts: the answer's counts.
        :param now: monotonic seconds.
        """
        epoch = state.find_epoch(version)
        self._board.count(version, epoch, counts, now)
        self._advance(state, tallies.Increase(version, counts))

    def merge(
        self,
        state: configuration.Configuration,
        updates: collections.abc.Iterable[tallies.Tally],
        now: float,
    ) -> None:
        """Merge the tallies of other instances.

        Tallies of another epoch than the one in force here are ignored. An
        instance that is behind receives them again after it has caught up.

        :param state: the configuration in force.
        :param updates: tallies in any order, including repeats.
        :param now: monotonic seconds.
        """
        current = [
            t for t in updates if t.epoch == state.find_epoch(t.version)
        ]
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

    def needs_all_ratings(self, model: str) -> bool:
        """Return whether all answers of a model should be rated now.

        While a version is suspected, its replacement needs ratings too.

        :param model: the model's name.
        """
        return any(
            track.strongest >= SUSPICION_BOUND
            for version, track in self._tracks.items()
            if version.model == model
        )

    def evaluate(self, state: configuration.Configuration) -> list[Finding]:
        """Return a finding for each version whose evidence reached the bound.

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
        in_force = state.bundle
        model = in_force.find_model(version.model) if in_force else None
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
        in_force = state.bundle
        model = in_force.find_model(version.model) if in_force else None
        if model is None:
            return None
        if version.version == model.stable:
            has_past = track.settled.answers >= MIN_OWN_PAST_ANSWERS
            return track.settled if has_past else None
        stable = configuration.ModelVersion(model.name, model.stable)
        reference = self._tracks.get(stable, Track())
        if state.is_stopped(stable.model, stable.version):
            return reference.settled
        return reference.counts.trim(REFERENCE_ANSWERS)
