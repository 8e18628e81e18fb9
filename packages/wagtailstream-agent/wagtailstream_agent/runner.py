"""Base class of the runners: admission, slot, dispatch and release."""

import abc
import collections.abc

from wagtailstream_agent import gate, results, slots, trial
from wagtailstream_core import (
    assembly,
    billing,
    clock,
    errors,
    ledger,
    work,
)

_REJECTIONS = {
    slots.RejectionCause.FULL: (
        errors.Reason.ENDPOINT_FULL,
        "the endpoint's queue is full",
    ),
    slots.RejectionCause.LATE: (
        errors.Reason.DEADLINE_UNREACHABLE,
        "the endpoint can't answer by the deadline",
    ),
}

Emit = collections.abc.Callable[
    [work.Accepted | assembly.Chunk | work.Ended],
    collections.abc.Awaitable[None],
]


class AttemptAbortedError(Exception):
    """The attempt ends with a refusal.

    :param refusal: the refusal to send to the entry.
    """

    def __init__(self, refusal: errors.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class AgentContext(abc.ABC):
    """What a runner needs from its agent: identity, checks and counters."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The agent's name, reported in refusals."""

    @property
    @abc.abstractmethod
    def configuration_offset(self) -> int:
        """The log offset of the configuration that this agent applies."""

    @abc.abstractmethod
    def check(self, attempt: work.Attempt) -> gate.Verdict:
        """Check whether an attempt may be dispatched now.

        :param attempt: the attempt.
        """

    @abc.abstractmethod
    def count_refusal(self, refusal: errors.Refusal) -> None:
        """Count a refusal by its reason.

        :param refusal: the refusal.
        """

    @abc.abstractmethod
    def record_crash(self, attempt: work.Attempt) -> None:
        """Record a strike: the endpoint crashed while running an attempt.

        :param attempt: an attempt that the crash is attributed to.
        """


class Meter:
    """Measures an attempt's cost, which the agent bills if no entry does."""

    def __init__(self) -> None:
        self._cost: billing.AttemptCost | None = None
        self._answer_tokens = 0

    @property
    def cost(self) -> billing.AttemptCost | None:
        """The cost so far; None as long as nothing ran."""
        if self._cost is None or not self._answer_tokens:
            return self._cost
        return self._cost.model_copy(
            update={"answer_tokens": self._answer_tokens}
        )

    @cost.setter
    def cost(self, value: billing.AttemptCost | None) -> None:
        self._cost = value

    def count_token(self) -> None:
        """Count one token of the answer."""
        self._answer_tokens += 1


class Runner(abc.ABC):
    """Runs attempts at one endpoint.

    :param context: the agent's state and admission check.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: limits the attempts that run at once.
    :param system_clock: source of the current time.
    """

    def __init__(
        self,
        context: AgentContext,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
    ) -> None:
        self._context = context
        self._endpoint = endpoint
        self._slots = endpoint_slots
        self._clock = system_clock
        self._trial_tracker = trial.TrialTracker(endpoint_slots, system_clock)

    async def run(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        """Run an attempt.

        :param attempt: the attempt.
        :param emit: sends a frame to the entry.
        :param meter: updated with the attempt's cost while it runs.
        :raises AttemptAbortedError: the attempt was refused or failed; holds
            the refusal to send.
        """
        try:
            await self._admit_and_run(attempt, emit, meter)
        except AttemptAbortedError as error:
            self._context.count_refusal(error.refusal)
            raise

    async def _admit_and_run(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        self._check_gate(attempt)
        await self._acquire(attempt)
        started_at = self._clock.monotonic()
        self._trial_tracker.begin(attempt)
        try:
            await self._run_in_slot(attempt, emit, meter)
        finally:
            self._trial_tracker.end(attempt)
            self._slots.release(self._clock.monotonic() - started_at)

    def find_result(
        self, key: ledger.ClaimKey, claim_id: str
    ) -> results.Result | None:
        """Return the result of a claimed request, or None if not known.

        :param key: the key that the request claimed.
        :param claim_id: the claim.
        """
        return None

    async def _acquire(self, attempt: work.Attempt) -> None:
        verdict = await self._slots.acquire(
            slots.SlotRequest(
                attempt.customer,
                attempt.priority,
                attempt.deadline,
                attempt.is_suspect,
            )
        )
        if verdict.is_ok():
            return
        rejection = verdict.error
        reason, message = _REJECTIONS[rejection.cause]
        raise AttemptAbortedError(
            errors.not_run(
                reason,
                message,
                "admit",
                self._context.name,
                rejection.retry_at,
            )
        )

    def _check_gate(self, attempt: work.Attempt) -> None:
        verdict = self._context.check(attempt)
        if verdict.is_error():
            raise AttemptAbortedError(verdict.error)

    def _make_not_run_error(
        self,
        reason: errors.Reason,
        message: str,
        retry_seconds: float | None = None,
    ) -> AttemptAbortedError:
        """Return the error for an attempt that certainly did not run."""
        retry_at = (
            self._clock.wall() + retry_seconds
            if retry_seconds is not None
            else None
        )
        return AttemptAbortedError(
            errors.not_run(
                reason, message, "run", self._context.name, retry_at
            )
        )

    def _make_unknown_error(
        self,
        message: str,
        reason: errors.Reason = errors.Reason.ENDPOINT_FAILED,
    ) -> AttemptAbortedError:
        """Return the error for an attempt that may have run."""
        return AttemptAbortedError(
            errors.unknown(reason, message, "run", self._context.name)
        )

    async def _make_connection_lost_error(
        self, attempt: work.Attempt, error: errors.PeerError
    ) -> AttemptAbortedError:
        """Return the error for an attempt whose connection broke.

        If the endpoint's port refuses connections, the endpoint crashed; the
        strike goes to the attempts that the crash is attributed to.
        """
        is_attributed = self._trial_tracker.is_crash_attributed(attempt)
        if is_attributed and await trial.is_dead(error.peer):
            self._context.record_crash(attempt)
            return self._make_unknown_error(
                "the endpoint crashed while it ran the request",
                errors.Reason.ENDPOINT_LOST,
            )
        return self._make_unknown_error(
            f"no answer from the endpoint: {error}"
        )

    @abc.abstractmethod
    async def _run_in_slot(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None: ...
