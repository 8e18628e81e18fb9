"""Conversion between wire messages and the data classes of the core."""

from wagtailstream_core import (
    assembly,
    billing,
    configuration,
    errors,
    snapshots,
    wire_pb2,
    work,
)

_MILLISECONDS_PER_SECOND = 1000.0
_OUTCOMES = {
    errors.Outcome.NOT_RUN: wire_pb2.OUTCOME_NOT_RUN,
    errors.Outcome.COMPLETED: wire_pb2.OUTCOME_COMPLETED,
    errors.Outcome.UNKNOWN: wire_pb2.OUTCOME_UNKNOWN,
}


def to_milliseconds(seconds: float) -> int:
    """Return a Unix time in milliseconds, as wire messages hold it.

    :param seconds: Unix time in seconds.
    """
    return round(seconds * _MILLISECONDS_PER_SECOND)


def to_seconds(milliseconds: int) -> float:
    """Return a Unix time of a wire message in seconds.

    :param milliseconds: Unix time in milliseconds.
    """
    return milliseconds / _MILLISECONDS_PER_SECOND


def encode_attempt(attempt: work.Attempt) -> wire_pb2.RunFrame:
    """Return the frame that starts an attempt.

    :param attempt: the attempt.
    """
    start = wire_pb2.RunStart(
        request_id=attempt.request_id,
        attempt=attempt.number,
        customer=attempt.customer,
        configuration_offset=attempt.configuration_offset,
        deadline_unix_ms=to_milliseconds(attempt.deadline),
        priority=attempt.priority,
        suspect=attempt.is_suspect,
    )
    match attempt.work:
        case work.ModelWork() as model:
            start.model.CopyFrom(
                wire_pb2.ModelWork(
                    model=model.model,
                    version=model.version,
                    prompt=model.prompt,
                    max_tokens=model.max_tokens,
                    resume_from=model.resume_from,
                )
            )
        case work.ServiceWork() as service:
            start.service.CopyFrom(
                wire_pb2.ServiceWork(
                    service=service.service,
                    operation=service.operation,
                    method=service.method,
                    body=service.body,
                    idempotency_key=service.idempotency_key,
                )
            )
    return wire_pb2.RunFrame(start=start)


def decode_attempt(frame: wire_pb2.RunFrame) -> work.Attempt:
    """Return the attempt that a frame starts.

    :param frame: the first frame of a ``Run`` call.
    :raises errors.PeerError: the frame does not start an attempt.
    """
    if frame.WhichOneof("frame") != "start":
        raise errors.PeerError(
            "decode", "entry", "the first frame of a run is not a start frame"
        )
    start = frame.start
    if start.WhichOneof("work") is None:
        raise errors.PeerError(
            "decode",
            "entry",
            "the start frame has neither model nor service work",
        )
    return work.Attempt(
        start.request_id,
        start.attempt,
        start.customer,
        start.configuration_offset,
        to_seconds(start.deadline_unix_ms),
        start.priority,
        _decode_work(start),
        start.suspect,
    )


def _decode_work(
    start: wire_pb2.RunStart,
) -> work.ModelWork | work.ServiceWork:
    if start.WhichOneof("work") == "model":
        return work.ModelWork(
            start.model.model,
            start.model.version,
            start.model.prompt,
            start.model.max_tokens,
            start.model.resume_from,
        )
    return work.ServiceWork(
        start.service.service,
        start.service.operation,
        start.service.method,
        start.service.body,
        start.service.idempotency_key,
    )


Answer = work.Accepted | assembly.Chunk | work.Ended | work.Refused


def encode_accepted(accepted: work.Accepted) -> wire_pb2.AnswerFrame:
    """Return the frame by which an agent accepts an attempt.

    :param accepted: the acceptance.
    """
    return wire_pb2.AnswerFrame(
        accepted=wire_pb2.Accepted(
            configuration_offset=accepted.configuration_offset
        )
    )


def encode_chunk(chunk: assembly.Chunk) -> wire_pb2.AnswerFrame:
    """Return the frame for a chunk.

    :param chunk: the chunk.
    """
    return wire_pb2.AnswerFrame(
        chunk=wire_pb2.Chunk(
            request_id=chunk.request_id,
            attempt=chunk.attempt,
            sequence=chunk.sequence,
            data=chunk.data,
        )
    )


def encode_ended(
    attempt: work.Attempt, ended: work.Ended
) -> wire_pb2.AnswerFrame:
    """Return the frame for the end of an answer.

    :param attempt: the attempt that ended.
    :param ended: the end of its answer.
    """
    return wire_pb2.AnswerFrame(
        end=wire_pb2.End(
            request_id=attempt.request_id,
            attempt=attempt.number,
            count=ended.count,
            digest=ended.digest,
            cost=encode_cost(ended.cost),
            status=ended.status,
        )
    )


