"""Reads and writes HTTP/1.1 messages; no more than the scripts need."""

import asyncio
import dataclasses


@dataclasses.dataclass
class Message:
    """One request or answer.

    :param first: the words of its first line.
    :param headers: values by lower-case name.
    :param is_whole: whether the body came to its end.
    """

    first: list[str]
    headers: dict[str, str]
    body: bytes = b""
    is_whole: bool = True

    @property
    def status(self) -> int:
        """The status of an answer."""
        return int(self.first[1])


async def read_head(reader: asyncio.StreamReader) -> Message | None:
    """Return the head of the next message; None at the end of the channel."""
    try:
        raw = await reader.readuntil(b"\r\n\r\n")
    except (asyncio.IncompleteReadError, OSError):
        return None
    first, *lines = raw.decode("latin-1").strip().split("\r\n")
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    return Message(first.split(" ", 2), headers)


async def read_message(reader: asyncio.StreamReader) -> Message | None:
    """Return the next message with its body; None at the channel's end."""
    message = await read_head(reader)
    if message is None:
        return None
    try:
        if "content-length" in message.headers:
            size = int(message.headers["content-length"])
            message.body = await reader.readexactly(size)
        elif message.headers.get("transfer-encoding") == "chunked":
            await _read_chunks(reader, message)
    except (asyncio.IncompleteReadError, OSError, ValueError):
        message.is_whole = False
    return message


async def _read_chunks(
    reader: asyncio.StreamReader, message: Message
) -> None:
    while True:
        size = int(await reader.readuntil(b"\r\n"), 16)
        message.body += await reader.readexactly(size)
        await reader.readexactly(2)
        if not size:
            return


def encode_answer(
    status: int, headers: dict[str, str], body: bytes | None
) -> bytes:
    """Return an answer; one in chunks, without its body, if it is None."""
    fields = dict(headers)
    if body is None:
        fields["Transfer-Encoding"] = "chunked"
    else:
        fields["Content-Length"] = str(len(body))
    lines = [f"HTTP/1.1 {status} Status"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    return "\r\n".join([*lines, "", ""]).encode("latin-1") + (body or b"")


def encode_chunk(data: bytes) -> bytes:
    """Return a chunk of a body; the last one if it is empty."""
    return f"{len(data):x}\r\n".encode() + data + b"\r\n"
