"""What an endpoint says of itself in the platform's store."""

import dataclasses
import enum


class EndpointState(enum.Enum):
    """Whether an endpoint takes new work."""

    READY = "ready"
    DRAINING = "draining"


@dataclasses.dataclass(frozen=True, slots=True)
class ServedModel:
    """A model that an endpoint holds.

    :param weights: the version of its weights.
    """

    name: str
    weights: int


@dataclasses.dataclass(frozen=True, slots=True)
class Endpoint:
    """One start of one endpoint.

    :param identity: its id in the store.
    :param address: its IP number and port.
    :param version: the version of its software.
    :param cold_ms: how much longer it is slow after its start.
    :param born_ms: the Unix time of its start; tells a restart under the
        same id.
    """

    identity: str
    service: str
    address: str
    zone: str
    version: str
    slots: int
    state: EndpointState
    cold_ms: float
    models: tuple[ServedModel, ...]
    born_ms: int
