"""Reassembly of an answer from chunks that may arrive late or repeatedly.

Chunks of other requests or of earlier attempts are dropped.
"""

import dataclasses
import hashlib

from wagtailstream_core import errors

# Bounds the memory of an answer whose next chunk is missing.
MAX_OUT_OF_ORDER_CHUNKS = 1024


@dataclasses.dataclass(frozen=True)
class Chunk:
    """One piece of an answer.

    :param sequence: its index in the whole answer, from 0.
    """

    request_id: str
    attempt: int
    sequence: int
    data: bytes


@dataclasses.dataclass(frozen=True)
class EndMark:
    """The end of an attempt's answer.

    :param count: the number of chunks of the whole answer.
    :param digest: SHA-256 of the chunks that this attempt sent.
    """

    request_id: str
    attempt: int
    count: int
    digest: bytes


class Assembler:
    """Reassembles the answer to one request over resumed attempts.

    All attempts must run on the same version of the model.

    :param request_id: the request.
    """

    def __init__(self, request_id: str) -> None:
        self._request_id = request_id
        self._attempt = 0
        self._next = 0
        self._out_of_order: dict[int, bytes] = {}
        self._digest = hashlib.sha256()
        self._end: EndMark | None = None

    @property
    def position(self) -> int:
        """The number of chunks released so far."""
        return self._next

    @property
    def is_complete(self) -> bool:
        """Whether all chunks up to the end mark were released.

        If their digest differs from the end mark's, the call that released
        the last one raised CorruptAnswerError.
        """
        return self._end is not None and self._next == self._end.count

    def start_attempt(self, attempt: int) -> int:
        """Start an attempt and return the position to resume from.

        :param attempt: the attempt's number; from now on, chunks of other
            attempts are dropped.
        """
        self._attempt = attempt
        self._out_of_order.clear()
        self._digest = hashlib.sha256()
        self._end = None
        return self._next

    def add(self, chunk: Chunk) -> list[bytes]:
        """Add a chunk and return the data that is now in order.

        :param chunk: the chunk.
        :raises errors.PeerError: too many chunks wait for a missing one.
        :raises errors.CorruptAnswerError: the answer is complete and its
            digest differs from the end mark's.
        """
        if not self._is_current(chunk.request_id, chunk.attempt):
            return []
        if chunk.sequence < self._next:
            return []
        self._out_of_order[chunk.sequence] = chunk.data
        if len(self._out_of_order) > MAX_OUT_OF_ORDER_CHUNKS:
            raise errors.PeerError(
                "assemble",
                "agent",
                f"more than {MAX_OUT_OF_ORDER_CHUNKS} chunks arrived before "
                f"chunk {self._next}",
            )
        released = self._release()
        self._check_end()
        return released

    def finish(self, end: EndMark) -> None:
        """Set the end mark; chunks may still be missing.

        :param end: the end mark.
        :raises errors.CorruptAnswerError: the answer is complete and its
            digest differs from the end mark's.
        """
        if self._is_current(end.request_id, end.attempt):
            self._end = end
            self._check_end()

    def _is_current(self, request_id: str, attempt: int) -> bool:
        return request_id == self._request_id and attempt == self._attempt

    def _release(self) -> list[bytes]:
        released = []
        while self._next in self._out_of_order:
            data = self._out_of_order.pop(self._next)
            self._digest.update(data)
            released.append(data)
            self._next += 1
        return released

    def _check_end(self) -> None:
        if not self.is_complete or self._end is None:
            return
        if self._digest.digest() != self._end.digest:
            raise errors.CorruptAnswerError(
                "assemble",
                "agent",
                "the chunks do not match the digest of the end mark",
            )
