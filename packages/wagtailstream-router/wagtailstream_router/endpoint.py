"""An endpoint's entry in the platform's store."""

import dataclasses
import enum


class EndpointState(enum.Enum):
    """Whether an endpoint accepts new requests."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model that an endpoint serves.

    :param weights: the version of its weights.
    """

    name: str
    weights: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One run of an endpoint, from its start to its exit.

    :param identity: its id in the store.
    :param address: its IPv4 address and port, `host:port`.
    :param version: the version of its software.
    :param slots: how many requests it runs at a time.
    :param cold_ms: the remaining time of its warm-up after the start; None
        if the entry does not say.
    :param born_ms: the Unix time of its start; a change under the same id is
        a restart.
    :param sequence: increases with each write of the entry since the start;
        None if the entry has none. It says nothing about the endpoint.
    """

    identity: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: EndpointState
    cold_ms: float | None
    models: tuple[ServedModel, ...]
    born_ms: int
    sequence: int | None = dataclasses.field(default=None, compare=False)
