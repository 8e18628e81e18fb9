"""What is refused because of crashes lasts in the store."""

import dataclasses
import time

import orjson
import pytest

from tests.router import support, test_crash_board, test_part_board
from wagtailstream_router import (
    crash_board,
    crash_records,
    errors,
    event_log,
    store,
)

DIGEST = test_crash_board.FIRST_DIGEST
KEY = f"request/{DIGEST:016x}"


class Instance:
    """The crashes that an instance knows, and its records of them."""

    def __init__(self, topic: store.MemoryTopic) -> None:
        self.log = event_log.MemoryEventLog()
        self.board = test_crash_board.make_board()
        self.era = 0
        self.records = crash_records.CrashRecords(
            topic, self.board, lambda: self.era, self.log
        )

    def refuse(self, digest: int = DIGEST) -> None:
        """Let a request crash endpoints, the last one much later."""
        test_crash_board.refuse(self.board, digest, f"e-{digest}")


@pytest.fixture
def topic(monkeypatch: pytest.MonkeyPatch) -> store.MemoryTopic:
    monkeypatch.setattr(crash_records, "SPREAD_SECONDS", 0.0)
    return store.MemoryTopic("crashes")


async def list_keys(topic: store.MemoryTopic) -> list[str]:
    page = await topic.read_newest()
    return sorted(record.key for record in page.records if record.value)


# Guards against BUDGET: all instances restarted, and a request that crashes
# endpoints was let through again.
async def test_a_request_stays_refused_when_all_instances_restart(
    topic: store.MemoryTopic,
) -> None:
    before = Instance(topic)
    before.refuse()
    test_part_board.block(before.board.parts)
    blocked = set(before.board.parts.blocked)
    await before.records.step()
    after = Instance(topic)
    await after.records.step()
    assert after.board.is_refused(DIGEST)
    assert set(after.board.parts.blocked) == blocked
    assert blocked


async def test_what_was_refused_while_the_store_was_away_is_written_later(
    topic: store.MemoryTopic,
) -> None:
    instance = Instance(topic)
    topic.fault = errors.StoreError("read", "crashes", "down")
    instance.refuse()
    for _ in range(3):
        with pytest.raises(errors.StoreError):
            await instance.records.step()
    assert instance.board.is_refused(DIGEST)
    topic.fault = None
    await instance.records.step()
    assert await list_keys(topic) == [KEY]


async def test_records_that_a_restored_store_lost_are_written_again(
    topic: store.MemoryTopic,
) -> None:
    instance = Instance(topic)
    instance.refuse()
    await instance.records.step()
    topic.restore(0)
    assert await list_keys(topic) == []
    instance.era = 1
    await instance.records.step()
    assert await list_keys(topic) == [KEY]


async def test_one_of_several_instances_writes(
    topic: store.MemoryTopic,
) -> None:
    instances = [Instance(topic) for _ in range(4)]
    for instance in instances:
        instance.refuse()
    for instance in instances:
        await instance.records.step()
    page = await topic.read_newest()
    assert page.next_offset == 1


async def test_a_record_is_removed_when_an_answer_clears_the_request(
    topic: store.MemoryTopic,
) -> None:
    instance = Instance(topic)
    instance.refuse()
    await instance.records.step()
    instance.board.record_answer(DIGEST, "e9")
    await instance.records.step()
    assert await list_keys(topic) == []


async def test_the_records_are_bounded(
    topic: store.MemoryTopic, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr(crash_records, "MAX_RECORDS", 4)
    instance = Instance(topic)
    # Refused by instances that are gone.
    for digest in range(100, 110):
        crashes = {"e/1": int(time.time() * 1000.0)}
        topic.put(f"request/{digest:016x}", orjson.dumps(crashes))
    for _ in range(2):
        await instance.records.step()
    assert len(await list_keys(topic)) == 4
    assert f"request/{109:016x}" in await list_keys(topic)


@pytest.mark.parametrize(
    ("key", "value"),
    [
        ("request/xyz", b'{"e/1": 1}'),
        ("request/01", b"\xff"),
        ("request/01", b"[]"),
        ("request/01", b'{"e/1": "now"}'),
        ("request/01", b'{"e/1": true}'),
        ("request/01", b"{}"),
    ],
)
async def test_a_record_that_cannot_be_read_is_ignored(
    topic: store.MemoryTopic, key: str, value: bytes
) -> None:
    topic.put(key, value)
    instance = Instance(topic)
    instance.refuse()
    await instance.records.step()
    assert instance.log.lines[0][0] == "crash_record_ignored"
    assert KEY in await list_keys(topic)


async def test_a_router_reads_what_was_refused_as_it_starts(
    fleet: support.Fleet, topic: store.MemoryTopic
) -> None:
    endpoint = await fleet.add_endpoint("plain-0", "plain")
    first = Instance(fleet.platform.crashes)
    call = dataclasses.replace(
        support.make_stream_request("r-1"),
        target=support.SAFE_PATH,
        body=b"",
    )
    digest = crash_board.request_digest(call, "tenant-1")
    first.refuse(digest)
    await first.records.step()
    await fleet.start()
    await fleet.wait_for(lambda: bool(fleet.router._crashes.refused))
    reply = await fleet.call("GET", support.SAFE_PATH, b"", "r-1")
    assert reply.status == 503
    assert endpoint.runs == 0
