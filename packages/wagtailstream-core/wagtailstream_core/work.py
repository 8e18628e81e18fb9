"""What an entry asks an agent to run, and what it answers."""

import dataclasses
import hashlib

from wagtailstream_core import billing, errors


@dataclasses.dataclass(frozen=True)
class ModelWork:
    """Generation on one version of a model.

    :param resume_from: how many chunks the entry already holds.
    """

    model: str
    version: str
    prompt: str
    max_tokens: int
    resume_from: int = 0


@dataclasses.dataclass(frozen=True)
class ServiceWork:
    """One call of a plain service's operation.

    :param idempotency_key: empty where the operation may be repeated.
    """

    service: str
    operation: str
    method: str
    body: bytes
    idempotency_key: str = ""


@dataclasses.dataclass(frozen=True)
class Attempt:
    """One try to run a request at an endpoint.

    :param configuration_offset: of the entry that sent it.
    :param deadline: Unix time in seconds.
    :param priority: higher goes first.
    :param is_suspect: whether an endpoint died under this body before.
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
    """The agent dispatches the attempt now: from here on it may have run."""

    configuration_offset: int


@dataclasses.dataclass(frozen=True)
class Ended:
    """The end of an attempt's answer.

    :param attempt: the number of the attempt that sent it.
    :param count: the number of chunks of the whole answer.
    :param digest: SHA-256 over the chunks that this attempt sent.
    :param cost: of the attempt that ran, which is another one where the
        answer to an earlier try is repeated.
    :param status: the HTTP status of a plain service's answer.
    """

    attempt: int
    count: int
    digest: bytes
    cost: billing.AttemptCost
    status: int = 200


@dataclasses.dataclass(frozen=True)
class Refused:
    """The agent's final word that it will not complete the attempt."""

    refusal: errors.Refusal
    configuration_offset: int


def digest(item: ModelWork | ServiceWork) -> str:
    """Return the digest under which strikes on a body are counted.

    :param item: the work; its version and position do not matter.
    """
    if isinstance(item, ModelWork):
        body = f"model\0{item.prompt}".encode()
    else:
        body = f"service\0{item.operation}\0".encode() + item.body
    return hashlib.sha256(body).hexdigest()


def identify(item: ServiceWork) -> str:
    """Return the digest of all that an idempotency key stands for.

    :param item: the call; its key does not matter.
    """
    parts = (item.service, item.operation, item.method)
    text = "\0".join(parts).encode() + b"\0" + item.body
    return hashlib.sha256(text).hexdigest()
