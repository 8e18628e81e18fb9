"""Prompt parts that crash servers are found, and no others."""

import dataclasses
import time

import pytest

from tests.router import support, test_peers
from wagtailstream_router import (
    event_log,
    part_board,
    peer_report,
    request,
)

LIMIT = part_board.CRASH_LIMIT


def make_board() -> part_board.PartBoard:
    return part_board.PartBoard(event_log.MemoryEventLog())


def make_call(*parts: str) -> request.Request:
    """Return a request with these prompt parts and one of its own."""
    call = support.make_stream_request("request-1")
    identities = (*parts, "own")
    return dataclasses.replace(
        call, parts=tuple(request.PromptPart(name, 10) for name in identities)
    )


def crash(board: part_board.PartBoard, endpoint: str, *parts: str) -> None:
    """Send a request whose endpoint crashes when it begins to answer."""
    call = make_call(*parts)
    board.record_send(call)
    names = part_board.list_parts(call)
    board.record_crash(names, endpoint, time.monotonic())


def is_blocked(board: part_board.PartBoard, *parts: str) -> bool:
    return bool(board.find_blocked(make_call(*parts), is_repeat=False))


def block(board: part_board.PartBoard) -> None:
    for number in range(LIMIT):
        crash(board, f"e{number}", "first", "bad")


def test_a_part_is_blocked_after_three_crashes_and_the_others_are_not() -> (
    None
):
    board = make_board()
    board.record_answer(make_call("first"))
    for number in range(LIMIT):
        assert not is_blocked(board, "first", "bad")
        crash(board, f"e{number}", "first", "bad")
    assert is_blocked(board, "first", "bad")
    assert is_blocked(board, "other", "bad")
    assert not is_blocked(board, "first", "other")


def test_a_repeat_is_stopped_one_crash_earlier() -> None:
    board = make_board()
    for number in range(LIMIT - 1):
        crash(board, f"e{number}", "bad")
    call = make_call("bad")
    assert board.find_blocked(call, is_repeat=True) == "bad"
    assert not board.find_blocked(call, is_repeat=False)


def test_the_own_part_of_a_request_is_never_blocked() -> None:
    board = make_board()
    for number in range(LIMIT + 2):
        crash(board, f"e{number}")
    assert not board.has_suspects


def test_the_first_part_of_most_requests_is_not_blocked_for_another() -> None:
    """No request was answered yet, so no part is known to be sound."""
    board = make_board()
    for _ in range(10):
        board.record_send(make_call("first"))
    block(board)
    crash(board, "e8", "first")
    assert is_blocked(board, "first", "bad")
    assert not is_blocked(board, "first", "other")


def test_a_new_part_in_flight_beside_the_crashes_is_not_blocked() -> None:
    board = make_board()
    for number in range(LIMIT):
        crash(board, f"e{number}", "new")
        crash(board, f"e{number}", "bad")
    crash(board, "e8", "bad")
    assert is_blocked(board, "bad")
    assert not is_blocked(board, "new")
    assert not board.find_blocked(make_call("new"), is_repeat=True)


def test_an_answer_clears_a_part_for_good() -> None:
    board = make_board()
    block(board)
    board.record_answer(make_call("first", "bad"))
    assert not board.has_suspects
    block(board)
    assert not board.has_suspects


def test_crashes_of_all_instances_count_together() -> None:
    boards = [make_board() for _ in range(LIMIT)]
    for number, board in enumerate(boards):
        crash(board, f"e{number}", "bad")
        assert not is_blocked(board, "bad")
    for board in boards:
        for peer in boards:
            board.merge_report(peer.make_report())
    assert all(is_blocked(board, "bad") for board in boards)


def test_an_instance_that_starts_later_blocks_what_its_peers_block() -> None:
    first, second, later = make_board(), make_board(), make_board()
    first.record_send(make_call("first"))
    block(first)
    second.merge_report(first.make_report())
    later.merge_report(second.make_report())
    assert is_blocked(later, "bad")


def test_an_answer_at_one_instance_clears_a_part_at_all() -> None:
    knowing, suspecting = make_board(), make_board()
    knowing.record_answer(make_call("first", "document"))
    for number in range(LIMIT):
        crash(suspecting, f"e{number}", "document")
    assert is_blocked(suspecting, "document")
    knowing.merge_report(suspecting.make_report())
    suspecting.merge_report(knowing.make_report())
    assert not is_blocked(suspecting, "document")
    assert not knowing.has_suspects


