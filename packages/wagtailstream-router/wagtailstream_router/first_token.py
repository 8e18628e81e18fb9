"""Tells late first tokens from timely ones, as evidence on a version."""

import asyncio
import collections.abc

from wagtailstream_router import rollout_state

# A first token is late if it takes longer than this multiple of the expected
# time plus MARGIN_MS, the longest step of an engine during a prefill.
LATE_FACTOR = 4.0
MARGIN_MS = 100.0


class FirstTokenWatch:
    """Records whether an attempt's first token is late, once that is known.

    A late token is recorded at its limit, not when it arrives: the answers of
    a slow version would come too late to bound its exposure.

    :param expected_ms: the expected time to the first token. It should leave
        out the server's recent lag: a slow version raises that lag itself, so
        its answers would not count as late.
    :param record: called with the sample, at most once.
    """

    def __init__(
        self,
        expected_ms: float,
        record: collections.abc.Callable[[rollout_state.Sample], None],
    ) -> None:
        self._record = record
        self._is_recorded = False
        self._has_arrived = False
        limit_ms = MARGIN_MS + LATE_FACTOR * expected_ms
        self._timer = asyncio.get_running_loop().call_later(
            limit_ms / 1000.0, self._record_once, True
        )

    @property
    def has_arrived(self) -> bool:
        """Whether the first token arrived."""
        return self._has_arrived

    def record_arrival(self) -> None:
        """Record the first token as timely unless it was late."""
        self._has_arrived = True
        self._record_once(is_late=False)

    def record_silence(self) -> None:
        """Record the first token as late: it is no longer waited for."""
        self._record_once(is_late=True)

    def stop(self) -> None:
        """Stop the timer, at the end of the attempt."""
        self._timer.cancel()

    def _record_once(self, is_late: bool) -> None:
        if self._is_recorded:
            return
        self._is_recorded = True
        self._timer.cancel()
        self._record(rollout_state.Sample(is_slow=is_late))
