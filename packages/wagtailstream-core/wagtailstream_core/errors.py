"""Outcomes, refusal reasons and exceptions."""

import dataclasses
import enum


class Outcome(enum.Enum):
    """What is known about whether a request ran."""

    NOT_RUN = "not-run"
    COMPLETED = "completed"
    UNKNOWN = "unknown"


class Reason(enum.Enum):
    """Why a request was refused; each value also labels a counter."""

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
    """A final answer to a request that did not complete.

    :param reason: the reason, by which refusals are counted.
    :param outcome: whether the request ran.
    :param message: one sentence for the caller.
    :param step: the pipeline step that refused the request.
    :param peer: the instance that refused the request.
    :param retry_at: the earliest time to retry, Unix time in seconds.
    :param winner: the address of the agent that holds the winning claim.
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

    :param reason: the reason, by which refusals are counted.
    :param message: one sentence for the caller.
    :param step: the pipeline step that refused the request.
    :param peer: the instance that refused the request.
    :param retry_at: the earliest time to retry, Unix time in seconds.
    """
    return Refusal(reason, Outcome.NOT_RUN, message, step, peer, retry_at)


def unknown(reason: Reason, message: str, step: str, peer: str) -> Refusal:
    """Return a refusal of a request that may have run.

    :param reason: the reason, by which refusals are counted.
    :param message: one sentence for the caller.
    :param step: the pipeline step that refused the request.
    :param peer: the instance that refused the request.
    """
    return Refusal(reason, Outcome.UNKNOWN, message, step, peer)


class WagtailstreamError(Exception):
    """Base class of errors, with the step and the peer that failed.

    :param step: the operation or pipeline step that failed.
    :param peer: the instance, service, address, file or key concerned.
    :param message: what went wrong.
    """

    def __init__(self, step: str, peer: str, message: str) -> None:
        super().__init__(f"{step}: {peer}: {message}")
        self.step = step
        self.peer = peer


class BundleError(WagtailstreamError):
    """A bundle or configuration record is malformed or inconsistent."""


class StageMovedError(WagtailstreamError):
    """A roll-out is no longer at the stage that a change is based on."""


class SettingsError(WagtailstreamError):
    """Settings are malformed or contradict each other."""


class SignatureError(WagtailstreamError):
    """An envelope is malformed or its signature does not verify."""


class LogUnavailableError(WagtailstreamError):
    """The platform's log refused a call or did not answer."""


class AppendUncertainError(LogUnavailableError):
    """An append got no answer; the record may or may not be in the log."""


class PeerError(WagtailstreamError):
    """A peer failed, closed its connection or stopped answering."""


class CorruptAnswerError(PeerError):
    """An answer does not match its digest.

    Chunks that were already released can't be taken back.
    """
