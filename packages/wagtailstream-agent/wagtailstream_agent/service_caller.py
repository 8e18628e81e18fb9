"""Runs attempts as calls of a plain service, without claims."""

import contextlib
import hashlib
import typing

from wagtailstream_agent import gate, plain_service, runner, slots
from wagtailstream_core import assembly, billing, clock, errors, work


class ServiceCaller(runner.Runner):
    """Calls the plain service that the agent fronts; does not handle claims.

    :param context: the agent's state and admission check.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: limits the attempts that run at once.
    :param system_clock: source of the current time.
    :param service: the plain service.
    """

    def __init__(
        self,
        context: runner.AgentContext,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
        service: plain_service.Service,
    ) -> None:
        super().__init__(context, endpoint, endpoint_slots, system_clock)
        self._service = service

    async def _dispatch(
        self,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        try:
            answer = await self._call(attempt, service_work, emit, meter)
        except plain_service.NotSentError as error:
            meter.cost = None
            raise self._make_not_run_error(
                errors.Reason.ENDPOINT_FAILED,
                "the service can't be reached",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except plain_service.ConnectionLostError as error:
            raise await self._make_connection_lost_error(
                attempt, error
            ) from error
        except errors.PeerError as error:
            raise self._make_unknown_error(
                f"no answer from the service: {error}"
            ) from error
        await self._send_answer(attempt, answer, emit, meter)

    async def _call(
        self,
        attempt: work.Attempt,
        service_work: work.ServiceWork,
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> plain_service.ServiceAnswer:
        meter.cost = self._make_cost(attempt)
        with contextlib.suppress(errors.PeerError):
            await emit(work.Accepted(self._context.configuration_offset))
        remaining = attempt.deadline - self._clock.wall()
        if remaining <= 0:
            raise plain_service.NotSentError(
                "call", self._endpoint, "the deadline has passed"
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
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        if meter.cost is None:
            raise errors.PeerError(
                "run", self._endpoint, "no cost was recorded"
            )
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
