"""Decides on hedges: a second attempt beside a slow first one."""

import collections
import dataclasses

from wagtailstream_core import clock, retries, routing
from wagtailstream_entry.endpoints import agent_link, connection
from wagtailstream_entry.filters import job

MAX_MODELS = 256


@dataclasses.dataclass(eq=False)
class Leg:
    """One of the attempts that race for the first piece of an answer.

    :param sent_at: monotonic seconds.
    :param life: the life of the endpoint's process that it was sent to.
    :param is_accepted: whether the agent said that it dispatches it.
    :param is_agent_lost: whether the agent is gone; its endpoint may live.
    """

    link: agent_link.AgentLink
    run: connection.Run
    number: int
    sent_at: float
    life: str = ""
    is_accepted: bool = False
    is_agent_lost: bool = False

    @property
    def doubtful_life(self) -> str:
        """The life that may have outlived its agent; "" where none may."""
        return self.life if self.is_agent_lost else ""


class Hedger:
    """Keeps the times to first pieces, by model, and the hedges' budget.

    :param system_clock: tells the time.
    """

    def __init__(self, system_clock: clock.Clock) -> None:
        self._clock = system_clock
        self._budget = retries.Budget(retries.HEDGE_SHARE)
        self._windows: collections.OrderedDict[str, retries.LatencyWindow] = (
            collections.OrderedDict()
        )

    def note_request(self, item: job.Job) -> None:
        """Add a piece of work's share to the budget.

        :param item: the piece of work.
        """
        self._budget.note_request(item.customer, self._clock.monotonic())

    def note_first(self, item: job.Job, first: Leg) -> None:
        """Take in the time to a first piece.

        :param item: the piece of work.
        :param first: the leg that was sent first.
        """
        if item.target.version is None:
            return
        seconds = self._clock.monotonic() - first.sent_at
        self._find_window(item.target.version.model).note(seconds)

    def find_delay(self, item: job.Job) -> float | None:
        """Return after how many seconds to hedge, or None for not at all.

        Only generations are hedged, and only before their first piece.

        :param item: the piece of work.
        """
        if item.target.version is None or item.assembler.position:
            return None
        return self._find_window(item.target.version.model).find_hedge_delay()

    def may_send(
        self, item: job.Job, candidate: routing.Candidate | None
    ) -> bool:
        """Return whether a hedge may go to a candidate, and pay for it.

        :param item: the piece of work.
        :param candidate: where it would go; None if there is nowhere.
        """
        if candidate is None or candidate.is_suspect:
            return False
        if routing.estimate_load(candidate) >= candidate.slots:
            return False
        return self._budget.take(item.customer, self._clock.monotonic())

    def _find_window(self, model: str) -> retries.LatencyWindow:
        window = self._windows.get(model)
        if window is None:
            window = retries.LatencyWindow()
            self._windows[model] = window
        self._windows.move_to_end(model)
        while len(self._windows) > MAX_MODELS:
            self._windows.popitem(last=False)
        return window
