"""Runs operations of plain services, which are not models."""

import asyncio
import contextlib
import hashlib

import expression

from wagtailstream_core import (
    bundle,
    clock,
    errors,
    idempotency,
    wire_codec,
    wire_pb2,
    work,
)
from wagtailstream_entry.endpoints import (
    agent_link,
    connection,
    dispatch,
    target,
)
from wagtailstream_entry.filters import exchange, pipeline
from wagtailstream_runtime import follower

STEP = "service"
# Interval of polls for a result, and pause before claiming again.
POLL_SECONDS = 0.05
# Maximum number of claims of a request, if each winner abandons its claim.
MAX_CLAIM_ATTEMPTS = 5
_UNKNOWN = wire_pb2.OUTCOME_UNKNOWN


def derive_request_id(customer: str, service_work: work.ServiceWork) -> str:
    """Return the request identifier that all retries of a request share.

    The same key with another body or operation is another request. It is
    refused, and must not be mistaken for the one that ran, so the body and
    operation are part of the identifier.

    :param customer: the customer's name.
    :param service_work: the call, including its idempotency key.
    """
    text = (
        f"{customer}\0{service_work.idempotency_key}"
        f"\0{work.digest_call(service_work)}"
    )
    return hashlib.sha256(text.encode()).hexdigest()[:32]


class CheckOperation(pipeline.Filter):
    """Refuses forbidden operations and invalid idempotency keys.

    :param peer: this instance's name, for refusals.
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Check the service, the operation and the idempotency key.

        :param request: the request.
        """
        current_bundle, service_work = (
            request.configuration.bundle,
            request.operation,
        )
        customer = request.customer
        if current_bundle is None or service_work is None or customer is None:
            return self._refuse(
                errors.Reason.MALFORMED, "the request names no operation"
            )
        if service_work.service not in customer.services:
            return self._refuse(
                errors.Reason.SERVICE_FORBIDDEN,
                f"customer {customer.name} may not use service"
                f" {service_work.service}",
            )
        service = current_bundle.find_service(service_work.service)
        operation = (
            service.find_operation(service_work.operation) if service else None
        )
        if operation is None:
            return self._refuse(
                errors.Reason.SERVICE_FORBIDDEN,
                f"service {service_work.service} has no operation"
                f" {service_work.operation}",
            )
        return self._check_key(
            request, service_work, operation, current_bundle
        )

    def _check_key(
        self,
        request: exchange.Exchange,
        service_work: work.ServiceWork,
        operation: bundle.Operation,
        current_bundle: bundle.Bundle,
    ) -> pipeline.Verdict:
        if operation.repeatable:
            request.operation = work.ServiceWork(
                service_work.service,
                service_work.operation,
                service_work.method,
                service_work.body,
            )
            return pipeline.PASSED
        checked = idempotency.check_key(
            request.idempotency_key,
            current_bundle.limits.claim_window_seconds,
            request.received_at,
            self._peer,
        )
        if checked.is_error():
            return expression.Error(checked.error)
        key = request.idempotency_key.lower()
        request.operation = work.ServiceWork(
            service_work.service,
            service_work.operation,
            service_work.method,
            service_work.body,
            key,
        )
        name = request.customer.name if request.customer else ""
        request.request_id = derive_request_id(name, request.operation)
        return pipeline.PASSED

    def _refuse(self, reason: errors.Reason, message: str) -> pipeline.Verdict:
        return expression.Error(
            errors.not_run(reason, message, STEP, self._peer)
        )


