"""Runs one attempt at the endpoint: gate, slot, dispatch, end."""

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
    slots.Cause.FULL: (
        errors.Reason.ENDPOINT_FULL,
        "the endpoint's queue is full",
    ),
    slots.Cause.LATE: (
        errors.Reason.DEADLINE_UNREACHABLE,
        "the endpoint can't answer by the deadline",
    ),
}

Emit = collections.abc.Callable[
    [work.Accepted | assembly.Chunk | work.Ended],
    collections.abc.Awaitable[None],
]


class AttemptAbortedError(Exception):
    """An attempt that ends with a refusal.

    :param refusal: the final answer to the entry.
    """

    def __init__(self, refusal: errors.Refusal) -> None:
        super().__init__(refusal.message)
        self.refusal = refusal


class GateKeeper(abc.ABC):
    """Asks the gate with what the agent knows at that moment."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The agent's name, for refusals."""

    @property
    @abc.abstractmethod
    def configuration_offset(self) -> int:
        """The offset of the configuration in force here."""

    @abc.abstractmethod
    def check(self, attempt: work.Attempt) -> gate.Verdict:
        """Return whether the attempt may be dispatched now.

        :param attempt: the attempt.
        """

    @abc.abstractmethod
    def note_refusal(self, refusal: errors.Refusal) -> None:
        """Count a refusal by its reason.

        :param refusal: the refusal.
        """

    @abc.abstractmethod
    def note_death(self, attempt: work.Attempt) -> None:
        """Note that the endpoint died of an attempt.

        :param attempt: the attempt.
        """


class Meter:
    """What an attempt has used so far; billed if nobody else settles it."""

    def __init__(self) -> None:
        self._cost: billing.AttemptCost | None = None
        self._answer_tokens = 0

    @property
    def cost(self) -> billing.AttemptCost | None:
        """The cost so far; None until something ran."""
        if self._cost is None or not self._answer_tokens:
            return self._cost
        return self._cost.model_copy(
            update={"answer_tokens": self._answer_tokens}
        )

    @cost.setter
    def cost(self, value: billing.AttemptCost | None) -> None:
        self._cost = value

    def count_token(self) -> None:
        """Add a token of the answer."""
        self._answer_tokens += 1


class Runner(abc.ABC):
    """Runs attempts at one endpoint.

    :param keeper: asks the gate.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: admits attempts.
    :param system_clock: tells the time.
    """

    def __init__(
        self,
        keeper: GateKeeper,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
    ) -> None:
        self._keeper = keeper
        self._endpoint = endpoint
        self._slots = endpoint_slots
        self._clock = system_clock
        self._trials = trial.TrialRoom(endpoint_slots, system_clock)

    async def run(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        """Run an attempt.

        :param attempt: the attempt.
        :param emit: sends a frame to the entry.
        :param meter: is kept up to date with the cost.
        :raises AttemptAbortedError: with the refusal to send.
        """
        try:
            await self._admit(attempt, emit, meter)
        except AttemptAbortedError as error:
            self._keeper.note_refusal(error.refusal)
            raise

    async def _admit(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        self._pass_gate(attempt)
        await self._acquire(attempt)
        started_at = self._clock.monotonic()
        self._trials.enter(attempt)
        try:
            await self._run_in_slot(attempt, emit, meter)
        finally:
            self._trials.leave(attempt)
            self._slots.release(self._clock.monotonic() - started_at)

    def find_result(
        self, key: ledger.ClaimKey, claim_id: str
    ) -> results.Result | None:
        """Return where a claimed request stands, or None if not known.

        :param key: the key that the request claimed.
        :param claim_id: the claim.
        """
        return None

    async def _acquire(self, attempt: work.Attempt) -> None:
        verdict = await self._slots.acquire(
            slots.Applicant(
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
                reason, message, "admit", self._keeper.name, rejection.retry_at
            )
        )

    def _pass_gate(self, attempt: work.Attempt) -> None:
        verdict = self._keeper.check(attempt)
        if verdict.is_error():
            raise AttemptAbortedError(verdict.error)

    def _abort(
        self,
        reason: errors.Reason,
        message: str,
        retry_seconds: float | None = None,
    ) -> AttemptAbortedError:
        retry_at = (
            self._clock.wall() + retry_seconds
            if retry_seconds is not None
            else None
        )
        return AttemptAbortedError(
            errors.not_run(reason, message, "run", self._keeper.name, retry_at)
        )

    def _abort_unknown(
        self,
        message: str,
        reason: errors.Reason = errors.Reason.ENDPOINT_FAILED,
    ) -> AttemptAbortedError:
        return AttemptAbortedError(
            errors.unknown(reason, message, "run", self._keeper.name)
        )

    async def _abort_lost(
        self, attempt: work.Attempt, error: errors.PeerError
    ) -> AttemptAbortedError:
        """Judge whether the endpoint died, and of which attempt."""
        is_blamed = self._trials.judge_death(attempt)
        if is_blamed and await trial.is_dead(error.peer):
            self._keeper.note_death(attempt)
            return self._abort_unknown(
                "the endpoint died under the request",
                errors.Reason.ENDPOINT_LOST,
            )
        return self._abort_unknown(f"the endpoint gave no answer: {error}")

    @abc.abstractmethod
    async def _run_in_slot(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None: ...
