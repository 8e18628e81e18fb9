"""Finds prompt parts that crash each model server that answers them.

Requests with such a part need not be alike otherwise, and a crash ends many
sound ones beside it. A part is suspected if a server crashed when it had just
begun to answer a request with it. A whole answer to a request with the part,
at any instance, shows that it is sound. A part that is suspected at
`CRASH_LIMIT` servers is blocked: no more requests with it are sent.

The last part of a prompt belongs to the request alone and is not considered.
"""

import collections
import collections.abc
import dataclasses
import time

import xxhash

from wagtailstream_router import event_log, request

# Number of crashed servers from which a part is blocked. Five are the users'
# bound; two remain for crashes under requests that are already on their way.
CRASH_LIMIT = 3
# Repeats are stopped one crash earlier: they are sent because of a crash.
REPEAT_CRASH_LIMIT = CRASH_LIMIT - 1
# A server that has been writing an answer for this long did not crash because
# it began to; in the recorded incident it took 0.03 to 0.12 s.
BEGIN_SECONDS = 1.0
# How long a whole answer shows that its parts are sound.
SOUND_SECONDS = 60.0
# How long a part stays blocked after its last crash. Then requests with it are
# tried again; one more crash blocks it once more.
BLOCK_SECONDS = 120.0
# How long crashes count.
KEEP_SECONDS = 2.0 * BLOCK_SECONDS
# Upper bounds of the parts that are stored: suspected ones, and all others.
MAX_SUSPECTS = 256
MAX_PARTS = 4096
# Upper bound of the crashes that are stored for a part; the newest stay.
MAX_CRASHES = 16
# Upper bound of the parts in one message; those with most crashes go first.
MAX_REPORTED = 16
# How long peers are told that a part which they suspect is sound.
ANNOUNCE_SECONDS = 3.0
# Longer ids are replaced by a hash, so that the size of messages is bounded.
MAX_ID_CHARS = 32

