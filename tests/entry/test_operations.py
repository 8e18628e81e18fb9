"""Appending a configuration record to a log with faults.

The faults are lost responses, a replica that lags behind, and records that
are no longer retained.
"""

import pytest

from tests.core import support as core_support
from tests.runtime import support
from wagtailstream_core import (
    clock,
    configuration,
    errors,
    records,
    snapshots,
)
from wagtailstream_entry.callers import operations

MAX_ATTEMPTS = 5


@pytest.fixture(autouse=True)
def _no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(operations, "RETRY_SECONDS", 0.0)


@pytest.fixture
async def log() -> support.FaultyLog:
    faulty_log = support.FaultyLog(clock.ManualClock(1000.0))
    await support.publish(faulty_log)
    return faulty_log


async def make_change(log: support.FaultyLog) -> operations.Change:
    state = await operations.fetch_configuration(log, core_support.KEYRING)
    record = operations.make_advance("drafter", state)
    return operations.Change(
        records.seal(record, core_support.SIGNERS["alice"]), state
    )


async def append(
    log: support.FaultyLog, change: operations.Change
) -> operations.ChangeResult:
    return await operations.append_record(
        log, core_support.KEYRING, change, MAX_ATTEMPTS
    )


async def test_lost_response_is_resolved_by_reading_the_log(
    log: support.FaultyLog,
) -> None:
    change = await make_change(log)
    log.lost_answers = 1
    result = await append(log, change)
    assert result.verdict is configuration.Verdict.ACCEPTED
    assert log.tail == 3


async def test_lagging_replica_causes_no_second_append(
    log: support.FaultyLog,
) -> None:
    change = await make_change(log)
    log.lag = 3
    result = await append(log, change)
    assert result.verdict is configuration.Verdict.ACCEPTED
    assert log.tail == 3


async def test_verdict_needs_no_snapshot_before_the_record(
    log: support.FaultyLog,
) -> None:
    """The records before the appended one are dropped before it is read back.

    The only snapshot left follows the record, so the verdict has to be found
    from the configuration that the change is based on.
    """
    change = await make_change(log)
    await log.append(records.STREAM, change.payload)
    state = await operations.fetch_configuration(log, core_support.KEYRING)
    signer = core_support.SIGNERS["fleet"]
    await log.append(records.STREAM, snapshots.seal(state, signer))
    del log.records[:2]
    result = await append(log, change)
    assert result.verdict is configuration.Verdict.ACCEPTED
    assert result.offset == 2


async def test_one_of_two_changes_on_the_same_base_is_accepted(
    log: support.FaultyLog,
) -> None:
    first, second = await make_change(log), await make_change(log)
    record = records.Withdraw(base=1, model="drafter", version="2")
    second = operations.Change(
        records.seal(record, core_support.SIGNERS["bob"]),
        second.base_configuration,
    )
    verdicts = [(await append(log, c)).verdict for c in (first, second)]
    assert verdicts == [
        configuration.Verdict.ACCEPTED,
        configuration.Verdict.STALE_BASE,
    ]


async def test_advance_fails_if_the_stage_has_changed(
    log: support.FaultyLog,
) -> None:
    """Another operator advances between reading the stage and advancing."""
    await append(log, await make_change(log))
    state = await operations.fetch_configuration(log, core_support.KEYRING)
    stage = operations.find_stage("drafter", state).stage
    assert operations.make_advance("drafter", state, stage).stage == stage + 1
    with pytest.raises(errors.StageMovedError):
        operations.make_advance("drafter", state, stage - 1)
