"""The requests under way at this entry, until their answers are written."""

import asyncio
import typing


class OpenRequests:
    """Counts requests under way, and can give them all up."""

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task[typing.Any]] = {}
        self._is_aborted = False

    @property
    def is_aborted(self) -> bool:
        """Whether the requests under way were given up."""
        return self._is_aborted

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, request_id: str, task: "asyncio.Task[typing.Any]") -> None:
        """Count a request.

        :param request_id: a new identifier.
        :param task: what cancels it.
        """
        self._tasks[request_id] = task

    def discard(self, request_id: str) -> None:
        """Count a request no more: its answer is written.

        :param request_id: its identifier.
        """
        self._tasks.pop(request_id, None)

    def abort(self) -> None:
        """Give up every request under way; each still gets its answer."""
        self._is_aborted = True
        for task in self._tasks.values():
            task.cancel()
