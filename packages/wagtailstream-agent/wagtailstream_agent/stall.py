"""Detects an engine that accepts work but makes no progress."""

import asyncio
import collections.abc
import contextlib

from wagtailstream_core import clock, errors

# How long the engine is reported as stalled unless it makes progress earlier.
STALL_REPORT_SECONDS = 10.0


class StalledError(errors.PeerError):
    """The engine made no progress; its work may have run nevertheless."""


class StallWatch:
    """Watches the progress of all generations of one engine.

    A generation is aborted if no generation of the engine, itself included,
    has made progress for the time limit. If others still make progress, a
    waiting one counts as slow, not as stalled.

    :param system_clock: source of the current time.
    :param limit_seconds: time without progress that counts as a stall.
    :param peer: the engine's URL, reported in errors.
    """

    def __init__(
        self, system_clock: clock.Clock, limit_seconds: float, peer: str
    ) -> None:
        self._clock = system_clock
        self._limit_seconds = limit_seconds
        self._peer = peer
        self._progress_at = system_clock.monotonic()
        self._stalled_until = 0.0

    @property
    def is_stalled(self) -> bool:
        """Whether the engine stalled and has made no progress since.

        It becomes false STALL_REPORT_SECONDS after the last stall.
        """
        return self._clock.monotonic() < self._stalled_until

    def record_progress(self) -> None:
        """Record that any generation of the engine made progress."""
        self._progress_at = self._clock.monotonic()
        self._stalled_until = 0.0

    @contextlib.asynccontextmanager
    async def guard(self) -> collections.abc.AsyncIterator[None]:
        """Return a context that aborts a generation when the engine stalls.

        :raises StalledError: the engine made no progress.
        """
        started_at = self._clock.monotonic()
        scope = asyncio.timeout(None)
        timer = asyncio.ensure_future(self._expire(scope, started_at))
        try:
            async with scope:
                yield
        except TimeoutError as error:
            if not scope.expired():
                raise
            self._stalled_until = (
                self._clock.monotonic() + STALL_REPORT_SECONDS
            )
            raise StalledError(
                "generate", self._peer, "no progress"
            ) from error
        finally:
            timer.cancel()

    async def _expire(self, scope: asyncio.Timeout, started_at: float) -> None:
        while (remaining := self._find_remaining(started_at)) > 0:
            await asyncio.sleep(remaining)
        scope.reschedule(asyncio.get_running_loop().time())

    def _find_remaining(self, started_at: float) -> float:
        last_progress_at = max(started_at, self._progress_at)
        return last_progress_at + self._limit_seconds - self._clock.monotonic()
