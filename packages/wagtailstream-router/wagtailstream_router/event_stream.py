"""Splits a server-sent event stream into events."""

import dataclasses

_ENDS = (b"\n\n", b"\r\n\r\n")
# The fields of server-sent events; others may stand beside them.
_FIELDS = frozenset({b"id", b"data", b"event", b"retry"})


@dataclasses.dataclass(frozen=True, slots=True)
class Event:
    """One complete event.

    :param data: its raw bytes, including the blank line at its end.
    :param identity: its id field; "" if it has none.
    :param is_comment: whether it has no field at all; it is no progress then.
    :param is_valid: whether it is an event or a comment, and no other text.
    """

    data: bytes
    identity: str
    is_comment: bool = False
    is_valid: bool = True


class EventSplitter:
    """Buffers bytes and returns complete events."""

    def __init__(self) -> None:
        self._rest = b""

    @property
    def rest_bytes(self) -> int:
        """The length of the incomplete event in the buffer."""
        return len(self._rest)

    def feed(self, data: bytes) -> list[Event]:
        """Add bytes and return the events that they complete.

        :param data: the next bytes of the stream.
        """
        self._rest += data
        events = []
        while (end := _find_end(self._rest)) > 0:
            raw = self._rest[:end]
            self._rest = self._rest[end:]
            events.append(_parse(raw))
        return events


def _find_end(data: bytes) -> int:
    ends = [data.find(mark) + len(mark) for mark in _ENDS if mark in data]
    return min(ends, default=0)


def _parse(raw: bytes) -> Event:
    """Return the event that some bytes with a blank line at the end hold."""
    identity = ""
    names = set()
    for line in raw.splitlines():
        if not line or line.startswith(b":"):
            continue
        name, _, value = line.partition(b":")
        if name == b"id" and not identity:
            identity = value.strip().decode("utf-8", "replace")
        names.add(name)
    return Event(
        raw,
        identity,
        is_comment=not names,
        is_valid=not names or not names.isdisjoint(_FIELDS),
    )
