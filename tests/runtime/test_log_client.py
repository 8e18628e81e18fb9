"""Tests of the in-memory log that tests and experiments use."""

import asyncio

from wagtailstream_runtime import log_client


async def test_read_cancelled_together_with_an_append_ends() -> None:
    log = log_client.MemoryLog()
    reading = asyncio.ensure_future(log.read("s", 0, 60.0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await log.append("s", b"record")
    # The append has woken the reader, which runs only after this
    # cancellation.
    reading.cancel()
    done, _ = await asyncio.wait([reading])
    assert [task.cancelled() for task in done] == [True]
