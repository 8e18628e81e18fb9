"""The open requests of this entry: those whose answer is not yet written."""

import asyncio
import typing


class OpenRequests:
    """Tracks open requests, and can abort all of them."""

    def __init__(self) -> None:
        self._tasks: dict[str, asyncio.Task[typing.Any]] = {}
        self._is_aborted = False

    @property
    def is_aborted(self) -> bool:
        """Whether the open requests were aborted."""
        return self._is_aborted

    def __len__(self) -> int:
        return len(self._tasks)

    def add(self, request_id: str, task: "asyncio.Task[typing.Any]") -> None:
        """Add a request.

        :param request_id: a unique identifier.
        :param task: the task that processes it.
        """
        self._tasks[request_id] = task

    def discard(self, request_id: str) -> None:
        """Remove a request once its answer is written.

        :param request_id: its identifier.
        """
        self._tasks.pop(request_id, None)

    def abort(self) -> None:
        """Cancel the tasks of all open requests.

        Each caller still gets a refusal.
        """
        self._is_aborted = True
        for task in self._tasks.values():
            task.cancel()
