"""Keeps the copy of one topic current, through outages and compactions."""

import asyncio
import collections.abc
import dataclasses
import time

from wagtailstream_router import errors, event_log, replica, store

# Between tries while the store gives no answer: well under the two seconds
# within which lapsed entries are back.
RETRY_SECONDS = 0.4


@dataclasses.dataclass(frozen=True)
class Pace:
    """How often a topic is read.

    :param wait_seconds: how long the store may hold a read.
    :param pause_seconds: the pause after a read.
    """

    wait_seconds: float
    pause_seconds: float


class Follower:
    """Reads one topic into a replica.

    :param topic: the topic.
    :param copy: the replica to keep current.
    :param pace: how often to read.
    :param log: takes what the process comes to believe.
    :param take_change: is called when records have changed.
    :param is_covered: whether a peer reads the topic for this process.
    """

    def __init__(
        self,
        topic: store.Topic,
        copy: replica.Replica,
        pace: Pace,
        log: event_log.EventLog,
        is_covered: collections.abc.Callable[[], bool] = lambda: False,
        take_change: collections.abc.Callable[[], object] = lambda: None,
    ) -> None:
        self._topic = topic
        self._copy = copy
        self._pace = pace
        self._log = log
        self._is_covered = is_covered
        self._take_change = take_change
        self._lost_at: float | None = None
        self._regained_at = float("-inf")
        self._told_change = 0

    @property
    def copy(self) -> replica.Replica:
        """The replica that is kept current."""
        return self._copy

    @property
    def is_lost(self) -> bool:
        """Whether the store gives no usable answers at present."""
        return self._lost_at is not None

    @property
    def regained_at(self) -> float:
        """When the store last answered again, by the monotonic clock."""
        return self._regained_at

    async def run(self) -> None:
        """Read until cancelled."""
        while True:
            if self._is_covered():
                await asyncio.sleep(self._pace.pause_seconds or RETRY_SECONDS)
                continue
            try:
                await self.read_once()
            except errors.StoreError as error:
                self._note_lost(error)
                await asyncio.sleep(RETRY_SECONDS)
            else:
                self._note_regained()
                self._tell_change()
                await asyncio.sleep(self._pace.pause_seconds)

    async def read_once(self) -> None:
        """Read what is new, or all where the copy is empty or outdated.

        :raises errors.StoreError: there was no usable answer.
        """
        began = time.monotonic()
        if not self._copy.is_loaded:
            self._copy.reset(await self._topic.read_newest(), began)
            return
        try:
            page = await self._topic.read_from(
                self._copy.end, self._pace.wait_seconds
            )
        except errors.StoreCompactedError as error:
            self._log.write(
                "history_lost", topic=self._topic.name, detail=error.detail
            )
            began = time.monotonic()
            self._copy.reset(await self._topic.read_newest(), began)
            return
        # A held read vouches for the copy up to its answer.
        self._copy.extend(page, began)

    def _tell_change(self) -> None:
        if self._copy.change != self._told_change:
            self._told_change = self._copy.change
            self._take_change()

    def _note_lost(self, error: errors.StoreError) -> None:
        if self._lost_at is None:
            self._lost_at = time.monotonic()
            self._log.write(
                "store_lost", topic=self._topic.name, detail=str(error)
            )

    def _note_regained(self) -> None:
        if self._lost_at is None:
            return
        self._regained_at = time.monotonic()
        self._log.write(
            "store_regained",
            topic=self._topic.name,
            after_seconds=round(self._regained_at - self._lost_at, 3),
            offset=self._copy.end,
        )
        self._lost_at = None
