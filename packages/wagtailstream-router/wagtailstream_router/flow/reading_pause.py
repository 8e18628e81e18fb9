"""Tells whether a pause of reading may be why an answer was cut off."""

import time

# An endpoint cuts off an answer that stays unread for some seconds; shorter
# pauses are no cause.
CAUSE_SECONDS = 1.0
# How long after a pause the cut may show: bytes from before it come first.
MEMORY_SECONDS = 2.0


class ReadingPause:
    """The pauses of reading one answer, made while the caller did not read.

    It answers this load: callers that stop for some seconds, at endpoints that
    cut off what stays unread.
    """

    def __init__(self) -> None:
        self._ended_at = float("-inf")

    @property
    def may_be_cause(self) -> bool:
        """Whether a pause may be why the answer ends now."""
        return time.monotonic() - self._ended_at < MEMORY_SECONDS

    def record(self, seconds: float) -> None:
        """Record a pause that ends now.

        :param seconds: its length; 0 for none.
        """
        if seconds >= CAUSE_SECONDS:
            self._ended_at = time.monotonic()
