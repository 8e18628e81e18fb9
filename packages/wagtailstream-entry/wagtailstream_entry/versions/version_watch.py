"""Evaluates model versions, and suspends one that performs badly.

A suspension is a record in the platform's log, so that it holds fleet-wide.
"""

import asyncio
import collections
import collections.abc
import dataclasses
import logging
import random
import uuid

from wagtailstream_core import (
    clock,
    configuration,
    errors,
    heartbeat_codec,
    records,
    signing,
    suspension,
    tallies,
    wire_pb2,
)
from wagtailstream_runtime import follower, log_client, metrics

# Interval of the evaluations.
EVALUATION_INTERVAL_SECONDS = 0.2
# How long to wait until an appended suspension is read back from the log.
READ_BACK_WAIT_SECONDS = 2.0
# Entries see the same evidence at once. Each delays its append by a random
# time of up to this much per entry, so that most find the suspension already
# in the log and append none.
SPREAD_SECONDS_PER_ENTRY = 0.01
# Failures remembered so that a repeated one counts once. Beyond this number,
# the oldest is dropped.
MAX_KNOWN_FAILURES = 4096

_LOGGER = logging.getLogger(__name__)


@dataclasses.dataclass(frozen=True)
class _Failure:
    version: configuration.ModelVersion
    digest: str


class VersionWatch:
    """Counts answers and failures per version, and suspends bad versions.

    Entries share their counts through the heartbeats, so that each decides
    from the counts of the whole fleet.

    :param instance: this instance's name.
    :param config_follower: holds the configuration in force.
    :param log: the platform's log.
    :param signer: signs records with the fleet's key.
    :param count_entries: returns how many entries evaluate the same counts.
    :param system_clock: the clock for the age of counts.
    :param rng: draws the delays before appends.
    :param counters: counts ratings, findings and failed appends.
    """

    def __init__(
        self,
        instance: str,
        config_follower: follower.Follower,
        log: log_client.LogClient,
        signer: signing.Signer,
        count_entries: collections.abc.Callable[[], int],
        system_clock: clock.Clock,
        rng: random.Random,
        counters: metrics.Metrics,
    ) -> None:
        # A restarted instance counts from zero. A new random suffix keeps its
        # counts apart from those of the earlier run.
        self._monitor = suspension.VersionMonitor(
            f"{instance}/{uuid.uuid4().hex[:8]}"
        )
        self._follower = config_follower
        self._log = log
        self._signer = signer
        self._count_entries = count_entries
        self._clock = system_clock
        self._rng = rng
        self._metrics = counters
        self._findings: list[suspension.Finding] = []
        self._reported: set[configuration.ModelVersion] = set()
        self._failures: collections.OrderedDict[_Failure, None] = (
            collections.OrderedDict()
        )

    @property
    def tracks(self) -> suspension.Tracks:
        """The counts and the evidence for each version."""
        return self._monitor.tracks

    def needs_all_ratings(self, model: str) -> bool:
        """Return whether all answers of a model should be rated for now.

        :param model: the model's name.
        """
        return self._monitor.needs_all_ratings(model)

    def record_rating(
        self, version: configuration.ModelVersion, score: float
    ) -> None:
        """Count a rated answer.

        :param version: the version that gave the answer.
        :param score: the rating, 0 to 1.
        """
        self._metrics.count(metrics.Metric.RATINGS_COUNTED, str(version))
        self._count(version, tallies.count_rating(score))

    def record_failure(
        self, version: configuration.ModelVersion, digest: str
    ) -> None:
        """Count a request that failed at an endpoint.

        A request that fails repeatedly counts once for each version.

        :param version: the version that ran the request.
        :param digest: the digest of the request's body.
        """
        failure = _Failure(version, digest)
        if failure in self._failures:
            return
        self._failures[failure] = None
        if len(self._failures) > MAX_KNOWN_FAILURES:
            self._failures.popitem(last=False)
        self._count(version, tallies.FAILED)

    def _count(
        self, version: configuration.ModelVersion, counts: tallies.Counts
    ) -> None:
        now = self._clock.monotonic()
        self._monitor.count(self._follower.state, version, counts, now)

    def merge(
        self, received_tallies: collections.abc.Iterable[wire_pb2.VersionTally]
    ) -> None:
        """Merge the tallies of a heartbeat into the counts.

        :param received_tallies: the tallies, of any instances.
        """
        self._monitor.merge(
            self._follower.state,
            heartbeat_codec.decode_tallies(received_tallies),
            self._clock.monotonic(),
        )

    def list_shared(self) -> list[wire_pb2.VersionTally]:
        """Return the tallies for the next heartbeat."""
        now = self._clock.monotonic()
        return heartbeat_codec.encode_tallies(
            self._monitor.list_shared(self._follower.state, now)
        )

    def exclude_suspects(
        self, state: configuration.Configuration
    ) -> configuration.Configuration:
        """Return a configuration in which suspect versions are suspended.

        New sessions thus avoid a version that is about to be suspended, even
        if the log is slow to accept the suspension.

        :param state: the configuration in force.
        """
        suspects = {
            finding.version
            for finding in self._findings
            if finding.action is suspension.Action.SUSPEND
        }
        if not suspects:
            return state
        return dataclasses.replace(
            state, suspended=state.suspended | frozenset(suspects)
        )

    async def run(self) -> None:
        """Evaluate the versions regularly until cancelled."""
        while True:
            await asyncio.sleep(EVALUATION_INTERVAL_SECONDS)
            self._evaluate_versions()
            for finding in list(self._findings):
                if finding.action is suspension.Action.SUSPEND:
                    await self._suspend(finding)

    def _evaluate_versions(self) -> None:
        self._findings = self._monitor.evaluate(self._follower.state)
        found = {finding.version for finding in self._findings}
        self._reported &= found
        for finding in self._findings:
            if finding.version not in self._reported:
                self._reported.add(finding.version)
                self._report(finding)

    def _report(self, finding: suspension.Finding) -> None:
        self._metrics.count(metrics.Metric.BAD_VERSIONS, finding.action.value)
        _LOGGER.error(
            "model version performs badly",
            extra={
                "version": str(finding.version),
                "action": finding.action.value,
                "evidence": finding.evidence,
            },
        )

    async def _suspend(self, finding: suspension.Finding) -> None:
        """Append a suspension, and wait until it is read back.

        If the append fails or the record is stale, the next evaluation finds
        the version again and retries.
        """
        spread = SPREAD_SECONDS_PER_ENTRY * self._count_entries()
        await asyncio.sleep(self._rng.uniform(0.0, spread))
        state = self._follower.state
        version = finding.version
        if state.is_stopped(version.model, version.version):
            return
        record = records.Suspend(
            base=state.revision,
            model=version.model,
            version=version.version,
            evidence=finding.evidence,
        )
        try:
            appended = await self._log.append(
                records.STREAM, records.seal(record, self._signer)
            )
        except errors.LogUnavailableError as error:
            self._metrics.count(metrics.Metric.LOG_FAILURES)
            _LOGGER.warning(
                "could not append the suspension to the log",
                extra={"detail": str(error)},
            )
            return
        await self._wait_read_back(appended.offset)

    async def _wait_read_back(self, offset: int) -> None:
        try:
            async with asyncio.timeout(READ_BACK_WAIT_SECONDS):
                while self._follower.state.offset < offset:
                    await self._follower.wait_changed()
        except TimeoutError:
            _LOGGER.warning("appended suspension not read back from the log")
