"""Wakes heartbeat senders when a change must be sent at once."""

import asyncio
import collections.abc
import contextlib


class Notifier:
    """Wakes all subscribers by setting their events."""

    def __init__(self) -> None:
        self._events: set[asyncio.Event] = set()

    def notify(self) -> None:
        """Wake every subscriber."""
        for event in self._events:
            event.set()

    @contextlib.contextmanager
    def subscribe(self) -> collections.abc.Iterator[asyncio.Event]:
        """Return an event that is set whenever the subscribers are woken.

        The subscriber clears the event itself.
        """
        event = asyncio.Event()
        self._events.add(event)
        try:
            yield event
        finally:
            self._events.discard(event)
