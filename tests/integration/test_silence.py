"""Frozen engines, frozen agents and connections that stay silent.

None of them reports an error, so only timeouts detect them. The answer must
still be complete, and a claimed call must not run twice.
"""

import collections.abc
import typing

import pytest

from standins import fleet
from tests.integration import support

PROMPT = "Draft it at length. [tokens=200]"


@pytest.fixture(scope="module")
def started() -> collections.abc.Iterator[fleet.Fleet]:
    options = fleet.Options(has_own_routes=True)
    with support.run_fleet(options=options) as running:
        yield running


def find_running(started: fleet.Fleet) -> fleet.EndpointProcesses:
    """Return an endpoint whose engine is running a request."""
    for found in started.endpoints.values():
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(run.get("state") == "running" for run in runs):
            return found
    raise AssertionError("no engine is running a request")


def chat_with_fault(
    started: fleet.Fleet,
    fault: typing.Callable[[fleet.EndpointProcesses], None],
) -> tuple[support.Answer, fleet.EndpointProcesses]:
    """Inject a fault into a running stream.

    :param fault: called with the endpoint that runs the stream.
    :returns: the answer and that endpoint.
    """
    piece_counts: list[int] = []
    future = support.in_background(
        lambda: support.chat(
            started.entries[0], PROMPT, on_piece=piece_counts.append
        )
    )
    started.wait_until(
        lambda: len(piece_counts) > 5, "the stream has not begun"
    )
    found = find_running(started)
    fault(found)
    return future.result(support.TIMEOUT_SECONDS), found


def check_resumed(
    started: fleet.Fleet, answer: support.Answer, reference: str
) -> None:
    """Check that an answer equals the undisturbed one and is billed.

    :param reference: the text of the undisturbed answer.
    """
    assert (answer.code, answer.is_whole) == ("", True)
    assert answer.text == reference
    started.wait_until(
        lambda: answer.request_id in support.count_billed_attempts(started),
        "the answer is not billed",
    )


def read_counter(started: fleet.Fleet, name: str) -> int:
    counters = started.fetch_status(started.entries[0])["counters"]
    return int(counters.get(name, 0))


def test_frozen_engine_is_abandoned_and_avoided(started: fleet.Fleet) -> None:
    reference = support.chat(started.entries[0], PROMPT).text

    def freeze(found: fleet.EndpointProcesses) -> None:
        started.set_faults(found.backend, frozen=True)

    answer, found = chat_with_fault(started, freeze)
    check_resumed(started, answer, reference)
    retried = read_counter(started, "retried.endpoint-stalled")
    others = [support.chat(started.entries[0], "Go on.") for _ in range(10)]
    assert found.endpoint.name not in {
        other.headers["Wagtail-Endpoint"] for other in others
    }
    assert read_counter(started, "retried.endpoint-stalled") == retried
    started.set_faults(found.backend, frozen=False)
    started.wait_ready()


def test_frozen_agent_is_abandoned(started: fleet.Fleet) -> None:
    reference = support.chat(started.entries[0], PROMPT).text
    answer, found = chat_with_fault(
        started, lambda found: found.agent.freeze()
    )
    check_resumed(started, answer, reference)
    found.agent.thaw()
    started.wait_ready()
    assert support.chat(started.entries[0], PROMPT).text == reference


def test_silent_connection_is_replaced_without_a_strike(
    started: fleet.Fleet,
) -> None:
    reference = support.chat(started.entries[0], PROMPT).text
    strikes = read_counter(started, "strikes")

    def silence(found: fleet.EndpointProcesses) -> None:
        started.set_route_fault(f"agent-{found.endpoint.name}", "freeze")

    answer, found = chat_with_fault(started, silence)
    check_resumed(started, answer, reference)
    started.wait_ready()
    assert read_counter(started, "strikes") == strikes
    started.set_route_fault(f"agent-{found.endpoint.name}", "pass")


def test_claimed_call_is_not_repeated_over_a_silent_connection(
    started: fleet.Fleet,
) -> None:
    key = support.make_key()
    registries = [f for f in started.endpoints.values() if f.endpoint.service]
    for found in registries:
        started.set_faults(found.backend, delay_seconds=6.0)
    future = support.in_background(
        lambda: support.call(
            started.entries[0],
            support.ISSUE,
            {"batch": "silent"},
            idempotency_key=key,
        )
    )

    def count_runs() -> int:
        return sum(
            run.get("body") == {"batch": "silent"}
            for run in support.list_runs(started)
        )

    started.wait_until(lambda: count_runs() == 1, "the call has not begun")
    for found in registries:
        started.set_route_fault(f"agent-{found.endpoint.name}", "freeze")
    answer = future.result(support.TIMEOUT_SECONDS)
    assert answer.outcome in ("completed", "unknown")
    assert count_runs() == 1
    for found in registries:
        started.set_faults(found.backend, delay_seconds=0.01)
        started.set_route_fault(f"agent-{found.endpoint.name}", "pass")