def test_a_block_ends_and_one_more_crash_renews_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    board = make_board()
    block(board)
    now = time.monotonic() + part_board.BLOCK_SECONDS + 1.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    assert not is_blocked(board, "bad")
    crash(board, "e8", "bad")
    assert is_blocked(board, "bad")


# Guards against BUDGET: a blocked part was let through again and again, two
# minutes after each crash.
def test_a_part_that_crashed_two_trials_stays_blocked_for_as_long_as_it_comes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    board = make_board()
    board.record_answer(make_call("first"))
    block(board)
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now)
    for number in range(part_board.FINAL_TRIALS):
        now += part_board.BLOCK_SECONDS + 1.0
        assert not is_blocked(board, "bad")
        board.record_answer(make_call("first"))
        crash(board, f"trial-{number}", "first", "bad")
    for seconds in (1.0, 130.0, 250.0, 3600.0, 86400.0):
        now += seconds
        assert is_blocked(board, "bad")
        assert not is_blocked(board, "first", "other")


def test_one_request_at_a_time_tries_a_blocked_part(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    board = make_board()
    board.record_answer(make_call("first"))
    block(board)
    now = time.monotonic() + part_board.BLOCK_SECONDS + 1.0
    monkeypatch.setattr(time, "monotonic", lambda: now)
    calls = [
        dataclasses.replace(make_call("bad"), identity=f"r-{number}")
        for number in range(20)
    ]
    sent = [call for call in calls if not board.find_blocked(call, False)]
    assert sent == calls[:1]
    assert not board.find_blocked(calls[0], False)


def test_many_new_suspects_displace_no_blocked_part() -> None:
    board = make_board()
    board.record_answer(make_call("first"))
    block(board)
    for number in range(3 * part_board.BOUNDS.suspects):
        crash(board, f"f{number}", f"part-{number}")
    assert is_blocked(board, "bad")


def test_crashes_of_a_part_at_long_intervals_add_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    board = make_board()
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now)
    for number in range(LIMIT):
        assert not is_blocked(board, "bad")
        board.record_answer(make_call("first"))
        crash(board, f"e{number}", "first", "bad")
        now += 3600.0
    assert is_blocked(board, "bad")


def test_an_old_answer_clears_no_newer_crashes(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    answered, suspecting = make_board(), make_board()
    now = time.monotonic()
    monkeypatch.setattr(time, "monotonic", lambda: now)
    answered.record_answer(make_call("bad"))
    now += part_board.SOUND_SECONDS + 1.0
    for number in range(LIMIT):
        crash(suspecting, f"e{number}", "bad")
    answered.merge_report(suspecting.make_report())
    suspecting.merge_report(answered.make_report())
    assert is_blocked(suspecting, "bad")
    assert is_blocked(answered, "bad")


def test_what_is_remembered_of_parts_is_bounded(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    bounds = dataclasses.replace(part_board.BOUNDS, suspects=4, answers=4)
    monkeypatch.setattr(part_board, "BOUNDS", bounds)
    monkeypatch.setattr(part_board, "MAX_PARTS", 4)
    board = make_board()
    for number in range(10):
        crash(board, f"e{number}", f"part-{number}")
        board.record_answer(make_call(f"sound-{number}"))
    is_blocked(board, "part-9")
    assert len(board.make_report().suspicions) == 4
    assert len(board._sent) == 4
    assert len(board._table._answered_at) == 4
    assert len(part_board.list_parts(make_call("x" * 1000))[0]) == 16
    for number in range(50):
        crash(board, f"e{number}", "bad")
    (worst, *_) = board.make_report().suspicions
    assert len(worst.crash_ages) == part_board.BOUNDS.crashes
    assert is_blocked(board, "bad")


def test_suspicions_survive_encoding() -> None:
    parts = part_board.PartsReport(
        (part_board.Suspicion("bad", 3, {"e1/1": 0.5, "e2/1": 1.25}),),
        {"first": 2.5},
    )
    report = dataclasses.replace(test_peers.REPORT, parts=parts)
    assert peer_report.decode(peer_report.encode(report)) == report
