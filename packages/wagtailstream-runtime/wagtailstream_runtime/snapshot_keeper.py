"""Appends snapshots of the configuration before retention drops it."""

import asyncio
import logging
import random

from wagtailstream_core import (
    clock,
    errors,
    freshness,
    records,
    signing,
    snapshots,
)
from wagtailstream_runtime import follower, log_client, metrics

MAX_CHECK_SECONDS = 60.0
CHECKS_PER_RETENTION = 100

_LOGGER = logging.getLogger(__name__)


class SnapshotKeeper:
    """Keeps a snapshot in the log that outlasts the oldest needed record.

    :param log: the platform's log.
    :param config_follower: holds the configuration in force.
    :param signer: signs the snapshots.
    :param retention_seconds: how long the log keeps records.
    :param system_clock: tells the time.
    :param rng: draws this instance's place in the due time.
    :param counters: counts the snapshots.
    """

    def __init__(
        self,
        log: log_client.LogClient,
        config_follower: follower.Follower,
        signer: signing.Signer,
        retention_seconds: float,
        system_clock: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        self._log = log
        self._follower = config_follower
        self._signer = signer
        self._retention_seconds = retention_seconds
        self._clock = system_clock
        self._draw = rng.random()
        self._metrics = counters
        self._started_at = system_clock.wall()

    async def run(self) -> None:
        """Append snapshots when they are due, until cancelled."""
        pause = min(
            MAX_CHECK_SECONDS, self._retention_seconds / CHECKS_PER_RETENTION
        )
        while True:
            await asyncio.sleep(pause)
            await self.check()

    async def check(self) -> None:
        """Append a snapshot if one is due."""
        if not self._is_due():
            return
        payload = snapshots.seal(self._follower.state, self._signer)
        try:
            await self._log.append(records.STREAM, payload)
        except errors.LogUnavailableError as error:
            _LOGGER.warning("no snapshot", extra={"detail": str(error)})
            return
        self._metrics.count(metrics.Metric.SNAPSHOTS_APPENDED)

    def _is_due(self) -> bool:
        if self._follower.state.bundle is None:
            return False
        if self._follower.judge() is not freshness.Freshness.FRESH:
            return False
        anchor_at = self._follower.anchor_at
        if anchor_at is None:
            # Nothing is known of older snapshots: as if one had just been
            # missed.
            anchor_at = self._started_at - self._retention_seconds / 2
        return self._clock.wall() >= snapshots.find_due(
            anchor_at, self._retention_seconds, self._draw
        )
