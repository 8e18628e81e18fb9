"""The operators' settings of admission."""

import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class AdmissionBounds:
    """Bounds of the queue, and how far endpoints are filled.

    :param max_waiting: the most requests that wait in one instance.
    :param max_waiting_bytes: the most bytes of their bodies and heads.
    :param memory_share: the part of a model server's memory, 0 to 1, that
        requests may use; the rest covers loads that are reported late.
    :param queue_share: the length of a model server's queue of prompts from
        which it gets no more, in parts of the shortest target time of its
        service's routes; 0 to ignore the queue.
    :param weights: the weight of customers by name; 1 for all others.
    """

    max_waiting: int = 256
    max_waiting_bytes: int = 8 * 1024 * 1024
    memory_share: float = 0.9
    queue_share: float = 1.0
    weights: collections.abc.Mapping[str, float] = dataclasses.field(
        default_factory=dict
    )
