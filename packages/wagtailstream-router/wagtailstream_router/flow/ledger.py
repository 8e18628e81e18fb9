"""Counts the bytes that a process holds for requests and answers."""

import enum

from wagtailstream_router.flow import bounds as buffer_bounds


class Use(enum.Enum):
    """What held bytes belong to."""

    REQUEST = "request"
    ANSWER = "answer"


class Ledger:
    """The bytes held by one process, against its bounds.

    It answers this load: callers that send or read slowly, on machines of 160
    to 552 MB.

    :param bounds_: the bounds in force.
    """

    def __init__(self, bounds_: buffer_bounds.BufferBounds) -> None:
        self._bounds = bounds_
        self._held = dict.fromkeys(Use, 0)

    @property
    def bounds(self) -> buffer_bounds.BufferBounds:
        """The bounds in force."""
        return self._bounds

    @property
    def held_bytes(self) -> int:
        """The bytes held for requests and answers."""
        return sum(self._held.values())

    @property
    def has_answer_room(self) -> bool:
        """Whether answers hold less than they may."""
        return self.fits(Use.ANSWER, 1)

    def set_bounds(self, bounds_: buffer_bounds.BufferBounds) -> None:
        """Replace the bounds; what is held stays."""
        self._bounds = bounds_

    def fits(self, use: Use, size: int) -> bool:
        """Return whether there is room for further bytes."""
        if self.held_bytes + size > self._bounds.process_bytes:
            return False
        return use is Use.REQUEST or (
            self._held[use] + size <= self._bounds.answer_bytes
        )

    def add(self, use: Use, size: int) -> None:
        """Count further bytes, whether or not there is room."""
        self._held[use] += size

    def release(self, use: Use, size: int) -> None:
        """Count bytes as no longer held."""
        self._held[use] -= size


class Holding:
    """The bytes that one request holds for one use.

    :param ledger: counts them for the process.
    """

    def __init__(self, ledger: Ledger, use: Use) -> None:
        self._ledger = ledger
        self._use = use
        self._bytes = 0

    @property
    def held_bytes(self) -> int:
        """The bytes held."""
        return self._bytes

    def take(self, size: int) -> bool:
        """Count further bytes if there is room for them.

        :returns: whether there was.
        """
        if not self._ledger.fits(self._use, size):
            return False
        self.add(size)
        return True

    def add(self, size: int) -> None:
        """Count further bytes, whether or not there is room."""
        self._bytes += size
        self._ledger.add(self._use, size)

    def release(self, size: int) -> None:
        """Count bytes as no longer held."""
        size = min(size, self._bytes)
        self._bytes -= size
        self._ledger.release(self._use, size)

    def close(self) -> None:
        """Count all bytes as no longer held."""
        self.release(self._bytes)
