"""Who may get work: entries come, drain, lapse, go, and start again."""

import dataclasses
import time

import orjson
import pytest

from wagtailstream_adapter import records
from wagtailstream_router import directory, event_log, replica, store

ENTRY = {
    "service": "engine",
    "address": "10.1.2.3:80",
    "zone": "zone-1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "born": 1,
}


@dataclasses.dataclass
class World:
    """A copy of the entries and the directory over it."""

    copy: replica.Replica
    members: directory.Directory
    log: event_log.MemoryEventLog

    def reset(self, *entries: dict[str, object], end: int) -> None:
        rows = tuple(
            store.Record(str(one["id"]), orjson.dumps(one), end - 1)
            for one in entries
        )
        self.copy.reset(store.Page(rows, end), time.monotonic())

    def ready(self) -> list[str]:
        return [one.identity for one in self.members.list_ready("engine")]


@pytest.fixture
def world() -> World:
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    members = directory.Directory(copy, records.PlatformRecords(), log)
    return World(copy, members, log)


def make(identity: str, **fields: object) -> dict[str, object]:
    return ENTRY | {"id": identity} | fields


def test_draining_and_removed_entries_get_no_work(world: World) -> None:
    world.reset(make("a"), make("b"), make("c"), end=3)
    assert world.ready() == ["a", "b", "c"]
    world.reset(make("a", state="draining"), make("b"), end=5)
    assert world.ready() == ["b"]


def test_another_writers_entry_changes_nothing(world: World) -> None:
    world.reset(make("a"), end=1)
    assert world.ready() == ["a"]
    world.reset(make("a", state=7), end=2)
    assert world.ready() == ["a"]


def test_a_restart_under_the_same_id_is_a_new_member(world: World) -> None:
    world.reset(make("a"), end=1)
    before = world.members.list_ready("engine")[0]
    before.in_flight = 3
    world.reset(make("a", born=2), end=2)
    after = world.members.list_ready("engine")[0]
    assert after is not before
    assert after.in_flight == 0


def test_a_heartbeat_changes_no_member(world: World) -> None:
    world.reset(make("a", sequence=1), end=1)
    changed = world.members.changed_end
    world.reset(make("a", sequence=2), end=2)
    assert world.members.changed_end == changed


def test_lapsed_entries_serve_only_where_no_other_does(
    world: World, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = time.monotonic()
    world.reset(make("a"), make("b"), end=2)
    assert world.ready() == ["a", "b"]
    monkeypatch.setattr(time, "monotonic", lambda: now + 10.0)
    # The copy was not confirmed for ten seconds: the store was away.
    world.reset(end=9)
    assert world.ready() == ["a", "b"]
    world.reset(make("b"), end=10)
    assert world.ready() == ["b"]
    grace = directory.LAPSE_GRACE_SECONDS
    monkeypatch.setattr(time, "monotonic", lambda: now + 10.1 + grace)
    assert world.ready() == ["b"]
    assert "a" not in world.members.members


def test_an_older_page_does_not_take_the_copy_back(world: World) -> None:
    world.reset(make("a", state="draining"), end=8)
    world.reset(make("a"), end=4)
    assert world.ready() == []
