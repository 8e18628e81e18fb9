"""The configuration: the fold of the records of the configuration stream.

Every reader folds the same records in the same order and reaches the same
state. The offset of the last folded record identifies the state and never
decreases. A change names the revision (the offset of the last accepted
change) that it is based on. It is rejected if that revision is no longer
current, as in optimistic concurrency control.
"""

import dataclasses
import enum
import typing

from wagtailstream_core import (
    bundle,
    bundle_check,
    canonical,
    errors,
    records,
    signing,
)

NO_OFFSET = -1

# An alias, because the field `bundle` of Configuration hides the module.
OptionalBundle = bundle.Bundle | None


class Verdict(enum.Enum):
    """The result of folding a record."""

    ACCEPTED = "accepted"
    BAD_SIGNATURE = "bad-signature"
    MALFORMED = "malformed"
    STALE_BASE = "stale-base"
    NOT_PERMITTED = "not-permitted"
    INVALID = "invalid"
    IGNORED = "ignored"


@dataclasses.dataclass(frozen=True, order=True)
class ModelVersion:
    """A version of a model."""

    model: str
    version: str

    def __str__(self) -> str:
        return f"{self.model}@{self.version}"


@dataclasses.dataclass(frozen=True)
class RolloutStage:
    """The stage that a model's roll-out has reached.

    :param stage: the index into the stages of the bundle's roll-out.
    """

    model: str
    candidate: str
    stage: int


@dataclasses.dataclass(frozen=True)
class Reinstatement:
    """The last reinstatement of a version.

    :param offset: the offset of the record that lifted the suspension.
    """

    version: ModelVersion
    offset: int


@dataclasses.dataclass(frozen=True)
class QuarantineEntry:
    """A body digest whose requests are refused for a time.

    :param until: Unix time in seconds.
    """

    digest: str
    until: float


@dataclasses.dataclass(frozen=True)
class Proposal:
    """A published bundle that is not approved yet.

    :param digest: the SHA-256 of the bundle, which the approval must name.
    :param publisher: the identifier of the key that published it.
    """

    bundle: bundle.Bundle
    digest: str
    publisher: str


@dataclasses.dataclass(frozen=True)
class Configuration:
    """The configuration in force as of an offset of the stream.

    :param offset: the offset of the last folded record, accepted or not.
    :param revision: the offset of the last accepted change.
    """

    offset: int = NO_OFFSET
    revision: int = NO_OFFSET
    bundle: OptionalBundle = None
    proposal: Proposal | None = None
    rollouts: tuple[RolloutStage, ...] = ()
    withdrawn: frozenset[ModelVersion] = frozenset()
    suspended: frozenset[ModelVersion] = frozenset()
    quarantined: tuple[QuarantineEntry, ...] = ()
    reinstated: tuple[Reinstatement, ...] = ()

    def is_stopped(self, model: str, version: str) -> bool:
        """Return whether a version is withdrawn or suspended.

        Such a version gets no new work.

        :param model: the model's name.
        :param version: the version's name.
        """
        wanted = ModelVersion(model, version)
        return wanted in self.withdrawn or wanted in self.suspended

    def find_epoch(self, version: ModelVersion) -> int:
        """Return the offset of a version's last reinstatement.

        Evidence against the version from before this offset does not count.

        :param version: the version.
        """
        for reinstatement in self.reinstated:
            if reinstatement.version == version:
                return reinstatement.offset
        return NO_OFFSET

    def find_stage(self, model: str, candidate: str) -> int:
        """Return the index of the stage that a roll-out has reached, or 0.

        :param model: the model's name.
        :param candidate: the version that is rolled out.
        """
        for rollout in self.rollouts:
            if (rollout.model, rollout.candidate) == (model, candidate):
                return rollout.stage
        return 0


@dataclasses.dataclass(frozen=True)
class LogRecord:
    """A record of a stream of the log.

    :param time: when the log accepted it, Unix time in seconds.
    """

    offset: int
    payload: bytes
    time: float


@dataclasses.dataclass(frozen=True)
class FoldResult:
    """The state after a record, and the verdict on the record.

    :param detail: why the record was not accepted.
    """

    configuration: Configuration
    verdict: Verdict
    detail: str = ""


class _RejectedError(Exception):
    def __init__(self, verdict: Verdict, detail: str) -> None:
        super().__init__(detail)
        self.verdict = verdict


def fold(
    state: Configuration, record: LogRecord, keyring: signing.Keyring
) -> FoldResult:
    """Fold a record into a state.

    A record at or below the state's offset changes nothing, so repeated and
    late deliveries are harmless.

    :param state: the state before the record.
    :param record: the next record of the configuration stream.
    :param keyring: the trusted keys.
    """
    if record.offset <= state.offset:
        return FoldResult(state, Verdict.IGNORED, "already folded")
    advanced = dataclasses.replace(state, offset=record.offset)
    try:
        changed = _apply(advanced, record, keyring)
    except _RejectedError as error:
        return FoldResult(advanced, error.verdict, str(error))
    if changed is advanced:
        return FoldResult(advanced, Verdict.IGNORED)
    return FoldResult(changed, Verdict.ACCEPTED)


