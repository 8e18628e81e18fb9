"""A small model of an engine: batching slots, prefix cache, load reports.

Only what the decisions see: a request waits for a slot by priority, its
prompt is read at a rate unless its prefix is cached, and its tokens come at
an interval that grows with the batch. Load is seen late.
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
    """The size of an engine.

    :param slots: how many requests run at once.
    :param prefill_tokens_per_second: how fast prompts are read.
    :param token_seconds: the interval between tokens in an empty batch.
    :param batch_slowdown: by what share a full batch stretches it.
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

    :param on_first_token: called with the time of the first token.
    :param on_done: called at the end.
    """

    request: workload.Request
    on_first_token: collections.abc.Callable[[], None]
    on_done: collections.abc.Callable[[], None]
    submitted_at: float = 0.0
    is_cancelled: bool = False
    has_started: bool = False


class Engine:
    """Runs jobs in slots.

    :param name: the endpoint's name.
    :param clock: the simulation.
    :param shape: its size.
    :param slowness: stretches all times; 1 is normal.
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
        """Requests running and queued now."""
        return self._running + len(self._queue)

    @property
    def slots(self) -> int:
        """How many requests run at once."""
        return self._shape.slots

    def read_reported_load(self, lag: float) -> int:
        """Return the load as of some time ago.

        :param lag: seconds ago.
        """
        seen = self._clock.now - lag
        index = bisect.bisect_right(self._change_times, seen) - 1
        return self._loads[max(index, 0)]

    def submit(self, job: Job) -> None:
        """Queue a job.

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
        first = self._find_prefill_seconds(job.request)
        share = self._running / self._shape.slots
        interval = self._shape.token_seconds * (
            1.0 + self._shape.batch_slowdown * share
        )
        rest = interval * job.request.output_tokens
        first *= self.slowness
        rest *= self.slowness
        self._clock.after(first, lambda: self._report_first_token(job))
        self._clock.after(first + rest, lambda: self._finish(job))

    def _find_prefill_seconds(self, request: workload.Request) -> float:
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
    """Return about how many requests a second full engines can serve.

    :param shape: whose requests.
    :param engine: the size of each engine.
    :param engines: how many.
    """
    interval = engine.token_seconds * (1.0 + engine.batch_slowdown)
    mean = sum(
        kind.share
        * (
            kind.output_tokens * interval
            + (kind.prefix_tokens + kind.own_tokens)
            / engine.prefill_tokens_per_second
        )
        for kind in shape.classes
    )
    return engines * engine.slots / mean
