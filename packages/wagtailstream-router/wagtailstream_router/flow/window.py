"""The bytes of an answer that the caller's connection has not taken yet."""

import asyncio
import collections.abc
import contextlib
import fcntl
import socket
import struct
import sys
import termios
import time

from tornado import iostream

from wagtailstream_router.flow import ledger, unread

# The most bytes of an answer in the kernel; without a bound it grows to
# megabytes for a caller that reads nothing. The kernel doubles the value.
SOCKET_BYTES = 128 * 1024
# A stream that waits at its bound goes on at this share of it.
RESUME_SHARE = 0.5
# Closing with these options resets the connection and drops unread bytes.
_RESET = struct.pack("ii", 1, 0)


class SendWindow:
    """Tracks what of one answer is unsent, and waits for the caller.

    :param stream: the caller's connection.
    :param ledger_: counts the unsent bytes of the process.
    :param deadline: when the caller stops waiting, by the monotonic clock.
    :param on_change: called when there begin or cease to be unsent bytes.
    """

    def __init__(
        self,
        stream: iostream.IOStream,
        ledger_: ledger.Ledger,
        deadline: float,
        on_change: collections.abc.Callable[["SendWindow"], None],
    ) -> None:
        self._stream = stream
        self._ledger = ledger_
        self._holding = ledger.Holding(ledger_, ledger.Use.ANSWER)
        self._deadline = deadline
        self._on_change = on_change
        self._clock: unread.UnreadClock | None = None
        self._written = 0
        self._progress: asyncio.Future[None] | None = None
        self._is_blocked = False
        with contextlib.suppress(OSError):
            stream.socket.setsockopt(
                socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BYTES
            )

    @property
    def unsent_bytes(self) -> int:
        """The bytes that the kernel has not taken yet."""
        return self._holding.held_bytes

    @property
    def unread_seconds(self) -> float:
        """The observed time in which the caller read nothing."""
        return 0.0 if self._clock is None else self._clock.unread_seconds

    @property
    def is_blocked(self) -> bool:
        """Whether `wait_allowed` waits, or ended before it was allowed."""
        return self._is_blocked

    @property
    def _limit_bytes(self) -> int:
        if not self._ledger.has_answer_room:
            return 0
        return self._ledger.bounds.request_bytes

    def record_write(self, size: int) -> None:
        """Count bytes that were just written to the connection."""
        self._written += size
        if not self._stream.writing():
            return
        if not self.unsent_bytes:
            self._clock = unread.UnreadClock(time.monotonic(), self._deadline)
        self._holding.add(size)
        # An empty write is done when all writes before it are.
        self._stream.write(b"").add_done_callback(
            lambda _: self._record_sent(size)
        )
        if self.unsent_bytes == size:
            self._on_change(self)

    def _record_sent(self, size: int) -> None:
        self._holding.release(size)
        if not self.unsent_bytes:
            self._on_change(self)
        if self._progress is not None and not self._progress.done():
            self._progress.set_result(None)

    async def wait_allowed(self) -> float:
        """Wait until the caller may have more bytes.

        :returns: how long that took, in seconds.
        """
        if self.unsent_bytes <= self._limit_bytes:
            return 0.0
        began = time.monotonic()
        self._is_blocked = True
        while self.unsent_bytes > self._limit_bytes * RESUME_SHARE:
            await self._wait_progress()
        self._is_blocked = False
        return time.monotonic() - began

    async def wait_sent(self) -> None:
        """Wait until nothing is unsent, or the connection is closed."""
        while self.unsent_bytes:
            await self._wait_progress()

    async def _wait_progress(self) -> None:
        self._progress = asyncio.get_running_loop().create_future()
        await self._progress

    def check(self, now: float) -> unread.Cause | None:
        """Return why the caller is to be ended; None to go on."""
        if self._clock is None or not self.unsent_bytes:
            return None
        return self._clock.check(
            now,
            self._written - self.unsent_bytes - self._queued_bytes(),
            self._ledger.bounds.unread_seconds,
            self._ledger.has_answer_room,
        )

    def _queued_bytes(self) -> int:
        """Return the bytes that the caller's host has not acknowledged."""
        if self._stream.closed():
            return 0
        with contextlib.suppress(OSError):
            data = fcntl.ioctl(
                self._stream.fileno(), termios.TIOCOUTQ, bytes(4)
            )
            return int.from_bytes(data, sys.byteorder)
        return 0

    def reset(self) -> None:
        """Close the connection and drop what the caller has not read."""
        if not self._stream.closed():
            with contextlib.suppress(OSError):
                self._stream.socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET
                )
            self._stream.close()

    def close(self) -> None:
        """Count nothing any more: the answer is over."""
        self._holding.close()
        self._on_change(self)
