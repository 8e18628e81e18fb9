"""Collects a body that is passed on whole, while there is room for it."""

from wagtailstream_router.flow import ledger

# This much is kept also without room: what one read of a connection gives.
# Answers of that length stay whole, and can be asked for elsewhere.
FREE_BYTES = 64 * 1024


class WholeBody:
    """The part of an answer's body that was read.

    It answers this load: many large answers at once, on an instance that has
    room for few of them.

    :param holding: the room of the request for answers.
    """

    def __init__(self, holding: ledger.Holding) -> None:
        self._holding = holding
        self._pieces: list[bytes] = []
        self._size = 0
        self._taken = 0

    @property
    def size(self) -> int:
        """The length of the part, in bytes."""
        return self._size

    def add(self, piece: bytes) -> bool:
        """Add a piece.

        :returns: whether the next may be kept too; otherwise the part is to
            be passed on, and the rest as it comes.
        """
        self._pieces.append(piece)
        self._size += len(piece)
        if self._size <= FREE_BYTES:
            return True
        missing = self._size - self._taken
        if self._holding.take(missing):
            self._taken += missing
            return True
        return False

    def take_all(self) -> bytes:
        """Return the part and release its room: it is about to be sent."""
        data = b"".join(self._pieces)
        self._pieces = []
        self.close()
        return data

    def close(self) -> None:
        """Release the room."""
        self._holding.release(self._taken)
        self._taken = 0
