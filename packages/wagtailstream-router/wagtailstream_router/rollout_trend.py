"""The recent part of a roll-out's evidence, and its rate of requests."""

import collections

from wagtailstream_router import rollout_state

# The spans of evidence that are looked at by themselves: the short one shows
# a change soon, the long one shows a smaller change.
RECENT_SECONDS = (1.0, 3.0)
# Shortest time between two samples; it bounds their number.
SAMPLE_SECONDS = 0.1

# The evidence on the new version, and that on all others.
Totals = tuple[rollout_state.Evidence, rollout_state.Evidence]


class Trend:
    """Samples of the evidence's sums over the last seconds.

    Answers from before the samples do not hide that a version turns bad.
    """

    def __init__(self) -> None:
        self._samples: collections.deque[tuple[float, Totals]] = (
            collections.deque()
        )

    def record(self, now: float, totals: Totals) -> None:
        """Keep the sums at a time by the monotonic clock."""
        if self._samples and now - self._samples[-1][0] < SAMPLE_SECONDS:
            return
        new, old = totals
        self._samples.append((now, (new.copy(), old.copy())))
        since = now - max(RECENT_SECONDS)
        while len(self._samples) > 1 and self._samples[1][0] <= since:
            self._samples.popleft()

    def list_recent(self, now: float, totals: Totals) -> list[Totals]:
        """Return the part of the sums of each recent span."""
        new, old = totals
        parts = []
        for seconds in RECENT_SECONDS:
            _, (new_before, old_before) = self._find(now - seconds, totals)
            parts.append((new.minus(new_before), old.minus(old_before)))
        return parts

    def requests_per_second(self, now: float, totals: Totals) -> float:
        """Return the service's rate of requests, the highest of the spans."""
        rates = []
        for seconds in RECENT_SECONDS:
            at, (new, old) = self._find(now - seconds, totals)
            count = totals[0].requests + totals[1].requests
            count -= new.requests + old.requests
            rates.append(count / max(now - at, SAMPLE_SECONDS))
        return max(rates)

    def _find(self, at: float, totals: Totals) -> tuple[float, Totals]:
        """Return the newest sample from a time or before, or the oldest.

        :param totals: returned if there is no sample.
        """
        found = (at, totals)
        for index, sample in enumerate(self._samples):
            if index == 0 or sample[0] <= at:
                found = sample
        return found
