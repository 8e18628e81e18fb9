"""A non-repeatable call runs at most once, whatever fails.

An agent claims the idempotency key in the log before it runs the call. Kills,
pauses, lost answers and log retention must not lead to a second run.
"""

import collections.abc
import concurrent.futures
import datetime
import time

import pytest
import requests

from standins import fleet
from tests.integration import support

SLOW_SECONDS = 1.5


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        yield running


def issue(
    started: fleet.Fleet, entry: int, key: str, **headers: str
) -> support.Answer:
    """Call the non-repeatable operation with an idempotency key."""
    return support.call(
        started.entries[entry],
        support.ISSUE,
        {"key": key},
        idempotency_key=key,
        **headers,
    )


def count_issued(started: fleet.Fleet, key: str) -> int:
    """Return how many times services ran the call with a key."""
    return sum(
        run.get("body") == {"key": key} for run in support.list_runs(started)
    )


def set_service_faults(started: fleet.Fleet, **faults: object) -> None:
    for name in ("registry-1", "registry-2"):
        started.set_faults(started.endpoints[name].backend, **faults)


def wait_for_runner(started: fleet.Fleet, key: str) -> fleet.EndpointProcesses:
    """Wait until an endpoint has run the call with a key, and return it."""
    started.wait_until(
        lambda: count_issued(started, key) > 0, "the call did not run"
    )
    for name in ("registry-1", "registry-2"):
        found = started.endpoints[name]
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(run["body"] == {"key": key} for run in runs):
            return found
    raise LookupError(f"no endpoint has run the call with key {key}")


def make_deadline(seconds: float) -> str:
    now = datetime.datetime.now(datetime.UTC)
    return (now + datetime.timedelta(seconds=seconds)).isoformat()


def test_same_key_sent_to_two_entries_at_once(started: fleet.Fleet) -> None:
    set_service_faults(started, delay_seconds=0.05)
    for _ in range(5):
        key = support.make_key()
        futures = [
            support.in_background(lambda e=e, k=key: issue(started, e, k))
            for e in (0, 1, 0, 1)
        ]
        answers = [future.result() for future in futures]
        assert {answer.outcome for answer in answers} == {"completed"}
        assert len({answer.text for answer in answers}) == 1
        assert count_issued(started, key) == 1
        support.wait_billed(started, answers[0].request_id, 1)


@pytest.mark.parametrize("killed", ["agent", "both"])
def test_claimant_killed_after_dispatch(
    started: fleet.Fleet, killed: str
) -> None:
    set_service_faults(started, delay_seconds=SLOW_SECONDS)
    key = support.make_key()
    first = support.in_background(lambda: issue(started, 0, key))
    found = wait_for_runner(started, key)
    found.agent.kill()
    if killed == "both":
        started.entries[0].kill()
        with pytest.raises(requests.ConnectionError):
            first.result()
    else:
        assert first.result().outcome == "unknown"
    started.restart_agent(found.endpoint.name)
    started.wait_ready() if killed == "agent" else None
    for _ in range(3):
        assert issue(started, 1, key).outcome == "unknown"
    assert count_issued(started, key) == 1


def test_answer_outlives_the_claimant(started: fleet.Fleet) -> None:
    key = support.make_key()
    first = issue(started, 0, key)
    wait_for_runner(started, key).agent.kill()
    again = issue(started, 1, key)
    assert again.outcome == first.outcome == "completed"
    assert again.text == first.text
    assert count_issued(started, key) == 1
    assert support.count_billed_attempts(started)[first.request_id] == 1


def test_resends_after_an_unknown_outcome(started: fleet.Fleet) -> None:
    set_service_faults(started, lose_answers=100)
    key = support.make_key()
    answers = [issue(started, number % 2, key) for number in range(4)]
    assert {answer.outcome for answer in answers} == {"unknown"}
    assert count_issued(started, key) == 1


