"""Records quarantines of request bodies in the platform's log.

Each crash of an endpoint while a body was in flight is a strike against the
body. At the limit of strikes the body is quarantined, and a record in the log
makes that hold on every instance and after restarts.
"""

import asyncio
import logging

from wagtailstream_core import clock, errors, records, signing, strikes
from wagtailstream_runtime import (
    follower,
    log_client,
    strike_board,
)

# How long a request waits for the record that its strike triggered.
APPEND_WAIT_SECONDS = 1.0
# Minimum time between attempts to append the record of one digest.
RETRY_SECONDS = 5.0
# An agent that is not back within this time is assumed to have crashed with
# its endpoint. An agent starts in a tenth of this time.
UNCONFIRMED_STRIKE_SECONDS = 30.0

_LOGGER = logging.getLogger(__name__)


class Quarantine:
    """Counts strikes against bodies, and records quarantines in the log.

    :param board: the strikes that this instance knows.
    :param log: the platform's log.
    :param config_follower: holds the configuration in force.
    :param signer: signs records with the fleet's key.
    :param system_clock: the clock for the time between append attempts.
    """

    def __init__(
        self,
        board: strike_board.StrikeBoard,
        log: log_client.LogClient,
        config_follower: follower.Follower,
        signer: signing.Signer,
        system_clock: clock.Clock,
    ) -> None:
        self._board = board
        self._log = log
        self._follower = config_follower
        self._signer = signer
        self._clock = system_clock
        self._last_append_at: dict[str, float] = {}
        self._unconfirmed: dict[strikes.Strike, str] = {}
        self._tasks: set[asyncio.Task[None]] = set()

    def check(self, digest: str) -> errors.Refusal | None:
        """Return the refusal if a digest is quarantined, or else None.

        A quarantine that is not in the log yet is appended in the
        background.

        :param digest: the body's digest.
        """
        self._start_recording(digest)
        return self._board.check(digest)

    def is_suspect(self, digest: str) -> bool:
        """Return whether a digest has a strike.

        :param digest: the body's digest.
        """
        return self._board.is_suspect(digest)

    def record_answer(self, digest: str) -> None:
        """Clear the strikes against a digest whose request was answered.

        :param digest: the body's digest.
        """
        self._board.record_answer(digest)

    def handle_endpoint_life(self, endpoint: str, life: str) -> None:
        """Withdraw strikes if an endpoint outlived its agent.

        The first known process identifier decides: it confirms or withdraws
        all unconfirmed strikes of the endpoint.

        :param endpoint: the endpoint's name.
        :param life: identifies the current process of the endpoint, as its
            agent reports; "" if the agent does not know it.
        """
        if not life:
            return
        unconfirmed = [
            strike
            for strike in self._unconfirmed
            if strike.endpoint == endpoint
        ]
        mistaken = [s for s in unconfirmed if self._unconfirmed[s] == life]
        for strike in unconfirmed:
            del self._unconfirmed[strike]
        if mistaken:
            self._board.withdraw(mistaken)

    async def record_crash(
        self, digest: str, endpoint: str, life: str = ""
    ) -> None:
        """Count a strike; at the limit, wait briefly for the record.

        :param digest: the digest of a body that was in flight.
        :param endpoint: the name of the endpoint that crashed.
        :param life: identifies the endpoint process that ran the request, if
            only its agent is known to have crashed; "" if the endpoint
            itself is known to have crashed.
        """
        strike = self._board.record_crash(digest, endpoint)
        oldest = strike.struck_at - UNCONFIRMED_STRIKE_SECONDS
        for expired in [s for s in self._unconfirmed if s.struck_at < oldest]:
            del self._unconfirmed[expired]
        if life:
            self._unconfirmed[strike] = life
        task = self._start_recording(digest)
        if task is not None:
            await asyncio.wait([task], timeout=APPEND_WAIT_SECONDS)

    def _start_recording(self, digest: str) -> "asyncio.Task[None] | None":
        until = self._board.find_quarantine_end(digest)
        if until is None or self._board.has_quarantine_record(digest):
            return None
        now = self._clock.monotonic()
        if (
            now - self._last_append_at.get(digest, -RETRY_SECONDS)
            < RETRY_SECONDS
        ):
            return None
        self._drop_old_append_times(now)
        self._last_append_at[digest] = now
        task = asyncio.ensure_future(self._record(digest, until))
        self._tasks.add(task)
        task.add_done_callback(self._tasks.discard)
        return task

    def _drop_old_append_times(self, now: float) -> None:
        self._last_append_at = {
            digest: last_append_at
            for digest, last_append_at in self._last_append_at.items()
            if now - last_append_at < RETRY_SECONDS
        }

    async def _record(self, digest: str, until: float) -> None:
        # Appending the record twice has no effect, so it may be appended
        # again after a lost response.
        record = records.Quarantine(
            base=self._follower.state.revision, digest=digest, until=until
        )
        try:
            await self._log.append(
                records.STREAM, records.seal(record, self._signer)
            )
        except errors.LogUnavailableError as error:
            _LOGGER.warning(
                "could not append the quarantine record to the log",
                extra={"detail": str(error)},
            )
