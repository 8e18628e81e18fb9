"""The caller's end of a request."""

import abc
import collections.abc


class Reply(abc.ABC):
    """Takes the answer of one request."""

    @property
    @abc.abstractmethod
    def is_started(self) -> bool:
        """Whether the caller got the head of an answer."""

    @abc.abstractmethod
    def start(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
    ) -> None:
        """Send the head of an answer whose length is not known."""

    @abc.abstractmethod
    def write(self, data: bytes) -> None:
        """Send bytes of the body."""

    @abc.abstractmethod
    def finish(self) -> None:
        """End a started answer as complete."""

    @abc.abstractmethod
    def send(
        self,
        status: int,
        headers: collections.abc.Sequence[tuple[str, str]],
        body: bytes,
    ) -> None:
        """Send a whole answer."""

    @abc.abstractmethod
    def abort(self) -> None:
        """Close the connection, so that the answer can't look complete."""
