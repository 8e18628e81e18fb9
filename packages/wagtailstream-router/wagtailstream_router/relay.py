"""Passes the events of a stream on, each once and each whole."""

import time

from wagtailstream_router import (
    event_stream,
    exchange,
    health,
    job,
)


class Relay:
    """The events of one request, on their way to its caller."""

    def __init__(self, task: job.Job) -> None:
        self._task = task
        self._splitter = event_stream.EventSplitter()
        self._last_identity = task.call.last_event
        self._count = 0
        self._first_at = 0.0
        self._last_at = 0.0

    @property
    def last_identity(self) -> str | None:
        """The id of the last event that the caller holds."""
        return self._last_identity

    @property
    def is_started(self) -> bool:
        """Whether the caller got the head of the answer."""
        return self._task.reply.is_started

    @property
    def first_at(self) -> float:
        """When the first event was passed on."""
        return self._first_at

    @property
    def last_at(self) -> float:
        """When the last event was passed on; 0 before the first."""
        return self._last_at

    @property
    def count(self) -> int:
        """How many events were passed on."""
        return self._count

    @property
    def usual_gap_seconds(self) -> float:
        """The mean pause between events so far; 0 before the second."""
        if self._count < 2:
            return 0.0
        return (self._last_at - self._first_at) / (self._count - 1)

    def start_attempt(self) -> None:
        """Forget the part of an event that a cut run left."""
        self._splitter = event_stream.EventSplitter()

    def take(self, answer: exchange.Exchange, data: bytes) -> None:
        """Pass on the events that are whole with more bytes."""
        for event in self._splitter.feed(data):
            if self._is_known(event):
                continue
            if not self.is_started:
                self._task.reply.start(answer.head.status, answer.head.headers)
                self._first_at = time.monotonic()
            self._task.reply.write(event.data)
            self._count += 1
            self._last_at = time.monotonic()
            if event.identity:
                self._last_identity = event.identity

    def end(self, answer: exchange.Exchange) -> None:
        """End the answer as complete.

        :raises exchange.AttemptError: it ended within an event.
        """
        if self._splitter.has_rest:
            raise exchange.AttemptError(
                health.Fault.BROKEN, True, "ended within an event"
            )
        if not self.is_started:
            self._task.reply.start(answer.head.status, answer.head.headers)
        self._task.reply.finish()

    def _is_known(self, event: event_stream.Event) -> bool:
        """Return whether the caller holds an event already."""
        last = self._last_identity
        if not last or not event.identity:
            return False
        if last.isdecimal() and event.identity.isdecimal():
            return int(event.identity) <= int(last)
        return event.identity == last
