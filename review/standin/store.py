"""The platform's store: keyed topics of one partition, over HTTP."""

import asyncio
import base64
import functools
import json
import time
import urllib.parse

from standin import wire

ANSWER_SECONDS = 0.004


class Store:
    """Keeps topics in memory and serves them on a loopback port."""

    def __init__(self) -> None:
        self.address = ""
        self._topics: dict[str, list[tuple[str, bytes]]] = {}
        self._changed = asyncio.Event()
        self._servers: list[asyncio.Server] = []
        # Who was given the records of which topic up to where, and when.
        self.given: list[tuple[str, str, int, float]] = []

    async def start(self) -> None:
        """Listen on a port that the system picks."""
        self.address = await self.open_door("")

    async def open_door(self, reader: str) -> str:
        """Listen on another port; return its address.

        :param reader: the name under which its calls are noted.
        """
        server = await asyncio.start_server(
            functools.partial(self._serve, reader), "127.0.0.1", 0
        )
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()
        return f"{host}:{port}"

    def close(self) -> None:
        """Stop listening."""
        for server in self._servers:
            server.close()

    def put(self, topic: str, key: str, value: bytes) -> int:
        """Append a record, as an accepted write; return its offset.

        :param value: b"" drops the key.
        """
        records = self._topics.setdefault(topic, [])
        records.append((key, value))
        changed, self._changed = self._changed, asyncio.Event()
        changed.set()
        return len(records) - 1

    def newest(self, topic: str) -> dict[str, tuple[int, bytes]]:
        """Return offset and value of the newest record of each key."""
        found: dict[str, tuple[int, bytes]] = {}
        for offset, (key, value) in enumerate(self._topics.get(topic, [])):
            found.pop(key, None)
            if value:
                found[key] = (offset, value)
        return found

    def list_records(self, topic: str) -> list[tuple[str, bytes]]:
        """Return all records of a topic."""
        return list(self._topics.get(topic, []))

    async def wait_change(self) -> None:
        """Wait until the next record is appended."""
        await self._changed.wait()

    async def _serve(
        self,
        name: str,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        try:
            while (call := await wire.read_message(reader)) is not None:
                await asyncio.sleep(ANSWER_SECONDS)
                status, body = await self._answer(call, name)
                writer.write(wire.encode_answer(status, {}, body))
                await writer.drain()
        except OSError:
            pass
        finally:
            writer.close()

    async def _answer(
        self, call: wire.Message, name: str
    ) -> tuple[int, bytes]:
        target = urllib.parse.urlsplit(call.first[1])
        query = dict(urllib.parse.parse_qsl(target.query))
        topic = query.get("topic", "")
        if target.path == "/log-append":
            return self._append(topic, query, call.body)
        answer: tuple[int, bytes] = (404, b"")
        if target.path == "/log-read":
            answer = await self._read(topic, query)
        elif target.path == "/log-newest":
            answer = 200, self._list_newest(topic, query)
        end = len(self._topics.get(topic, []))
        self.given.append((name, topic, end, time.monotonic()))
        return answer

    def _append(
        self, topic: str, query: dict[str, str], body: bytes
    ) -> tuple[int, bytes]:
        end = len(self._topics.get(topic, []))
        if topic in ("keyed.op", "keyed.servers"):
            return 403, b""
        if "at" in query and int(query["at"]) != end:
            return 412, json.dumps({"endOffset": end}).encode()
        place = 0
        while place < len(body):
            size = int.from_bytes(body[place : place + 4], "big")
            content = body[place + 4 : place + 4 + size]
            key_end = 1 + content[0]
            self.put(topic, content[1:key_end].decode(), content[key_end:])
            place += 4 + size
        end_after = len(self._topics.get(topic, []))
        return 200, json.dumps(
            {"offset": end, "endOffset": end_after}
        ).encode()

    async def _read(
        self, topic: str, query: dict[str, str]
    ) -> tuple[int, bytes]:
        start = int(query["from"])
        wait_seconds = int(query.get("waitMs", "0")) / 1000.0
        deadline = asyncio.get_running_loop().time() + wait_seconds
        while start >= len(self._topics.get(topic, [])):
            left = deadline - asyncio.get_running_loop().time()
            if left <= 0.0:
                break
            try:
                await asyncio.wait_for(self._changed.wait(), left)
            except TimeoutError:
                break
        records = self._topics.get(topic, [])
        data = len(records).to_bytes(8, "big") + (0).to_bytes(8, "big")
        for key, value in records[start:]:
            content = bytes([len(key.encode())]) + key.encode() + value
            data += len(content).to_bytes(4, "big") + content
        return 200, data

    def _list_newest(self, topic: str, query: dict[str, str]) -> bytes:
        newest = self.newest(topic)
        keys = sorted(key for key in newest if key > query.get("after", ""))
        items = [
            {
                "key": key,
                "value": base64.b64encode(newest[key][1]).decode(),
                "offset": newest[key][0],
            }
            for key in keys[:500]
        ]
        return json.dumps(
            {
                "items": items,
                "hasMore": len(keys) > 500,
                "endOffset": len(self._topics.get(topic, [])),
            }
        ).encode()
