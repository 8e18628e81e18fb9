"""The platform's store: topics of records, some of them keyed."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True, slots=True)
class Record:
    """One record of a keyed topic.

    :param value: its content; None where the key was removed.
    :param offset: its place in the topic.
    """

    key: str
    value: bytes | None
    offset: int


@dataclasses.dataclass(frozen=True, slots=True)
class Page:
    """Records, and the offset at which to read on."""

    records: tuple[Record, ...]
    next_offset: int


class Topic(abc.ABC):
    """One keyed topic of the store."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The topic's name in the router."""

    @abc.abstractmethod
    async def read_newest(self) -> Page:
        """Return the newest record of each key.

        :raises errors.StoreError: there was no usable answer.
        """

    @abc.abstractmethod
    async def read_from(self, offset: int, wait_seconds: float) -> Page:
        """Return the records from an offset on.

        :param wait_seconds: how long to wait for one; 0 returns at once.
        :raises errors.StoreCompactedError: they are no longer kept.
        :raises errors.StoreError: there was no usable answer.
        """

    @abc.abstractmethod
    async def append(self, key: str, value: bytes, expected_end: int) -> int:
        """Append a record if the topic ends at an offset.

        :returns: the topic's new end.
        :raises errors.StoreConflictError: the topic ends elsewhere.
        :raises errors.StoreError: there was no usable answer; the record may
            have been appended.
        """


@dataclasses.dataclass(frozen=True)
class Store:
    """The topics that the router uses.

    :param operator: what the operator wrote; read only.
    :param endpoints: what endpoints wrote of themselves; read only.
    :param status: what the router writes for the operator.
    """

    operator: Topic
    endpoints: Topic
    status: Topic
    close: collections.abc.Callable[[], None] = lambda: None
