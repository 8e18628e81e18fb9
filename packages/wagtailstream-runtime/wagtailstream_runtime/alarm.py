"""Wakes senders of heartbeats when there is news that should not wait."""

import asyncio
import collections.abc
import contextlib


class Alarm:
    """Sets the events of all subscribers."""

    def __init__(self) -> None:
        self._events: set[asyncio.Event] = set()

    def ring(self) -> None:
        """Wake every subscriber."""
        for event in self._events:
            event.set()

    @contextlib.contextmanager
    def subscribe(self) -> collections.abc.Iterator[asyncio.Event]:
        """Hold an event that each ring sets; its holder clears it."""
        event = asyncio.Event()
        self._events.add(event)
        try:
            yield event
        finally:
            self._events.discard(event)
