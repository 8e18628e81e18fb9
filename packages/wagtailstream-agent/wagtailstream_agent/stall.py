"""Notices an engine that takes work and makes no progress."""

import asyncio
import collections.abc
import contextlib

from wagtailstream_core import clock, errors

AVOID_SECONDS = 10.0


class StalledError(errors.PeerError):
    """The engine made no progress; what it was given may have run."""


class StallWatch:
    """Watches the progress of all generations of one engine.

    A generation is given up once neither it nor any other has made progress
    for the limit. One that waits while others go on is only slow.

    :param system_clock: tells the time.
    :param limit_seconds: how long without progress is taken for a stall.
    :param peer: the engine, for errors.
    """

    def __init__(
        self, system_clock: clock.Clock, limit_seconds: float, peer: str
    ) -> None:
        self._clock = system_clock
        self._limit_seconds = limit_seconds
        self._peer = peer
        self._progress_at = system_clock.monotonic()
        self._avoid_until = 0.0

    @property
    def is_stalled(self) -> bool:
        """Whether the engine stalled lately and made no progress since."""
        return self._clock.monotonic() < self._avoid_until

    def note_progress(self) -> None:
        """Note that some generation moved on."""
        self._progress_at = self._clock.monotonic()
        self._avoid_until = 0.0

    @contextlib.asynccontextmanager
    async def guard(self) -> collections.abc.AsyncIterator[None]:
        """Run a generation under watch.

        :raises StalledError: the engine makes no progress.
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
            self._avoid_until = self._clock.monotonic() + AVOID_SECONDS
            raise StalledError(
                "generate", self._peer, "no progress"
            ) from error
        finally:
            timer.cancel()

    async def _expire(self, scope: asyncio.Timeout, started_at: float) -> None:
        while (left := self._find_left(started_at)) > 0:
            await asyncio.sleep(left)
        scope.reschedule(asyncio.get_running_loop().time())

    def _find_left(self, started_at: float) -> float:
        last = max(started_at, self._progress_at)
        return last + self._limit_seconds - self._clock.monotonic()
