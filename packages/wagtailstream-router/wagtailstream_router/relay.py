"""Relays the events of a stream to the caller, complete and exactly once."""

import time

from wagtailstream_router import (
    event_stream,
    exchange,
    health,
    job,
)

# Bounds the memory for an incomplete event; the events in the users'
# specification have a few hundred bytes.
MAX_EVENT_BYTES = 64 * 1024


class Relay:
    """Relays one request's events, across all of its attempts."""

    def __init__(self, task: job.Job) -> None:
        self._task = task
        self._splitter = event_stream.EventSplitter()
        self._last_identity = task.call.last_event
        self._count = 0
        self._has_event = False
        self._first_at = 0.0
        self._last_at = 0.0

    @property
    def last_identity(self) -> str | None:
        """The id of the last event sent to the caller; None if unknown."""
        return self._last_identity

    @property
    def is_started(self) -> bool:
        """Whether the head of the answer was sent to the caller."""
        return self._task.reply.is_started

    @property
    def first_at(self) -> float:
        """Monotonic time of the first relayed event; 0 before it."""
        return self._first_at

    @property
    def last_at(self) -> float:
        """Monotonic time of the last relayed event; 0 before the first."""
        return self._last_at

    @property
    def count(self) -> int:
        """The number of events relayed; comments don't count."""
        return self._count

    @property
    def mean_gap_seconds(self) -> float:
        """The mean pause between relayed events; 0 before the second event."""
        if self._count < 2:
            return 0.0
        return (self._last_at - self._first_at) / (self._count - 1)

    def start_attempt(self) -> None:
        """Discard a partial event of the previous attempt."""
        self._splitter = event_stream.EventSplitter()
        self._has_event = False

    async def relay_chunk(
        self, answer: exchange.Exchange, data: bytes
    ) -> float:
        """Relay the events that a chunk completes.

        Events that the caller received from an earlier attempt are skipped.
        It returns when the caller may have more.

        :returns: how long it waited for the caller, in seconds.
        :raises exchange.AttemptError: an event is longer than
            `MAX_EVENT_BYTES`, or other text stands in its place.
        """
        waited_seconds = 0.0
        for event in self._splitter.feed(data):
            if not event.is_valid:
                raise _broken(answer, "the stream holds text that is no event")
            self._has_event = True
            if self._is_known(event):
                continue
            if not self.is_started:
                self._task.reply.start(answer.head.status, answer.head.headers)
            if event.identity:
                # Before the wait: a stream that ends in it goes on after it.
                self._last_identity = event.identity
            if not event.is_comment:
                self._last_at = time.monotonic()
                self._first_at = self._first_at or self._last_at
                self._count += 1
            waited_seconds += await self._task.reply.write(event.data)
        if self._splitter.rest_bytes > MAX_EVENT_BYTES:
            raise exchange.AttemptError(
                health.Fault.BROKEN,
                True,
                f"an event is longer than {MAX_EVENT_BYTES} bytes",
            )
        return waited_seconds

    def end(self, answer: exchange.Exchange) -> None:
        """Complete the answer to the caller.

        :raises exchange.AttemptError: the stream was broken off: it ended
            within an event, or has neither framing nor an event.
        """
        if self._splitter.rest_bytes:
            raise _broken(answer, "the stream ended within an event")
        if not self._has_event and not answer.is_framed:
            raise _broken(answer, "the stream ended before its first event")
        if not self.is_started:
            self._task.reply.start(answer.head.status, answer.head.headers)
        self._task.reply.finish()

    def _is_known(self, event: event_stream.Event) -> bool:
        """Return whether the caller already received an event.

        Decimal ids are ordered; other ids are only compared with the last.
        """
        last = self._last_identity
        if not last or not event.identity:
            return False
        if last.isdecimal() and event.identity.isdecimal():
            return int(event.identity) <= int(last)
        return event.identity == last


def _broken(answer: exchange.Exchange, detail: str) -> exchange.AttemptError:
    return exchange.AttemptError(
        health.Fault.BROKEN, True, detail, answer.answered_seconds
    )
