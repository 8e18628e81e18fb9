"""Counts the endpoints that crashed while they ran a request.

Some requests crash every endpoint that runs them, and their callers retry
them at any instance and at any interval. Requests are identified by a digest
of host, path, tenant and body. A broken answer (a cut) counts as a crash only
if the endpoint is unreachable or gone within `PROOF_SECONDS`. A successful
answer to a request with the same digest clears its crashes; nothing is
forgotten after a time.

A request whose crashes all fell into one second is tried once more after
`TRIAL_SECONDS`, by one instance: several endpoints may have failed together
for another reason.
"""

import collections.abc
import dataclasses
import time

import xxhash

from wagtailstream_router import (
    event_log,
    part_board,
    request,
    suspects,
    trials,
)

# Number of crashes from which a request is no longer sent to any endpoint (a
# rule of the users' platform).
CRASH_LIMIT = 3
# From this number on, crashes that another request explains count as well: a
# sound request that is in flight beside the same one so often is rare, and two
# that crash endpoints must not excuse each other.
FINAL_CRASHES = CRASH_LIMIT + 1
# A cut counts as a crash if its endpoint is unreachable within this time. A
# crashed endpoint needs some seconds longer to restart.
PROOF_SECONDS = 2.0
# Crashes within this time may be one failure of several endpoints, under
# copies of a sound request.
COMMON_FAILURE_SECONDS = 1.0
# When a request with no other crashes is tried once more.
TRIAL_SECONDS = 30.0
# Upper bound on the stored cuts; the newest stay.
MAX_CUTS = 256
# Refused requests are remembered by the thousand, as each of them costs
# endpoints if it is forgotten.
BOUNDS = suspects.Bounds(
    refused=1024,
    suspects=1024,
    answers=1024,
    crashes=FINAL_CRASHES,
    reported=64,
)


@dataclasses.dataclass(frozen=True, slots=True)
class Cut:
    """A broken answer, which may be due to a crash of the endpoint.

    :param digest: the digest of the request.
    :param endpoint: the endpoint's id.
    :param born_ms: the Unix time of the endpoint's start.
    :param at: the time of the cut, by the monotonic clock.
    :param parts: the prompt parts that may be the cause.
    :param has_begun: whether the answer had begun.
    """

    digest: int
    endpoint: str
    born_ms: int
    at: float
    parts: tuple[str, ...] = ()
    has_begun: bool = False

    @property
    def start(self) -> str:
        """The start of the endpoint; its id may be used again."""
        return f"{self.endpoint}/{self.born_ms}"


def request_digest(call: request.Request, tenant: str) -> int:
    """Return the digest of a request; it is the same for all its retries.

    :param tenant: the name of the caller's tenant; "" if it has none.
    """
    hashed = xxhash.xxh64(call.target.encode("utf-8", "replace"))
    hashed.update(f"\0{call.host}\0{tenant}\0".encode())
    hashed.update(call.body)
    return hashed.intdigest()


