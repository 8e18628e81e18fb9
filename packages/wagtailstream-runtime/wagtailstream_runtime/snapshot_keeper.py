"""Appends configuration snapshots before retention drops needed records."""

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

# The check interval is the retention divided by CHECKS_PER_RETENTION, but at
# most MAX_CHECK_SECONDS.
MAX_CHECK_SECONDS = 60.0
CHECKS_PER_RETENTION = 100

_LOGGER = logging.getLogger(__name__)


class SnapshotKeeper:
    """Appends a snapshot before the oldest record that readers need expires.

    :param log: the platform's log.
    :param config_follower: holds the configuration in force.
    :param signer: signs the snapshots.
    :param retention_seconds: how long the log keeps records.
    :param system_clock: source of the current time.
    :param rng: draws the jitter of this instance's due times, so that mostly
        one instance appends a snapshot.
    :param counters: metrics to count snapshots in.
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
        self._due_jitter = rng.random()
        self._metrics = counters
        self._started_at = system_clock.wall()

    async def run(self) -> None:
        """Append snapshots when they are due, until cancelled."""
        interval = min(
            MAX_CHECK_SECONDS, self._retention_seconds / CHECKS_PER_RETENTION
        )
        while True:
            await asyncio.sleep(interval)
            await self.check()

    async def check(self) -> None:
        """Append a snapshot if one is due."""
        if not self._is_due():
            return
        payload = snapshots.seal(self._follower.state, self._signer)
        try:
            await self._log.append(records.STREAM, payload)
        except errors.LogUnavailableError as error:
            _LOGGER.warning(
                "snapshot append failed", extra={"detail": str(error)}
            )
            return
        self._metrics.count(metrics.Metric.SNAPSHOTS_APPENDED)

    def _is_due(self) -> bool:
        if self._follower.state.bundle is None:
            return False
        if self._follower.assess_freshness() is not freshness.Freshness.FRESH:
            return False
        needed_since = self._follower.needed_since
        if needed_since is None:
            # The age of the oldest needed record is unknown. Assume that it
            # was half the retention when this instance started, so that a
            # snapshot is due at most a quarter of the retention later.
            needed_since = self._started_at - self._retention_seconds / 2
        return self._clock.wall() >= snapshots.find_due(
            needed_since, self._retention_seconds, self._due_jitter
        )
