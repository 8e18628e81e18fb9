"""What an endpoint reports in its answers: that it leaves or is full."""

import dataclasses
import time


@dataclasses.dataclass(frozen=True, slots=True)
class _Full:
    """The newest time until which an endpoint wants no requests.

    :param asked_at: when the request was sent whose answer reported it.
    :param until: its end; both by the monotonic clock.
    """

    asked_at: float
    until: float


_NOT_FULL = _Full(float("-inf"), float("-inf"))


class Notices:
    """The notices of one start of an endpoint.

    They outlast its connections and its entry in the store, and end with its
    next start.
    """

    def __init__(self) -> None:
        self._is_leaving = False
        self._is_reported_leaving = False
        self._full = _NOT_FULL

    @property
    def is_leaving(self) -> bool:
        """Whether an answer to this instance reported that it leaves."""
        return self._is_leaving

    @property
    def is_reported_leaving(self) -> bool:
        """Whether a peer reported that the endpoint leaves.

        A report is a reason to prefer other endpoints, where there are any.
        """
        return self._is_reported_leaving

    @property
    def full_until(self) -> float:
        """When the endpoint takes requests again, by the monotonic clock."""
        return self._full.until

    @property
    def is_full(self) -> bool:
        """Whether the endpoint wants no requests from this instance now."""
        return time.monotonic() < self._full.until

    def record_leaving(self) -> bool:
        """Record that the endpoint reported that it leaves.

        :returns: whether this is new.
        """
        is_new = not self._is_leaving
        self._is_leaving = True
        return is_new

    def record_reported_leaving(self) -> bool:
        """Record that a peer reported that the endpoint leaves.

        :returns: whether this is new.
        """
        is_new = not self._is_reported_leaving
        self._is_reported_leaving = True
        return is_new

    def record_full(self, asked_at: float, until: float) -> bool:
        """Record until when the endpoint wants no requests.

        Answers on different connections may overtake each other: an earlier
        end is taken over only from the answer to a later request.

        :param asked_at: when the request was sent.
        :param until: the end that its answer reported; both by the monotonic
            clock.
        :returns: whether it was taken over.
        """
        if until < self._full.until and asked_at <= self._full.asked_at:
            return False
        self._full = _Full(asked_at, until)
        return True


class NoticeBoard:
    """Keeps the notices of endpoints, also after their entry has gone."""

    # An endpoint that leaves serves on for many seconds after its entry went,
    # and an entry may return.
    KEEP_SECONDS = 600.0

    def __init__(self) -> None:
        self._notices: dict[str, tuple[int, Notices]] = {}
        self._gone_at: dict[str, float] = {}

    def find(self, identity: str, born_ms: int) -> Notices:
        """Return the notices of an endpoint that has an entry.

        Those of an earlier start are forgotten.

        :param born_ms: the Unix time of the endpoint's start.
        """
        self._gone_at.pop(identity, None)
        known = self._notices.get(identity)
        if known is None or known[0] != born_ms:
            known = born_ms, Notices()
            self._notices[identity] = known
        return known[1]

    def record_gone(self, identity: str) -> None:
        """Record that an endpoint's entry has gone."""
        now = time.monotonic()
        self._gone_at[identity] = now
        # The entries that went first come first.
        for gone, at in list(self._gone_at.items()):
            if now - at < self.KEEP_SECONDS:
                break
            del self._gone_at[gone]
            del self._notices[gone]
