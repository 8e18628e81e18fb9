"""The fleet's retry budget, split between its processes."""

import collections
import dataclasses
import time

# The fraction of the configured bound that is used. The rest is a reserve,
# since processes count differently and learn of each other with a delay.
PLANNED_SHARE = 0.85


@dataclasses.dataclass(frozen=True, slots=True)
class BudgetBounds:
    """The configured bound on retries, for the whole fleet.

    :param ratio: allowed extra sends per request in the window.
    :param window_seconds: the length of the sliding window.
    :param slack: extra sends allowed per window on top of the ratio.
    """

    ratio: float
    window_seconds: float
    slack: float


class RetryBudget:
    """This process's part of the retry budget of one service.

    :param bounds: the bound for the fleet.
    """

    def __init__(self, bounds: BudgetBounds) -> None:
        self._bounds = bounds
        self._requests: collections.deque[float] = collections.deque()
        self._extras: collections.deque[float] = collections.deque()

    def set_bounds(self, bounds: BudgetBounds) -> None:
        """Replace the bounds; the counts stay."""
        self._bounds = bounds

    def record_request(self) -> None:
        """Count a request."""
        self._requests.append(time.monotonic())

    def allows(self, process_count: int) -> bool:
        """Return whether one more extra send is within this process's part.

        :param process_count: the number of processes that share the slack.
        """
        self._remove_expired()
        allowed = PLANNED_SHARE * (
            self._bounds.ratio * len(self._requests)
            + self._bounds.slack / max(1, process_count)
        )
        return len(self._extras) + 1 <= allowed

    def record_extra(self) -> None:
        """Count an extra send."""
        self._extras.append(time.monotonic())

    @property
    def extra_count(self) -> int:
        """The number of extra sends within the window."""
        self._remove_expired()
        return len(self._extras)

    def _remove_expired(self) -> None:
        since = time.monotonic() - self._bounds.window_seconds
        for times in (self._requests, self._extras):
            while times and times[0] < since:
                times.popleft()
