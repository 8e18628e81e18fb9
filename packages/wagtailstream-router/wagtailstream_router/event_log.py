"""Structured, rate-limited logging that never blocks the process."""

import abc
import logging
import os
import sys
import time

from pythonjsonlogger import json as jsonlogger

# Rate limit and burst of the log lines of one process. The busiest second of a
# day has under a hundred requests per process.
LINES_PER_SECOND = 150.0
BURST_LINES = 300.0
# Share of the burst that routine lines may not use; it is reserved for
# failures and for changes of the process's state.
RESERVED_SHARE = 0.3


class EventLog(abc.ABC):
    """Takes a line for each decision and each change of state."""

    @property
    @abc.abstractmethod
    def dropped(self) -> int:
        """The number of lines dropped so far."""

    @abc.abstractmethod
    def write(self, event: str, **fields: object) -> None:
        """Write a line about a failure or a change of the process's state.

        :param event: the name of the event.
        :param fields: the inputs of the decision, and the outcome.
        """

    @abc.abstractmethod
    def write_routine(self, event: str, **fields: object) -> None:
        """Write a routine line; it is dropped first at the rate limit.

        :param event: the name of the event.
        :param fields: the inputs of the decision, and the outcome.
        """


class MemoryEventLog(EventLog):
    """Keeps the lines in memory; for tests."""

    def __init__(self) -> None:
        self.lines: list[tuple[str, dict[str, object]]] = []

    @property
    def dropped(self) -> int:
        """The number of dropped lines: always 0."""
        return 0

    def write(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))

    def write_routine(self, event: str, **fields: object) -> None:
        """Keep a line."""
        self.lines.append((event, fields))


class LineBudget:
    """A token bucket for log lines, partly reserved for non-routine ones.

    :param per_second: tokens added per second.
    :param burst: the capacity of the bucket.
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
        """Take a token for a line, or count the line as dropped.

        :param is_routine: whether the line may not use the reserve.
        :returns: whether the line may be written.
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
        """Count a line that could not be written."""
        self._dropped += 1


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops them if it would block.

    The rest of a partly written line is kept and written first.

    :param descriptor: the file descriptor; it is set to non-blocking.
    :param budget: counts the dropped lines.
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
            # Standard output is closed, so the error can't be logged.
            self._budget.count_drop()


class JsonEventLog(EventLog):
    """Writes JSON lines to standard output.

    :param node: the instance's name; a field of each line.
    :param budget: limits the rate of lines.
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
        """Write a line unless only the reserve is left."""
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
