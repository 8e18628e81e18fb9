"""Requests that crash several endpoints are refused."""

import dataclasses

import pytest

from standins import platform_endpoint
from tests.router import support, test_peers
from wagtailstream_router import (
    crash_board,
    event_log,
    part_board,
    peer_report,
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
    assert board.crashes == ()


def test_crashes_of_peers_count_until_they_are_cleared(
    board: crash_board.CrashBoard,
) -> None:
    peer = make_board()
    record_crash(board, FIRST_DIGEST, "e1")
    record_crash(peer, FIRST_DIGEST, "e2")
    record_crash(peer, FIRST_DIGEST, "e3")
    board.set_peer_crashes("peer", peer.crashes)
    assert board.is_refused(FIRST_DIGEST)
    peer.record_answer(FIRST_DIGEST, "e9")
    board.set_peer_crashes("peer", peer.crashes)
    assert board.count(FIRST_DIGEST) == 1


def test_crashes_survive_encoding() -> None:
    crashes = (peer_report.CrashReport(2**64 - 1, "e1", 0.5),)
    report = dataclasses.replace(test_peers.REPORT, crashes=crashes)
    assert peer_report.decode(peer_report.encode(report)) == report


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
