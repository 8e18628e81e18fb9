"""Counts the endpoints that crashed while they ran a request.

Some requests crash every endpoint that runs them, and their callers retry
them at any instance. Requests are identified by a digest of host, path, tenant
and body. A broken answer (a cut) counts as a crash only if the endpoint is
unreachable or gone within `PROOF_SECONDS`. A successful answer to a request
with the same digest clears its crashes.
"""

import collections.abc
import dataclasses
import time

import xxhash

from wagtailstream_router import event_log, part_board, request

# Number of crashes from which a request is no longer sent to any endpoint (a
# rule of the users' platform).
CRASH_LIMIT = 3
# A cut counts as a crash if its endpoint is unreachable within this time. A
# crashed endpoint needs some seconds longer to restart.
PROOF_SECONDS = 2.0
# How long a crash counts, so that a request that met three endpoints with
# faults of their own is not refused forever.
KEEP_SECONDS = 30.0
# Upper bound on the stored cuts and on the stored crashes; the newest stay.
MAX_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """A crash, or a possible one, of an endpoint while it ran a request.

    :param digest: the digest of the request.
    :param endpoint: the endpoint's id.
    :param at: the time of the cut, by the monotonic clock.
    :param parts: the prompt parts that may be the cause.
    :param has_begun: whether the answer had begun.
    """

    digest: int
    endpoint: str
    at: float
    parts: tuple[str, ...] = ()
    has_begun: bool = False


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
    :param log: gets a line for each crash.
    :param on_change: called when this instance observes a crash.
    """

    def __init__(
        self,
        parts: part_board.PartBoard,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[], object] = lambda: None,
    ) -> None:
        self._parts = parts
        self._log = log
        self._on_change = on_change
        self._cuts: list[Crash] = []
        self._crashes: dict[tuple[int, str], Crash] = {}
        self._peer_crashes: dict[str, tuple[Crash, ...]] = {}
        self._answered_at: dict[int, float] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """The number of crashes this instance observed since its start."""
        return self._total

    @property
    def has_entries(self) -> bool:
        """Whether any cut or crash is stored; if not, no digest is needed."""
        return bool(self._cuts or self._crashes or self._peer_crashes)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """The crashes observed by this instance that still count."""
        self._remove_expired()
        return tuple(self._crashes.values())

    @property
    def parts(self) -> part_board.PartBoard:
        """The prompt parts that are suspected of crashes."""
        return self._parts

    def record_cut(
        self,
        digest: int,
        endpoint: str,
        parts: tuple[str, ...] = (),
        has_begun: bool = False,
    ) -> None:
        """Record that an endpoint broke off its answer to a request.

        :param parts: the prompt parts that may be the cause if it crashed.
        :param has_begun: whether the answer had begun.
        """
        self._cuts.append(
            Crash(digest, endpoint, time.monotonic(), parts, has_begun)
        )
        del self._cuts[:-MAX_KEPT]

    def record_members(
        self, endpoints: collections.abc.Container[str]
    ) -> None:
        """Count cuts as crashes if the endpoint has left the directory.

        :param endpoints: the ids of the endpoints in the directory.
        """
        for endpoint in {cut.endpoint for cut in self._cuts}:
            if endpoint not in endpoints:
                self.record_lost(endpoint)

    def record_lost(self, endpoint: str) -> None:
        """Count the recent cuts of an unreachable endpoint as crashes."""
        since = time.monotonic() - PROOF_SECONDS
        proved = [
            cut
            for cut in self._cuts
            if cut.endpoint == endpoint and cut.at >= since
        ]
        for cut in proved:
            self._cuts.remove(cut)
            self._total += 1
            self._crashes[cut.digest, cut.endpoint] = cut
            self._log.write(
                "endpoint_crashed",
                endpoint=endpoint,
                digest=f"{cut.digest:016x}",
                parts=cut.parts,
                crashes=self.count(cut.digest),
            )
        if proved:
            self._record_suspects(proved)
            self._on_change()

    def _record_suspects(self, proved: list[Crash]) -> None:
        """Suspect the parts of the requests that may have caused a crash.

        Those whose answers had not begun, since they were queued or the head
        was lost with the connection, count only if none had.
        """
        begun = [cut for cut in proved if cut.has_begun]
        for cut in begun or proved:
            self._parts.record_crash(cut.parts, cut.endpoint, cut.at)

    def record_answer(self, digest: int, endpoint: str) -> None:
        """Record that an endpoint answered a request.

        It discards the endpoint's cuts, as it is alive, and the crashes of
        the request.
        """
        self._cuts = [cut for cut in self._cuts if cut.endpoint != endpoint]
        self._answered_at[digest] = time.monotonic()
        for key in [key for key in self._crashes if key[0] == digest]:
            del self._crashes[key]

    def set_peer_crashes(
        self, peer: str, crashes: collections.abc.Iterable[Crash]
    ) -> None:
        """Replace the crashes that a peer reported.

        :param peer: the peer's name.
        :param crashes: the crashes that it observed and that still count.
        """
        kept = tuple(crashes)
        if kept:
            self._peer_crashes[peer] = kept
        else:
            self._peer_crashes.pop(peer, None)

    def count(self, digest: int) -> int:
        """Return how many endpoints crashed while running a request.

        Crashes older than `KEEP_SECONDS` or than the last answer to the
        request are left out.
        """
        self._remove_expired()
        since = self._answered_at.get(digest, float("-inf"))
        peer_crashes = [
            crash
            for crashes in self._peer_crashes.values()
            for crash in crashes
        ]
        return len(
            {
                crash.endpoint
                for crash in (*self._crashes.values(), *peer_crashes)
                if crash.digest == digest and crash.at > since
            }
        )

    def is_refused(self, digest: int) -> bool:
        """Return whether a request has reached `CRASH_LIMIT`."""
        return self.count(digest) >= CRASH_LIMIT

    def _remove_expired(self) -> None:
        oldest = time.monotonic() - KEEP_SECONDS
        kept = [crash for crash in self._crashes.values() if crash.at > oldest]
        self._crashes = {
            (crash.digest, crash.endpoint): crash for crash in kept[-MAX_KEPT:]
        }
        self._peer_crashes = {
            peer: crashes
            for peer, crashes in self._peer_crashes.items()
            if any(crash.at > oldest for crash in crashes)
        }
        self._answered_at = {
            digest: at
            for digest, at in self._answered_at.items()
            if at > oldest
        }
