"""Changes of allowed models and versions: races, lagging instances."""

import collections.abc
import pathlib
import threading

import pytest

from standins import fleet
from tests.integration import configuration_support as shared
from tests.integration import support
from wagtailstream_core import configuration, errors, records, work


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        yield running


def test_of_two_operators_from_one_base_one_wins(
    started: fleet.Fleet,
) -> None:
    """Alice withdraws and Bob advances, both from the same revision.

    The second record must be rejected as stale on every instance.
    """
    changes = [
        shared.make_change(
            started,
            "alice",
            lambda state: records.Withdraw(
                base=state.revision, model="drafter", version="2"
            ),
        ),
        shared.make_change(
            started,
            "bob",
            lambda state: records.Advance(
                base=state.revision, model="drafter", candidate="2", stage=1
            ),
        ),
    ]
    won, lost = [shared.append_change(started, c) for c in changes]
    assert won.verdict is configuration.Verdict.ACCEPTED
    assert lost.verdict is configuration.Verdict.STALE_BASE
    shared.wait_everywhere(started, lost.offset)
    for entry in started.entries:
        status = started.fetch_status(entry)
        assert status["revision"] == won.offset
        assert status["withdrawn"] == ["drafter@2"]
        assert [r["stage"] for r in status["rollouts"]] == [0]
        answer = support.chat(entry, "After the race.")
        assert answer.headers["Wagtail-Version"] == "1"


def remove_large_model(document: support.Json) -> None:
    """Remove the large model, and so the ladder, from the first customer."""
    document["customers"][0]["allow"] = [{"model": "drafter"}]
    document["customers"][0]["ladders"] = []


def test_removed_model_stays_refused_under_traffic(
    started: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """No request starts on a removed model once the publish returns."""
    is_over = threading.Event()
    answers: list[support.Answer] = []

    def keep_asking() -> None:
        while not is_over.is_set():
            for entry in started.entries:
                answers.append(support.chat(entry, "Go on.", model="large"))

    callers = [threading.Thread(target=keep_asking) for _ in range(3)]
    for caller in callers:
        caller.start()
    try:
        started.wait_until(
            lambda: len(answers) > 5, "the callers got no answers"
        )
        started.publish(shared.write_bundle(tmp_path, remove_large_model))
        late = support.chat(started.entries[0], "Late.", model="large")
        started.wait_until(
            lambda: answers[-1].code == "model-forbidden",
            "the removed model is still served",
        )
    finally:
        is_over.set()
        for caller in callers:
            caller.join()
    assert (late.code, late.outcome) == ("model-forbidden", "not-run")
    refused = {a.request_id for a in answers + [late] if a.code}
    ran = set(shared.list_model_runs(started, "large", "1"))
    assert not refused & ran
    assert {a.code for a in answers} == {"", "model-forbidden"}
    assert all(a.is_whole for a in answers if not a.code)


def test_an_agent_decides_by_its_own_configuration(
    started: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    """An agent refuses a model that its configuration no longer allows.

    The attempt claims an old offset, as one from an entry that lags would.
    """
    large = work.ModelWork("large", "1", "x", 8)
    before = shared.send_attempt(started, "drafting-1", large)
    assert shared.find_reason(before) is None
    started.publish(shared.write_bundle(tmp_path, remove_large_model))
    after = shared.send_attempt(started, "drafting-1", large)
    assert shared.find_reason(after) is errors.Reason.MODEL_FORBIDDEN


def test_an_agent_that_is_behind_refuses_until_it_caught_up(
    started: fleet.Fleet,
) -> None:
    drafter = work.ModelWork("drafter", "1", "x", 8)
    answer = shared.send_attempt(started, "drafting-1", drafter, offset=99)
    assert shared.find_reason(answer) is errors.Reason.AGENT_BEHIND
