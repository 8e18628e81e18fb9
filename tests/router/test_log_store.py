"""The client of the platform's store, run against the stand-in store."""

import collections.abc

import pytest
import pytest_asyncio

from standins import platform_store
from wagtailstream_adapter import log_store, names
from wagtailstream_router import errors, metrics, store

START = store.Position(0, 0)


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


async def test_the_newest_records_are_read_from_several_pages(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    for number in range(5):
        server.put(names.ENDPOINTS_TOPIC, f"i-{number}", b"value")
    server.put(names.ENDPOINTS_TOPIC, "i-3", b"")
    page = await topics.endpoints.read_newest()
    assert [record.key for record in page.records] == [
        "i-0",
        "i-1",
        "i-2",
        "i-4",
    ]
    assert page.next_offset == 6


async def test_reads_return_records_and_removals_in_order(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.put(names.ENDPOINTS_TOPIC, "i-1", b"a")
    server.put(names.ENDPOINTS_TOPIC, "i-1", b"")
    page = await topics.endpoints.read_from(0, 0.0)
    assert [
        (record.key, record.value, record.offset) for record in page.records
    ] == [
        ("i-1", b"a", 0),
        ("i-1", None, 1),
    ]
    assert (await topics.endpoints.read_from(2, 0.01)).records == ()


async def test_a_read_of_compacted_records_raises_its_own_error(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.put(names.OPERATOR_TOPIC, "config", b"a")
    server.compact(names.OPERATOR_TOPIC)
    with pytest.raises(errors.StoreCompactedError):
        await topics.operator.read_from(0, 0.0)
    assert len((await topics.operator.read_newest()).records) == 1


async def test_a_conflicting_append_fails(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    await topics.status.append("rollout/s", b"first", START)
    assert (await topics.status.read_newest()).end == store.Position(0, 1)
    with pytest.raises(errors.StoreConflictError):
        await topics.status.append("rollout/s", b"second", START)
    assert server.topic(names.STATUS_TOPIC).newest["rollout/s"][1] == b"first"


async def test_an_error_status_raises_store_error(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.fault = platform_store.Fault.BUSY
    with pytest.raises(errors.StoreError, match="status 503"):
        await topics.operator.read_newest()


@pytest.mark.parametrize(
    "fault", [platform_store.Fault.SILENT, platform_store.Fault.LOST]
)
async def test_a_call_to_a_silent_store_times_out(
    server: platform_store.PlatformStore,
    topics: store.Store,
    fault: platform_store.Fault,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(log_store, "CALL_TIMEOUT_SECONDS", 0.05)
    server.fault = fault
    with pytest.raises(errors.StoreError):
        await topics.status.append("rollout/s", b"value", START)
    server.fault = platform_store.Fault.NONE
    server.released.set()
    # The store appended the record if only its answer was lost.
    page = await topics.status.read_newest()
    assert page.next_offset in (0, 1)


async def test_an_unreachable_store_raises_store_error() -> None:
    topics = log_store.make_store("127.0.0.1:1", metrics.Metrics())
    with pytest.raises(errors.StoreError):
        await topics.operator.read_newest()


async def test_pages_name_the_era_in_which_they_were_read(
    server: platform_store.PlatformStore, topics: store.Store
) -> None:
    server.put(names.STATUS_TOPIC, "a", b"1")
    server.put(names.STATUS_TOPIC, "a", b"2")
    assert (await topics.status.read_newest()).end == store.Position(0, 2)
    server.restore({names.STATUS_TOPIC: 1})
    assert (await topics.status.read_newest()).end == store.Position(1, 1)
    assert (await topics.status.read_from(0, 0.0)).era == 1
    with pytest.raises(errors.StoreCompactedError):
        await topics.status.read_from(2, 0.0)


@pytest.mark.parametrize("records", [0, 1])
async def test_an_append_is_not_judged_by_an_offset_of_another_era(
    server: platform_store.PlatformStore, topics: store.Store, records: int
) -> None:
    for _ in range(2):
        server.put(names.STATUS_TOPIC, "a", b"1")
    end = (await topics.status.read_newest()).end
    server.restore({names.STATUS_TOPIC: 1})
    for _ in range(records):
        server.put(names.STATUS_TOPIC, "a", b"2")
    with pytest.raises(errors.StoreEraError):
        await topics.status.append("a", b"3", end)


@pytest.mark.parametrize("era", ["0", "-1", "x", "", "2.5"])
async def test_an_era_that_falls_or_is_no_number_is_malformed(
    server: platform_store.PlatformStore,
    topics: store.Store,
    era: str,
) -> None:
    server.era = 1
    await topics.status.read_newest()
    server.era = era  # type: ignore[assignment]
    with pytest.raises(errors.StoreError, match="era"):
        await topics.status.read_newest()


async def test_an_answer_without_an_era_is_of_era_0(
    server: platform_store.PlatformStore,
    topics: store.Store,
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(platform_store, "ERA_HEADER", "X-Other")
    assert (await topics.status.read_newest()).era == 0
    server.era = 1
    assert (await topics.status.read_newest()).era == 0
