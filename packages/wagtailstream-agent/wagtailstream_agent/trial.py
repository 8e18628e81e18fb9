"""Tells on which attempts the death of the endpoint is laid."""

import asyncio
import urllib.parse

from wagtailstream_agent import slots
from wagtailstream_core import clock, strikes, work

PROBES = 3
PROBE_SECONDS = 0.1


async def is_dead(url: str) -> bool:
    """Return whether nothing listens at an address any more.

    A connection that breaks is no proof: the peer may have closed it. One
    that is refused afterwards is.

    :param url: the base address of an engine or service.
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


class TrialRoom:
    """Keeps who is on trial at the endpoint, and judges its deaths.

    While a suspect is on trial, a death is laid on it alone; otherwise on
    every attempt in flight.

    :param endpoint_slots: lets one suspect at a time in.
    :param system_clock: tells the time.
    """

    def __init__(
        self, endpoint_slots: slots.Slots, system_clock: clock.Clock
    ) -> None:
        self._slots = endpoint_slots
        self._clock = system_clock
        self._on_trial: work.Attempt | None = None
        self._convicted_at: float | None = None

    def enter(self, attempt: work.Attempt) -> None:
        """Begin the trial of an attempt that was let in, if it is one.

        :param attempt: the attempt.
        """
        if attempt.is_suspect:
            self._on_trial = attempt

    def leave(self, attempt: work.Attempt) -> None:
        """End an attempt's trial: it made progress or is over.

        :param attempt: the attempt.
        """
        if self._on_trial is attempt:
            self._on_trial = None
            self._slots.end_trial()

    def judge_death(self, attempt: work.Attempt) -> bool:
        """Return whether the endpoint's death is laid on an attempt.

        :param attempt: an attempt that was in flight.
        """
        now = self._clock.monotonic()
        if self._on_trial is attempt:
            self._convicted_at = now
            return True
        if self._on_trial is not None:
            return False
        return (
            self._convicted_at is None
            or now - self._convicted_at > strikes.SAME_DEATH_SECONDS
        )
