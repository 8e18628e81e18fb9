"""A request that crashes every endpoint that runs it is quarantined.

Otherwise retries and resends of that request would take down one endpoint
after the other, and with them the other requests' streams.
"""

import collections.abc
import pathlib
import signal

import pytest

from standins import fleet
from tests.integration import support

ENGINES = 4
# Endpoints that a request may crash before it is quarantined.
MAX_STRIKES = 2
CRASH_PROMPT = "Draft it. [crash]"


@pytest.fixture
def started(tmp_path: pathlib.Path) -> collections.abc.Iterator[fleet.Fleet]:
    path = support.write_bundle(tmp_path, ENGINES)
    with support.run_fleet(entries=3, bundle_path=path) as running:
        yield running


def count_lost(started: fleet.Fleet) -> int:
    """Return the number of engines that have exited."""
    return sum(
        not found.backend.is_running
        for found in started.endpoints.values()
        if found.endpoint.models
    )


def test_resent_request_loses_no_more_endpoints_than_strikes(
    started: fleet.Fleet,
) -> None:
    answers = [
        support.chat(entry, CRASH_PROMPT) for entry in started.entries * 2
    ]
    assert count_lost(started) == MAX_STRIKES
    assert {answer.code for answer in answers} == {"quarantined"}
    assert answers[0].outcome == "unknown"
    assert {answer.outcome for answer in answers[1:]} == {"not-run"}
    assert all(int(a.headers["Retry-After"]) > 0 for a in answers)
    other = support.chat(started.entries[0], "Draft another.")
    assert other.is_whole


def test_strikes_are_shared_while_the_log_is_down(
    started: fleet.Fleet,
) -> None:
    started.set_faults(started.platform["log"], outage=True)
    for entry in started.entries * 2:
        answer = support.chat(entry, CRASH_PROMPT)
        assert answer.code == "quarantined"
    assert count_lost(started) == MAX_STRIKES


def test_innocent_neighbours_get_their_whole_answers(
    started: fleet.Fleet,
) -> None:
    prompts = [f"Draft number {n}. [tokens=200]" for n in range(12)]
    reference = [support.chat(started.entries[0], p).text for p in prompts]
    piece_counts: list[int] = []
    futures = [
        support.in_background(
            lambda p=p, n=n: support.chat(
                started.entries[n % 3], p, on_piece=piece_counts.append
            )
        )
        for n, p in enumerate(prompts)
    ]
    started.wait_until(
        lambda: piece_counts.count(1) == 12, "not all streams have begun"
    )
    crashed = support.chat(started.entries[0], CRASH_PROMPT)
    answers = [future.result(support.TIMEOUT_SECONDS) for future in futures]
    assert crashed.code == "quarantined"
    assert count_lost(started) == MAX_STRIKES
    assert [answer.code for answer in answers] == [""] * 12
    assert [answer.text for answer in answers] == reference
    again = [support.chat(started.entries[1], p) for p in prompts]
    assert [answer.text for answer in again] == reference


def test_neighbours_of_a_killed_instance_are_not_quarantined(
    started: fleet.Fleet,
) -> None:
    piece_counts: list[int] = []
    prompt = "Draft it at length. [tokens=200]"
    future = support.in_background(
        lambda: support.chat(
            started.entries[0], prompt, on_piece=piece_counts.append
        )
    )
    started.wait_until(
        lambda: len(piece_counts) > 5, "the stream has not begun"
    )
    kill_instance(find_running(started))
    answer = future.result(support.TIMEOUT_SECONDS)
    assert answer.is_whole
    assert support.chat(started.entries[1], prompt).text == answer.text


def find_running(started: fleet.Fleet) -> fleet.EndpointProcesses:
    """Return an endpoint whose engine is running a request."""
    for found in started.endpoints.values():
        url = f"{found.backend.url}/runs"
        if any(
            run.get("state") == "running"
            for run in started.get_json(url)["runs"]
        ):
            return found
    raise AssertionError("no engine is running a request")


def kill_instance(found: fleet.EndpointProcesses) -> None:
    """Kill an agent and its engine."""
    for process in (found.agent, found.backend):
        process.send_signal(signal.SIGKILL)
    for process in (found.agent, found.backend):
        process.wait()


def test_crashing_call_of_a_service_is_quarantined(
    started: fleet.Fleet,
) -> None:
    body = {"batch": "[crash]"}
    answers = [
        support.call(entry, support.LOOKUP, body) for entry in started.entries
    ]
    assert {answer.code for answer in answers} == {"quarantined"}
