"""The state that an agent reports in its heartbeats."""

import collections.abc
import dataclasses

from wagtailstream_core import configuration, wire_codec, wire_pb2


@dataclasses.dataclass(frozen=True)
class AgentState:
    """An agent's state as of its last heartbeat.

    :param queues: the number of queued attempts by priority.
    :param own_in_flight: this entry's attempts in flight at the agent when
        the heartbeat arrived.
    :param service_mean_seconds: the mean time that an attempt holds a slot.
    :param service_bound_seconds: the time within which most attempts finish.
    :param other_entries_rates: the requests per second that each customer
        sends to all other entries together.
    :param received_at: when the heartbeat arrived, in monotonic seconds.
    :param is_stalled: whether the endpoint makes no progress.
    :param life: identifies the current process of the endpoint, and changes
        when it restarts; "" if not known.
    """

    instance: str
    endpoint: str
    data_centre: str
    configuration_offset: int
    is_draining: bool
    running: int
    queued: int
    queues: collections.abc.Mapping[int, int]
    slots: int
    service_mean_seconds: float
    service_bound_seconds: float
    other_entries_rates: collections.abc.Mapping[str, float]
    loaded: frozenset[configuration.ModelVersion]
    own_in_flight: int
    received_at: float
    sequence: int = 0
    is_stalled: bool = False
    life: str = ""


def decode_state(
    message: wire_pb2.Heartbeat, own_in_flight: int, now: float
) -> AgentState:
    """Return the state that a heartbeat carries.

    :param message: the heartbeat.
    :param own_in_flight: this entry's attempts in flight at the agent now.
    :param now: monotonic seconds.
    """
    return AgentState(
        message.instance,
        message.endpoint,
        message.data_centre,
        message.configuration_offset,
        message.draining,
        message.running,
        message.queued,
        {queue.priority: queue.queued for queue in message.queues},
        message.slots,
        wire_codec.to_seconds(message.service_mean_ms),
        wire_codec.to_seconds(message.service_bound_ms),
        {d.customer: d.requests_per_second for d in message.demands},
        frozenset(
            configuration.ModelVersion(v.model, v.version)
            for v in message.loaded
        ),
        own_in_flight,
        now,
        message.sequence,
        message.stalled,
        message.endpoint_life,
    )
