"""The fleet's budget of second tries, split between its processes."""

import collections
import dataclasses
import time

# Of the bound of the settings, what the fleet plans to use: requests that
# peers counted differently, and messages under way, take the rest.
PLANNED_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The bound of the settings, for the whole fleet.

    :param ratio: extra sends per request.
    :param window_seconds: the sliding window.
    :param slack: extra sends beside the ratio.
    """

    ratio: float
    window_seconds: float
    slack: float


class RetryBudget:
    """Counts a service's requests and extra sends of this process.

    :param bounds: the fleet's bound.
    """

    def __init__(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def set_bounds(self, bounds: BudgetBounds) -> None:
        """Put other bounds in force; what was counted still counts."""
        self._bounds = bounds

    def note_request(self) -> None:
        """Count a request."""
        self._requests.append(time.monotonic())

    def allows(self, process_count: int) -> bool:
        """Return whether one more extra send is within this process's part.

        :param process_count: the processes that share the slack.
        """
        self._forget()
        allowed = PLANNED_SHARE * (
            self._bounds.ratio * len(self._requests)
            + self._bounds.slack / max(1, process_count)
        )
        return len(self._extras) + 1 <= allowed

    def note_extra(self) -> None:
        """Count an extra send."""
        self._extras.append(time.monotonic())

    @property
    def extra_count(self) -> int:
        """Extra sends within the window."""
        self._forget()
        return len(self._extras)

    def _forget(self) -> None:
        since = time.monotonic() - self._bounds.window_seconds
        for times in (self._requests, self._extras):
            while times and times[0] < since:
                times.popleft()
