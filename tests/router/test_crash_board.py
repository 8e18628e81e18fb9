"""Requests that crash each endpoint that runs them are stopped."""

import dataclasses

import pytest

from standins import platform_endpoint
from tests.router import support, test_peers
from wagtailstream_router import crash_board, event_log, peer_news

FIRST, SECOND = 1, 2


@pytest.fixture
def board() -> crash_board.CrashBoard:
    return crash_board.CrashBoard(event_log.MemoryEventLog())


def crash(board: crash_board.CrashBoard, digest: int, endpoint: str) -> None:
    board.note_cut(digest, endpoint)
    board.note_lost(endpoint)


def test_three_endpoints_that_crashed_are_enough(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        assert not board.is_refused(FIRST)
        crash(board, FIRST, f"e{number}")
    assert board.is_refused(FIRST)
    assert not board.is_refused(SECOND)
    assert board.total == crash_board.CRASH_LIMIT


def test_a_cut_answer_alone_is_no_crash(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(5):
        board.note_cut(FIRST, f"e{number}")
        board.note_answer(SECOND, f"e{number}")
        board.note_lost(f"e{number}")
    assert board.count(FIRST) == 0


def test_an_endpoint_that_is_gone_after_a_cut_crashed(
    board: crash_board.CrashBoard,
) -> None:
    board.note_cut(FIRST, "e1")
    board.note_members({"e1", "e2"})
    assert board.count(FIRST) == 0
    board.note_members({"e2"})
    assert board.count(FIRST) == 1


def test_an_answer_clears_what_was_before_it(
    board: crash_board.CrashBoard,
) -> None:
    for number in range(crash_board.CRASH_LIMIT):
        crash(board, FIRST, f"e{number}")
    board.note_answer(FIRST, "e9")
    assert not board.is_refused(FIRST)
    assert board.crashes == ()


def test_peers_tell_of_their_crashes_and_take_them_back(
    board: crash_board.CrashBoard,
) -> None:
    peer = crash_board.CrashBoard(event_log.MemoryEventLog())
    crash(board, FIRST, "e1")
    crash(peer, FIRST, "e2")
    crash(peer, FIRST, "e3")
    board.take_peer("peer", peer.crashes)
    assert board.is_refused(FIRST)
    peer.note_answer(FIRST, "e9")
    board.take_peer("peer", peer.crashes)
    assert board.count(FIRST) == 1


def test_crashes_pass_in_a_message() -> None:
    crashes = (peer_news.CrashNews(2**64 - 1, "e1", 0.5),)
    news = dataclasses.replace(test_peers.NEWS, crashes=crashes)
    assert peer_news.decode(peer_news.encode(news)) == news


async def test_a_crashing_request_spares_the_fourth_endpoint(
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
    crashed = sum(one.runs for one in endpoints)
    assert crashed == crash_board.CRASH_LIMIT
    assert replies[-1].status == 503
    line = await fleet.wait_for_line("endpoint_crashed")
    assert line["crashes"] == 1
