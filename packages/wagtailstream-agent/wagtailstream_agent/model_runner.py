"""Runs attempts at a model engine."""

import asyncio
import contextlib
import hashlib
import typing

from wagtailstream_agent import engine, gate, runner, slots, stall
from wagtailstream_core import assembly, billing, clock, errors, work


class ModelRunner(runner.Runner):
    """Runs each attempt as a generation on the engine that the agent fronts.

    :param context: the agent's state and admission check.
    :param endpoint: the endpoint's name.
    :param endpoint_slots: limits the attempts that run at once.
    :param system_clock: source of the current time.
    :param model_engine: the engine.
    :param stall_watch: detects when the engine stops making progress.
    """

    def __init__(
        self,
        context: runner.AgentContext,
        endpoint: str,
        endpoint_slots: slots.Slots,
        system_clock: clock.Clock,
        model_engine: engine.Engine,
        stall_watch: stall.StallWatch,
    ) -> None:
        super().__init__(context, endpoint, endpoint_slots, system_clock)
        self._engine = model_engine
        self._stall_watch = stall_watch

    async def _run_in_slot(
        self, attempt: work.Attempt, emit: runner.Emit, meter: runner.Meter
    ) -> None:
        self._check_gate(attempt)
        model_work = typing.cast(work.ModelWork, attempt.work)
        meter.cost = self._make_cost(attempt, model_work)
        await emit(work.Accepted(self._context.configuration_offset))
        try:
            async with asyncio.timeout(attempt.deadline - self._clock.wall()):
                await self._generate(attempt, model_work, emit, meter)
        except engine.NotLoadedError as error:
            meter.cost = None
            raise self._make_not_run_error(
                errors.Reason.NOT_LOADED,
                "the version is not loaded yet",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except engine.BusyError as error:
            meter.cost = None
            raise self._make_not_run_error(
                errors.Reason.ENDPOINT_FULL,
                "the engine's queue is full",
                gate.FULL_RETRY_SECONDS,
            ) from error
        except engine.NotSentError as error:
            meter.cost = None
            raise self._make_not_run_error(
                errors.Reason.ENDPOINT_FAILED,
                "the engine can't be reached",
                gate.LOAD_RETRY_SECONDS,
            ) from error
        except engine.ConnectionLostError as error:
            raise await self._make_connection_lost_error(
                attempt, error
            ) from error
        except stall.StalledError as error:
            raise self._make_unknown_error(
                "the engine made no progress", errors.Reason.ENDPOINT_STALLED
            ) from error
        except (errors.PeerError, TimeoutError) as error:
            raise self._make_unknown_error(
                f"the engine failed: {error}"
            ) from error

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
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        digest = hashlib.sha256()
        stream = self._engine.generate(attempt, model_work)
        async with (
            contextlib.aclosing(stream),
            self._stall_watch.guard(),
        ):
            async for item in stream:
                self._stall_watch.record_progress()
                self._trial_tracker.end(attempt)
                if isinstance(item, engine.Done):
                    await self._finish(attempt, item, digest, emit, meter)
                    return
                data = item.text.encode()
                digest.update(data)
                meter.count_token()
                await emit(
                    assembly.Chunk(
                        attempt.request_id, attempt.number, item.index, data
                    )
                )

    async def _finish(
        self,
        attempt: work.Attempt,
        done: engine.Done,
        digest: "hashlib._Hash",
        emit: runner.Emit,
        meter: runner.Meter,
    ) -> None:
        if meter.cost is None:
            raise errors.PeerError(
                "run", self._endpoint, "no cost was recorded"
            )
        meter.cost = meter.cost.model_copy(
            update={
                "prompt_tokens": done.prompt_tokens,
                "cached_tokens": done.cached_tokens,
            }
        )
        await emit(
            work.Ended(attempt.number, done.count, digest.digest(), meter.cost)
        )
