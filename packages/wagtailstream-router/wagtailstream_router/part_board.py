"""Finds prompt parts that crash each model server that answers them.

Requests with such a part need not be alike otherwise, and a crash ends many
sound ones beside it. A part is suspected if a server crashed when it had just
begun to answer a request with it. A whole answer to a request with the part,
at any instance, shows that it is sound. A part that is suspected at
`CRASH_LIMIT` servers is blocked: no more requests with it are sent. Once it
has not crashed any for `BLOCK_SECONDS`, single requests try whether it is
sound; after `FINAL_TRIALS` crashes under them it stays blocked.

The last part of a prompt belongs to the request alone and is not considered.
"""

import collections
import collections.abc
import dataclasses
import itertools
import time

import xxhash

from wagtailstream_router import event_log, request, suspects, trials

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
# How long a part stays blocked after its last crash. Then single requests with
# it are tried again; one more crash blocks it once more.
BLOCK_SECONDS = 120.0
# Crashes so long after the last one happened under such a request; the ages of
# crashes that peers report are not exact.
TRIAL_GAP_SECONDS = BLOCK_SECONDS / 2.0
# Number of those from which a part is blocked for as long as it comes. The
# users' bound leaves one more for requests that are on their way.
FINAL_TRIALS = 2
# Upper bound of the parts of which the attempts and the answers are stored.
MAX_PARTS = 4096
# Suspected parts have up to sixteen crashes in one message.
BOUNDS = suspects.Bounds(
    refused=256,
    suspects=256,
    answers=MAX_PARTS,
    crashes=16,
    reported=16,
)
# Longer ids are replaced by a hash, so that the size of messages is bounded.
MAX_ID_CHARS = 32


@dataclasses.dataclass(frozen=True, slots=True)
class Suspicion:
    """A suspected part, as told to peers.

    :param part: the part.
    :param sent: the most attempts with it that any one instance made.
    :param crash_ages: the time since the crash of each start of a server.
    """

    part: str
    sent: int
    crash_ages: dict[str, float]


@dataclasses.dataclass(frozen=True, slots=True)
class PartsReport:
    """What an instance tells its peers about prompt parts.

    :param suspicions: the parts that it suspects.
    :param sound: the time since the last answer with parts that peers suspect
        or suspected.
    """

    suspicions: tuple[Suspicion, ...] = ()
    sound: dict[str, float] = dataclasses.field(default_factory=dict)


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
    :param trials_: grants the attempts that try whether a part is sound.
    """

    def __init__(
        self,
        log: event_log.EventLog,
        trials_: trials.Trials | None = None,
    ) -> None:
        self._log = log
        self._trials = trials_ or trials.Trials()
        self._table = suspects.SuspectTable[str](BOUNDS, SOUND_SECONDS)
        # The crashes of each suspect that no other part explains better.
        self._unexplained: dict[str, int] = {}
        self._sent: collections.OrderedDict[str, int] = (
            collections.OrderedDict()
        )

    @property
    def has_suspects(self) -> bool:
        """Whether any part is suspected."""
        return self._table.has_suspects

    @property
    def blocked(self) -> collections.abc.Mapping[str, dict[str, float]]:
        """The crashes of each blocked part, by start of the server."""
        return self._table.refused

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
        cleared = [
            part
            for part in list_parts(call)
            if self._table.record_answer(part)
        ]
        self._log_cleared(cleared)
        if cleared:
            self._update_blocked()

    def _log_cleared(self, parts: collections.abc.Iterable[str]) -> None:
        for part in parts:
            if not self._table.crashes_of(part):
                self._log.write("part_cleared", part=part)

    def record_crash(
        self, parts: collections.abc.Iterable[str], start: str, at: float
    ) -> None:
        """Suspect the parts of a request whose answer had just begun.

        :param parts: the parts of its prompt.
        :param start: the start of the server that crashed.
        :param at: when it crashed, by the monotonic clock.
        """
        for part in parts:
            self._table.add_crash(part, start, at)
        self._update_blocked()

    def is_near_limit(self, call: request.Request) -> bool:
        """Return whether one more crash may block a request."""
        return any(
            len(self._table.crashes_of(part)) >= REPEAT_CRASH_LIMIT - 1
            for part in list_parts(call)
        )

    def find_blocked(self, call: request.Request, is_repeat: bool) -> str:
        """Return the part because of which a request may not be sent.

        :returns: the part; "" if the request may be sent.
        """
        for part in list_parts(call):
            self._table.record_arrival(part)
        for part in list_parts(call):
            if part in self._table.refused:
                if not self._may_try(part, call.identity):
                    return part
            elif is_repeat and (
                self._unexplained.get(part, 0) >= REPEAT_CRASH_LIMIT
            ):
                return part
        return ""

    def _may_try(self, part: str, identity: str) -> bool:
        """Return whether a request may try if a blocked part is sound."""
        times = sorted(self._table.refused[part].values())
        if time.monotonic() < times[-1] + BLOCK_SECONDS:
            return False
        crashed_trials = sum(
            later - earlier >= TRIAL_GAP_SECONDS
            for earlier, later in itertools.pairwise(times)
        )
        return crashed_trials < FINAL_TRIALS and self._trials.grant(
            part, identity
        )

    def is_cleared(self, part: str) -> bool:
        """Return whether an answer ended the suspicion of a part."""
        return self._table.is_cleared(part)

    def announce_all(self) -> None:
        """Announce all suspected parts to a peer that may know none."""
        self._table.announce_all()

    def make_report(self) -> PartsReport:
        """Return what peers need to know."""
        report = self._table.make_report()
        return PartsReport(
            tuple(
                Suspicion(part, self._sent.get(part, 0), ages)
                for part, ages in report.crash_ages.items()
            ),
            report.answer_ages,
        )

    def merge_report(self, report: PartsReport) -> None:
        """Merge what a peer or the store reported."""
        known = [part for part in report.sound if self._table.crashes_of(part)]
        for suspicion in report.suspicions:
            if not self._table.is_sound(suspicion.part):
                self._set_sent(
                    suspicion.part,
                    max(suspicion.sent, self._sent.get(suspicion.part, 0)),
                )
        is_changed = self._table.merge_report(
            suspects.Report(
                {
                    suspicion.part: suspicion.crash_ages
                    for suspicion in report.suspicions
                },
                report.sound,
            )
        )
        if is_changed:
            self._log_cleared(known)
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
            for part, crashes in self._table.list_suspects(
                REPEAT_CRASH_LIMIT
            ).items()
        }
        while left:
            part = max(left, key=lambda name: self._rank(name, left[name]))
            explained = left.pop(part)
            unexplained[part] = len(explained)
            if len(explained) < CRASH_LIMIT:
                continue
            for starts in left.values():
                starts -= explained
            blocked.add(part)
        for part in blocked - self._table.refused.keys():
            self._log.write(
                "part_blocked",
                part=part,
                crashes=sorted(self._table.crashes_of(part)),
                sent=self._sent.get(part, 0),
            )
        self._table.set_refused(blocked)
        self._unexplained = unexplained

    def _rank(self, part: str, starts: set[str]) -> tuple[bool, float, int]:
        """Return how well a part explains the crashes of servers.

        A part that is in most requests is in flight at most crashes, too; so
        its crashes are compared with the attempts that were made with it.
        """
        count = len(starts)
        attempts = max(1, count + self._sent.get(part, 0))
        return count >= CRASH_LIMIT, count / attempts, count
