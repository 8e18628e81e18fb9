"""Callers of the system."""

import asyncio

from standin import record, wire

HOST = "review.example"
KEY = "key-of-tenant-a"


async def send(
    recorder: record.Recorder,
    address: str,
    identity: str,
    method: str,
    path: str,
    deadline_ms: int,
    headers: dict[str, str] | None = None,
    body: bytes = b"",
) -> wire.Message | None:
    """Send a request on a new channel and return its answer.

    :param address: the instance that takes the request.
    :param deadline_ms: how long the caller waits.
    :returns: None if there was no answer in time.
    """
    fields = {
        "Host": HOST,
        "X-Request-Id": identity,
        "X-Deadline-Milliseconds": str(deadline_ms),
        "X-Credential": KEY,
        **(headers or {}),
    }
    if method == "POST":
        fields["Content-Length"] = str(len(body))
    lines = [f"{method} {path} HTTP/1.1"]
    lines += [f"{name}: {value}" for name, value in fields.items()]
    data = "\r\n".join([*lines, "", ""]).encode() + body
    recorder.write("sent", request=identity, to=address, path=path)
    answer: wire.Message | None = None
    writer: asyncio.StreamWriter | None = None
    host, _, port = address.rpartition(":")
    try:
        async with asyncio.timeout(deadline_ms / 1000.0):
            async with asyncio.timeout(1.0):
                reader, writer = await asyncio.open_connection(
                    host, int(port)
                )
            writer.write(data)
            answer = await wire.read_message(reader)
    except (OSError, TimeoutError):
        pass
    finally:
        if writer is not None:
            writer.close()
    recorder.write(
        "answered",
        request=identity,
        status=answer.status if answer is not None else 0,
        whole=answer.is_whole if answer is not None else False,
        signed=answer is not None
        and "x-response-signature" in answer.headers,
    )
    return answer
