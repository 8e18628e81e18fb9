"""Which endpoints a request may be sent to, by what it needs."""

import collections.abc
import dataclasses
import math

from wagtailstream_router import (
    active_configuration,
    configuration,
    directory,
    engine_time,
    job,
)
from wagtailstream_router.admission import bounds, room, rooms, shares


class Fit:
    """Compares requests with the room of endpoints.

    :param active: returns the configuration in force.
    :param limits: the operators' bounds; None if there is always room.
    :param count_instances: returns how many instances share the endpoints.
    :param places: the room of the endpoints.
    :param used: the customers' use of engine time.

    `waiting` is the work in ms that waits in this instance for engines, by
    priority, and `peer_waiting` in its peers, less what is beyond the
    customers' shares.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        limits: bounds.AdmissionBounds | None,
        count_instances: collections.abc.Callable[[], int],
        places: rooms.Rooms,
        used: shares.CustomerShares,
    ) -> None:
        self.limits = limits
        self._active = active
        self._count_instances = count_instances
        self._rooms = places
        self._used = used
        self.waiting: collections.abc.Mapping[int, int] = {}
        self.peer_waiting: collections.abc.Mapping[int, int] = {}
        self._facts: dict[str, rooms.ServiceFacts | None] = {}
        self._seen: configuration.Configuration | None = None

    def find_facts(self, service: str) -> rooms.ServiceFacts | None:
        """Return what the configuration says of a service.

        :returns: None if that is nothing, or if there is always room.
        """
        if self.limits is None:
            return None
        value = self._active.get()
        if value is None:
            return None
        if value is not self._seen:
            self._seen = value
            self._facts = {}
        if service not in self._facts:
            self._facts[service] = rooms.find_facts(value, service)
        return self._facts[service]

    def estimate_need(self, task: job.Job, model: str) -> room.Need:
        """Return what a request takes at an endpoint.

        :param model: the model that it asks for; "" for a plain service.
        """
        if not model:
            return room.Need()
        speed = engine_time.estimate_speed(task.route, model)
        work_ms = engine_time.prefill_ms(speed, task.call.prompt_tokens, 0)
        return room.estimate_need(task.call, model, work_ms)

    def estimate_output_ms(self, task: job.Job, model: str) -> float:
        """Return an output's part of the steps of a full batch."""
        facts = self.find_facts(task.service)
        if facts is None or facts.engine is None:
            return 0.0
        call = task.call
        output = call.expected_output_tokens or call.max_output_tokens
        speed = engine_time.estimate_speed(task.route, model)
        return output * speed.decode_ms / max(1, facts.engine.slots)

    def is_too_large(self, task: job.Job) -> bool:
        """Return whether a prompt exceeds the memory of any model server."""
        facts = self.find_facts(task.service)
        if facts is None or facts.engine is None:
            return False
        memory = facts.engine.memory_tokens
        return 0 < memory < task.call.prompt_tokens

    def list_takers(
        self,
        task: job.Job,
        need: room.Need,
        members: collections.abc.Sequence[directory.Member],
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the endpoints that this instance may send a request to.

        The customer's share does not matter if it has waited long or was sent
        before.
        """
        facts = self.find_facts(task.service)
        limits = self.limits
        if facts is None or limits is None:
            return members
        part = self._find_part(task, need, facts)
        return [
            member
            for member in members
            if self._rooms.may_take(
                member,
                need,
                rooms.find_capacity(
                    member, facts, limits, _urgency_of(task, facts)
                ),
                part,
            )
        ]

    def list_free(
        self,
        task: job.Job,
        need: room.Need,
        members: collections.abc.Sequence[directory.Member],
        ignores_queue: bool = False,
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the endpoints with room, whichever instance may take it.

        :param ignores_queue: whether only slots and memory matter.
        """
        facts = self.find_facts(task.service)
        limits = self.limits
        if facts is None or limits is None:
            return members
        free = []
        for member in members:
            capacity = rooms.find_capacity(
                member, facts, limits, _urgency_of(task, facts)
            )
            if ignores_queue:
                capacity = dataclasses.replace(capacity, queue_ms=math.inf)
            if self._rooms.has_room(member, need, capacity):
                free.append(member)
        return free

    def weigh_ms(
        self, customer: str, work_ms: float, has_precedence: bool = False
    ) -> float:
        """Return the work of a request as far as its customer's share goes.

        :param has_precedence: whether the share does not matter.
        """
        if has_precedence:
            return work_ms
        return work_ms * self._used.find_excess_factor(customer)

    def _find_part(
        self,
        task: job.Job,
        need: room.Need,
        facts: rooms.ServiceFacts,
    ) -> room.Part:
        """Return this instance's part of the room of model servers.

        It is by what waits in each instance and is as urgent, if anything
        waits so in others; else by their recent use.
        """
        count = self._count_instances()
        if count <= 1 or facts.engine is None:
            # Plain answers are too short for parts by reports.
            return room.WHOLE
        has_precedence = task.is_overdue or task.sent > 0
        priority = 0 if task.is_overdue else task.priority
        peers_ms = sum_urgent(self.peer_waiting, priority)
        if peers_ms:
            own_ms = max(
                float(sum_urgent(self.waiting, priority)),
                self.weigh_ms(task.customer, need.work_ms, has_precedence),
            )
            return room.Part(own_ms / (own_ms + peers_ms), True)
        share = self._used.find_instance_share(count)
        return room.Part(
            self.weigh_ms(task.customer, share, has_precedence), False
        )


def sum_urgent(
    waiting: collections.abc.Mapping[int, int], priority: int
) -> int:
    """Return the waiting work in ms that is at least as urgent.

    :param waiting: the work by priority.
    """
    return sum(work for rank, work in waiting.items() if rank <= priority)


def _urgency_of(task: job.Job, facts: rooms.ServiceFacts) -> int:
    return facts.top_priority if task.is_overdue else task.priority
