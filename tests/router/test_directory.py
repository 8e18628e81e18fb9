"""Which endpoints may get work as their entries change or disappear."""

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
class DirectoryHarness:
    """A directory and the copy of the entries that it reads."""

    copy: replica.Replica
    members: directory.Directory
    log: event_log.MemoryEventLog

    def reset(self, *entries: dict[str, object], end: int) -> None:
        rows = tuple(
            store.Record(str(entry["id"]), orjson.dumps(entry), end - 1)
            for entry in entries
        )
        self.copy.reset(store.Page(rows, end), time.monotonic())

    def list_ready_ids(self) -> list[str]:
        return [
            member.identity for member in self.members.list_ready("engine")
        ]


@pytest.fixture
def harness() -> DirectoryHarness:
    copy = replica.Replica()
    log = event_log.MemoryEventLog()
    members = directory.Directory(copy, records.PlatformRecords(), log)
    return DirectoryHarness(copy, members, log)


def make_entry(identity: str, **fields: object) -> dict[str, object]:
    return ENTRY | {"id": identity} | fields


def test_draining_and_removed_entries_get_no_work(
    harness: DirectoryHarness,
) -> None:
    harness.reset(make_entry("a"), make_entry("b"), make_entry("c"), end=3)
    assert harness.list_ready_ids() == ["a", "b", "c"]
    harness.reset(make_entry("a", state="draining"), make_entry("b"), end=5)
    assert harness.list_ready_ids() == ["b"]


def test_an_invalid_entry_changes_nothing(harness: DirectoryHarness) -> None:
    harness.reset(make_entry("a"), end=1)
    assert harness.list_ready_ids() == ["a"]
    harness.reset(make_entry("a", state=7), end=2)
    assert harness.list_ready_ids() == ["a"]


def test_a_restart_under_the_same_id_is_a_new_member(
    harness: DirectoryHarness,
) -> None:
    harness.reset(make_entry("a"), end=1)
    before = harness.members.list_ready("engine")[0]
    before.in_flight = 3
    harness.reset(make_entry("a", born=2), end=2)
    after = harness.members.list_ready("engine")[0]
    assert after is not before
    assert after.in_flight == 0


def test_a_heartbeat_changes_no_member(harness: DirectoryHarness) -> None:
    harness.reset(make_entry("a", sequence=1), end=1)
    changed = harness.members.changed_end
    harness.reset(make_entry("a", sequence=2), end=2)
    assert harness.members.changed_end == changed


@pytest.mark.parametrize("state", ["draining", "ready"])
def test_a_late_write_of_an_endpoint_undoes_no_newer_one(
    harness: DirectoryHarness, state: str
) -> None:
    harness.reset(make_entry("a", sequence=4), make_entry("b"), end=2)
    newer = make_entry("a", sequence=6, state=state, address="10.1.2.9:80")
    harness.reset(newer, make_entry("b"), end=3)
    ready = harness.list_ready_ids()
    harness.reset(make_entry("a", sequence=5), make_entry("b"), end=4)
    assert sorted(harness.list_ready_ids()) == sorted(ready)
    entry = harness.members.members["a"].entry
    assert entry.address == "10.1.2.9:80"
    harness.reset(make_entry("a", sequence=7), make_entry("b"), end=5)
    assert sorted(harness.list_ready_ids()) == ["a", "b"]
    assert harness.members.members["a"].entry.address == "10.1.2.3:80"


def test_a_late_write_brings_no_endpoint_back_that_has_left(
    harness: DirectoryHarness,
) -> None:
    harness.reset(make_entry("a", sequence=6), make_entry("b"), end=2)
    assert harness.list_ready_ids() == ["a", "b"]
    harness.reset(make_entry("b"), end=3)
    assert harness.list_ready_ids() == ["b"]
    harness.reset(make_entry("a", sequence=5), make_entry("b"), end=4)
    assert harness.list_ready_ids() == ["b"]
    harness.reset(make_entry("a", sequence=7), make_entry("b"), end=5)
    assert sorted(harness.list_ready_ids()) == ["a", "b"]


class Instance:
    """An instance that reads the entries from the store or from a peer."""

    def __init__(self) -> None:
        codec = records.PlatformRecords()
        self.copy = replica.Replica(codec.read_write_order)
        self.members = directory.Directory(
            self.copy, codec, event_log.MemoryEventLog()
        )

    def read(self, *writes: dict[str, object] | None) -> None:
        """Read the next writes of the endpoint from the store."""
        first = max(0, self.copy.end.offset)
        rows = tuple(
            store.Record(
                "a", orjson.dumps(write) if write else None, first + place
            )
            for place, write in enumerate(writes)
        )
        page = store.Page(rows, first + len(rows))
        if self.copy.is_loaded:
            self.copy.extend(page, time.monotonic())
        else:
            self.copy.reload(page, time.monotonic())
        self.members.refresh()

    def read_peer(self, peer: "Instance") -> None:
        """Read a peer's copy."""
        rows = tuple(peer.copy.records.values())
        end = peer.copy.end
        page = store.Page(rows, end.offset, end.era)
        self.copy.reset(page, time.monotonic())
        self.members.refresh()

    @property
    def is_used(self) -> bool:
        return bool(self.members.list_ready("engine"))


def make_write(sequence: int, state: str = "ready") -> dict[str, object]:
    return make_entry("a", sequence=sequence, state=state)


