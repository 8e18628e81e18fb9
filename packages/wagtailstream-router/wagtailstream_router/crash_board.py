"""Counts the endpoints that crashed while they ran a request.

Now and then a request crashes each endpoint that runs it, and its caller sends
it again, to any instance. Requests are told apart by a digest of path, tenant
and body. A cut answer alone is no crash: only if its endpoint can't be reached
or is gone soon after does it count. An answer to the digest clears it.
"""

import collections.abc
import dataclasses
import time

import xxhash

from wagtailstream_router import event_log, request

# Crashes after which a digest reaches no endpoint any more (a rule of the
# users' platform).
CRASH_LIMIT = 3
# An endpoint that is not reached within this after a cut crashed at the cut:
# it is back only after some seconds.
PROOF_SECONDS = 2.0
# A crash counts for this long, so that an endpoint's own fault, met thrice by
# the same request, does not keep it out for good.
KEEP_SECONDS = 30.0
# The most crashes and cuts that are kept, the newest.
MAX_KEPT = 256


@dataclasses.dataclass(frozen=True, slots=True)
class Crash:
    """An endpoint crashed while it ran a request.

    :param digest: of the request.
    :param endpoint: the endpoint's id.
    :param at: when, by the monotonic clock.
    """

    digest: int
    endpoint: str
    at: float


def request_digest(call: request.Request, tenant: str) -> int:
    """Return what tells a request from others, whichever try it is.

    :param tenant: the name of its tenant; "" if it has none.
    """
    hashed = xxhash.xxh64(call.target.encode("utf-8", "replace"))
    hashed.update(f"\0{call.host}\0{tenant}\0".encode())
    hashed.update(call.body)
    return hashed.intdigest()


class CrashBoard:
    """Crashes that this instance saw, and those that its peers tell of.

    :param log: takes each crash.
    :param on_change: is called when there is a crash to tell of.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        on_change: collections.abc.Callable[[], object] = lambda: None,
    ) -> None:
        self._log = log
        self._on_change = on_change
        self._cuts: list[Crash] = []
        self._crashes: dict[tuple[int, str], Crash] = {}
        self._peer_crashes: dict[str, tuple[Crash, ...]] = {}
        self._answered_at: dict[int, float] = {}
        self._total = 0

    @property
    def total(self) -> int:
        """How many crashes this instance saw since its start."""
        return self._total

    @property
    def has_entries(self) -> bool:
        """Whether any cut or crash is known; without, all is well."""
        return bool(self._cuts or self._crashes or self._peer_crashes)

    @property
    def crashes(self) -> tuple[Crash, ...]:
        """The crashes that this instance saw and that still count."""
        self._forget()
        return tuple(self._crashes.values())

    def note_cut(self, digest: int, endpoint: str) -> None:
        """Note that an endpoint cut its answer to a request."""
        self._cuts.append(Crash(digest, endpoint, time.monotonic()))
        del self._cuts[:-MAX_KEPT]

    def note_members(self, endpoints: collections.abc.Container[str]) -> None:
        """Note which endpoints there are; one that is gone crashed."""
        for endpoint in {cut.endpoint for cut in self._cuts}:
            if endpoint not in endpoints:
                self.note_lost(endpoint)

    def note_lost(self, endpoint: str) -> None:
        """Note that an endpoint can't be reached or is gone."""
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
                crashes=self.count(cut.digest),
            )
        if proved:
            self._on_change()

    def note_answer(self, digest: int, endpoint: str) -> None:
        """Note that an endpoint answered a request and lives."""
        self._cuts = [one for one in self._cuts if one.endpoint != endpoint]
        self._answered_at[digest] = time.monotonic()
        for key in [key for key in self._crashes if key[0] == digest]:
            del self._crashes[key]

    def take_peer(
        self, peer: str, crashes: collections.abc.Iterable[Crash]
    ) -> None:
        """Take what a peer counts now, in place of what it said before."""
        kept = tuple(crashes)
        if kept:
            self._peer_crashes[peer] = kept
        else:
            self._peer_crashes.pop(peer, None)

    def count(self, digest: int) -> int:
        """Return how many endpoints crashed under a request lately."""
        self._forget()
        since = self._answered_at.get(digest, float("-inf"))
        peer_crashes = [
            one for crashes in self._peer_crashes.values() for one in crashes
        ]
        return len(
            {
                one.endpoint
                for one in (*self._crashes.values(), *peer_crashes)
                if one.digest == digest and one.at > since
            }
        )

    def is_refused(self, digest: int) -> bool:
        """Return whether a request may reach no endpoint any more."""
        return self.count(digest) >= CRASH_LIMIT

    def _forget(self) -> None:
        oldest = time.monotonic() - KEEP_SECONDS
        kept = [one for one in self._crashes.values() if one.at > oldest]
        self._crashes = {
            (one.digest, one.endpoint): one for one in kept[-MAX_KEPT:]
        }
        self._peer_crashes = {
            peer: crashes
            for peer, crashes in self._peer_crashes.items()
            if any(one.at > oldest for one in crashes)
        }
        self._answered_at = {
            digest: at
            for digest, at in self._answered_at.items()
            if at > oldest
        }
