"""What an agent last said of itself."""

import collections.abc
import dataclasses

from wagtailstream_core import configuration, wire_codec, wire_pb2


@dataclasses.dataclass(frozen=True)
class AgentState:
    """An agent's state as of its last heartbeat.

    :param queues: how many wait there, by priority.
    :param own_in_flight: this entry's attempts under way there at that time.
    :param service_mean: the mean time that attempts hold a slot, in seconds.
    :param service_bound: the time within which most are done, in seconds.
    :param others_rates: what customers ask of all other entries, a second.
    :param heard_at: monotonic seconds.
    :param is_stalled: whether the endpoint makes no progress.
    :param life: names the life of the endpoint's process; "" if not known.
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
    service_mean: float
    service_bound: float
    others_rates: collections.abc.Mapping[str, float]
    loaded: frozenset[configuration.ModelVersion]
    own_in_flight: int
    heard_at: float
    sequence: int = 0
    is_stalled: bool = False
    life: str = ""


def decode_state(
    message: wire_pb2.Heartbeat, own_in_flight: int, now: float
) -> AgentState:
    """Return the state that a heartbeat carries.

    :param message: the heartbeat.
    :param own_in_flight: this entry's attempts under way there now.
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