def encode_refused(refused: work.Refused) -> wire_pb2.AnswerFrame:
    """Return the frame for a refusal.

    :param refused: the refusal.
    """
    refusal = refused.refusal
    return wire_pb2.AnswerFrame(
        refused=wire_pb2.Refused(
            reason=refusal.reason.value,
            outcome=_OUTCOMES[refusal.outcome],
            message=refusal.message,
            retry_at_unix_ms=to_milliseconds(refusal.retry_at or 0.0),
            configuration_offset=refused.configuration_offset,
            winner=refusal.winner,
            step=refusal.step,
            winner_claim=refusal.winner_claim,
        )
    )


def decode_answer(frame: wire_pb2.AnswerFrame, peer: str) -> Answer:
    """Return the content of an agent's frame.

    :param frame: the frame.
    :param peer: the agent's name, for refusals and errors.
    :raises errors.PeerError: the frame is empty.
    """
    match frame.WhichOneof("frame"):
        case "accepted":
            return work.Accepted(frame.accepted.configuration_offset)
        case "chunk":
            return assembly.Chunk(
                frame.chunk.request_id,
                frame.chunk.attempt,
                frame.chunk.sequence,
                frame.chunk.data,
            )
        case "end":
            return work.Ended(
                frame.end.attempt,
                frame.end.count,
                frame.end.digest,
                decode_cost(frame.end.cost),
                frame.end.status,
            )
        case "refused":
            return _decode_refused(frame.refused, peer)
        case _:
            raise errors.PeerError(
                "decode",
                peer,
                "the answer frame is none of accepted, chunk, end, refused",
            )


def _decode_refused(refused: wire_pb2.Refused, peer: str) -> work.Refused:
    try:
        reason = errors.Reason(refused.reason)
    except ValueError:
        reason = errors.Reason.INTERNAL
    retry_at = to_seconds(refused.retry_at_unix_ms) or None
    return work.Refused(
        errors.Refusal(
            reason,
            decode_outcome(refused.outcome),
            refused.message,
            refused.step,
            peer,
            retry_at,
            refused.winner,
            refused.winner_claim,
        ),
        refused.configuration_offset,
    )


def encode_outcome(outcome: errors.Outcome) -> "wire_pb2.Outcome.ValueType":
    """Return an outcome in the form of wire messages.

    :param outcome: the outcome.
    """
    return _OUTCOMES[outcome]


def decode_outcome(outcome: "wire_pb2.Outcome.ValueType") -> errors.Outcome:
    """Return the outcome of a wire message.

    A value that this version does not know becomes ``Outcome.UNKNOWN``.

    :param outcome: the message's value.
    """
    for member, value in _OUTCOMES.items():
        if value == outcome:
            return member
    return errors.Outcome.UNKNOWN


def encode_cost(cost: billing.AttemptCost) -> wire_pb2.Cost:
    """Return an attempt's cost in the form of wire messages.

    :param cost: the cost.
    """
    return wire_pb2.Cost(
        attempt=cost.attempt,
        endpoint=cost.endpoint,
        model=cost.model,
        version=cost.version,
        service=cost.service,
        prompt_tokens=cost.prompt_tokens,
        cached_tokens=cost.cached_tokens,
        answer_tokens=cost.answer_tokens,
    )


def decode_cost(cost: wire_pb2.Cost) -> billing.AttemptCost:
    """Return the attempt's cost of a wire message.

    :param cost: the message.
    """
    return billing.AttemptCost(
        attempt=cost.attempt,
        endpoint=cost.endpoint,
        model=cost.model,
        version=cost.version,
        service=cost.service,
        prompt_tokens=cost.prompt_tokens,
        cached_tokens=cost.cached_tokens,
        answer_tokens=cost.answer_tokens,
    )


def encode_offer(
    offer: snapshots.Offer,
) -> wire_pb2.ConfigurationRecords:
    """Return the message with the records that bring a peer up to date.

    :param offer: the records, and a snapshot if the peer needs one.
    """
    return wire_pb2.ConfigurationRecords(
        snapshot=offer.snapshot,
        records=[
            wire_pb2.ConfigurationRecord(
                offset=record.offset,
                payload=record.payload,
                appended_unix_ms=to_milliseconds(record.time),
            )
            for record in offer.records
        ],
    )


def decode_offer(message: wire_pb2.ConfigurationRecords) -> snapshots.Offer:
    """Return the records that a peer sent to bring this instance up to date.

    :param message: the message.
    """
    return snapshots.Offer(
        tuple(
            configuration.LogRecord(
                record.offset,
                record.payload,
                to_seconds(record.appended_unix_ms),
            )
            for record in message.records
        ),
        message.snapshot,
    )
