"""A leaving endpoint gets no new work, even if the list shows it live.

The instance list lags, so an entry must also act on the agent's own notice
and on its silence.
"""

import collections.abc

import pytest
import requests

from standins import fleet
from tests.integration import support

LONG_PROMPT = "Draft it at length. [tokens=250]"
LEAVING = "drafting-1"
STAYING = "drafting-2"


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    options = fleet.Options(has_own_routes=True)
    with support.run_fleet(entries=2, options=options) as running:
        yield running


def is_usable(started: fleet.Fleet, name: str) -> list[bool]:
    """Return for each entry whether it would send new work to an endpoint."""
    return [
        any(
            agent.get("endpoint") == name and agent["usable"]
            for agent in started.fetch_status(entry)["agents"]
        )
        for entry in started.entries
    ]


def wait_unusable(started: fleet.Fleet, name: str) -> None:
    started.wait_until(
        lambda: not any(is_usable(started, name)), f"{name} still gets work"
    )


def check_no_new_work(started: fleet.Fleet, name: str) -> None:
    """Check that entries serve requests without trying an endpoint."""
    before = [
        started.fetch_status(entry)["counters"] for entry in started.entries
    ]
    for number in range(10):
        for entry in started.entries:
            answer = support.chat(entry, f"Draft number {number}.")
            assert answer.is_whole
            assert answer.headers["Wagtail-Endpoint"] != name
        assert is_usable(started, name) == [False] * len(started.entries)
    for entry, counters in zip(started.entries, before, strict=True):
        now = started.fetch_status(entry)["counters"]
        assert [n for n in now if "retried" in n] == [
            n for n in counters if "retried" in n
        ]


def fetch_listed_state(started: fleet.Fleet, name: str) -> str:
    listed = started.get_json(f"{started.platform['instances'].url}/instances")
    return next(
        str(instance["state"])
        for instance in listed["instances"]
        if instance["id"] == f"agent-{name}"
    )


def test_draining_agent_gets_no_new_work_though_listed_live(
    started: fleet.Fleet,
) -> None:
    name = hold_stream(started)
    started.endpoints[name].agent.terminate()
    wait_unusable(started, name)
    assert fetch_listed_state(started, name) == "live"
    check_no_new_work(started, name)


def hold_stream(started: fleet.Fleet) -> str:
    """Start a long stream and return the name of its endpoint."""
    piece_counts: list[int] = []
    for found in started.endpoints.values():
        if found.endpoint.models:
            started.set_faults(found.backend, token_seconds=0.02)
    support.in_background(
        lambda: support.chat(
            started.entries[0], LONG_PROMPT, on_piece=piece_counts.append
        )
    )
    started.wait_until(lambda: bool(piece_counts), "the stream has not begun")
    for name, found in started.endpoints.items():
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(run.get("state") == "running" for run in runs):
            return name
    raise AssertionError("no engine is running a request")


def test_agent_whose_notice_is_lost_gets_no_new_work(
    started: fleet.Fleet,
) -> None:
    started.set_route_fault(f"agent-{LEAVING}", "blackhole")
    started.endpoints[LEAVING].agent.terminate()
    wait_unusable(started, LEAVING)
    assert fetch_listed_state(started, LEAVING) == "live"
    check_no_new_work(started, LEAVING)


def test_agent_listed_as_leaving_gets_no_new_work(
    started: fleet.Fleet,
) -> None:
    started.register_agent(LEAVING, "leaving")
    wait_unusable(started, LEAVING)
    check_no_new_work(started, LEAVING)


def test_unlisted_agent_that_is_connected_stays_usable(
    started: fleet.Fleet,
) -> None:
    url = started.platform["instances"].url
    for name in (LEAVING, STAYING):
        requests.delete(
            f"{url}/instances/agent-{name}", timeout=support.TIMEOUT_SECONDS
        ).raise_for_status()
    before = started.get_json(f"{url}/instances")["instances"]
    # Four instances stay listed; the list may already have caught up.
    started.wait_until(
        lambda: (
            len(started.get_json(f"{url}/instances")["instances"])
            < len(before)
            or len(before) == 4
        ),
        "the agents are still in the instance list",
    )
    started.set_faults(started.platform["instances"], outage=True)
    for entry in started.entries:
        assert support.chat(entry, "Draft it.").is_whole
    assert is_usable(started, LEAVING) == [True, True]


def test_entry_without_a_list_refuses_and_is_not_ready(
    started: fleet.Fleet,
) -> None:
    started.set_faults(started.platform["instances"], outage=True)
    late = started.start_entry()

    def is_refused() -> bool:
        return support.chat(late, "Draft it.").code == "no-endpoint"

    started.wait_until(
        is_refused, "the entry does not refuse with no-endpoint"
    )
    answer = support.chat(late, "Draft it.")
    assert answer.outcome == "not-run"
    assert int(answer.headers["Retry-After"]) > 0
    ready = f"{late.url}/readyz"
    assert requests.get(ready, timeout=5).status_code == 503
    started.set_faults(started.platform["instances"], outage=False)
    started.wait_ready()
    assert support.chat(late, "Draft it.").is_whole
    assert requests.get(ready, timeout=5).status_code == 200
