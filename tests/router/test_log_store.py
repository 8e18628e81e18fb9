"""The client of the platform's store, against the stand-in."""

import collections.abc

import pytest
import pytest_asyncio

from standins import platform_store
from wagtailstream_adapter import log_store, names
from wagtailstream_router import errors, metrics, store


@pytest_asyncio.fixture
async def server() -> collections.abc.AsyncIterator[
    platform_store.PlatformStore
]:
    made = platform_store.PlatformStore(page_items=2)
    made.start()
    yield made
    await made.close()


@pytest_asyncio.fixture
async def topics(
    server: platform_store.PlatformStore,
) -> collections.abc.AsyncIterator[store.Store]:
    made = log_store.make_store(server.address, metrics.Metrics())
    yield made
    made.close()


async def test_newest_records_come_over_several_pages(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    for number in range(5):
        server.put(names.ENDPOINTS_TOPIC, f"i-{number}", b"value")
    server.put(names.ENDPOINTS_TOPIC, "i-3", b"")
    page = await topics.endpoints.read_newest()
    assert [one.key for one in page.records] == ["i-0", "i-1", "i-2", "i-4"]
    assert page.next_offset == 6


async def test_reads_follow_the_log_and_see_removals(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.put(names.ENDPOINTS_TOPIC, "i-1", b"a")
    server.put(names.ENDPOINTS_TOPIC, "i-1", b"")
    page = await topics.endpoints.read_from(0, 0.0)
    assert [(one.key, one.value, one.offset) for one in page.records] == [
        ("i-1", b"a", 0),
        ("i-1", None, 1),
    ]
    assert (await topics.endpoints.read_from(2, 0.01)).records == ()


async def test_a_history_that_is_gone_is_told_apart(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.put(names.OPERATOR_TOPIC, "config", b"a")
    server.compact(names.OPERATOR_TOPIC)
    with pytest.raises(errors.StoreCompactedError):
        await topics.operator.read_from(0, 0.0)
    assert len((await topics.operator.read_newest()).records) == 1


async def test_of_two_writers_one_loses(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    assert await topics.status.append("rollout/s", b"first", 0) == 1
    with pytest.raises(errors.StoreConflictError):
        await topics.status.append("rollout/s", b"second", 0)
    assert server.topic(names.STATUS_TOPIC).newest["rollout/s"][1] == b"first"


async def test_a_refused_call_is_an_error(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.fault = platform_store.Fault.BUSY
    with pytest.raises(errors.StoreError, match="status 503"):
        await topics.operator.read_newest()


@pytest.mark.parametrize(
    "fault", [platform_store.Fault.SILENT, platform_store.Fault.LOST]
)
async def test_a_silent_store_ends_the_call_and_its_connection(
    server: platform_store.PlatformStore,
    topics: store.Store,
    fault: platform_store.Fault,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log_store, "CALL_TIMEOUT_SECONDS", 0.05)
    server.fault = fault
    with pytest.raises(errors.StoreError):
        await topics.status.append("rollout/s", b"value", 0)
    server.fault = platform_store.Fault.NONE
    server.released.set()
    # A lost answer's record is there: the condition fails at its old end.
    page = await topics.status.read_newest()
    assert page.next_offset in (0, 1)


async def test_nobody_at_the_address_is_an_error() -> None:
    topics = log_store.make_store("127.0.0.1:1", metrics.Metrics())
    with pytest.raises(errors.StoreError):
        await topics.operator.read_newest()
