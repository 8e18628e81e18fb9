"""The work that an entry sends to an agent, and the agent's answers."""

import dataclasses
import hashlib

from wagtailstream_core import billing, errors


@dataclasses.dataclass(frozen=True)
class ModelWork:
    """A text generation on one version of a model.

    :param resume_from: the number of chunks that the entry already has.
    """

    model: str
    version: str
    prompt: str
    max_tokens: int
    resume_from: int = 0


@dataclasses.dataclass(frozen=True)
class ServiceWork:
    """A call of a plain service's operation.

    :param idempotency_key: empty if the operation is idempotent.
    """

    service: str
    operation: str
    method: str
    body: bytes
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True)
class Attempt:
    """An attempt to run a request at an endpoint.

    :param configuration_offset: the offset of the sending entry's
        configuration.
    :param deadline: Unix time in seconds.
    :param priority: a higher one is served first.
    :param is_suspect: whether an endpoint crashed before while it ran a
        request with this body.
    """

    request_id: str
    number: int
    customer: str
    configuration_offset: int
    deadline: float
    priority: int
    work: ModelWork | ServiceWork
    is_suspect: bool = False


@dataclasses.dataclass(frozen=True)
class Accepted:
    """The agent dispatches the attempt.

    From now on the request may have run.

    :param configuration_offset: the offset of the agent's configuration.
    """

    configuration_offset: int


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of an attempt's answer.

    :param attempt: the number of the attempt.
    :param count: the number of chunks of the whole answer.
    :param digest: SHA-256 of the chunks that this attempt sent.
    :param cost: the cost of the attempt that ran. That is an earlier attempt
        if its stored answer is repeated.
    :param status: the HTTP status of a plain service's answer.
    """

    attempt: int
    count: int
    digest: bytes
    cost: billing.AttemptCost
    status: int = 200


@dataclasses.dataclass(frozen=True)
class Refused:
    """The agent's final answer to an attempt that did not complete.

    :param configuration_offset: the offset of the agent's configuration.
    """

    refusal: errors.Refusal
    configuration_offset: int


def digest(item: ModelWork | ServiceWork) -> str:
    """Return the digest of a request's body, by which strikes are counted.

    It does not depend on the model, its version or the position to resume
    from, so that the same body has the same digest on every attempt.

    :param item: the work.
    """
    if isinstance(item, ModelWork):
        body = f"model\0{item.prompt}".encode()
    else:
        body = f"service\0{item.operation}\0".encode() + item.body
    return hashlib.sha256(body).hexdigest()


def digest_call(item: ServiceWork) -> str:
    """Return the digest of a call without its idempotency key.

    A key may be sent again only with a call of the same digest.

    :param item: the call.
    """
    parts = (item.service, item.operation, item.method)
    text = "\0".join(parts).encode() + b"\0" + item.body
    return hashlib.sha256(text).hexdigest()