def _apply(
    state: Configuration, record: LogRecord, keyring: signing.Keyring
) -> Configuration:
    try:
        verified = keyring.verify(record.payload)
    except errors.SignatureError as error:
        raise _RejectedError(Verdict.BAD_SIGNATURE, str(error)) from error
    try:
        body = records.decode(verified.body)
    except errors.BundleError as error:
        raise _RejectedError(Verdict.MALFORMED, str(error)) from error
    if not verified.is_operator and body.kind not in records.FLEET_KINDS:
        raise _RejectedError(
            Verdict.NOT_PERMITTED, f"{body.kind} needs an operator's key"
        )
    if isinstance(body, records.Snapshot):
        return state
    if isinstance(body, records.Quarantine):
        # A quarantine commutes with operators' changes. It keeps the
        # revision, so that it doesn't reject a change made meanwhile.
        return _apply_quarantine(state, body, record.time)
    if body.base != state.revision:
        raise _RejectedError(
            Verdict.STALE_BASE,
            f"the change is based on revision {body.base}, but revision "
            f"{state.revision} is current",
        )
    changed = _apply_change(state, body, verified.key_id)
    return dataclasses.replace(changed, revision=record.offset)


def _apply_change(
    state: Configuration, body: records.Record, key_id: str
) -> Configuration:
    match body:
        case records.Publish():
            return _apply_publish(state, body, key_id)
        case records.Approve():
            return _apply_approve(state, body, key_id)
        case records.Advance():
            return _apply_advance(state, body)
        case records.Withdraw():
            stopped = ModelVersion(body.model, body.version)
            return dataclasses.replace(
                state, withdrawn=state.withdrawn | {stopped}
            )
        case records.Suspend():
            stopped = ModelVersion(body.model, body.version)
            return dataclasses.replace(
                state, suspended=state.suspended | {stopped}
            )
        case records.Reinstate():
            return _apply_reinstate(state, body)
        case _:
            raise _RejectedError(
                Verdict.INVALID, f"unexpected record kind {body.kind}"
            )


def _apply_reinstate(
    state: Configuration, body: records.Reinstate
) -> Configuration:
    lifted = ModelVersion(body.model, body.version)
    if lifted not in state.suspended:
        raise _RejectedError(Verdict.INVALID, f"{lifted} is not suspended")
    others = tuple(r for r in state.reinstated if r.version != lifted)
    return dataclasses.replace(
        state,
        suspended=state.suspended - {lifted},
        reinstated=(*others, Reinstatement(lifted, state.offset)),
    )


def _apply_quarantine(
    state: Configuration, body: records.Quarantine, now: float
) -> Configuration:
    kept = tuple(
        entry
        for entry in state.quarantined
        if entry.until > now and entry.digest != body.digest
    )
    return dataclasses.replace(
        state, quarantined=(*kept, QuarantineEntry(body.digest, body.until))
    )


def _apply_publish(
    state: Configuration, body: records.Publish, key_id: str
) -> Configuration:
    parsed = _parse_bundle(body.bundle)
    problems = bundle_check.find_contradictions(parsed)
    if problems:
        raise _RejectedError(Verdict.INVALID, "; ".join(problems))
    proposal = Proposal(parsed, canonical.digest(body.bundle), key_id)
    return dataclasses.replace(state, proposal=proposal)


def _parse_bundle(value: dict[str, typing.Any]) -> bundle.Bundle:
    try:
        return bundle.parse(value, "record")
    except errors.BundleError as error:
        raise _RejectedError(Verdict.INVALID, str(error)) from error


def _apply_approve(
    state: Configuration, body: records.Approve, key_id: str
) -> Configuration:
    proposal = state.proposal
    if proposal is None or proposal.digest != body.digest:
        raise _RejectedError(
            Verdict.INVALID, "no pending proposal has this digest"
        )
    if proposal.publisher == key_id:
        raise _RejectedError(
            Verdict.NOT_PERMITTED,
            "a bundle may not be approved with the key that published it",
        )
    return dataclasses.replace(
        state,
        bundle=proposal.bundle,
        proposal=None,
        rollouts=_carry_rollouts(state, proposal.bundle),
    )


def _carry_rollouts(
    state: Configuration, new: bundle.Bundle
) -> tuple[RolloutStage, ...]:
    """Return the stages of the new bundle's roll-outs.

    A roll-out that is also in the old bundle keeps its stage.
    """
    return tuple(
        RolloutStage(
            model.name,
            model.rollout.candidate,
            min(
                state.find_stage(model.name, model.rollout.candidate),
                len(model.rollout.stages) - 1,
            ),
        )
        for model in new.models
        if model.rollout is not None
    )


def _apply_advance(
    state: Configuration, body: records.Advance
) -> Configuration:
    model = state.bundle.find_model(body.model) if state.bundle else None
    if model is None or model.rollout is None:
        raise _RejectedError(Verdict.INVALID, f"no roll-out of {body.model}")
    if model.rollout.candidate != body.candidate:
        raise _RejectedError(
            Verdict.INVALID,
            f"{body.candidate} is not the candidate of the roll-out",
        )
    current = state.find_stage(body.model, body.candidate)
    if body.stage != current + 1:
        raise _RejectedError(
            Verdict.INVALID,
            f"the roll-out is at stage {current}; the next one is "
            f"{current + 1}",
        )
    if body.stage >= len(model.rollout.stages):
        raise _RejectedError(
            Verdict.INVALID, "the roll-out has reached its last stage"
        )
    others = tuple(r for r in state.rollouts if r.model != body.model)
    reached = RolloutStage(body.model, body.candidate, body.stage)
    return dataclasses.replace(state, rollouts=(*others, reached))
