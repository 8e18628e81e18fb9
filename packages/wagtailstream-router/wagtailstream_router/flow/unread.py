"""Decides how long a caller may read nothing."""

import enum

# The interval between checks of a connection.
CHECK_SECONDS = 0.25
# The most time that one check may add: a process that was paused did not look.
MAX_STEP_SECONDS = 2 * CHECK_SECONDS
# How long a caller may read nothing while answers have no room: several times
# the pause of a caller that is sound but busy.
NO_ROOM_SECONDS = 1.0


class Cause(enum.Enum):
    """Why a caller that does not read is ended."""

    SILENT = "reads_nothing"
    NO_ROOM = "reads_nothing_without_room"
    DEADLINE = "deadline"


class UnreadClock:
    """Measures how long a caller has read nothing.

    It answers this load: callers that read slowly but steadily, beside callers
    that stopped reading, while the instance itself may be paused.

    :param now: the current time, by the monotonic clock.
    :param deadline: when the caller stops waiting, by the same clock.
    """

    def __init__(self, now: float, deadline: float) -> None:
        self._checked_at = now
        self._deadline = deadline
        self._most_delivered = -1
        self._unread_seconds = 0.0

    @property
    def unread_seconds(self) -> float:
        """The observed time in which the caller read nothing."""
        return self._unread_seconds

    def check(
        self, now: float, delivered: int, limit_seconds: float, has_room: bool
    ) -> Cause | None:
        """Return why the caller is to be ended; None to go on.

        :param delivered: the bytes that the caller's host has acknowledged.
        :param limit_seconds: how long a caller may read nothing.
        :param has_room: whether there is room for more answers.
        """
        step_seconds = min(now - self._checked_at, MAX_STEP_SECONDS)
        self._checked_at = now
        if delivered > self._most_delivered:
            self._most_delivered = delivered
            self._unread_seconds = 0.0
        else:
            self._unread_seconds += step_seconds
        if now >= self._deadline:
            return Cause.DEADLINE
        if self._unread_seconds >= limit_seconds:
            return Cause.SILENT
        if not has_room and self._unread_seconds >= NO_ROOM_SECONDS:
            return Cause.NO_ROOM
        return None
