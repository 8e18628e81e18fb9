"""Decides which attempts the crash of an endpoint is attributed to."""

import asyncio
import urllib.parse

from wagtailstream_agent import slots
from wagtailstream_core import clock, strikes, work

PROBES = 3
# Timeout of each probe, and the pause after it.
PROBE_SECONDS = 0.1


async def is_dead(url: str) -> bool:
    """Return whether the process behind a URL no longer listens.

    A broken connection does not prove a crash, because the peer may have
    closed it. A refused connection afterwards does.

    :param url: the base URL of an engine or service.
    """
    parts = urllib.parse.urlsplit(url)
    for _ in range(PROBES):
        if await _is_refused(str(parts.hostname), parts.port or 80):
            return True
        await asyncio.sleep(PROBE_SECONDS)
    return False


async def _is_refused(host: str, port: int) -> bool:
    try:
        async with asyncio.timeout(PROBE_SECONDS):
            _, writer = await asyncio.open_connection(host, port)
    except ConnectionRefusedError:
        return True
    except (OSError, TimeoutError):
        return False
    writer.close()
    return False


class TrialTracker:
    """Tracks the suspect on trial and attributes crashes of the endpoint.

    A crash is attributed to the suspect on trial, if there is one, else to
    every attempt in flight.

    :param endpoint_slots: admits one suspect at a time.
    :param system_clock: source of the current time.
    """

    def __init__(
        self, endpoint_slots: slots.Slots, system_clock: clock.Clock
    ) -> None:
        self._slots = endpoint_slots
        self._clock = system_clock
        self._on_trial: work.Attempt | None = None
        self._attributed_at: float | None = None

    def begin(self, attempt: work.Attempt) -> None:
        """Put an admitted attempt on trial if it is a suspect.

        :param attempt: the attempt.
        """
        if attempt.is_suspect:
            self._on_trial = attempt

    def end(self, attempt: work.Attempt) -> None:
        """End an attempt's trial because it made progress or ended.

        Does nothing if the attempt is not on trial.

        :param attempt: the attempt.
        """
        if self._on_trial is attempt:
            self._on_trial = None
            self._slots.end_trial()

    def is_crash_attributed(self, attempt: work.Attempt) -> bool:
        """Return whether the endpoint's crash is attributed to an attempt.

        Other attempts may report the same crash shortly after the suspect on
        trial did; it is not attributed to them.

        :param attempt: an attempt that was in flight.
        """
        now = self._clock.monotonic()
        if self._on_trial is attempt:
            self._attributed_at = now
            return True
        if self._on_trial is not None:
            return False
        return (
            self._attributed_at is None
            or now - self._attributed_at > strikes.SAME_CRASH_SECONDS
        )
