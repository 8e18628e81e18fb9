"""Requests that crash several endpoints are refused."""

import dataclasses
import time

import pytest

from standins import platform_endpoint
from tests.router import support, test_peers
from wagtailstream_router import (
    crash_board,
    event_log,
    part_board,
    peer_report,
    suspects,
    trials,
)

FIRST_DIGEST, SECOND_DIGEST = 1, 2


def make_board() -> crash_board.CrashBoard:
    log = event_log.MemoryEventLog()
    return crash_board.CrashBoard(part_board.PartBoard(log), log)


@pytest.fixture
def board() -> crash_board.CrashBoard:
    return make_board()


def record_crash(
    board: crash_board.CrashBoard, digest: int, endpoint: str
) -> None:
    board.record_cut(digest, endpoint)
    board.record_lost(endpoint)


def test_a_request_is_refused_after_three_crashes(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        assert not board.is_refused(FIRST_DIGEST)
        record_crash(board, FIRST_DIGEST, f"e{number}")
    assert board.is_refused(FIRST_DIGEST)
    assert not board.is_refused(SECOND_DIGEST)
    assert board.total == crash_board.CRASH_LIMIT


def test_a_cut_answer_alone_does_not_count_as_a_crash(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(5):
        board.record_cut(FIRST_DIGEST, f"e{number}")
        board.record_answer(SECOND_DIGEST, f"e{number}")
        board.record_lost(f"e{number}")
    assert board.count(FIRST_DIGEST) == 0


def test_an_endpoint_that_disappears_after_a_cut_answer_counts_as_crashed(
    board: crash_board.CrashBoard,
) -> None:
    board.record_cut(FIRST_DIGEST, "e1")
    board.record_members({"e1", "e2"})
    assert board.count(FIRST_DIGEST) == 0
    board.record_members({"e2"})
    assert board.count(FIRST_DIGEST) == 1


def test_an_answer_clears_earlier_crashes(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        record_crash(board, FIRST_DIGEST, f"e{number}")
    board.record_answer(FIRST_DIGEST, "e9")
    assert not board.is_refused(FIRST_DIGEST)
    assert not board.refused


def exchange(*boards: crash_board.CrashBoard) -> None:
    """Let each instance send a message to each other one."""
    for board in boards:
        report, parts = board.make_report(), board.parts.make_report()
        for peer in boards:
            if peer is not board:
                peer.merge_report(report)
                peer.parts.merge_report(parts)


def refuse(board: crash_board.CrashBoard, digest: int, name: str) -> None:
    """Let a request crash as many endpoints as it takes to refuse it."""
    for number in range(crash_board.CRASH_LIMIT):
        record_crash(board, digest, f"{name}-{number}")


def test_crashes_of_peers_count_until_they_are_cleared(
    board: crash_board.CrashBoard,
) -> None:
    peer = make_board()
    record_crash(board, FIRST_DIGEST, "e1")
    record_crash(peer, FIRST_DIGEST, "e2")
    record_crash(peer, FIRST_DIGEST, "e3")
    exchange(board, peer)
    assert board.is_refused(FIRST_DIGEST)
    peer.record_answer(FIRST_DIGEST, "e9")
    exchange(board, peer)
    assert board.count(FIRST_DIGEST) == 0


def test_crashes_survive_encoding() -> None:
    crashes = suspects.Report({2**64 - 1: {"e1/1": 0.5}}, {7: 1.25})
    report = dataclasses.replace(test_peers.REPORT, crashes=crashes)
    assert peer_report.decode(peer_report.encode(report)) == report


class Clock:
    """A monotonic clock that a test moves."""

    def __init__(self, monkeypatch: pytest.MonkeyPatch) -> None:
        self._seconds = time.monotonic()
        monkeypatch.setattr(time, "monotonic", lambda: self._seconds)

    def advance(self, seconds: float) -> None:
        self._seconds += seconds


@pytest.fixture
def clock(monkeypatch: pytest.MonkeyPatch) -> Clock:
    return Clock(monkeypatch)


# Guards against BUDGET: a request was let through 30 s after its crashes.
@pytest.mark.parametrize("interval", [1.5, 45.0, 600.0, 86400.0])
def test_a_crashing_request_stays_refused_for_as_long_as_it_comes(
    board: crash_board.CrashBoard, clock: Clock, interval: float
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        record_crash(board, FIRST_DIGEST, f"e{number}")
        clock.advance(1.5)
    for _ in range(50):
        clock.advance(interval)
        assert board.is_refused(FIRST_DIGEST)


@pytest.mark.parametrize("interval", [40.0, 3600.0])
def test_crashes_at_long_intervals_add_up(
    board: crash_board.CrashBoard, clock: Clock, interval: float
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        assert not board.is_refused(FIRST_DIGEST)
        record_crash(board, FIRST_DIGEST, f"e{number}")
        clock.advance(interval)
    assert board.is_refused(FIRST_DIGEST)


def test_starts_of_one_endpoint_count_each(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    """An endpoint may come back under its id after a crash."""
    for start in range(crash_board.CRASH_LIMIT):
        assert not board.is_refused(FIRST_DIGEST)
        board.record_cut(FIRST_DIGEST, "e1", born_ms=start)
        board.record_lost("e1")
        clock.advance(5.0)
    assert board.is_refused(FIRST_DIGEST)


def test_a_restarted_instance_learns_what_it_had_observed(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    peer = make_board()
    for number in range(crash_board.CRASH_LIMIT):
        record_crash(board, FIRST_DIGEST, f"e{number}")
        clock.advance(1.0)
    exchange(board, peer)
    restarted = make_board()
    clock.advance(300.0)
    peer.announce_all()
    exchange(peer, restarted)
    assert restarted.is_refused(FIRST_DIGEST)


def test_a_full_record_keeps_what_is_refused(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    refuse(board, FIRST_DIGEST, "e")
    clock.advance(2.0)
    record_crash(board, FIRST_DIGEST, "e-last")
    for digest in range(100, 100 + 3 * crash_board.BOUNDS.suspects):
        record_crash(board, digest, f"other-{digest}")
    assert board.is_refused(FIRST_DIGEST)
    # A new crashing request is found all the same.
    refuse(board, SECOND_DIGEST, "f")
    assert board.is_refused(SECOND_DIGEST)


def test_a_record_full_of_refused_requests_drops_what_came_least_recently(
    monkeypatch: pytest.MonkeyPatch, clock: Clock
) -> None:
    bounds = dataclasses.replace(crash_board.BOUNDS, refused=8)
    monkeypatch.setattr(crash_board, "BOUNDS", bounds)
    board = make_board()
    refuse(board, FIRST_DIGEST, "first")
    refuse(board, SECOND_DIGEST, "second")
    for digest in range(100, 107):
        refuse(board, digest, f"{digest}")
        assert board.is_refused(FIRST_DIGEST)
    assert not board.is_refused(SECOND_DIGEST)
    assert len(board.refused) == bounds.refused


def test_what_is_remembered_of_requests_is_bounded(
    board: crash_board.CrashBoard,
) -> None:
    bounds = crash_board.BOUNDS
    for digest in range(3000):
        record_crash(board, digest, f"e-{digest}")
        board.record_answer(10000 + digest, "e")
        board.record_cut(digest, "alive")
    for number in range(20):
        record_crash(board, 2999, f"f-{number}")
    assert board.count(2999) == bounds.crashes
    assert len(board._table._others) <= bounds.suspects
    assert len(board._table._answered_at) <= bounds.answers
    assert len(board._cuts) <= crash_board.MAX_CUTS
    assert len(board.make_report().crash_ages) <= bounds.reported


def test_a_sound_request_beside_a_crashing_one_is_served(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    """Both were in flight at the same three crashes."""
    for number in range(crash_board.CRASH_LIMIT):
        board.record_cut(FIRST_DIGEST, f"e{number}")
        board.record_cut(SECOND_DIGEST, f"e{number}")
        board.record_lost(f"e{number}")
        clock.advance(1.0)
    refused = [
        digest
        for digest in (FIRST_DIGEST, SECOND_DIGEST)
        if board.is_refused(digest)
    ]
    assert refused == [FIRST_DIGEST]
    record_crash(board, SECOND_DIGEST, "e9")
    assert board.is_refused(SECOND_DIGEST)
    assert not board.is_refused(FIRST_DIGEST)


def test_two_crashing_requests_do_not_excuse_each_other(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    runs = 0
    for number in range(30):
        for digest in (FIRST_DIGEST, SECOND_DIGEST):
            if not board.is_refused(digest):
                runs += 1
                board.record_cut(digest, f"e{number}")
        board.record_lost(f"e{number}")
        clock.advance(1.0)
    assert runs <= 2 * crash_board.FINAL_CRASHES


def test_a_request_whose_endpoints_failed_together_is_tried_once_more(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    refuse(board, FIRST_DIGEST, "e")
    clock.advance(crash_board.TRIAL_SECONDS - 1.0)
    assert board.is_refused(FIRST_DIGEST, "r-1")
    clock.advance(1.0)
    assert not board.is_refused(FIRST_DIGEST, "r-2")
    # The same attempt asks before each send; others wait for its outcome.
    assert not board.is_refused(FIRST_DIGEST, "r-2")
    assert board.is_refused(FIRST_DIGEST, "r-3")
    record_crash(board, FIRST_DIGEST, "e9")
    for number in range(20):
        clock.advance(600.0)
        assert board.is_refused(FIRST_DIGEST, f"s-{number}")


def test_only_one_instance_tries(clock: Clock) -> None:
    log = event_log.MemoryEventLog()
    other = crash_board.CrashBoard(
        part_board.PartBoard(log), log, trials_=trials.Trials(lambda: False)
    )
    refuse(other, FIRST_DIGEST, "e")
    clock.advance(crash_board.TRIAL_SECONDS + 1.0)
    assert other.is_refused(FIRST_DIGEST, "r-1")


def test_a_peer_that_was_away_for_long_revives_no_suspicion(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    away = make_board()
    for number in range(crash_board.CRASH_LIMIT):
        record_crash(away, FIRST_DIGEST, f"e{number}")
        clock.advance(1.0)
    board.merge_report(away.make_report())
    board.record_answer(FIRST_DIGEST, "e9")
    record_crash(board, SECOND_DIGEST, "f")
    for digest in range(100, 100 + 2 * crash_board.BOUNDS.answers):
        board.record_answer(digest, "e9")
    clock.advance(3600.0)
    away.announce_all()
    exchange(away, board)
    assert not board.is_refused(FIRST_DIGEST)
    exchange(away, board)
    assert not away.is_refused(FIRST_DIGEST)


def test_an_older_crash_that_a_peer_reports_late_is_not_counted(
    board: crash_board.CrashBoard, clock: Clock
) -> None:
    peer = make_board()
    refuse(peer, FIRST_DIGEST, "e")
    stale = peer.make_report()
    board.record_cut(SECOND_DIGEST, "e8")
    board.merge_report(stale)
    board.record_answer(FIRST_DIGEST, "e9")
    board.merge_report(stale)
    assert not board.is_refused(FIRST_DIGEST)
    # The peer learns that its suspicion has ended.
    peer.merge_report(board.make_report())
    assert not peer.is_refused(FIRST_DIGEST)


async def test_a_crashing_request_reaches_no_fourth_endpoint(
    fleet: support.Fleet,
) -> None:
    endpoints = []
    for number in range(5):
        endpoint = await fleet.add_endpoint(f"plain-{number}", "plain")
        endpoint.default = platform_endpoint.Plan(crashes=True)
        endpoints.append(endpoint)
    await fleet.start()
    replies = [
        await fleet.call(
            "GET", support.SAFE_PATH, b"", f"r-{number}", deadline_ms=2000
        )
        for number in range(5)
    ]
    crashed = sum(target.runs for target in endpoints)
    assert crashed == crash_board.CRASH_LIMIT
    assert replies[-1].status == 503
    line = await fleet.wait_for_event("endpoint_crashed")
    assert line["crashes"] == 1