# Guards against DRAIN: of two writes in one page, the one that came last was
# taken, though it was the older one.
def test_an_older_write_in_the_same_page_undoes_no_newer_one() -> None:
    instance = Instance()
    instance.read(make_write(5))
    assert instance.is_used
    instance.read(make_write(7, "draining"), make_write(6))
    assert not instance.is_used
    instance.read(make_write(8))
    assert instance.is_used


# Guards against DRAIN: a peer that reads a copy never saw the newer write.
def test_a_copy_of_a_peer_holds_the_newer_write() -> None:
    instance, peer, started = Instance(), Instance(), Instance()
    for each in (instance, peer):
        each.read(make_write(5))
    peer.read(make_write(7, "draining"))
    peer.read(make_write(6))
    instance.read_peer(peer)
    started.read_peer(peer)
    assert not instance.is_used
    assert not started.is_used


def test_a_copy_of_a_peer_brings_back_no_endpoint_that_has_left() -> None:
    instance, peer = Instance(), Instance()
    for each in (instance, peer):
        each.read(make_write(5))
    peer.read(make_write(7), None)
    peer.read(make_write(6))
    instance.read_peer(peer)
    assert not instance.is_used


def test_all_records_read_anew_undo_no_newer_write() -> None:
    """The store has dropped the history between the two reads."""
    instance = Instance()
    instance.read(make_write(5), make_write(7, "draining"))
    late = store.Record("a", orjson.dumps(make_write(6)), 9)
    instance.copy.reload(store.Page((late,), 10), time.monotonic())
    peer = Instance()
    peer.read_peer(instance)
    assert not instance.is_used
    assert not peer.is_used


# Guards against DRAIN: an instance that had read the older write only took the
# word of its peers that nothing had changed since.
@pytest.mark.parametrize("is_read_anew", [False, True])
def test_peers_learn_of_the_next_write_after_an_older_one(
    is_read_anew: bool,
) -> None:
    instance = Instance()
    instance.read(make_write(5))
    instance.read(make_write(7, "draining"))
    if is_read_anew:
        late = store.Record("a", orjson.dumps(make_write(6)), 2)
        instance.copy.reload(store.Page((late,), 3), time.monotonic())
    else:
        instance.read(make_write(6))
    started = Instance()
    started.copy.reload(
        store.Page((store.Record("a", orjson.dumps(make_write(6)), 2),), 3),
        time.monotonic(),
    )
    assert started.is_used
    for sequence in (8, 9):
        # Heartbeats change no member here, but what others believe.
        instance.read(make_write(sequence, "draining"))
        if instance.members.changed_end > started.copy.end.offset:
            started.read_peer(instance)
    assert not started.is_used
    # From then on they change nothing.
    assert instance.members.changed_end == 4


def test_an_entry_of_another_writer_holds_up_no_write() -> None:
    instance = Instance()
    instance.read(make_write(5))
    instance.read(make_write(2**60, "unknown"), make_write(6, "draining"))
    assert not instance.is_used


def test_a_restart_in_the_same_page_is_used() -> None:
    instance = Instance()
    instance.read(make_write(60, "draining"))
    restarted = make_entry("a", sequence=1, born=2)
    instance.read(make_write(61, "draining"), restarted, make_write(62))
    assert instance.is_used
    assert instance.members.members["a"].entry.born_ms == 2


def test_a_restarted_endpoint_with_a_lower_number_is_used(
    harness: DirectoryHarness,
) -> None:
    harness.reset(make_entry("a", sequence=60, state="draining"), end=1)
    assert harness.list_ready_ids() == []
    harness.reset(make_entry("a", sequence=1, born=2), end=2)
    assert harness.list_ready_ids() == ["a"]


def test_a_number_of_another_writer_holds_an_endpoint_up_for_seconds_only(
    harness: DirectoryHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    harness.reset(make_entry("a", sequence=2**60, state="draining"), end=1)
    assert harness.list_ready_ids() == []
    later = time.monotonic() + 11.0
    monkeypatch.setattr(time, "monotonic", lambda: later)
    harness.reset(make_entry("a", sequence=8), end=2)
    assert harness.list_ready_ids() == ["a"]


def test_lapsed_entries_are_used_only_if_no_others_are_ready(
    harness: DirectoryHarness, monkeypatch: pytest.MonkeyPatch
) -> None:
    now = time.monotonic()
    harness.reset(make_entry("a"), make_entry("b"), end=2)
    assert harness.list_ready_ids() == ["a", "b"]
    monkeypatch.setattr(time, "monotonic", lambda: now + 10.0)
    # The copy was not refreshed for ten seconds, as in an outage of the store.
    harness.reset(end=9)
    assert harness.list_ready_ids() == ["a", "b"]
    harness.reset(make_entry("b"), end=10)
    assert harness.list_ready_ids() == ["b"]
    grace_seconds = directory.LAPSE_GRACE_SECONDS
    monkeypatch.setattr(time, "monotonic", lambda: now + 10.1 + grace_seconds)
    assert harness.list_ready_ids() == ["b"]
    assert "a" not in harness.members.members


def test_an_older_page_does_not_overwrite_the_copy(
    harness: DirectoryHarness,
) -> None:
    harness.reset(make_entry("a", state="draining"), end=8)
    harness.reset(make_entry("a"), end=4)
    assert harness.list_ready_ids() == []
