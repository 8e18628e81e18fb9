"""Lets requests proceed, wait or be refused by the room of their endpoints."""

import asyncio
import collections
import collections.abc
import dataclasses
import random
import time

from wagtailstream_router import (
    active_configuration,
    directory,
    event_log,
    job,
    metrics,
)
from wagtailstream_router.admission import (
    bounds,
    fit,
    pace,
    room,
    rooms,
    shares,
    waiting,
)

# The memory that a waiting request takes beside its body: head, parts, task.
OVERHEAD_BYTES = 8 * 1024
# The Retry-After of a request that no endpoint can ever run, as long as any of
# the router's own: only another configuration would help.
NEVER_RETRY_SECONDS = 1.0


@dataclasses.dataclass(frozen=True, slots=True)
class Ticket:
    """Room that an attempt takes.

    :param service: the service that the endpoint belongs to.
    """

    service: str
    place: room.EngineRoom
    number: int


class Admission:
    """Keeps the requests that no endpoint has room for.

    :param active: returns the configuration in force.
    :param limits: the operators' bounds; None to let all requests proceed.
    :param count_instances: returns how many instances share the endpoints.
    :param log: gets a line for each request that waited or was refused.
    :param counters: count them.
    :param generator: draws parts of scarce room, and spreads returns.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        limits: bounds.AdmissionBounds | None,
        count_instances: collections.abc.Callable[[], int],
        log: event_log.EventLog,
        counters: metrics.Metrics,
        generator: random.Random,
    ) -> None:
        self.rooms = rooms.Rooms(generator)
        self.engine_shares = shares.CustomerShares()
        self._plain_shares = shares.CustomerShares()
        self._fit = fit.Fit(
            active, limits, count_instances, self.rooms, self.engine_shares
        )
        self._log = log
        self._counters = counters
        self._random = generator
        self._queues: dict[str, waiting.ServiceQueue] = {}
        # From finding room to the begin and the end of an answer, by route.
        self._first: dict[str, pace.UsualTime] = {}
        self._whole: dict[str, pace.UsualTime] = {}
        self._is_closed = False
        self._set_weights()

    @property
    def waiting_count(self) -> int:
        """The number of waiting requests."""
        return sum(map(len, self._queues.values()))

    @property
    def waiting_bytes(self) -> int:
        """The memory that waiting requests take."""
        return sum(each.size_bytes for each in self._queues.values())

    @property
    def fleet_waiting_ms(self) -> float:
        """The engine time that waits for room in all instances."""
        peers_ms = sum(self._fit.peer_waiting.values())
        return float(sum(self.sum_waiting().values()) + peers_ms)

    def set_bounds(self, limits: bounds.AdmissionBounds | None) -> None:
        """Replace the operators' bounds; None lets all waiters proceed."""
        self._fit.limits = limits
        self._set_weights()
        for service_queue in self._queues.values():
            self._trim(service_queue)
            service_queue.wake()

    def sum_waiting(self) -> dict[int, int]:
        """Return the engine time in ms that waits here, by priority."""
        total: collections.Counter[int] = collections.Counter()
        for service_queue in self._queues.values():
            if service_queue.is_for_engines:
                total.update(service_queue.sum_waiting())
        self._fit.waiting = total
        return dict(total)

    def set_peer_waiting(
        self,
        reports: collections.abc.Iterable[
            tuple[float, collections.abc.Mapping[int, int]]
        ],
    ) -> None:
        """Replace the engine time that waits in the live peers.

        :param reports: for each peer, the age of its report in intervals of
            its reports, and its waiting work in ms by priority.
        """
        total: collections.Counter[int] = collections.Counter()
        for age, waiting_ms in reports:
            weight = rooms.weigh_report(age)
            for priority, work_ms in waiting_ms.items():
                total[priority] += round(weight * work_ms)
        self._fit.peer_waiting = total
        self.sum_waiting()

    def close(self) -> None:
        """Refuse all waiters, and all that would wait from now on."""
        self._is_closed = True
        for service_queue in self._queues.values():
            service_queue.close()

    async def wait_for_room(
        self,
        task: job.Job,
        listing: waiting.ListCandidates,
        model: str = "",
    ) -> waiting.Verdict:
        """Return once an endpoint has room for a request, or it is refused.

        A request without endpoints that take requests goes on at once: its
        forwarder answers it.

        :param listing: lists the endpoints that it may go to, anew each time.
        :param model: the model that it asks for; "" for a plain service.
        """
        task.went_on_at = time.monotonic()
        if self._fit.find_facts(task.service) is None:
            return waiting.GO_ON
        if self._fit.is_too_large(task):
            return self._refuse_too_large(task)
        waiter = self._make_waiter(task, listing, model)
        verdict = await self._find_queue(task.service, model).wait(waiter)
        task.went_on_at = time.monotonic()
        return verdict

    def list_with_room(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
        model: str = "",
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the endpoints to choose from for an attempt.

        These are the ones that this instance may send to, if there are any;
        else those with room; else all: the attempt is not put off.
        """
        need = self._fit.estimate_need(task, model)
        return (
            self._fit.list_takers(task, need, members)
            or self._fit.list_free(task, need, members)
            or members
        )

    def list_for_larger(
        self,
        task: job.Job,
        members: collections.abc.Sequence[directory.Member],
        model: str,
    ) -> collections.abc.Sequence[directory.Member]:
        """Return the endpoints with slots and memory for a larger model.

        There may be none; their queues are weighed by the choice of models.
        """
        need = self._fit.estimate_need(task, model)
        return self._fit.list_free(task, need, members, ignores_queue=True)

    def begin_attempt(
        self,
        task: job.Job,
        member: directory.Member,
        model: str = "",
        work_ms: float = 0.0,
        known_parts: collections.abc.Container[str] = (),
    ) -> Ticket:
        """Reserve an attempt's room, and count it as use of its customer.

        :param work_ms: the endpoint's estimated time for it.
        :param known_parts: shared parts, by model and id, that are probably
            cached there already.
        """
        need = room.estimate_need(task.call, model, work_ms)
        place = self.rooms.find(member)
        number = place.reserve(need, known_parts)
        used_ms = work_ms
        if model:
            used_ms += self._fit.estimate_output_ms(task, model)
        self._shares_of(model).record_use(task.customer, used_ms)
        return Ticket(task.service, place, number)

    def end_attempt(self, ticket: Ticket) -> None:
        """Release an attempt's room; waiters may proceed."""
        ticket.place.release(ticket.number)
        self.wake(ticket.service)

    def record_answer(self, task: job.Job, first_at: float) -> None:
        """Record a request whose answer has just ended.

        :param first_at: when its answer began, by the monotonic clock.
        """
        now = time.monotonic()
        for usual, seconds in (
            (self._first, first_at - task.went_on_at),
            (self._whole, now - task.went_on_at),
        ):
            usual.setdefault(task.route.name, pace.UsualTime()).record(seconds)

    def wake(self, service: str) -> None:
        """Look at a service's waiters soon, as room may have come free."""
        service_queue = self._queues.get(service)
        if service_queue is not None:
            service_queue.wake()

    def _set_weights(self) -> None:
        limits = self._fit.limits
        weights = limits.weights if limits is not None else {}
        self.engine_shares.weights = weights
        self._plain_shares.weights = weights

    def _shares_of(self, model: str) -> shares.CustomerShares:
        return self.engine_shares if model else self._plain_shares

    def _find_queue(self, service: str, model: str) -> waiting.ServiceQueue:
        found = self._queues.get(service)
        if found is None:
            found = self._queues[service] = waiting.ServiceQueue(
                self._fit,
                self.rooms,
                self._shares_of(model),
                bool(model),
                self._trim,
                self._log,
                self._counters,
                self._random,
            )
            if self._is_closed:
                found.close()
        return found

    def _trim(self, service_queue: waiting.ServiceQueue) -> None:
        """Drop waiters of a queue over what the others leave of the bounds."""
        limits = self._fit.limits
        if limits is None:
            return
        others = self.waiting_count - len(service_queue)
        others_bytes = self.waiting_bytes - service_queue.size_bytes
        service_queue.drop_excess(
            max(0, limits.max_waiting - others),
            max(0, limits.max_waiting_bytes - others_bytes),
        )

    def _refuse_too_large(self, task: job.Job) -> waiting.Verdict:
        reason = metrics.Counter.REFUSED_NEVER_FITS
        self._log.write_routine(
            "too_large",
            request=task.call.identity,
            customer=task.customer,
            route=task.route.name,
            tokens=task.call.prompt_tokens,
        )
        return waiting.Verdict(reason, NEVER_RETRY_SECONDS)

    def _make_waiter(
        self,
        task: job.Job,
        listing: waiting.ListCandidates,
        model: str,
    ) -> waiting.Waiter:
        need = self._fit.estimate_need(task, model)
        now = time.monotonic()
        first = self._first.get(task.route.name, pace.UsualTime())
        whole = self._whole.get(task.route.name)
        if whole is None:
            # As much time as the operators want answers to begin within.
            left = max(0.0, task.deadline - now)
            whole = pace.UsualTime(
                min(task.route.target_ms / 1000.0, left / 2.0)
            )
        return waiting.Waiter(
            task.priority,
            task.customer,
            now,
            task.call.arrived + task.route.target_ms / 1000.0 - first.mean,
            max(now, task.deadline - whole.bound),
            len(task.call.body) + OVERHEAD_BYTES,
            need.work_ms or max(1.0, whole.mean * 1000.0),
            task,
            need,
            listing,
            asyncio.get_running_loop().create_future(),
        )
