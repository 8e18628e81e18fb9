"""Deaths of agents are told from deaths of their endpoints."""

import pytest

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import clock
from wagtailstream_entry.endpoints import quarantine
from wagtailstream_runtime import alarm, metrics, strike_board

DIGEST = "body"
STRIKES = 2


@pytest.fixture
def board() -> strike_board.StrikeBoard:
    system_clock = clock.SystemClock()
    log = support.FaultyLog(system_clock)
    return strike_board.StrikeBoard(
        support.make_follower(log, system_clock),
        system_clock,
        alarm.Alarm(),
        metrics.MemoryMetrics(),
        "entry",
    )


@pytest.fixture
def judge(board: strike_board.StrikeBoard) -> quarantine.Quarantine:
    system_clock = clock.SystemClock()
    log = support.FaultyLog(system_clock)
    return quarantine.Quarantine(
        board,
        log,
        support.make_follower(log, system_clock),
        core_support.SIGNERS["fleet"],
        system_clock,
    )


async def test_endpoint_that_outlived_its_agent_strikes_nobody(
    board: strike_board.StrikeBoard, judge: quarantine.Quarantine
) -> None:
    await judge.note_death(DIGEST, "drafting-1", "life-1")
    assert board.is_suspect(DIGEST)
    judge.handle_endpoint_life("drafting-2", "life-1")
    judge.handle_endpoint_life("drafting-1", "")
    assert board.is_suspect(DIGEST)
    judge.handle_endpoint_life("drafting-1", "life-1")
    assert not board.is_suspect(DIGEST)
    await judge.note_death(DIGEST, "drafting-2", "life-2")
    assert judge.check(DIGEST) is None


async def test_endpoint_that_died_with_its_agent_keeps_the_strike(
    board: strike_board.StrikeBoard, judge: quarantine.Quarantine
) -> None:
    await judge.note_death(DIGEST, "drafting-1", "life-1")
    judge.handle_endpoint_life("drafting-1", "life-2")
    # The verdict is final: an old message changes nothing.
    judge.handle_endpoint_life("drafting-1", "life-1")
    assert board.is_suspect(DIGEST)


async def test_death_that_an_agent_saw_is_not_taken_back(
    board: strike_board.StrikeBoard, judge: quarantine.Quarantine
) -> None:
    await judge.note_death(DIGEST, "drafting-1")
    judge.handle_endpoint_life("drafting-1", "life-1")
    assert board.is_suspect(DIGEST)
