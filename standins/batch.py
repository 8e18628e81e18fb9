"""Continuous batching of the engine stand-in: queue, slots and step loop."""

import asyncio
import collections.abc
import dataclasses
import heapq
import itertools
import os
import time

import pydantic

import standins.answers as answers
import standins.prefix_cache as prefix_cache

CRASH_MARKER = "[crash]"
PREFILL_SECONDS_PER_TOKEN = 10e-6
# After a stall of the event loop, at most this many steps are caught up.
MAX_PENDING_STEPS = 10


class GenerateRequest(pydantic.BaseModel):
    """Body of POST /generate.

    :param resume_from: index of the first token to send.
    :param priority: a request with a higher value leaves the queue first.
    """

    request_id: str
    attempt: int = 0
    model: str
    version: str
    prompt: str
    max_tokens: int
    resume_from: int = 0
    priority: int = 0


@dataclasses.dataclass(eq=False)
class Run:
    """A request and its progress.

    :param count: tokens of the whole answer, those before ``resume_from``
        included.
    :param state: ``queued``, ``running``, ``done`` or ``cancelled``.
    :param ready_at: end of the prefill, monotonic seconds.
    :param indexes: indexes of the generated tokens, then None at the end.
    """

    request: GenerateRequest
    count: int
    garbled: bool = False
    state: str = "queued"
    next_index: int = 0
    ready_at: float = 0.0
    cached_tokens: int = 0
    indexes: asyncio.Queue[int | None] = dataclasses.field(
        default_factory=asyncio.Queue
    )


class Batch:
    """Generates one token for each running request in every step.

    :param slots: maximum number of running requests.
    :param on_change: called when a request is queued, starts or ends.
    """

    def __init__(
        self, slots: int, on_change: collections.abc.Callable[[], None]
    ) -> None:
        self.slots = slots
        self.token_seconds = 0.0
        self.frozen = False
        self.cache = prefix_cache.PrefixCache()
        self.running: list[Run] = []
        self.started: list[Run] = []
        self._queue: list[tuple[int, int, Run]] = []
        self._sequence = itertools.count()
        self._on_change = on_change
        self._wakeup = asyncio.Event()
        self._loop: asyncio.Task[None] | None = None

    @property
    def queued(self) -> int:
        """The number of requests that wait for a slot."""
        return sum(entry[2].state == "queued" for entry in self._queue)

    def submit(self, run: Run) -> None:
        """Queue a request, ordered by priority and then by arrival."""
        entry = (-run.request.priority, next(self._sequence), run)
        heapq.heappush(self._queue, entry)
        if self._loop is None:
            self._loop = asyncio.create_task(self._step_forever())
        self._on_change()
        self.wake()

    def cancel(self, run: Run) -> None:
        """Cancel a request that is queued or running."""
        if run.state in ("queued", "running"):
            self._end(run, "cancelled")

    def cancel_request(self, request_id: str) -> int:
        """Cancel the queued and running attempts of a request.

        :returns: number of attempts that were cancelled.
        """
        queued = [entry[2] for entry in self._queue]
        matching = [
            run
            for run in queued + self.running
            if run.request.request_id == request_id
            and run.state != "cancelled"
        ]
        for run in matching:
            self.cancel(run)
        return len(matching)

    def wake(self) -> None:
        """Wake the step loop."""
        self._wakeup.set()

    async def _step_forever(self) -> None:
        next_step_at = time.monotonic()
        while True:
            if self.frozen or not (self.running or self._queue):
                self._wakeup.clear()
                await self._wakeup.wait()
                next_step_at = time.monotonic()
                continue
            self._admit()
            earliest_step_at = (
                time.monotonic() - MAX_PENDING_STEPS * self.token_seconds
            )
            next_step_at = max(
                next_step_at + self.token_seconds, earliest_step_at
            )
            await asyncio.sleep(max(0.0, next_step_at - time.monotonic()))
            if not self.frozen:
                self._step()

    def _admit(self) -> None:
        while self._queue and len(self.running) < self.slots:
            run = heapq.heappop(self._queue)[2]
            if run.state == "queued":
                self._start(run)

    def _start(self, run: Run) -> None:
        request = run.request
        if CRASH_MARKER in request.prompt:
            os._exit(1)
        run.state = "running"
        run.next_index = request.resume_from
        run.cached_tokens = self.cache.use(
            request.model, request.version, request.prompt
        )
        tokens = prefix_cache.count_tokens(request.prompt)
        delay = (tokens - run.cached_tokens) * PREFILL_SECONDS_PER_TOKEN
        run.ready_at = time.monotonic() + delay
        self.running.append(run)
        self.started.append(run)
        self._on_change()

    def _step(self) -> None:
        now = time.monotonic()
        for run in list(self.running):
            if run.ready_at <= now:
                self._advance(run)

    def _advance(self, run: Run) -> None:
        if run.next_index < run.count:
            run.indexes.put_nowait(run.next_index)
            run.next_index += 1
        if run.next_index >= run.count:
            self._end(run, "done")

    def _end(self, run: Run, state: str) -> None:
        if run in self.running:
            self.running.remove(run)
        run.state = state
        run.indexes.put_nowait(None)
        self._on_change()


def new_run(request: GenerateRequest, garbled: bool) -> Run:
    """Return a queued run for a request."""
    count = answers.count_answer_tokens(request.prompt, request.max_tokens)
    return Run(request, count, garbled)