class RunService(pipeline.Filter):
    """Dispatches an operation.

    If another request has claimed the same idempotency key, the answer to
    that request is returned.

    :param dispatcher: dispatches the operations.
    :param config_follower: holds the configuration in force.
    :param system_clock: the clock for deadlines.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        dispatcher: dispatch.Dispatcher,
        config_follower: follower.Follower,
        system_clock: clock.Clock,
        peer: str,
    ) -> None:
        self._dispatcher = dispatcher
        self._follower = config_follower
        self._clock = system_clock
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Run the request's operation.

        :param request: the request.
        """
        service_work, current_bundle = (
            request.operation,
            self._follower.state.bundle,
        )
        if service_work is None or current_bundle is None:
            return expression.Error(
                errors.not_run(
                    errors.Reason.MALFORMED,
                    "the request names no operation",
                    STEP,
                    self._peer,
                )
            )
        work_target = target.Target(
            target.find_service_endpoints(
                current_bundle, service_work.service
            ),
            None,
            0,
        )
        for _ in range(MAX_CLAIM_ATTEMPTS):
            verdict = await self._try_claim(request, service_work, work_target)
            if verdict.is_ok() or not self._may_claim_again(verdict.error):
                break
            await asyncio.sleep(POLL_SECONDS)
        return verdict

    def _may_claim_again(self, refusal: errors.Refusal) -> bool:
        return (
            refusal.reason is errors.Reason.CLAIM_ABANDONED
            and refusal.outcome is errors.Outcome.NOT_RUN
        )

    async def _try_claim(
        self,
        request: exchange.Exchange,
        service_work: work.ServiceWork,
        work_target: target.Target,
    ) -> pipeline.Verdict:
        outcome = await self._dispatcher.run(
            request, work_target, lambda _: service_work, request.sink
        )
        if outcome.is_ok():
            request.runs.append(outcome.ok.run)
            return pipeline.PASSED
        if outcome.error.reason is errors.Reason.CLAIM_LOST:
            return await self._fetch_claimed_answer(
                request, service_work, work_target, outcome.error
            )
        return expression.Error(outcome.error)

    async def _fetch_claimed_answer(
        self,
        request: exchange.Exchange,
        service_work: work.ServiceWork,
        work_target: target.Target,
        claim_refusal: errors.Refusal,
    ) -> pipeline.Verdict:
        """Fetch the answer from the agent that holds the winning claim."""
        query = wire_pb2.ResultRequest(
            customer=request.customer.name if request.customer else "",
            service=service_work.service,
            idempotency_key=service_work.idempotency_key,
            claim_id=claim_refusal.winner_claim,
        )
        reply = await self._poll_result(
            request, query, work_target, claim_refusal.winner
        )
        match wire_codec.decode_outcome(reply.outcome):
            case errors.Outcome.COMPLETED:
                return await self._deliver(request, reply)
            case errors.Outcome.NOT_RUN:
                return expression.Error(
                    request.finish_refusal(self._refuse_abandoned())
                )
        return self._refuse_unknown_outcome(
            "it is not known whether the request that claimed the key ran"
        )

    def _refuse_abandoned(self) -> errors.Refusal:
        return errors.not_run(
            errors.Reason.CLAIM_ABANDONED,
            "the request that claimed the key was abandoned before it ran",
            STEP,
            self._peer,
            self._clock.wall() + dispatch.RETRY_SECONDS,
        )

    def _refuse_unknown_outcome(self, message: str) -> pipeline.Verdict:
        return expression.Error(
            errors.unknown(errors.Reason.CLAIM_LOST, message, STEP, self._peer)
        )

    async def _poll_result(
        self,
        request: exchange.Exchange,
        query: wire_pb2.ResultRequest,
        work_target: target.Target,
        winner: str,
    ) -> wire_pb2.ResultReply:
        while True:
            reply = await self._fetch_result(query, work_target, winner)
            is_late = self._clock.wall() + POLL_SECONDS >= request.deadline
            if not reply.running or is_late:
                return reply
            await asyncio.sleep(POLL_SECONDS)

    async def _fetch_result(
        self,
        query: wire_pb2.ResultRequest,
        work_target: target.Target,
        winner: str,
    ) -> wire_pb2.ResultReply:
        """Fetch the result from the claimant, or else from other agents.

        The other agents of the service may know it from the log.
        """
        for link in self._list_sources(work_target, winner):
            with contextlib.suppress(errors.PeerError):
                source: connection.Connection = link.pick_any_connection()
                reply = await source.fetch_result(query)
                if reply.running or reply.outcome != _UNKNOWN:
                    return reply
        return wire_pb2.ResultReply(outcome=_UNKNOWN)

    def _list_sources(
        self, work_target: target.Target, winner: str
    ) -> list[agent_link.AgentLink]:
        table = self._dispatcher.table
        claimant = table.find_link(winner)
        others = [
            link
            for link in table.list_links()
            if link is not claimant
            and link.state is not None
            and work_target.admits(link.state)
        ]
        return [claimant, *others] if claimant is not None else others

    async def _deliver(
        self, request: exchange.Exchange, reply: wire_pb2.ResultReply
    ) -> pipeline.Verdict:
        request.status = reply.status
        request.costs.append(wire_codec.decode_cost(reply.cost))
        request.origin = exchange.Origin(endpoint=reply.cost.endpoint)
        await request.sink.start(request)
        await request.sink.write(reply.body)
        return pipeline.PASSED
