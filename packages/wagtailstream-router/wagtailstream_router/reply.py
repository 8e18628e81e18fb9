"""The interface for answering a caller."""

import abc
import collections.abc

from wagtailstream_router.flow import ledger


class Reply(abc.ABC):
    """Sends the answer of one request to its caller."""

    @property
    @abc.abstractmethod
    def is_started(self) -> bool:
        """Whether the head of an answer was sent to the caller."""

    @abc.abstractmethod
    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Send the head of an answer of unknown length."""

    @property
    @abc.abstractmethod
    def is_blocked(self) -> bool:
        """Whether the answer waits, or last waited, for the caller to read."""

    @property
    @abc.abstractmethod
    def room(self) -> ledger.Holding:
        """Counts what is held of an answer before it is sent."""

    @abc.abstractmethod
    async def write(self, data: bytes) -> float:
        """Send a chunk of the body; wait until the caller may have more.

        :returns: how long it waited, in seconds.
        """

    @abc.abstractmethod
    def finish(self) -> None:
        """Mark a started answer as complete."""

    @abc.abstractmethod
    def send(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a complete answer: head and body."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection so that a cut answer can't look complete."""
