"""Simulates an inference engine with batching slots and a prefix cache.

It models only what routing decisions depend on. Requests wait for a slot in
the order of priority. Prefill processes the prompt, without a cached prefix,
at a fixed rate. Tokens then come at an interval that grows with the size of
the batch. Reports of the load arrive late.
"""

import bisect
import collections
import collections.abc
import dataclasses
import heapq
import itertools

from experiments import simulation, workload


@dataclasses.dataclass(frozen=True)
class EngineShape:
    """The capacity and speed of an engine.

    :param slots: how many requests run at once.
    :param prefill_tokens_per_second: the rate at which prompts are processed.
    :param token_seconds: the interval between tokens in an empty batch.
    :param batch_slowdown: the fraction by which a full batch lengthens that
        interval.
    :param cached_prefixes: how many prefixes fit into the cache.
    """

    slots: int = 8
    prefill_tokens_per_second: float = 8000.0
    token_seconds: float = 0.015
    batch_slowdown: float = 0.6
    cached_prefixes: int = 12


@dataclasses.dataclass
class Job:
    """A request at an engine.

    :param on_first_token: called when the first token is generated.
    :param on_done: called when the request completes.
    """

    request: workload.Request
    on_first_token: collections.abc.Callable[[], None]
    on_done: collections.abc.Callable[[], None]
    submitted_at: float = 0.0
    is_cancelled: bool = False
    has_started: bool = False


class Engine:
    """Runs jobs in a limited number of slots.

    :param name: the endpoint's name.
    :param clock: the simulation's clock.
    :param shape: the engine's capacity and speed.
    :param slowness: the factor by which all processing times are multiplied;
        1 is normal.
    """

    def __init__(
        self,
        name: str,
        clock: simulation.Simulation,
        shape: EngineShape,
        slowness: float = 1.0,
    ) -> None:
        self.name = name
        self.slowness = slowness
        self.is_frozen = False
        self.hits = 0
        self.served = 0
        self._clock = clock
        self._shape = shape
        self._running = 0
        self._order = itertools.count()
        self._queue: list[tuple[int, int, Job]] = []
        self._prefixes: collections.OrderedDict[int, None] = (
            collections.OrderedDict()
        )
        self._change_times = [0.0]
        self._loads = [0]

    @property
    def load(self) -> int:
        """The number of requests running and queued now."""
        return self._running + len(self._queue)

    @property
    def slots(self) -> int:
        """How many requests can run at once."""
        return self._shape.slots

    def read_reported_load(self, lag: float) -> int:
        """Return the load as it was some time ago.

        :param lag: the age of the report, in seconds.
        """
        reported_at = self._clock.now - lag
        index = bisect.bisect_right(self._change_times, reported_at) - 1
        return self._loads[max(index, 0)]

    def submit(self, job: Job) -> None:
        """Queue a job, which starts as soon as it gets a slot.

        :param job: the job.
        """
        job.submitted_at = self._clock.now
        entry = (-job.request.priority, next(self._order), job)
        heapq.heappush(self._queue, entry)
        self._record_load()
        self._start_jobs()

    def _record_load(self) -> None:
        self._change_times.append(self._clock.now)
        self._loads.append(self.load)

    def _start_jobs(self) -> None:
        while (
            self._queue
            and self._running < self._shape.slots
            and not self.is_frozen
        ):
            job = heapq.heappop(self._queue)[2]
            if not job.is_cancelled:
                self._start(job)
            self._record_load()

    def _start(self, job: Job) -> None:
        self._running += 1
        self.served += 1
        job.has_started = True
        prefill_seconds = self._prefill(job.request)
        used_share = self._running / self._shape.slots
        interval = self._shape.token_seconds * (
            1.0 + self._shape.batch_slowdown * used_share
        )
        decode_seconds = interval * job.request.output_tokens
        prefill_seconds *= self.slowness
        decode_seconds *= self.slowness
        self._clock.after(
            prefill_seconds, lambda: self._report_first_token(job)
        )
        self._clock.after(
            prefill_seconds + decode_seconds, lambda: self._finish(job)
        )

    def _prefill(self, request: workload.Request) -> float:
        """Put the prompt's prefix into the cache; return the prefill time."""
        tokens = request.prompt_tokens
        if request.prefix in self._prefixes:
            self.hits += 1
            tokens -= request.prefix_tokens
        self._prefixes[request.prefix] = None
        self._prefixes.move_to_end(request.prefix)
        while len(self._prefixes) > self._shape.cached_prefixes:
            self._prefixes.popitem(last=False)
        return tokens / self._shape.prefill_tokens_per_second

    def _report_first_token(self, job: Job) -> None:
        if not self.is_frozen:
            job.on_first_token()

    def _finish(self, job: Job) -> None:
        if self.is_frozen:
            return
        self._running -= 1
        self._record_load()
        job.on_done()
        self._start_jobs()


def find_capacity(
    shape: workload.Shape, engine: EngineShape, engines: int
) -> float:
    """Return roughly how many requests per second fully used engines serve.

    Hits in the prefix cache are not taken into account.

    :param shape: the deployment that the requests come from.
    :param engine: the capacity and speed of each engine.
    :param engines: the number of engines.
    """
    interval = engine.token_seconds * (1.0 + engine.batch_slowdown)
    mean_seconds = sum(
        request_class.share
        * (
            request_class.output_tokens * interval
            + (request_class.prefix_tokens + request_class.own_tokens)
            / engine.prefill_tokens_per_second
        )
        for request_class in shape.classes
    )
    return engines * engine.slots / mean_seconds
