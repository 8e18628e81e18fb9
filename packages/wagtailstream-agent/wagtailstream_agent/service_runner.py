"""Runs attempts as calls of a plain service, with claims.

A request with an idempotency key is claimed in the log before its dispatch, so
that it runs at most once. An attempt that loses the claim is answered with the
winner's result.
"""

import asyncio
import typing
import uuid

from wagtailstream_agent import (
    claims,
    plain_service,
    results,
    runner,
    service_caller,
    slots,
)
from wagtailstream_core import (
    clock,
    errors,
    idempotency,
    ledger,
    work,
)

CLAIM_LIMIT_SECONDS = 5.0
LEDGER_RETRY_SECONDS = 2.0
# Longer answers are not stored in the log.
MAX_COMPLETION_BODY_BYTES = 16384


class ServiceRunner(service_caller.ServiceCaller):
    """Calls the plain service, claiming requests that may run only once.

    :param context: the agent's state and admission check.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: limits the attempts that run at once.
    :param system_clock: source of the current time.
    :param service: the plain service.
    :param address: this agent's address, from which results are fetched.
    :param result_table: stores the results.
    """

    def __init__(
        self,
        context: runner.AgentContext,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
        service: plain_service.Service,
        address: str,
        result_table: results.ResultTable,
    ) -> None:
        super().__init__(
            context, endpoint, endpoint_slots, system_clock, service
        )
        self._address = address
        self._results = result_table
        self._ledger: claims.ClaimLedger | None = None

    @property
    def claim_ledger(self) -> claims.ClaimLedger | None:
        """The ledger of the service's claims; None until it was set.

        The agent sets it with the first configuration that names the
        endpoint's service.
        """
        return self._ledger

    @claim_ledger.setter
    def claim_ledger(self, value: claims.ClaimLedger) -> None:
        self._ledger = value

    def find_result(
        self, key: ledger.ClaimKey, claim_id: str
    ) -> results.Result | None:
        """Return the result of a claimed request, or None if not known.

        Requests that this agent claimed are in its result table; for others
        the ledger may hold a completion.

        :param key: the key that the request claimed.
        :param claim_id: the claim.
        """
        found = self._results.find(claim_id)
        if found is not None or self._ledger is None:
            return found
        completion = self._ledger.find_completion(key)
        if completion is None or completion.claim_id != claim_id:
            return None
        return results.Result(
            "",
            errors.Outcome.COMPLETED,
            False,
            completion.status,
            completion.body,
            completion.cost,
        )

    async def _run_in_slot(
        self, attempt: work.Attempt, emit: runner.Emit, meter: runner.Meter
    ) -> None:
        self._check_gate(attempt)
        service_work = typing.cast(work.ServiceWork, attempt.work)
        if not service_work.idempotency_key:
            await self._dispatch(attempt, service_work, emit, meter)
            return
        claim_ledger = self._require_ledger()
        claim = self._make_claim(attempt, service_work, claim_ledger)
        # Recorded before the append: an attempt that loses the claim may read
        # the log first and ask this agent for the result.
        self._record_outcome(claim, errors.Outcome.UNKNOWN, is_running=True)
        state = await self._claim(claim_ledger, claim, attempt)
        if state is ledger.ClaimState.WON:
            await self._run_claimed(claim_ledger, claim, attempt, emit, meter)
            return
        self._record_outcome(claim, errors.Outcome.NOT_RUN)
        await self._answer_loser(claim_ledger, claim, attempt, emit, state)

    def _require_ledger(self) -> claims.ClaimLedger:
        if self._ledger is None:
            raise self._make_not_run_error(
                errors.Reason.LEDGER_UNAVAILABLE,
                "the ledger of claims has not been read yet",
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
            self._context.name,
        )
        if checked.is_error():
            raise runner.AttemptAbortedError(checked.error)
        return ledger.Claim(
            customer=attempt.customer,
            service=service_work.service,
            idempotency_key=service_work.idempotency_key,
            claim_id=uuid.uuid4().hex,
            claimant=self._address,
            request_id=attempt.request_id,
            key_time=checked.ok,
            digest=work.digest_call(service_work),
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
            self._record_outcome(claim, errors.Outcome.NOT_RUN)
            raise
        except errors.LogUnavailableError as error:
            self._record_outcome(claim, errors.Outcome.NOT_RUN)
            raise self._make_not_run_error(
                errors.Reason.LEDGER_UNAVAILABLE,
                "the claim could not be appended to the log",
                LEDGER_RETRY_SECONDS,
            ) from error

    def _record_outcome(
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
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        verdict = self._context.check(attempt)
        if verdict.is_error():
            claim_ledger.abandon(claim)
            self._record_outcome(claim, errors.Outcome.NOT_RUN)
            raise runner.AttemptAbortedError(verdict.error)
        service_work = typing.cast(work.ServiceWork, attempt.work)
        dispatched = asyncio.ensure_future(
            self._dispatch_claimed(
                claim_ledger, claim, attempt, service_work, emit, meter
            )
        )
        try:
            await asyncio.shield(dispatched)
        except asyncio.CancelledError:
            # Wait for the call even if the caller disconnects, so that its
            # outcome is recorded.
            await asyncio.wait([dispatched])
            raise

    async def _dispatch_claimed(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        try:
            answer = await self._call(attempt, service_work, emit, meter)
        except plain_service.NotSentError as error:
            self._record_outcome(claim, errors.Outcome.NOT_RUN)
            claim_ledger.abandon(claim)
            meter.cost = None
            raise self._make_not_run_error(
                errors.Reason.ENDPOINT_FAILED,
                "the service can't be reached",
                LEDGER_RETRY_SECONDS,
            ) from error
        except (errors.PeerError, TimeoutError) as error:
            self._record_outcome(claim, errors.Outcome.UNKNOWN)
            if isinstance(error, plain_service.ConnectionLostError):
                raise await self._make_connection_lost_error(
                    attempt, error
                ) from error
            raise self._make_unknown_error(
                f"no answer from the service: {error}"
            ) from error
        await self._store_answer(claim_ledger, claim, answer, meter)
        await self._send_answer(attempt, answer, emit, meter)

    async def _store_answer(
        self,
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        answer: plain_service.ServiceAnswer,
        meter: runner.Meter,
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
        if meter.cost is None or len(answer.body) > MAX_COMPLETION_BODY_BYTES:
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
        emit: runner.Emit,
        state: ledger.ClaimState,
    ) -> None:
        if state is not ledger.ClaimState.LOST:
            raise self._make_not_run_error(
                errors.Reason.IDEMPOTENCY_KEY_STALE
                if state is ledger.ClaimState.EXPIRED
                else errors.Reason.CLAIM_ABANDONED,
                f"the claim of this Idempotency-Key is {state.value}",
                LEDGER_RETRY_SECONDS,
            )
        winner = claim_ledger.find_winner(claim.key)
        if winner is None:
            raise self._make_not_run_error(
                errors.Reason.CLAIM_ABANDONED,
                "the claim that held this Idempotency-Key was abandoned before"
                " its call was dispatched",
                LEDGER_RETRY_SECONDS,
            )
        if winner.digest != claim.digest:
            raise self._make_not_run_error(
                errors.Reason.IDEMPOTENCY_KEY_REUSED,
                "this Idempotency-Key was sent with another request",
            )
        completion = claim_ledger.find_completion(claim.key)
        if completion is not None:
            await self._answer_completion(attempt, completion, emit)
            return
        raise runner.AttemptAbortedError(
            errors.Refusal(
                errors.Reason.CLAIM_LOST,
                errors.Outcome.UNKNOWN,
                "another attempt holds this Idempotency-Key",
                "claim",
                self._context.name,
                winner=winner.claimant,
                winner_claim=winner.claim_id,
            )
        )

    async def _answer_completion(
        self,
        attempt: work.Attempt,
        completion: ledger.Completion,
        emit: runner.Emit,
    ) -> None:
        # Bill the attempt that ran the call, not the one that is answered.
        meter = runner.Meter()
        meter.cost = completion.cost
        answer = plain_service.ServiceAnswer(
            completion.status, completion.body
        )
        await self._send_answer(attempt, answer, emit, meter)
