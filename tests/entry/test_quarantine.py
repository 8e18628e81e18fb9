"""Strikes for a crash of an agent, whose endpoint may still run.

They are withdrawn if the agent comes back and reports the same process of its
endpoint as before.
"""

import pytest

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import clock
from wagtailstream_entry.endpoints import quarantine
from wagtailstream_runtime import metrics, notifier, strike_board

DIGEST = "body"
STRIKES = 2


@pytest.fixture
def board() -> strike_board.StrikeBoard:
    system_clock = clock.SystemClock()
    log = support.FaultyLog(system_clock)
    return strike_board.StrikeBoard(
        support.make_follower(log, system_clock),
        system_clock,
        notifier.Notifier(),
        metrics.MemoryMetrics(),
        "entry",
    )


@pytest.fixture
def body_quarantine(board: strike_board.StrikeBoard) -> quarantine.Quarantine:
    system_clock = clock.SystemClock()
    log = support.FaultyLog(system_clock)
    return quarantine.Quarantine(
        board,
        log,
        support.make_follower(log, system_clock),
        core_support.SIGNERS["fleet"],
        system_clock,
    )


async def test_strike_is_withdrawn_if_the_endpoint_outlived_its_agent(
    board: strike_board.StrikeBoard, body_quarantine: quarantine.Quarantine
) -> None:
    await body_quarantine.record_crash(DIGEST, "drafting-1", "life-1")
    assert board.is_suspect(DIGEST)
    body_quarantine.handle_endpoint_life("drafting-2", "life-1")
    body_quarantine.handle_endpoint_life("drafting-1", "")
    assert board.is_suspect(DIGEST)
    body_quarantine.handle_endpoint_life("drafting-1", "life-1")
    assert not board.is_suspect(DIGEST)
    await body_quarantine.record_crash(DIGEST, "drafting-2", "life-2")
    assert body_quarantine.check(DIGEST) is None


async def test_strike_stays_if_the_endpoint_died_with_its_agent(
    board: strike_board.StrikeBoard, body_quarantine: quarantine.Quarantine
) -> None:
    await body_quarantine.record_crash(DIGEST, "drafting-1", "life-1")
    body_quarantine.handle_endpoint_life("drafting-1", "life-2")
    # The first report decides; a delayed heartbeat changes nothing.
    body_quarantine.handle_endpoint_life("drafting-1", "life-1")
    assert board.is_suspect(DIGEST)


async def test_strike_stays_if_an_agent_saw_the_endpoint_die(
    board: strike_board.StrikeBoard, body_quarantine: quarantine.Quarantine
) -> None:
    await body_quarantine.record_crash(DIGEST, "drafting-1")
    body_quarantine.handle_endpoint_life("drafting-1", "life-1")
    assert board.is_suspect(DIGEST)
