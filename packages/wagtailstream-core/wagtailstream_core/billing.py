"""Bills: exactly one for each request, however often it is appended.

A bill holds the cost of each attempt of a request. Several instances may
append what they know of the same request. The fold merges their costs by
attempt and drops repeats, so that the customer gets one bill.
"""

import dataclasses
import typing

import pydantic

from wagtailstream_core import errors

STREAM = "bills"


class AttemptCost(pydantic.BaseModel):
    """What one attempt consumed.

    :param prompt_tokens: tokens of the prompt, including cached ones.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    attempt: int = pydantic.Field(ge=0)
    endpoint: str
    model: str = ""
    version: str = ""
    service: str = ""
    prompt_tokens: int = 0
    cached_tokens: int = 0
    answer_tokens: int = 0

    def _get_target(self) -> tuple[str, str, str, str]:
        return (self.endpoint, self.model, self.version, self.service)

    def join(self, other: "AttemptCost") -> "AttemptCost":
        """Return the merged cost of one attempt as two instances saw it.

        The merge is commutative: a count only grows while the attempt runs,
        so the larger value is the later one.

        :param other: another instance's cost of the same attempt.
        """
        first = min(self, other, key=AttemptCost._get_target)
        return first.model_copy(
            update={
                "prompt_tokens": max(self.prompt_tokens, other.prompt_tokens),
                "cached_tokens": max(self.cached_tokens, other.cached_tokens),
                "answer_tokens": max(self.answer_tokens, other.answer_tokens),
            }
        )


class Bill(pydantic.BaseModel):
    """The costs of a request as one instance knows them."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    customer: str
    request_id: str
    attempts: tuple[AttemptCost, ...]


class BillBatch(pydantic.BaseModel):
    """The bills of one record of the bills stream."""

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    bills: tuple[Bill, ...]


def encode_batch(bills: typing.Sequence[Bill]) -> bytes:
    """Return the payload of a record of the bills stream.

    :param bills: the bills, in any order.
    """
    return BillBatch(bills=tuple(bills)).model_dump_json().encode()


def decode_batch(payload: bytes) -> tuple[Bill, ...]:
    """Return the bills of a record of the bills stream.

    :param payload: the record's bytes.
    :raises errors.WagtailstreamError: the payload is malformed.
    """
    try:
        return BillBatch.model_validate_json(payload).bills
    except pydantic.ValidationError as error:
        raise errors.WagtailstreamError(
            "decode", "bills stream", str(error)
        ) from error


@dataclasses.dataclass(frozen=True, order=True)
class BillKey:
    """Identifies a request, which is billed once."""

    customer: str
    request_id: str


class BillFold:
    """The merged bills of all records folded so far."""

    def __init__(self) -> None:
        self._attempts: dict[BillKey, dict[int, AttemptCost]] = {}

    @property
    def keys(self) -> tuple[BillKey, ...]:
        """The billed requests, in the order first seen."""
        return tuple(self._attempts)

    def fold(self, bill: Bill) -> None:
        """Merge a bill; repeats and the order of bills do not matter.

        :param bill: the bill.
        """
        key = BillKey(bill.customer, bill.request_id)
        attempts = self._attempts.setdefault(key, {})
        for cost in bill.attempts:
            previous = attempts.get(cost.attempt, cost)
            attempts[cost.attempt] = previous.join(cost)

    def find_bill(self, key: BillKey) -> Bill | None:
        """Return the merged bill of a request, or None.

        :param key: the request.
        """
        attempts = self._attempts.get(key)
        if attempts is None:
            return None
        return Bill(
            customer=key.customer,
            request_id=key.request_id,
            attempts=tuple(attempts[n] for n in sorted(attempts)),
        )
