"""Fake of the users' store: keyed topics of one partition, over HTTP."""

import asyncio
import base64
import dataclasses
import enum

import orjson
from tornado import httpserver, netutil, web

KEY_LENGTH_BYTES = 1
OFFSET_BYTES = 8
ERA_HEADER = "Store-Era"
RECORD_LENGTH_BYTES = 4
PAGE_ITEMS = 500


class Fault(enum.Enum):
    """Fault of the store.

    BUSY answers every call 503. SILENT leaves calls unanswered until the
    store closes. LOST carries out appends, but doesn't answer them.
    """

    NONE = "none"
    BUSY = "busy"
    SILENT = "silent"
    LOST = "lost"


@dataclasses.dataclass
class Topic:
    """The records of a topic.

    :param first: offset of the earliest record that is kept.
    :param newest: offset and value of each key's last record.
    :param compacted: the same, for the records that are no longer kept.
    """

    first: int = 0
    records: list[tuple[str, bytes]] = dataclasses.field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )
    compacted: dict[str, tuple[int, bytes]] = dataclasses.field(
        default_factory=dict
    )

    @property
    def end(self) -> int:
        """The offset of the next record."""
        return self.first + len(self.records)

    def append(self, key: str, value: bytes) -> None:
        """Append a record; an empty value deletes the key."""
        if value:
            self.newest[key] = (self.end, value)
        else:
            self.newest.pop(key, None)
        self.records.append((key, value))

    def compact(self) -> None:
        """Drop the records; the last one of each key is kept."""
        self.first = self.end
        self.records = []
        self.compacted = dict(self.newest)

    def copy_until(self, end: int) -> "Topic":
        """Return a copy with the records before an offset that are kept."""
        copy = Topic(self.first, [], dict(self.compacted), self.compacted)
        for key, value in self.records[: max(0, end - self.first)]:
            copy.append(key, value)
        return copy


class PlatformStore:
    """Keeps topics in memory and serves them on loopback.

    :param page_items: maximum number of keys in a page of newest records.
    """

    def __init__(self, page_items: int = PAGE_ITEMS) -> None:
        self.topics: dict[str, Topic] = {}
        self.era = 0
        self.fault = Fault.NONE
        self.page_items = page_items
        self.calls = 0
        self.changed = asyncio.Event()
        self.released = asyncio.Event()
        self._server: httpserver.HTTPServer | None = None
        self.address = ""

    def topic(self, name: str) -> Topic:
        """Return a topic, created at the first use."""
        return self.topics.setdefault(name, Topic())

    def put(self, name: str, key: str, value: bytes) -> None:
        """Append a record and wake waiting readers.

        :param value: b"" to delete the key.
        """
        self.topic(name).append(key, value)
        self.changed.set()
        self.changed = asyncio.Event()

    def compact(self, name: str) -> None:
        """Drop a topic's log; the newest record of each key is kept."""
        self.topic(name).compact()

    def restore(self, ends: dict[str, int]) -> None:
        """Come back from an older copy: drop what was appended after it.

        :param ends: where each topic ended in the copy; topics that aren't
            named are lost.
        """
        self.era += 1
        self.topics = {
            name: self.topics[name].copy_until(end)
            for name, end in ends.items()
        }
        self.changed.set()
        self.changed = asyncio.Event()

    def start(self) -> None:
        """Listen on a loopback port that the system picks."""
        application = web.Application(
            [
                ("/log-append", _AppendHandler, {"store": self}),
                ("/log-read", _ReadHandler, {"store": self}),
                ("/log-newest", _NewestHandler, {"store": self}),
            ]
        )
        sockets = netutil.bind_sockets(0, "127.0.0.1")
        self._server = httpserver.HTTPServer(application)
        self._server.add_sockets(sockets)
        host, port = sockets[0].getsockname()
        self.address = f"{host}:{port}"

    async def close(self) -> None:
        """Stop listening and drop all connections."""
        self.released.set()
        if self._server is not None:
            self._server.stop()
            await self._server.close_all_connections()


class _Handler(web.RequestHandler):
    def initialize(self, store: PlatformStore) -> None:
        self.store = store

    async def prepare(self) -> None:
        self.store.calls += 1
        self.set_header(ERA_HEADER, str(self.store.era))
        if self.store.fault is Fault.BUSY:
            self.set_status(503)
            await self.finish()
        elif self.store.fault is Fault.SILENT:
            await self.store.released.wait()

    def topic(self) -> Topic:
        return self.store.topic(self.get_query_argument("topic"))


class _AppendHandler(_Handler):
    async def post(self) -> None:
        topic = self.topic()
        expected = self.get_query_argument("at", "")
        if expected and int(expected) != topic.end:
            self.set_status(412)
            self.finish({"endOffset": topic.end})
            return
        offset = topic.end
        for key, value in _split_keyed_records(self.request.body):
            self.store.put(self.get_query_argument("topic"), key, value)
        if self.store.fault is Fault.LOST:
            # The append took effect, but the client gets no answer.
            await self.store.released.wait()
        self.finish({"offset": offset, "endOffset": topic.end})


class _ReadHandler(_Handler):
    async def get(self) -> None:
        topic = self.topic()
        start = int(self.get_query_argument("from"))
        wait_seconds = int(self.get_query_argument("waitMs", "0")) / 1000.0
        if start >= topic.end and wait_seconds:
            await _wait(self.store.changed, wait_seconds)
            self.set_header(ERA_HEADER, str(self.store.era))
            topic = self.topic()
        if not topic.first <= start <= topic.end:
            self.set_status(410)
            self.finish({"firstOffset": topic.first})
            return
        self.write(topic.end.to_bytes(OFFSET_BYTES, "big"))
        self.write(topic.first.to_bytes(OFFSET_BYTES, "big"))
        for key, value in topic.records[start - topic.first :]:
            self.write(encode_keyed_record(key, value))
        self.finish()


class _NewestHandler(_Handler):
    def get(self) -> None:
        topic = self.topic()
        after = self.get_query_argument("after", "")
        keys = sorted(key for key in topic.newest if key > after)
        page = keys[: self.store.page_items]
        items = [
            {
                "key": key,
                "value": base64.b64encode(topic.newest[key][1]).decode(),
                "offset": topic.newest[key][0],
            }
            for key in page
        ]
        self.finish(
            orjson.dumps(
                {
                    "items": items,
                    "hasMore": len(keys) > len(page),
                    "endOffset": topic.end,
                }
            )
        )


async def _wait(event: asyncio.Event, seconds: float) -> None:
    try:
        async with asyncio.timeout(seconds):
            await event.wait()
    except TimeoutError:
        return


def encode_keyed_record(key: str, value: bytes) -> bytes:
    """Return the encoding of a keyed record, prefixed with its length."""
    encoded_key = key.encode()
    content = bytes([len(encoded_key)]) + encoded_key + value
    return len(content).to_bytes(RECORD_LENGTH_BYTES, "big") + content


def _split_keyed_records(body: bytes) -> list[tuple[str, bytes]]:
    records = []
    position = 0
    while position < len(body):
        start = position + RECORD_LENGTH_BYTES
        size = int.from_bytes(body[position:start], "big")
        content = body[start : start + size]
        key_end = KEY_LENGTH_BYTES + content[0]
        records.append(
            (content[KEY_LENGTH_BYTES:key_end].decode(), content[key_end:])
        )
        position = start + size
    return records
