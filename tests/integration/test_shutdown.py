"""Graceful shutdown: SIGTERM under load cuts no answer short."""

import collections.abc
import concurrent.futures
import signal

import pytest

from standins import demo, fleet, processes
from tests.integration import support

STREAMS = 8
# At this speed an answer to one of PROMPTS takes 15 s.
SLOW_TOKEN_SECONDS = 0.1
TOKEN_SECONDS = 0.01
PROMPTS = [f"Draft number {n}. [tokens=150]" for n in range(STREAMS)]
SLOW_PROMPT = "Draft it slowly. [tokens=250]"
Futures = list["concurrent.futures.Future[support.Answer]"]


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        yield running


@pytest.fixture
def short_drain() -> collections.abc.Iterator[fleet.Fleet]:
    """Run a fleet whose drain limit is shorter than its requests."""
    limit = {"drain_seconds": 1.0}
    options = fleet.Options(
        engine=("--token-seconds", "0.04"), agent=limit, entry=limit
    )
    with support.run_fleet(entries=2, options=options) as running:
        yield running


def start_requests(
    started: fleet.Fleet,
    prompts: list[str],
    entries: list[processes.Process],
    stream: bool = True,
) -> Futures:
    """Start requests and return their futures once engines run them all.

    :param entries: the entries that get the requests, in turn.
    """
    futures = [
        support.in_background(
            lambda n=n, p=p: support.chat(
                entries[n % len(entries)], p, stream=stream
            )
        )
        for n, p in enumerate(prompts)
    ]
    started.wait_until(
        lambda: count_running(started) >= len(prompts),
        "not all requests are running",
    )
    return futures


def count_running(started: fleet.Fleet) -> int:
    """Return the number of running requests, not counting hedges."""
    return len(
        {
            run["request_id"]
            for run in support.list_runs(started)
            if run.get("state") == "running"
        }
    )


def find_running(started: fleet.Fleet) -> fleet.EndpointProcesses:
    """Return an endpoint whose engine is running a request."""
    for found in started.endpoints.values():
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(run.get("state") == "running" for run in runs):
            return found
    raise AssertionError("no engine is running a request")


def collect_answers(futures: Futures) -> list[support.Answer]:
    return [future.result(support.TIMEOUT_SECONDS) for future in futures]


def check_whole_and_billed(
    started: fleet.Fleet, answers: list[support.Answer], reference: list[str]
) -> None:
    assert [answer.code for answer in answers] == [""] * len(answers)
    assert [answer.text for answer in answers] == reference
    assert all(answer.is_whole for answer in answers)
    started.wait_until(
        lambda: (
            {a.request_id for a in answers}
            <= set(support.count_billed_attempts(started))
        ),
        "not every answer is billed",
    )


def fetch_reference_texts(
    started: fleet.Fleet, prompts: list[str]
) -> list[str]:
    return [support.chat(started.entries[0], p).text for p in prompts]


@pytest.mark.parametrize("signals", [1, 2])
@pytest.mark.parametrize("is_stream", [True, False])
def test_entry_shuts_down_under_load(
    started: fleet.Fleet, signals: int, is_stream: bool
) -> None:
    reference = fetch_reference_texts(started, PROMPTS)
    # The answers must not end before the drain was seen: the entry would
    # then stop and refuse connections.
    support.slow_engines(started, SLOW_TOKEN_SECONDS)
    entry = started.entries[0]
    futures = start_requests(started, PROMPTS, [entry], is_stream)
    asked: list[support.Answer] = []

    def is_draining() -> bool:
        asked.append(support.chat(entry, "Draft one more. [tokens=1]"))
        return asked[-1].code == "draining"

    for _ in range(signals):
        entry.terminate()
        started.wait_until(is_draining, "the entry is not draining")
    refused = asked[-1]
    assert (refused.code, refused.outcome) == ("draining", "not-run")
    assert count_running(started) == len(PROMPTS)
    support.slow_engines(started, TOKEN_SECONDS)
    check_whole_and_billed(started, collect_answers(futures), reference)
    assert entry.wait() == 0


@pytest.mark.parametrize("signals", [1, 2])
def test_agents_shut_down_under_load(
    started: fleet.Fleet, signals: int
) -> None:
    reference = fetch_reference_texts(started, PROMPTS)
    support.slow_engines(started, TOKEN_SECONDS)
    futures = start_requests(started, PROMPTS, started.entries)
    leaving = started.endpoints["drafting-1"].agent
    for _ in range(signals):
        leaving.terminate()
    check_whole_and_billed(started, collect_answers(futures), reference)
    assert leaving.wait() == 0
    retried = [
        name
        for entry in started.entries
        for name in started.fetch_status(entry)["counters"]
        if name.startswith("retried.endpoint")
    ]
    assert retried == []


def test_entry_meets_its_drain_limit(short_drain: fleet.Fleet) -> None:
    entry = short_drain.entries[0]
    futures = start_requests(short_drain, [SLOW_PROMPT] * 4, [entry])
    futures += start_unstreamed_request(short_drain, entry)
    entry.terminate()
    answers = collect_answers(futures)
    assert {answer.code for answer in answers} == {"draining"}
    assert {answer.outcome for answer in answers} == {"unknown"}
    assert entry.wait() == 0
    check_billed_with_tokens(short_drain, answers)


def start_unstreamed_request(
    started: fleet.Fleet, entry: processes.Process
) -> Futures:
    future = support.in_background(
        lambda: support.chat(entry, SLOW_PROMPT, stream=False)
    )
    started.wait_until(
        lambda: count_running(started) >= 5,
        "the request without a stream is not running",
    )
    return [future]


def check_billed_with_tokens(
    started: fleet.Fleet, answers: list[support.Answer]
) -> None:
    """Check that each request has a bill with its answer tokens."""

    def is_billed() -> bool:
        fold = demo.fetch_bills(started.platform["log"].url)
        found = {key.request_id: fold.find_bill(key) for key in fold.keys}
        bills = [found.get(answer.request_id) for answer in answers]
        return all(
            bill is not None and sum(c.answer_tokens for c in bill.attempts)
            for bill in bills
        )

    started.wait_until(is_billed, "not every answer is billed")


def test_agent_meets_its_drain_limit(short_drain: fleet.Fleet) -> None:
    reference = fetch_reference_texts(short_drain, [SLOW_PROMPT])
    futures = start_requests(
        short_drain, [SLOW_PROMPT] * 4, short_drain.entries
    )
    leaving = find_running(short_drain).agent
    leaving.terminate()
    assert leaving.wait() == 0
    answers = collect_answers(futures)
    check_whole_and_billed(short_drain, answers, reference * 4)
    check_billed_with_tokens(short_drain, answers)
    # A planned stop must not count as a crash caused by the requests.
    for entry in short_drain.entries:
        assert "strikes" not in short_drain.fetch_status(entry)["counters"]


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

    started.wait_until(lambda: count_issued() == 1, "the call has not started")
    for found in registries:
        found.agent.send_signal(signal.SIGTERM)
    answer = future.result(support.TIMEOUT_SECONDS)
    assert (answer.code, answer.outcome) == ("", "completed")
    for found in registries:
        assert found.agent.wait() == 0
    assert count_issued() == 1
