"""Outcomes, refusal reasons and the exceptions of wagtailstream."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known about whether a request ran."""

    NOT_RUN = "not-run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused; each value is a counter's name."""

    AGENT_BEHIND = "agent-behind"
    BILLING_FULL = "billing-full"
    BODY_TOO_LARGE = "body-too-large"
    CANCELLED = "cancelled"
    CLAIM_ABANDONED = "claim-abandoned"
    CLAIM_LOST = "claim-lost"
    CUT_OFF = "cut-off"
    DEADLINE_PAST = "deadline-past"
    DEADLINE_UNREACHABLE = "deadline-unreachable"
    DRAINING = "draining"
    ENDPOINT_FAILED = "endpoint-failed"
    ENDPOINT_FULL = "endpoint-full"
    ENDPOINT_LOST = "endpoint-lost"
    ENDPOINT_STALLED = "endpoint-stalled"
    IDEMPOTENCY_KEY_INVALID = "idempotency-key-invalid"
    IDEMPOTENCY_KEY_MISSING = "idempotency-key-missing"
    IDEMPOTENCY_KEY_REUSED = "idempotency-key-reused"
    IDEMPOTENCY_KEY_STALE = "idempotency-key-stale"
    INTERNAL = "internal"
    LEDGER_UNAVAILABLE = "ledger-unavailable"
    MALFORMED = "malformed"
    MODEL_FORBIDDEN = "model-forbidden"
    MODEL_UNKNOWN = "model-unknown"
    NO_CONFIGURATION = "no-configuration"
    NO_ENDPOINT = "no-endpoint"
    NOT_LOADED = "not-loaded"
    OVER_LIMIT = "over-limit"
    QUARANTINED = "quarantined"
    RETRIES_EXHAUSTED = "retries-exhausted"
    SERVICE_FORBIDDEN = "service-forbidden"
    SESSION_INVALID = "session-invalid"
    UNAUTHENTICATED = "unauthenticated"
    VERSION_WITHDRAWN = "version-withdrawn"


@dataclasses.dataclass(frozen=True)
class Refusal:
    """A final answer other than a completed one.

    :param reason: why, as counted.
    :param outcome: whether the request ran.
    :param message: one sentence for the caller.
    :param step: the step of the pipeline at which it arose.
    :param peer: the instance at which it arose.
    :param retry_at: Unix time in seconds from which to come back.
    :param winner: address of the agent that holds the winning claim.
    :param winner_claim: the identifier of that claim.
    """

    reason: Reason
    outcome: Outcome
    message: str
    step: str
    peer: str
    retry_at: float | None = None
    winner: str = ""
    winner_claim: str = ""


def not_run(
    reason: Reason,
    message: str,
    step: str,
    peer: str,
    retry_at: float | None = None,
) -> Refusal:
    """Return a refusal of a request that did not run.

    :param reason: why, as counted.
    :param message: one sentence for the caller.
    :param step: the step of the pipeline at which it arose.
    :param peer: the instance at which it arose.
    :param retry_at: Unix time in seconds from which to come back.
    """
    return Refusal(reason, Outcome.NOT_RUN, message, step, peer, retry_at)


def unknown(reason: Reason, message: str, step: str, peer: str) -> Refusal:
    """Return the answer to a request that may have run.

    :param reason: why, as counted.
    :param message: one sentence for the caller.
    :param step: the step of the pipeline at which it arose.
    :param peer: the instance at which it arose.
    """
    return Refusal(reason, Outcome.UNKNOWN, message, step, peer)


class WagtailstreamError(Exception):
    """A fault, with the step and the peer at which it arose.

    :param step: the step of the pipeline.
    :param peer: the instance, service or address.
    :param message: what happened.
    """

    def __init__(self, step: str, peer: str, message: str) -> None:
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class BundleError(WagtailstreamError):
    """A bundle that is malformed or contradicts itself."""


class StageMovedError(WagtailstreamError):
    """A roll-out is at another stage than the change was made for."""


class SettingsError(WagtailstreamError):
    """Settings that are malformed or impossible."""


class SignatureError(WagtailstreamError):
    """A signature that does not verify."""


class LogUnavailableError(WagtailstreamError):
    """The platform's log refused or did not answer."""


class AppendUncertainError(LogUnavailableError):
    """An append whose answer was lost; the record may be in the log."""


class PeerError(WagtailstreamError):
    """A peer that failed, closed its connection or went silent."""


class CorruptAnswerError(PeerError):
    """An answer whose digest differs; what was released can't be mended."""
