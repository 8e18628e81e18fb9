"""Structured log lines, bounded in number, that never hold a process up."""

import abc
import logging
import os
import sys
import time

from pythonjsonlogger import json as jsonlogger

# Lines a second that a process may write beyond its failures, and the burst:
# a day's busiest second holds under a hundred requests an entry.
LINES_PER_SECOND = 150.0
BURST_LINES = 300.0
# Share of the burst that only failures and changes of belief may use.
RESERVED_SHARE = 0.3


class EventLog(abc.ABC):
    """Takes one line for each decision and each change of belief."""

    @property
    @abc.abstractmethod
    def dropped(self) -> int:
        """Lines that were dropped so far."""

    @abc.abstractmethod
    def write(self, event: str, **fields: object) -> None:
        """Write a line on a failure or on what the process believes.

        :param event: what happened.
        :param fields: the inputs that decided it, and the outcome.
        """

    @abc.abstractmethod
    def write_routine(self, event: str, **fields: object) -> None:
        """Write a line that gives way to the others when lines are short.

        :param event: what happened.
        :param fields: the inputs that decided it, and the outcome.
        """


class MemoryEventLog(EventLog):
    """Keeps the lines; for tests."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    @property
    def dropped(self) -> int:
        """Lines that were dropped: none."""
        return 0

    def write(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))

    def write_routine(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))


class LineBudget:
    """A token bucket of lines, part of it kept for what matters most.

    :param per_second: lines that come back in a second.
    :param burst: the most lines at once.
    """

    def __init__(self, per_second: float, burst: float) -> None:
        self._per_second = per_second
        self._burst = burst
        self._tokens = burst
        self._filled_at = time.monotonic()
        self._dropped = 0

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        return self._dropped

    def take(self, is_routine: bool) -> bool:
        """Return whether a line may be written, and count it.

        :param is_routine: whether it gives way to other lines.
        """
        now = time.monotonic()
        self._tokens = min(
            self._burst,
            self._tokens + (now - self._filled_at) * self._per_second,
        )
        self._filled_at = now
        floor = self._burst * RESERVED_SHARE if is_routine else 0.0
        if self._tokens < floor + 1.0:
            self._dropped += 1
            return False
        self._tokens -= 1.0
        return True

    def count_drop(self) -> None:
        """Count a line that its reader did not take."""
        self._dropped += 1


class NonBlockingHandler(logging.Handler):
    """Writes lines to a descriptor, and drops what its reader won't take.

    :param descriptor: where to write.
    :param budget: counts the drops.
    """

    def __init__(self, descriptor: int, budget: LineBudget) -> None:
        super().__init__()
        self._descriptor = descriptor
        self._budget = budget
        self._rest = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Write a record, or count it as dropped."""
        line = self.format(record).encode() + b"\n"
        try:
            if self._rest:
                self._rest = self._rest[
                    os.write(self._descriptor, self._rest) :
                ]
            if self._rest:
                self._budget.count_drop()
                return
            self._rest = line[os.write(self._descriptor, line) :]
        except BlockingIOError:
            self._budget.count_drop()
        except OSError:
            # Standard output is gone; there is nowhere left to say so.
            self._budget.count_drop()


class JsonEventLog(EventLog):
    """Writes JSON lines to standard output.

    :param node: the instance's name, in each line.
    :param budget: how many lines may be written.
    """

    def __init__(self, node: str, budget: LineBudget) -> None:
        self._node = node
        self._budget = budget
        self._reported_dropped = 0
        self._logger = logging.getLogger("wagtailstream")
        handler = NonBlockingHandler(sys.stdout.fileno(), budget)
        handler.setFormatter(jsonlogger.JsonFormatter("%(message)s"))
        root = logging.getLogger()
        root.handlers = [handler]
        root.setLevel(logging.WARNING)
        self._logger.setLevel(logging.INFO)

    @property
    def dropped(self) -> int:
        """Lines that were dropped so far."""
        return self._budget.dropped

    def write(self, event: str, **fields: object) -> None:
        """Write a line."""
        self._emit(event, False, fields)

    def write_routine(self, event: str, **fields: object) -> None:
        """Write a line, if lines are not short."""
        self._emit(event, True, fields)

    def _emit(
        self, event: str, is_routine: bool, fields: dict[str, object]
    ) -> None:
        if not self._budget.take(is_routine):
            return
        dropped = self._budget.dropped
        if dropped > self._reported_dropped:
            fields["lines_dropped"] = dropped
            self._reported_dropped = dropped
        fields["node"] = self._node
        fields["time"] = round(time.time(), 3)
        self._logger.info(event, extra=fields)