Crashes = dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected part, as told to peers.

    :param part: the part.
    :param sent: the most attempts with it that any one instance made.
    :param crash_ages: the time since the crash of each server, by its id.
    """

    part: str
    sent: int
    crash_ages: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReport:
    """What an instance tells its peers about prompt parts.

    :param suspicions: the parts that it suspects.
    :param sound: parts that peers suspect and it knows to be sound.
    """

    suspicions: tuple[Suspicion, ...] = ()
    sound: tuple[str, ...] = ()


def list_parts(call: request.Request) -> tuple[str, ...]:
    """Return the parts of a prompt that may be suspected."""
    return tuple(
        part.identity
        if len(part.identity) <= MAX_ID_CHARS
        else xxhash.xxh64_hexdigest(part.identity.encode())
        for part in call.shared_parts
    )


class PartBoard:
    """The prompt parts that this instance and its peers suspect.

    :param log: gets a line when a part is blocked or found sound.
    """

    def __init__(self, log: event_log.EventLog) -> None:
        self._log = log
        self._suspects: dict[str, Crashes] = {}
        self._blocked: frozenset[str] = frozenset()
        # The crashes of each suspect that no other part explains better.
        self._unexplained: dict[str, int] = {}
        self._sent: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )
        self._sound_at: collections.OrderedDict[str, float] = (
            collections.OrderedDict()
        )
        self._announced_until: dict[str, float] = {}

    @property
    def has_suspects(self) -> bool:
        """Whether any part is suspected."""
        return bool(self._suspects)

    def record_send(self, call: request.Request) -> None:
        """Count an attempt to answer a request."""
        for part in list_parts(call):
            self._set_sent(part, self._sent.get(part, 0) + 1)

    def _set_sent(self, part: str, count: int) -> None:
        self._sent[part] = count
        self._sent.move_to_end(part)
        while len(self._sent) > MAX_PARTS:
            self._sent.popitem(last=False)

    def record_answer(self, call: request.Request) -> None:
        """Record a whole answer: the parts of its prompt are sound."""
        for part in list_parts(call):
            if part in self._suspects:
                self._announce(part)
            self._set_sound(part)

    def _announce(self, part: str) -> None:
        self._announced_until[part] = time.monotonic() + ANNOUNCE_SECONDS

    def _set_sound(self, part: str) -> None:
        self._sound_at[part] = time.monotonic()
        self._sound_at.move_to_end(part)
        while len(self._sound_at) > MAX_PARTS:
            self._sound_at.popitem(last=False)
        if self._suspects.pop(part, None) is not None:
            self._log.write("part_cleared", part=part)
            self._update_blocked()

    def _is_sound(self, part: str) -> bool:
        since = time.monotonic() - SOUND_SECONDS
        return self._sound_at.get(part, since) > since

    def record_crash(
        self, parts: collections.abc.Iterable[str], endpoint: str, at: float
    ) -> None:
        """Suspect the parts of a request whose answer had just begun.

        :param parts: the parts of its prompt.
        :param endpoint: the id of the server that crashed.
        :param at: when it crashed, by the monotonic clock.
        """
        for part in parts:
            self._add_crash(part, endpoint, at)
        self._update_blocked()

    def _add_crash(self, part: str, endpoint: str, at: float) -> None:
        if self._is_sound(part) or at <= time.monotonic() - KEEP_SECONDS:
            return
        crashes = self._suspects.setdefault(part, {})
        # Peers pass crashes on with a delay; the earliest time is the best.
        crashes[endpoint] = min(at, crashes.get(endpoint, at))
        if len(crashes) > MAX_CRASHES:
            del crashes[min(crashes, key=lambda name: crashes[name])]

    def is_near_limit(self, call: request.Request) -> bool:
        """Return whether one more crash may block a request."""
        return any(
            len(self._suspects.get(part, ())) >= REPEAT_CRASH_LIMIT - 1
            for part in list_parts(call)
        )

    def find_blocked(self, call: request.Request, is_repeat: bool) -> str:
        """Return the part because of which a request may not be sent.

        :returns: the part; "" if the request may be sent.
        """
        self._remove_expired()
        for part in list_parts(call):
            if part in self._blocked or (
                is_repeat
                and self._unexplained.get(part, 0) >= REPEAT_CRASH_LIMIT
            ):
                return part
        return ""

    def make_report(self) -> PartsReport:
        """Return what peers need to know."""
        self._remove_expired()
        now = time.monotonic()
        ranked = sorted(self._suspects.items(), key=lambda item: -len(item[1]))
        return PartsReport(
            tuple(
                Suspicion(
                    part,
                    self._sent.get(part, 0),
                    {endpoint: now - at for endpoint, at in crashes.items()},
                )
                for part, crashes in ranked[:MAX_REPORTED]
            ),
            tuple(self._announced_until)[:MAX_REPORTED],
        )

    def merge_report(self, report: PartsReport) -> None:
        """Merge what a peer told."""
        now = time.monotonic()
        for part in report.sound:
            if not self._is_sound(part):
                self._set_sound(part)
        for suspicion in report.suspicions:
            if self._is_sound(suspicion.part):
                self._announce(suspicion.part)
                continue
            self._set_sent(
                suspicion.part,
                max(suspicion.sent, self._sent.get(suspicion.part, 0)),
            )
            for endpoint, age in suspicion.crash_ages.items():
                self._add_crash(suspicion.part, endpoint, now - age)
        self._update_blocked()

    def _update_blocked(self) -> None:
        """Block the parts that explain the crashes best.

        A crash that a blocked part explains does not count against the
        others: they were in the prompts beside it, or in flight beside it.
        """
        blocked = set()
        unexplained = {}
        left = {
            part: set(crashes)
            for part, crashes in self._suspects.items()
            if len(crashes) >= REPEAT_CRASH_LIMIT
        }
        while left:
            part = max(left, key=lambda name: self._rank(name, left[name]))
            explained = left.pop(part)
            unexplained[part] = len(explained)
            if len(explained) < CRASH_LIMIT:
                continue
            for endpoints in left.values():
                endpoints -= explained
            if not self._is_over(part):
                blocked.add(part)
        for part in blocked - self._blocked:
            self._log.write(
                "part_blocked",
                part=part,
                crashes=sorted(self._suspects[part]),
                sent=self._sent.get(part, 0),
            )
        self._blocked = frozenset(blocked)
        self._unexplained = unexplained

    def _rank(self, part: str, endpoints: set[str]) -> tuple[bool, float, int]:
        """Return how well a part explains the crashes of servers.

        A part that is in most requests is in flight at most crashes, too; so
        its crashes are compared with the attempts that were made with it.
        """
        count = len(endpoints)
        attempts = max(1, count + self._sent.get(part, 0))
        return count >= CRASH_LIMIT, count / attempts, count

    def _is_over(self, part: str) -> bool:
        newest = max(self._suspects[part].values())
        return newest <= time.monotonic() - BLOCK_SECONDS

    def _remove_expired(self) -> None:
        now = time.monotonic()
        self._announced_until = {
            part: until
            for part, until in self._announced_until.items()
            if until > now
        }
        if not self._suspects:
            return
        kept = {
            part: {
                endpoint: at
                for endpoint, at in crashes.items()
                if at > now - KEEP_SECONDS
            }
            for part, crashes in self._suspects.items()
        }
        newest = sorted(
            (part for part, crashes in kept.items() if crashes),
            key=lambda part: max(kept[part].values()),
        )
        self._suspects = {part: kept[part] for part in newest[-MAX_SUSPECTS:]}
        self._update_blocked()
