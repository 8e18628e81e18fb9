"""Relays the events of one answer, and detects a stall of its server."""

import asyncio
import collections.abc
import time

from wagtailstream_router import (
    answer_watch,
    exchange,
    forwarding,
    health,
    job,
    metrics,
    relay,
)
from wagtailstream_router.flow import reading_pause

# A stream that is silent for this share of the route's longest pause for full
# credit fails over if the rest of the pause is enough for the prefill at
# another endpoint.
STALL_SHARE = 0.6
# It replaces STALL_SHARE if at most one further attempt is allowed, which is
# reserved for a crash of the server, or if no other server would go on sooner.
LAST_STALL_SHARE = 2.0
# The longest pause between events where a route states none.
DEFAULT_GAP_SECONDS = 1.0


class EventRelay:
    """Relays one answer to its caller, no faster than the caller reads.

    :param sent: what the caller has received.
    :param has_spare_attempts: returns whether more than one further attempt
        is allowed.
    :param may_fail_over: returns whether the request may be sent to another
        server now.
    :param estimate_first_ms: returns the expected time to the first token
        there; None if there is no other server.
    :param counters: count the waits for callers.
    """

    def __init__(
        self,
        task: job.Job,
        sent: relay.Relay,
        has_spare_attempts: collections.abc.Callable[[], bool],
        may_fail_over: collections.abc.Callable[[], bool],
        estimate_first_ms: collections.abc.Callable[[], float | None],
        counters: metrics.Metrics,
    ) -> None:
        self._task = task
        self._relay = sent
        self._has_spare_attempts = has_spare_attempts
        self._may_fail_over = may_fail_over
        self._estimate_first_ms = estimate_first_ms
        self._counters = counters
        self._pause = reading_pause.ReadingPause()

    @property
    def is_held_back(self) -> bool:
        """Whether a pause for the caller may be why the answer ends now."""
        return self._pause.may_be_cause

    @property
    def _gap_seconds(self) -> float:
        """The longest pause between events for full credit."""
        return self._task.route.target_gap_ms / 1000.0 or DEFAULT_GAP_SECONDS

    async def run(
        self, answer: exchange.Exchange, watch: answer_watch.AnswerWatch
    ) -> None:
        """Relay the events to the end of the answer.

        :param watch: notified when the first token arrives.
        :raises exchange.AttemptError: the answer broke off or stalled, and the
            request may be sent to another server.
        """
        count = self._relay.count
        progress_at = time.monotonic()
        is_patient = not self._has_spare_attempts()
        while True:
            stall_seconds = self._stall_seconds(is_patient)
            stall_at = (
                None if stall_seconds is None else progress_at + stall_seconds
            )
            try:
                async with asyncio.timeout_at(stall_at):
                    chunk = await answer.read_chunk()
            except TimeoutError as error:
                if forwarding.seconds_left(self._task) <= 0.0:
                    raise
                if not self._may_fail_over():
                    # The retry budget ran out meanwhile: keep this stream.
                    continue
                if not is_patient and not self._resumes_in_time(answer):
                    is_patient = True
                    continue
                raise exchange.AttemptError(
                    health.Fault.SILENT, True, "the stream stalled"
                ) from error
            watch.record_arrival()
            if chunk is None:
                self._check_end(answer)
                self._relay.end(answer)
                return
            waited_seconds = await self._relay.relay_chunk(answer, chunk)
            if waited_seconds:
                self._record_pause(waited_seconds)
            if self._relay.count > count:
                # Bytes that complete no new event are no progress. The wait
                # for the caller is no stall.
                count = self._relay.count
                progress_at = time.monotonic()
                is_patient = not self._has_spare_attempts()

    def _record_pause(self, seconds: float) -> None:
        self._pause.record(seconds)
        self._counters.count(metrics.Counter.WAITED_FOR_CALLER)

    def _check_end(self, answer: exchange.Exchange) -> None:
        """Check that the end of an answer is no cut.

        :raises exchange.AttemptError: it has no framing, and its endpoint may
            have cut it off since it stayed unread.
        """
        if not answer.is_framed and self._pause.may_be_cause:
            raise exchange.AttemptError(
                health.Fault.BROKEN, True, "the answer ended after a pause"
            )

    def _stall_seconds(self, is_patient: bool) -> float | None:
        """Return the pause after which a stream fails over; None for never.

        :param is_patient: whether only a server that has most likely failed
            is left.
        """
        if not self._may_fail_over():
            return None
        share = LAST_STALL_SHARE if is_patient else STALL_SHARE
        return self._gap_seconds * share

    def _resumes_in_time(self, answer: exchange.Exchange) -> bool:
        """Return whether another server would go on before the longest pause.

        While all servers are slow it would not, and each stream that moved
        would only add to their work.
        """
        if answer.member.health.is_paused:
            return True
        first_ms = self._estimate_first_ms()
        left_seconds = self._gap_seconds * (1.0 - STALL_SHARE)
        return first_ms is not None and first_ms <= left_seconds * 1000.0