def test_same_key_with_another_body_or_operation(started: fleet.Fleet) -> None:
    key = support.make_key()
    first = issue(started, 0, key)
    for entry in started.entries:
        other = support.call(
            entry, support.ISSUE, {"batch": "other"}, idempotency_key=key
        )
        assert other.code == "idempotency-key-reused"
        assert other.outcome == "not-run"
        assert other.request_id != first.request_id
        assert support.count_runs(started, other.request_id) == 0
    assert count_issued(started, key) == 1


def test_lost_answers_to_the_claim(started: fleet.Fleet) -> None:
    started.set_faults(started.platform["log"], lose_answers=3)
    key = support.make_key()
    answers = [issue(started, number, key) for number in (0, 1)]
    assert {answer.outcome for answer in answers} == {"completed"}
    assert count_issued(started, key) == 1


def test_claimants_paused_while_others_are_asked(started: fleet.Fleet) -> None:
    """One agent is paused until the deadlines of its calls have passed.

    A refusal that says "not run" must be true, also after the agent wakes.
    """
    paused = started.endpoints["registry-1"].agent
    keys = [support.make_key() for _ in range(4)]
    paused.freeze()
    futures: list[tuple[str, concurrent.futures.Future[support.Answer]]] = [
        (
            key,
            support.in_background(
                lambda k=key, e=e: issue(
                    started, e, k, Wagtail_Deadline=make_deadline(2.0)
                )
            ),
        )
        for key in keys
        for e in (0, 1)
    ]
    answers = [(key, future.result()) for key, future in futures]
    paused.thaw()
    started.wait_ready()
    later = [(key, issue(started, 0, key)) for key in keys]
    for key in keys:
        assert count_issued(started, key) <= 1
        outcomes = {a.outcome for k, a in answers + later if k == key}
        if outcomes == {"not-run"}:
            assert count_issued(started, key) == 0
        if "completed" in outcomes:
            assert count_issued(started, key) == 1
    assert {answer.outcome for _, answer in later} <= {"completed", "unknown"}


def test_claimant_paused_in_its_claim_past_the_deadline(
    started: fleet.Fleet,
) -> None:
    """Agents wake with their claim won but the deadline passed.

    They must not run the call.
    """
    log = started.platform["log"]
    started.set_faults(log, append_delay_seconds=1.0)
    key = support.make_key()
    future = support.in_background(
        lambda: issue(started, 0, key, Wagtail_Deadline=make_deadline(1.5))
    )
    time.sleep(0.3)
    agents = [started.endpoints[f"registry-{n}"].agent for n in (1, 2)]
    for agent in agents:
        agent.freeze()
    answer = future.result()
    for agent in agents:
        agent.thaw()
    started.set_faults(log, append_delay_seconds=0.0)
    assert answer.outcome == "unknown"
    started.wait_ready()
    # The claim is abandoned, so a later call with the same key may run.
    started.wait_until(
        lambda: issue(started, 1, key).outcome == "completed",
        "a later call with the key does not run",
    )
    assert count_issued(started, key) == 1


def test_a_claim_removed_by_retention_is_not_run_again(
    started: fleet.Fleet,
) -> None:
    key = support.make_key()
    assert issue(started, 0, key).outcome == "completed"
    log = started.platform["log"].url
    stream = f"{log}/streams/claims.registry/records"
    tail = started.get_json(f"{stream}?from=0")["next"]
    requests.delete(f"{stream}?before={tail}", timeout=10).raise_for_status()
    for name in ("registry-1", "registry-2"):
        started.endpoints[name].agent.kill()
        started.restart_agent(name)
    started.wait_ready()
    answers = [issue(started, entry, key) for entry in (0, 1)]
    assert {answer.code for answer in answers} == {"ledger-unavailable"}
    assert count_issued(started, key) == 1


def test_agent_draining_while_a_claimed_call_runs(
    started: fleet.Fleet,
) -> None:
    set_service_faults(started, delay_seconds=SLOW_SECONDS)
    key = support.make_key()
    first = support.in_background(lambda: issue(started, 0, key))
    found = wait_for_runner(started, key)
    found.agent.terminate()
    again = issue(started, 1, key)
    assert first.result().outcome == again.outcome == "completed"
    assert again.text == first.result().text
    assert count_issued(started, key) == 1
    assert found.agent.wait() == 0