class CrashBoard:
    """The crashes observed by this instance and those reported by its peers.

    :param parts: finds prompt parts that crash endpoints.
    :param log: gets a line for each crash, and for each request that is
        refused from then on.
    :param on_change: called when this instance observes a crash.
    :param trials_: grants the attempts of requests that may be sound.
    """

    def __init__(
        self,
        parts: part_board.PartBoard,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[], object] = lambda: None,
        trials_: trials.Trials | None = None,
    ) -> None:
        self._parts = parts
        self._trials = trials_ or trials.Trials()
        self._log = log
        self._on_change = on_change
        self._cuts: list[Cut] = []
        self._table = suspects.SuspectTable[int](BOUNDS)
        self._total = 0

    @property
    def total(self) -> int:
        """The number of crashes this instance observed since its start."""
        return self._total

    @property
    def has_entries(self) -> bool:
        """Whether any cut or crash is stored; if not, no digest is needed."""
        return bool(self._cuts) or self._table.has_suspects

    @property
    def parts(self) -> part_board.PartBoard:
        """The prompt parts that are suspected of crashes."""
        return self._parts

    @property
    def refused(self) -> collections.abc.Mapping[int, dict[str, float]]:
        """The crashes of each refused request, by start of the endpoint."""
        return self._table.refused

    def record_cut(
        self,
        digest: int,
        endpoint: str,
        parts: tuple[str, ...] = (),
        has_begun: bool = False,
        born_ms: int = 0,
    ) -> None:
        """Record that an endpoint broke off its answer to a request.

        :param parts: the prompt parts that may be the cause if it crashed.
        :param has_begun: whether the answer had begun.
        :param born_ms: the Unix time of the endpoint's start.
        """
        self._cuts.append(
            Cut(digest, endpoint, born_ms, time.monotonic(), parts, has_begun)
        )
        del self._cuts[:-MAX_CUTS]

    def record_members(
        self, endpoints: collections.abc.Container[str]
    ) -> None:
        """Count cuts as crashes if the endpoint has left the directory.

        :param endpoints: the ids of the endpoints in the directory.
        """
        self._drop_old_cuts()
        for endpoint in {cut.endpoint for cut in self._cuts}:
            if endpoint not in endpoints:
                self.record_lost(endpoint)

    def _drop_old_cuts(self) -> None:
        since = time.monotonic() - PROOF_SECONDS
        self._cuts = [cut for cut in self._cuts if cut.at >= since]

    def record_lost(self, endpoint: str) -> None:
        """Count the recent cuts of an unreachable endpoint as crashes."""
        self._drop_old_cuts()
        proved = [cut for cut in self._cuts if cut.endpoint == endpoint]
        for cut in proved:
            self._cuts.remove(cut)
            self._total += 1
            self._table.add_crash(cut.digest, cut.start, cut.at)
            self._log.write(
                "endpoint_crashed",
                endpoint=endpoint,
                digest=f"{cut.digest:016x}",
                parts=cut.parts,
                crashes=self.count(cut.digest),
            )
        if proved:
            self._update_refused()
            self._record_suspects(proved)
            self._on_change()

    def _record_suspects(self, proved: list[Cut]) -> None:
        """Suspect the parts of the requests that may have caused a crash.

        Those whose answers had not begun, since they were queued or the head
        was lost with the connection, count only if none had.
        """
        begun = [cut for cut in proved if cut.has_begun]
        for cut in begun or proved:
            self._parts.record_crash(cut.parts, cut.start, cut.at)

    def record_answer(self, digest: int, endpoint: str) -> None:
        """Record that an endpoint answered a request.

        It discards the endpoint's cuts, as it is alive, and the crashes of
        the request. Answers to others are not kept: they would displace those
        to former suspects, which a peer may still suspect.
        """
        self._cuts = [cut for cut in self._cuts if cut.endpoint != endpoint]
        if self._table.crashes_of(digest) and self._table.record_answer(
            digest
        ):
            self._update_refused()

    def count(self, digest: int) -> int:
        """Return how many endpoints crashed while running a request.

        Crashes before the last answer to the request are left out. A request
        that crashes a fourth endpoint is not counted further.
        """
        return len(self._table.crashes_of(digest))

    def is_refused(self, digest: int, identity: str = "") -> bool:
        """Return whether a request that came again is not to be sent.

        :param identity: the id of this attempt of its caller.
        """
        self._table.record_arrival(digest)
        crashes = self._table.refused.get(digest)
        if crashes is None:
            return False
        newest = max(crashes.values())
        is_final = newest - min(crashes.values()) >= COMMON_FAILURE_SECONDS
        is_due = time.monotonic() >= newest + TRIAL_SECONDS
        return is_final or not (
            is_due and self._trials.grant(digest, identity)
        )

    def is_cleared(self, digest: int) -> bool:
        """Return whether an answer ended the suspicion of a request."""
        return self._table.is_cleared(digest)

    def announce_all(self) -> None:
        """Announce all crashes and parts to a peer that may know none."""
        self._table.announce_all()
        self._parts.announce_all()

    def make_report(self) -> suspects.Report[int]:
        """Return what peers need to know of requests."""
        return self._table.make_report()

    def merge_report(self, report: suspects.Report[int]) -> None:
        """Merge what a peer or the store reported of requests."""
        if self._table.merge_report(report):
            self._update_refused()

    def _update_refused(self) -> None:
        """Refuse the requests that explain the crashes best.

        A crash that a refused request explains does not count against others,
        which were in flight beside it. Of requests that share all their
        crashes the first one is refused, and an answer to the other, or one
        more crash of it, tells them apart.
        """
        crashes = self._table.list_suspects(CRASH_LIMIT)
        refused = set()
        explained: set[str] = set()
        for digest in sorted(
            crashes, key=lambda key: (-len(crashes[key]), key)
        ):
            starts = crashes[digest].keys()
            if len(starts) < FINAL_CRASHES and (
                len(starts - explained) < CRASH_LIMIT
            ):
                continue
            refused.add(digest)
            explained |= starts
        for digest in refused - self._table.refused.keys():
            self._log.write(
                "request_refused",
                digest=f"{digest:016x}",
                crashes=sorted(crashes[digest]),
            )
        self._table.set_refused(refused)
