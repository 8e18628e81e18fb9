"""Runs one attempt at the endpoint: gate, slot, claim, dispatch, end."""

import abc
import asyncio
import collections.abc
import contextlib
import hashlib
import typing
import uuid

from wagtailstream_agent import (
    claims,
    engine,
    gate,
    plain_service,
    results,
    slots,
    stall,
    trial,
)
from wagtailstream_core import (
    assembly,
    billing,
    clock,
    errors,
    idempotency,
    ledger,
    work,
)

CLAIM_LIMIT_SECONDS = 5.0
LEDGER_RETRY_SECONDS = 2.0
MAX_KEPT_BODY_BYTES = 16384

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


class ModelRunner(Runner):
    """Runs generations on the engine beside the agent.

    :param keeper: asks the gate.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: admits attempts.
    :param system_clock: tells the time.
    :param model_engine: the engine.
    :param stall_watch: watches the engine's progress.
    """

    def __init__(
        self,
        keeper: GateKeeper,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
        model_engine: engine.Engine,
        stall_watch: stall.StallWatch,
    ) -> None:
        super().__init__(keeper, endpoint, endpoint_slots, system_clock)
        self._engine = model_engine
        self._stall_watch = stall_watch

    async def _run_in_slot(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        self._pass_gate(attempt)
        model_work = typing.cast(work.ModelWork, attempt.work)
        meter.cost = self._make_cost(attempt, model_work)
        await emit(work.Accepted(self._keeper.configuration_offset))
        try:
            async with asyncio.timeout(attempt.deadline - self._clock.wall()):
                await self._generate(attempt, model_work, emit, meter)
        except engine.NotLoadedError as error:
            meter.cost = None
            raise self._abort(
                errors.Reason.NOT_LOADED,
                "the version is not loaded yet",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except engine.BusyError as error:
            meter.cost = None
            raise self._abort(
                errors.Reason.ENDPOINT_FULL,
                "the engine's queue is full",
                gate.FULL_RETRY_SECONDS,
            ) from error
        except engine.NotSentError as error:
            meter.cost = None
            raise self._abort(
                errors.Reason.ENDPOINT_FAILED,
                "the engine can't be reached",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except engine.LostError as error:
            raise await self._abort_lost(attempt, error) from error
        except stall.StalledError as error:
            raise self._abort_unknown(
                "the engine made no progress", errors.Reason.ENDPOINT_STALLED
            ) from error
        except (errors.PeerError, TimeoutError) as error:
            raise self._abort_unknown(f"the engine failed: {error}") from error

    def _make_cost(
        self, attempt: work.Attempt, model_work: work.ModelWork
    ) -> billing.AttemptCost:
        return billing.AttemptCost(
            attempt=attempt.number,
            endpoint=self._endpoint,
            model=model_work.model,
            version=model_work.version,
        )

    async def _generate(
        self,
        attempt: work.Attempt,
        model_work: work.ModelWork,
        emit: Emit,
        meter: Meter,
    ) -> None:
        digest = hashlib.sha256()
        stream = self._engine.generate(attempt, model_work)
        async with (
            contextlib.aclosing(stream),
            self._stall_watch.guard(),
        ):
            async for item in stream:
                self._stall_watch.note_progress()
                self._trials.leave(attempt)
                if isinstance(item, engine.Done):
                    await self._end(attempt, item, digest, emit, meter)
                    return
                data = item.text.encode()
                digest.update(data)
                meter.count_token()
                await emit(
                    assembly.Chunk(
                        attempt.request_id, attempt.number, item.index, data
                    )
                )

    async def _end(
        self,
        attempt: work.Attempt,
        done: engine.Done,
        digest: "hashlib._Hash",
        emit: Emit,
        meter: Meter,
    ) -> None:
        if meter.cost is None:
            raise errors.PeerError("run", self._endpoint, "no cost")
        meter.cost = meter.cost.model_copy(
            update={
                "prompt_tokens": done.prompt_tokens,
                "cached_tokens": done.cached_tokens,
            }
        )
        await emit(
            work.Ended(attempt.number, done.count, digest.digest(), meter.cost)
        )


class ServiceRunner(Runner):
    """Runs calls of the plain service beside the agent.

    :param keeper: asks the gate.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: admits attempts.
    :param system_clock: tells the time.
    :param service: the plain service.
    :param address: this agent's address, under which results are fetched.
    :param result_table: keeps the results.
    """

    def __init__(
        self,
        keeper: GateKeeper,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
        service: plain_service.Service,
        address: str,
        result_table: results.ResultTable,
    ) -> None:
        super().__init__(keeper, endpoint, endpoint_slots, system_clock)
        self._service = service
        self._address = address
        self._results = result_table
        self._ledger: claims.ClaimLedger | None = None

    @property
    def claim_ledger(self) -> claims.ClaimLedger | None:
        """The ledger of the service's claims, once it is known."""
        return self._ledger

    @claim_ledger.setter
    def claim_ledger(self, value: claims.ClaimLedger) -> None:
        self._ledger = value

    def find_result(
        self, key: ledger.ClaimKey, claim_id: str
    ) -> results.Result | None:
        """Return where a claimed request stands, or None if not known.

        The claimant knows; of other requests the log may hold the answer.

        :param key: the key that the request claimed.
        :param claim_id: the claim.
        """
        found = self._results.find(claim_id)
        if found is not None or self._ledger is None:
            return found
        kept = self._ledger.find_completion(key)
        if kept is None or kept.claim_id != claim_id:
            return None
        return results.Result(
            "",
            errors.Outcome.COMPLETED,
            False,
            kept.status,
            kept.body,
            kept.cost,
        )

    async def _run_in_slot(
        self, attempt: work.Attempt, emit: Emit, meter: Meter
    ) -> None:
        self._pass_gate(attempt)
        service_work = typing.cast(work.ServiceWork, attempt.work)
        if not service_work.idempotency_key:
            await self._dispatch(attempt, service_work, emit, meter)
            return
        claim_ledger = self._require_ledger()
        claim = self._make_claim(attempt, service_work, claim_ledger)
        # Known from the first, for a loser that reads the log sooner.
        self._note(claim, errors.Outcome.UNKNOWN, is_running=True)
        state = await self._claim(claim_ledger, claim, attempt)
        if state is ledger.ClaimState.WON:
            await self._run_claimed(claim_ledger, claim, attempt, emit, meter)
            return
        self._note(claim, errors.Outcome.NOT_RUN)
        await self._answer_loser(claim_ledger, claim, attempt, emit, state)

    def _require_ledger(self) -> claims.ClaimLedger:
        if self._ledger is None:
            raise self._abort(
                errors.Reason.LEDGER_UNAVAILABLE,
                "the ledger of claims is not read yet",
                LEDGER_RETRY_SECONDS,
            )
        return self._ledger

    def _make_claim(
        self,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        claim_ledger: claims.ClaimLedger,
    ) -> ledger.Claim:
        checked = idempotency.check_key(
            service_work.idempotency_key,
            claim_ledger.window_seconds,
            self._clock.wall(),
            self._keeper.name,
        )
        if checked.is_error():
            raise AttemptAbortedError(checked.error)
        return ledger.Claim(
            customer=attempt.customer,
            service=service_work.service,
            idempotency_key=service_work.idempotency_key,
            claim_id=uuid.uuid4().hex,
            claimant=self._address,
            request_id=attempt.request_id,
            key_time=checked.ok,
            digest=work.identify(service_work),
        )

    async def _claim(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        attempt: work.Attempt,
    ) -> ledger.ClaimState:
        deadline = min(
            attempt.deadline, self._clock.wall() + CLAIM_LIMIT_SECONDS
        )
        try:
            return await claim_ledger.claim(claim, deadline)
        except asyncio.CancelledError:
            self._note(claim, errors.Outcome.NOT_RUN)
            raise
        except errors.LogUnavailableError as error:
            self._note(claim, errors.Outcome.NOT_RUN)
            raise self._abort(
                errors.Reason.LEDGER_UNAVAILABLE,
                "the log takes no claims at the moment",
                LEDGER_RETRY_SECONDS,
            ) from error

    def _note(
        self,
        claim: ledger.Claim,
        outcome: errors.Outcome,
        is_running: bool = False,
    ) -> None:
        self._results.put(
            claim.claim_id,
            results.Result(claim.request_id, outcome, is_running),
        )

    async def _run_claimed(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        attempt: work.Attempt,
        emit: Emit,
        meter: Meter,
    ) -> None:
        verdict = self._keeper.check(attempt)
        if verdict.is_error():
            claim_ledger.abandon(claim)
            self._note(claim, errors.Outcome.NOT_RUN)
            raise AttemptAbortedError(verdict.error)
        service_work = typing.cast(work.ServiceWork, attempt.work)
        dispatched = asyncio.ensure_future(
            self._dispatch_claimed(
                claim_ledger, claim, attempt, service_work, emit, meter
            )
        )
        try:
            await asyncio.shield(dispatched)
        except asyncio.CancelledError:
            # A caller that hangs up must not hide whether the call ran.
            await asyncio.wait([dispatched])
            raise

    async def _dispatch_claimed(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: Emit,
        meter: Meter,
    ) -> None:
        try:
            answer = await self._call(attempt, service_work, emit, meter)
        except plain_service.NotSentError as error:
            self._note(claim, errors.Outcome.NOT_RUN)
            claim_ledger.abandon(claim)
            meter.cost = None
            raise self._abort(
                errors.Reason.ENDPOINT_FAILED,
                "the service can't be reached",
                LEDGER_RETRY_SECONDS,
            ) from error
        except (errors.PeerError, TimeoutError) as error:
            self._note(claim, errors.Outcome.UNKNOWN)
            if isinstance(error, plain_service.LostError):
                raise await self._abort_lost(attempt, error) from error
            raise self._abort_unknown(
                f"the service gave no answer: {error}"
            ) from error
        await self._keep(claim_ledger, claim, answer, meter)
        await self._send_answer(attempt, answer, emit, meter)

    async def _keep(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        answer: plain_service.ServiceAnswer,
        meter: Meter,
    ) -> None:
        self._results.put(
            claim.claim_id,
            results.Result(
                claim.request_id,
                errors.Outcome.COMPLETED,
                False,
                answer.status,
                answer.body,
                meter.cost,
            ),
        )
        if meter.cost is None or len(answer.body) > MAX_KEPT_BODY_BYTES:
            return
        await claim_ledger.complete(
            ledger.Completion(
                customer=claim.customer,
                service=claim.service,
                idempotency_key=claim.idempotency_key,
                claim_id=claim.claim_id,
                status=answer.status,
                body=answer.body,
                cost=meter.cost,
            )
        )

    async def _answer_loser(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        attempt: work.Attempt,
        emit: Emit,
        state: ledger.ClaimState,
    ) -> None:
        if state is not ledger.ClaimState.LOST:
            raise self._abort(
                errors.Reason.IDEMPOTENCY_KEY_STALE
                if state is ledger.ClaimState.EXPIRED
                else errors.Reason.CLAIM_ABANDONED,
                f"the claim is {state.value}",
                LEDGER_RETRY_SECONDS,
            )
        winner = claim_ledger.find_winner(claim.key)
        if winner is None:
            raise self._abort(
                errors.Reason.CLAIM_ABANDONED,
                "the try that held the key gave up before it ran",
                LEDGER_RETRY_SECONDS,
            )
        if winner.digest != claim.digest:
            raise self._abort(
                errors.Reason.IDEMPOTENCY_KEY_REUSED,
                "this Idempotency-Key was sent with another request",
            )
        completion = claim_ledger.find_completion(claim.key)
        if completion is not None:
            await self._answer_completion(attempt, completion, emit)
            return
        raise AttemptAbortedError(
            errors.Refusal(
                errors.Reason.CLAIM_LOST,
                errors.Outcome.UNKNOWN,
                "another attempt holds this Idempotency-Key",
                "claim",
                self._keeper.name,
                winner=winner.claimant,
                winner_claim=winner.claim_id,
            )
        )

    async def _answer_completion(
        self,
        attempt: work.Attempt,
        completion: ledger.Completion,
        emit: Emit,
    ) -> None:
        # Billed as what it is: the attempt that ran, by whichever try.
        meter = Meter()
        meter.cost = completion.cost
        answer = plain_service.ServiceAnswer(
            completion.status, completion.body
        )
        await self._send_answer(attempt, answer, emit, meter)

    async def _dispatch(
        self,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: Emit,
        meter: Meter,
    ) -> None:
        try:
            answer = await self._call(attempt, service_work, emit, meter)
        except plain_service.NotSentError as error:
            meter.cost = None
            raise self._abort(
                errors.Reason.ENDPOINT_FAILED,
                "the service can't be reached",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except plain_service.LostError as error:
            raise await self._abort_lost(attempt, error) from error
        except errors.PeerError as error:
            raise self._abort_unknown(
                f"the service gave no answer: {error}"
            ) from error
        await self._send_answer(attempt, answer, emit, meter)

    async def _call(
        self,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: Emit,
        meter: Meter,
    ) -> plain_service.ServiceAnswer:
        meter.cost = self._make_cost(attempt)
        with contextlib.suppress(errors.PeerError):
            await emit(work.Accepted(self._keeper.configuration_offset))
        remaining = attempt.deadline - self._clock.wall()
        if remaining <= 0:
            raise plain_service.NotSentError(
                "call", self._endpoint, "the deadline passed"
            )
        return await self._service.call(
            attempt.request_id, service_work, remaining
        )

    def _make_cost(self, attempt: work.Attempt) -> billing.AttemptCost:
        service_work = typing.cast(work.ServiceWork, attempt.work)
        return billing.AttemptCost(
            attempt=attempt.number,
            endpoint=self._endpoint,
            service=service_work.service,
        )

    async def _send_answer(
        self,
        attempt: work.Attempt,
        answer: plain_service.ServiceAnswer,
        emit: Emit,
        meter: Meter,
    ) -> None:
        if meter.cost is None:
            raise errors.PeerError("run", self._endpoint, "no cost")
        await emit(
            assembly.Chunk(attempt.request_id, attempt.number, 0, answer.body)
        )
        await emit(
            work.Ended(
                attempt.number,
                1,
                hashlib.sha256(answer.body).digest(),
                meter.cost,
                answer.status,
            )
        )
