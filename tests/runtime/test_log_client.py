"""The log in memory, as the tests' and experiments' stand-in for the log."""

import asyncio

from wagtailstream_runtime import log_client


async def test_cancelled_read_ends_though_a_record_comes_with_it() -> None:
    log = log_client.MemoryLog()
    reading = asyncio.ensure_future(log.read("s", 0, 60.0))
    await asyncio.sleep(0)
    await asyncio.sleep(0)
    await log.append("s", b"record")
    # The reader is woken, and runs only after this.
    reading.cancel()
    done, _ = await asyncio.wait([reading])
    assert [one.cancelled() for one in done] == [True]
