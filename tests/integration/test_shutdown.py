"""Graceful shutdown: SIGTERM under load cuts no answer."""

import collections.abc
import concurrent.futures
import signal

import pytest

from standins import demo, fleet, processes
from tests.integration import support

STREAMS = 8
PROMPTS = [f"Draft number {n}. [tokens=150]" for n in range(STREAMS)]
SLOW = "Draft it slowly. [tokens=250]"
Futures = list["concurrent.futures.Future[support.Answer]"]


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        yield running


@pytest.fixture
def hasty() -> collections.abc.Iterator[fleet.Fleet]:
    """Run a fleet whose drains meet their limit."""
    limit = {"drain_seconds": 1.0}
    options = fleet.Options(
        engine=("--token-seconds", "0.04"), agent=limit, entry=limit
    )
    with support.run_fleet(entries=2, options=options) as running:
        yield running


def begin(
    started: fleet.Fleet,
    prompts: list[str],
    entries: list[processes.Process],
    stream: bool = True,
) -> Futures:
    """Begin requests; return once all run."""
    futures = [
        support.in_background(
            lambda n=n, p=p: support.chat(
                entries[n % len(entries)], p, stream=stream
            )
        )
        for n, p in enumerate(prompts)
    ]
    started.wait_until(
        lambda: count_running(started) >= len(prompts), "not all run"
    )
    return futures


def count_running(started: fleet.Fleet) -> int:
    return sum(
        run.get("state") == "running" for run in support.list_runs(started)
    )


def find_running(started: fleet.Fleet) -> fleet.EndpointProcesses:
    """Return an endpoint whose engine generates."""
    for found in started.endpoints.values():
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(run.get("state") == "running" for run in runs):
            return found
    raise AssertionError("nothing runs")


def collect(futures: Futures) -> list[support.Answer]:
    return [future.result(support.TIMEOUT_SECONDS) for future in futures]


def check_whole_and_billed(
    started: fleet.Fleet, answers: list[support.Answer], uncut: list[str]
) -> None:
    assert [answer.code for answer in answers] == [""] * len(answers)
    assert [answer.text for answer in answers] == uncut
    assert all(answer.is_whole for answer in answers)
    started.wait_until(
        lambda: (
            {a.request_id for a in answers}
            <= set(support.count_billed_attempts(started))
        ),
        "a bill is missing",
    )


def ask_uncut(started: fleet.Fleet, prompts: list[str]) -> list[str]:
    return [support.chat(started.entries[0], p).text for p in prompts]


@pytest.mark.parametrize("signals", [1, 2])
@pytest.mark.parametrize("is_stream", [True, False])
def test_entry_shuts_down_under_load(
    started: fleet.Fleet, signals: int, is_stream: bool
) -> None:
    uncut = ask_uncut(started, PROMPTS)
    slow_down(started)
    entry = started.entries[0]
    futures = begin(started, PROMPTS, [entry], is_stream)
    asked: list[support.Answer] = []

    def is_draining() -> bool:
        asked.append(support.chat(entry, "Draft one more."))
        return asked[-1].code == "draining"

    for _ in range(signals):
        entry.terminate()
        started.wait_until(is_draining, "no drain")
    # The answer that showed the drain: by a further request's time the
    # streams, and with them the process, may have ended.
    refused = asked[-1]
    assert (refused.code, refused.outcome) == ("draining", "not-run")
    check_whole_and_billed(started, collect(futures), uncut)
    assert entry.wait() == 0


def slow_down(started: fleet.Fleet) -> None:
    for found in started.endpoints.values():
        if found.endpoint.models:
            started.set_faults(found.backend, token_seconds=0.01)


@pytest.mark.parametrize("signals", [1, 2])
def test_agents_shut_down_under_load(
    started: fleet.Fleet, signals: int
) -> None:
    uncut = ask_uncut(started, PROMPTS)
    slow_down(started)
    futures = begin(started, PROMPTS, started.entries)
    leaving = started.endpoints["drafting-1"].agent
    for _ in range(signals):
        leaving.terminate()
    check_whole_and_billed(started, collect(futures), uncut)
    assert leaving.wait() == 0
    retried = [
        name
        for entry in started.entries
        for name in started.fetch_status(entry)["counters"]
        if name.startswith("retried.endpoint")
    ]
    assert retried == []


def test_entry_meets_its_drain_limit(hasty: fleet.Fleet) -> None:
    entry = hasty.entries[0]
    futures = begin(hasty, [SLOW] * 4, [entry])
    futures += begin_whole(hasty, entry)
    entry.terminate()
    answers = collect(futures)
    assert {answer.code for answer in answers} == {"draining"}
    assert {answer.outcome for answer in answers} == {"unknown"}
    assert entry.wait() == 0
    check_billed_as_run(hasty, answers)


def begin_whole(started: fleet.Fleet, entry: processes.Process) -> Futures:
    future = support.in_background(
        lambda: support.chat(entry, SLOW, stream=False)
    )
    started.wait_until(lambda: count_running(started) >= 5, "does not run")
    return [future]


def check_billed_as_run(
    started: fleet.Fleet, answers: list[support.Answer]
) -> None:
    """Check that each request has one bill, with the tokens it used."""

    def is_billed() -> bool:
        fold = demo.fetch_bills(started.platform["log"].url)
        found = {key.request_id: fold.find_bill(key) for key in fold.keys}
        bills = [found.get(answer.request_id) for answer in answers]
        return all(
            bill is not None and sum(c.answer_tokens for c in bill.attempts)
            for bill in bills
        )

    started.wait_until(is_billed, "a bill is missing")


def test_agent_meets_its_drain_limit(hasty: fleet.Fleet) -> None:
    uncut = ask_uncut(hasty, [SLOW])
    futures = begin(hasty, [SLOW] * 4, hasty.entries)
    leaving = find_running(hasty).agent
    leaving.terminate()
    assert leaving.wait() == 0
    answers = collect(futures)
    check_whole_and_billed(hasty, answers, uncut * 4)
    check_billed_as_run(hasty, answers)
    # A planned stop is no death under work.
    for entry in hasty.entries:
        assert "strikes" not in hasty.fetch_status(entry)["counters"]


def test_call_under_way_ends_before_its_agent_stops(
    started: fleet.Fleet,
) -> None:
    registries = [f for f in started.endpoints.values() if f.endpoint.service]
    for found in registries:
        started.set_faults(found.backend, delay_seconds=2.0)
    future = support.in_background(
        lambda: support.call(
            started.entries[0],
            support.ISSUE,
            {"batch": 9},
            idempotency_key=support.make_key(),
        )
    )

    def count_issued() -> int:
        return sum(
            run.get("body") == {"batch": 9}
            for run in support.list_runs(started)
        )

    started.wait_until(lambda: count_issued() == 1, "the call is not sent")
    for found in registries:
        found.agent.send_signal(signal.SIGTERM)
    answer = future.result(support.TIMEOUT_SECONDS)
    assert (answer.code, answer.outcome) == ("", "completed")
    for found in registries:
        assert found.agent.wait() == 0
    assert count_issued() == 1
