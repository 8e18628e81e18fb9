"""Serves copies of the store's topics to peers, and reads those of peers."""

import asyncio
import base64
import collections.abc
import random

import orjson

from wagtailstream_router import (
    endpoint_link,
    errors,
    follower,
    gossip,
    page_server,
    replica,
    store,
    wire,
)

# Timeout of a read from a peer; the store is read instead after it.
CALL_SECONDS = 0.5
PATH_PREFIX = "/copy/"
# The age of a copy from which a process reads the store itself. Instances are
# ordered by name: the first one always reads the store, the others follow its
# messages and read the store only if they stop.
BASE_MAX_AGE_SECONDS = 0.9
# Added per instance before this one, so that they don't all read at once.
MAX_AGE_STEP_SECONDS = 0.1
MAX_AGE_LIMIT_SECONDS = 1.4


class PeerTopic(store.Topic):
    """A peer's copy of a topic; only `read_newest` is supported.

    :param pool: connections to peers.
    :param address: where the peer serves its copies.
    :param name: the topic's name.
    """

    def __init__(
        self, pool: endpoint_link.LinkPool, address: str, name: str
    ) -> None:
        self._pool = pool
        self._address = address
        self._name = name

    @property
    def name(self) -> str:
        """The topic's name."""
        return self._name

    async def read_newest(self) -> store.Page:
        """Return the newest record of each key.

        :raises errors.StoreError: the peer gave no usable answer.
        """
        try:
            async with asyncio.timeout(CALL_SECONDS):
                return _decode(await self._fetch())
        except (
            TimeoutError,
            ValueError,
            errors.NotSentError,
            errors.BrokenAnswerError,
        ) as error:
            raise errors.StoreError(
                "read a peer's copy", self._address, repr(error)
            ) from error

    async def _fetch(self) -> bytes:
        link = await self._pool.acquire(self._address)
        try:
            fields = [("Host", self._address)]
            link.send("GET", PATH_PREFIX + self._name, fields, b"")
            head, body = await link.read_answer()
            if head.status != 200:
                raise ValueError(f"status {head.status}")
            return body
        finally:
            self._pool.release(link)

    async def read_from(self, offset: int, wait_seconds: float) -> store.Page:
        """Raise an error: a peer keeps no history."""
        raise errors.StoreCompactedError(
            "read",
            self._address,
            f"a peer has no records from offset {offset} on, only newest ones",
        )

    async def append(
        self, key: str, value: bytes, expected_end: store.Position
    ) -> None:
        """Raise an error: only the store accepts records."""
        raise errors.StoreError(
            "append", self._address, "a peer's copy is read-only"
        )


def encode(copy: replica.Replica) -> bytes:
    """Return a copy as JSON: its era and end, then rows of its records."""
    rows = [
        [key, base64.b64encode(record.value or b"").decode(), record.offset]
        for key, record in copy.records.items()
    ]
    return orjson.dumps([copy.end.era, copy.end.offset, rows])


def _decode(data: bytes) -> store.Page:
    """Return the records that `encode` wrote.

    :raises ValueError: the bytes are not an encoded copy.
    """
    try:
        era, end, rows = orjson.loads(data)
        return store.Page(
            tuple(
                store.Record(str(key), base64.b64decode(value), int(offset))
                for key, value, offset in rows
            ),
            int(end),
            int(era),
        )
    except TypeError as error:
        raise ValueError(f"not a copy of a topic: {error!r}") from error


class NewestPeerCopies(follower.PeerCopySource):
    """Finds the peer with the newest copy of a topic.

    :param peers: the gossip that lists the live peers.
    :param codec: decodes heads of answers.
    :param name: this instance's name.
    """

    def __init__(
        self, peers: gossip.Gossip, codec: wire.HeaderCodec, name: str
    ) -> None:
        self._peers = peers
        self._pool = endpoint_link.LinkPool(codec)
        self._name = name
        self._jitter = random.Random().uniform(0.0, MAX_AGE_STEP_SECONDS)

    def find(
        self, topic: str, end: store.Position
    ) -> follower.PeerCopy | None:
        """Return the newest copy of a topic among live peers, if any.

        A read that brings a record confirms the copy only as of its
        beginning. So a copy that was just changed may seem older than those
        of peers that don't know the change yet; it goes first.

        :param end: where this instance's copy ends.
        """
        found = [
            follower.PeerCopy(
                PeerTopic(self._pool, peer.report.address, topic),
                peer_copy.end,
                peer_copy.changed_end,
                peer.heard_at - peer_copy.age_seconds,
            )
            for peer in self._peers.alive
            for peer_copy in peer.report.copies
            if peer_copy.topic == topic
        ]
        # Instances that can't reach the store may still be in an older era.
        return max(
            found,
            key=lambda copy: (
                copy.end.era,
                store.Position(copy.end.era, copy.changed_end) > end,
                copy.at,
            ),
            default=None,
        )

    def max_age_seconds(self, topic: str) -> float:
        """Return the age from which this process reads the store itself.

        It is 0 for the first instance by name that is not draining, and
        grows with the number of instances before this one.
        """
        before = sum(
            peer.report.name < self._name and not peer.report.is_draining
            for peer in self._peers.alive
        )
        if not before:
            return 0.0
        max_age = BASE_MAX_AGE_SECONDS + MAX_AGE_STEP_SECONDS * before
        return min(MAX_AGE_LIMIT_SECONDS, max_age) + self._jitter

    def close(self) -> None:
        """Close all connections to peers."""
        self._pool.close()


def make_page(
    copies: collections.abc.Mapping[str, replica.Replica], path: str
) -> page_server.Page:
    """Return the HTTP response with a copy, for peers; 404 if not loaded.

    :param copies: the copies by name of their topic.
    :param path: `PATH_PREFIX` and the name of the topic.
    """
    copy = copies.get(path.removeprefix(PATH_PREFIX))
    if copy is None or not copy.is_loaded:
        return page_server.Page(404, b"")
    return page_server.Page(200, encode(copy))
