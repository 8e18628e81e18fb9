"""Splits a stream of events into whole events."""

import dataclasses

_ENDS = (b"\n\n", b"\r\n\r\n")


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One whole event.

    :param data: its bytes, with the blank line that ends it.
    :param identity: its id; "" if it has none.
    """

    data: bytes
    identity: str


class EventSplitter:
    """Collects bytes until an event is whole."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def has_rest(self) -> bool:
        """Whether an event was begun and is not whole."""
        return bool(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Return the events that are whole with more bytes.

        :param data: the next bytes of the stream.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            raw = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(Event(raw, _find_identity(raw)))
        return events


def _find_end(data: bytes) -> int:
    ends = [data.find(mark) + len(mark) for mark in _ENDS if mark in data]
    return min(ends, default=0)


def _find_identity(raw: bytes) -> str:
    for line in raw.splitlines():
        name, _, value = line.partition(b":")
        if name == b"id":
            return value.strip().decode("utf-8", "replace")
    return ""
