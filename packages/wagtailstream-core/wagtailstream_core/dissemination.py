"""Distribution of configuration records over a tree of instances.

A few instances of a region tail the log; the others form a tree below them.
A node forwards each new record to its children. It detects a missing record
by a later record or by a neighbour's digest, and requests it from one of the
neighbours that are known to hold it (the replier). While that request is
open, no second one is sent. Requests for the same record that arrive
meanwhile are answered once it is there, as in DyRAM (Maimour and Pham, 2002).
"""

import collections.abc
import dataclasses
import random

# How long a request stays open before it is sent to another replier.
REQUEST_TIMEOUT_SECONDS = 0.5
# Maximum number of records in one request.
MAX_REQUESTED = 64


@dataclasses.dataclass(frozen=True)
class Push:
    """Message: carries a record.

    :param offset: the record's offset.
    """

    offset: int


@dataclasses.dataclass(frozen=True)
class Digest:
    """Message: states up to which offset the sender holds all records.

    :param next_offset: the first offset that the sender lacks.
    """

    next_offset: int


@dataclasses.dataclass(frozen=True)
class RecordRequest:
    """Message: requests records that the sender lacks."""

    offsets: tuple[int, ...]


Message = Push | Digest | RecordRequest


@dataclasses.dataclass(frozen=True)
class Outgoing:
    """An outgoing message and its recipient."""

    to: str
    message: Message


@dataclasses.dataclass(frozen=True)
class Position:
    """A node's position in its region's tree.

    :param parents: the nodes that it requests records from, the preferred
        one first.
    :param children: the nodes that it forwards records to.
    """

    name: str
    parents: tuple[str, ...]
    children: tuple[str, ...]

    @property
    def neighbours(self) -> tuple[str, ...]:
        """The parents and the children."""
        return self.parents + self.children


def place(
    names: collections.abc.Sequence[str], tail_count: int, fan_out: int
) -> list[Position]:
    """Return the positions of a region's instances in the tree.

    The parents of an instance are its parent in the tree, if it has one, and
    then the instances that tail the log.

    :param names: the instances, in an order on which all of them agree.
    :param tail_count: how many of the first instances tail the log.
    :param fan_out: the maximum number of children of a node.
    """
    tail_count = min(tail_count, len(names))
    parents = [
        None if index < tail_count else (index - tail_count) // fan_out
        for index in range(len(names))
    ]
    children: list[list[str]] = [[] for _ in names]
    for name, parent in zip(names, parents, strict=True):
        if parent is not None:
            children[parent].append(name)
    positions = []
    for index, name in enumerate(names):
        parent = parents[index]
        others = [n for n in names[:tail_count] if n != name]
        preferred = [] if parent is None else [names[parent]]
        ranked = tuple(dict.fromkeys(preferred + others))
        positions.append(Position(name, ranked, tuple(children[index])))
    return positions


@dataclasses.dataclass(frozen=True)
class _OpenRequest:
    replier: str
    deadline: float


class Relay:
    """The state of one node: records held, missing and requested.

    Its methods do no I/O; they return the messages to send.

    :param position: the node's position in the tree.
    :param rng: chooses among the possible repliers.
    """

    def __init__(self, position: Position, rng: random.Random) -> None:
        self._position = position
        self._rng = rng
        self._held: set[int] = set()
        self._next = 0
        self._known_end = 0
        self._open_requests: dict[int, _OpenRequest] = {}
        self._waiting_neighbours: dict[int, set[str]] = {}
        self._neighbour_offsets: dict[str, int] = {}

    @property
    def next_offset(self) -> int:
        """The first offset that is not held."""
        return self._next

    def holds(self, offset: int) -> bool:
        """Return whether the node holds a record.

        :param offset: the record's offset.
        """
        return offset < self._next or offset in self._held

    def handle_record(self, offset: int, now: float) -> list[Outgoing]:
        """Handle a record from the log or from a neighbour.

        :param offset: the record's offset.
        :param now: monotonic seconds.
        """
        if self.holds(offset):
            return []
        self._held.add(offset)
        self._open_requests.pop(offset, None)
        while self._next in self._held:
            self._held.remove(self._next)
            self._next += 1
        self._known_end = max(self._known_end, offset + 1)
        targets = set(self._position.children)
        targets |= self._waiting_neighbours.pop(offset, set())
        sent = [Outgoing(name, Push(offset)) for name in sorted(targets)]
        return sent + self._request_missing(now)

    def handle_digest(
        self, sender: str, digest: Digest, now: float
    ) -> list[Outgoing]:
        """Handle a neighbour's digest.

        :param sender: the neighbour.
        :param digest: the digest.
        :param now: monotonic seconds.
        """
        self._neighbour_offsets[sender] = digest.next_offset
        self._known_end = max(self._known_end, digest.next_offset)
        return self._request_missing(now)

    def handle_request(
        self, sender: str, request: RecordRequest, now: float
    ) -> list[Outgoing]:
        """Handle a neighbour's request for records.

        Records that this node lacks too are sent once it receives them.

        :param sender: the neighbour.
        :param request: the request.
        :param now: monotonic seconds.
        """
        sent = []
        for offset in request.offsets[:MAX_REQUESTED]:
            if self.holds(offset):
                sent.append(Outgoing(sender, Push(offset)))
                continue
            self._waiting_neighbours.setdefault(offset, set()).add(sender)
            self._known_end = max(self._known_end, offset + 1)
        return sent + self._request_missing(now)

    def make_digests(self, now: float) -> list[Outgoing]:
        """Return the periodic digests, and repeats of overdue requests.

        :param now: monotonic seconds.
        """
        digest = Digest(self._next)
        sent = [
            Outgoing(name, digest)
            for name in (*self._position.parents[:1], *self._position.children)
        ]
        return sent + self._request_missing(now)

    def _request_missing(self, now: float) -> list[Outgoing]:
        by_replier: dict[str, list[int]] = {}
        for offset in range(self._next, self._known_end):
            if offset in self._held or self._is_open(offset, now):
                continue
            replier = self._choose_replier(offset)
            if replier is None:
                continue
            self._open_requests[offset] = _OpenRequest(
                replier, now + REQUEST_TIMEOUT_SECONDS
            )
            by_replier.setdefault(replier, []).append(offset)
        return [
            Outgoing(replier, RecordRequest(tuple(offsets[:MAX_REQUESTED])))
            for replier, offsets in by_replier.items()
        ]

    def _is_open(self, offset: int, now: float) -> bool:
        request = self._open_requests.get(offset)
        return request is not None and request.deadline > now

    def _choose_replier(self, offset: int) -> str | None:
        """Return the neighbour to request a record from, or None.

        Neighbours known to hold the record come first, then the parents.
        Excluded are the last replier, if its answer is overdue, and
        neighbours that requested the record themselves.
        """
        failed = self._open_requests.get(offset)
        waiting = self._waiting_neighbours.get(offset, set())
        candidates = [
            name
            for name in self._position.neighbours
            if name not in waiting and not (failed and name == failed.replier)
        ]
        holders = [
            n for n in candidates if self._neighbour_offsets.get(n, 0) > offset
        ]
        if holders:
            return self._rng.choice(holders)
        parents = [n for n in candidates if n in self._position.parents]
        return parents[0] if parents else None
