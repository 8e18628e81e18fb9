"""Request hedging: a second, concurrent attempt if the first one is slow."""

import collections
import dataclasses

from wagtailstream_core import clock, retries, routing
from wagtailstream_entry.endpoints import agent_link, connection
from wagtailstream_entry.filters import job

# Models whose latencies are kept; the least recently used one is dropped.
MAX_MODELS = 256


@dataclasses.dataclass(eq=False)
class RacingAttempt:
    """An attempt that may race a hedge for the first chunk of an answer.

    :param number: the attempt's number within the request.
    :param sent_at: monotonic seconds.
    :param life: identifies the endpoint process that the attempt was sent
        to; "" if not known.
    :param is_accepted: whether the agent reported that it dispatches the
        attempt.
    :param is_agent_lost: whether the agent is gone; its endpoint may still
        run.
    """

    link: agent_link.AgentLink
    run: connection.Run
    number: int
    sent_at: float
    life: str = ""
    is_accepted: bool = False
    is_agent_lost: bool = False

    @property
    def unconfirmed_life(self) -> str:
        """The endpoint process that may have outlived its agent, or ""."""
        return self.life if self.is_agent_lost else ""


class Hedger:
    """Decides when to hedge, from each model's latency and a budget.

    :param system_clock: the clock for latencies and the budget.
    """

    def __init__(self, system_clock: clock.Clock) -> None:
        self._clock = system_clock
        self._budget = retries.Budget(retries.HEDGE_SHARE)
        self._windows: collections.OrderedDict[str, retries.LatencyWindow] = (
            collections.OrderedDict()
        )

    def record_request(self, current_job: job.Job) -> None:
        """Add the share that a new job earns to the hedge budget.

        :param current_job: the job.
        """
        self._budget.record_request(
            current_job.customer, self._clock.monotonic()
        )

    def record_first_chunk(
        self, current_job: job.Job, first: RacingAttempt
    ) -> None:
        """Record the time from the first attempt to the first chunk.

        :param current_job: the job.
        :param first: the attempt that was sent first.
        """
        if current_job.target.version is None:
            return
        seconds = self._clock.monotonic() - first.sent_at
        self._find_window(current_job.target.version.model).add_sample(seconds)

    def find_delay(self, current_job: job.Job) -> float | None:
        """Return the seconds after which to hedge, or None for no hedge.

        Only calls of models are hedged, and only before their first chunk.

        :param current_job: the job.
        """
        if (
            current_job.target.version is None
            or current_job.assembler.position
        ):
            return None
        return self._find_window(
            current_job.target.version.model
        ).find_hedge_delay()

    def reserve_hedge(
        self, current_job: job.Job, candidate: routing.Candidate | None
    ) -> bool:
        """Return whether a hedge may be sent; if so, debit the budget.

        :param current_job: the job.
        :param candidate: the endpoint for the hedge; None if there is none.
        """
        if candidate is None or candidate.is_suspect:
            return False
        if routing.estimate_load(candidate) >= candidate.slots:
            return False
        return self._budget.try_take(
            current_job.customer, self._clock.monotonic()
        )

    def _find_window(self, model: str) -> retries.LatencyWindow:
        window = self._windows.get(model)
        if window is None:
            window = retries.LatencyWindow()
            self._windows[model] = window
        self._windows.move_to_end(model)
        while len(self._windows) > MAX_MODELS:
            self._windows.popitem(last=False)
        return window
