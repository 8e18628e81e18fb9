"""Tells late answers from timely ones, as evidence on a version."""

import asyncio
import collections.abc

from wagtailstream_router import rollout_state

# An answer is late if it takes longer than this multiple of the expected time.
LATE_FACTOR = 4.0


class AnswerWatch:
    """Records whether an attempt's answer is late, once that is known.

    A late answer is recorded at its limit, not when it arrives: the answers of
    a slow version would come too late to bound its exposure.

    :param limit_ms: the time after which the answer is late. It should not
        depend on recent answers of the endpoint itself: a slow version would
        raise its own limit.
    :param record: called with the sample, at most once.
    """

    def __init__(
        self,
        limit_ms: float,
        record: collections.abc.Callable[[rollout_state.Sample], None],
    ) -> None:
        self._limit_ms = limit_ms
        self._record = record
        self._is_recorded = False
        self._has_arrived = False
        self._timer = asyncio.get_running_loop().call_later(
            limit_ms / 1000.0, self._record_once, True
        )

    @property
    def limit_ms(self) -> float:
        """The time after which the answer is late."""
        return self._limit_ms

    @property
    def has_arrived(self) -> bool:
        """Whether the answer began to arrive."""
        return self._has_arrived

    def record_arrival(self) -> None:
        """Record the answer as timely unless it was late."""
        self._has_arrived = True
        self._record_once(is_late=False)

    def record_silence(self) -> None:
        """Record the answer as late: it is no longer waited for."""
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
