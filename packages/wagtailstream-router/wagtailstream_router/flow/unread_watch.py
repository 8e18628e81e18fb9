"""Ends callers that do not read, in a background task."""

import asyncio
import collections.abc
import time

from wagtailstream_router.flow import unread, window

End = collections.abc.Callable[[unread.Cause], None]


class UnreadWatch:
    """Checks the connections that have unsent bytes."""

    def __init__(self) -> None:
        self._ends: dict[window.SendWindow, End] = {}

    def set(self, window_: window.SendWindow, end: End) -> None:
        """Watch a connection while it has unsent bytes.

        :param end: called with the cause if its caller does not read.
        """
        if window_.unsent_bytes:
            self._ends[window_] = end
        else:
            self._ends.pop(window_, None)

    def check(self) -> None:
        """End the callers that do not read."""
        now = time.monotonic()
        for window_, end in list(self._ends.items()):
            cause = window_.check(now)
            if cause is not None:
                del self._ends[window_]
                end(cause)

    async def run(self) -> None:
        """Check until cancelled."""
        while True:
            await asyncio.sleep(unread.CHECK_SECONDS)
            self.check()
