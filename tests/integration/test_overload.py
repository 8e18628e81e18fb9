"""Overload: customers with priority are served, the rest is refused.

A refusal must be final, say that the request did not run, and have a
`Retry-After`.
"""

import collections
import collections.abc
import concurrent.futures
import datetime
import hashlib
import pathlib
import time

import pytest
import yaml

from standins import fleet
from tests.integration import support

BROKER_KEY = "test-broker"
FLOOD_REQUESTS = 24
SLOTS = 2
QUEUE = 2
# A request of the flood holds its slot for about 1.5 s.
LONG_ANSWER = "[tokens=150]"


@pytest.fixture(scope="module")
def started(
    tmp_path_factory: pytest.TempPathFactory,
) -> collections.abc.Iterator[fleet.Fleet]:
    path = tmp_path_factory.mktemp("bundle") / "bundle.yaml"
    path.write_text(yaml.safe_dump(make_bundle()))
    options = fleet.Options(
        engine=("--slots", str(SLOTS), "--token-seconds", "0.01"),
        agent={"slots": SLOTS, "queue": QUEUE},
    )
    with support.run_fleet(1, options, path) as running:
        yield running


def make_bundle() -> support.Json:
    value: support.Json = yaml.safe_load(support.BUNDLE.read_text())
    value["customers"].append(
        {
            "name": "broker",
            "key_hashes": [hashlib.sha256(BROKER_KEY.encode()).hexdigest()],
            "allow": [{"model": "drafter"}],
            "priority": 5,
            "requests_per_second": 1000,
            "burst": 1000,
        }
    )
    return value


def flood(
    pool: concurrent.futures.ThreadPoolExecutor, started: fleet.Fleet
) -> list["concurrent.futures.Future[support.Answer]"]:
    return [
        pool.submit(
            support.chat, started.entries[0], f"Letter {number}. {LONG_ANSWER}"
        )
        for number in range(FLOOD_REQUESTS)
    ]


def wait_busy(started: fleet.Fleet) -> None:
    """Wait until both endpoints' slots and queues are full."""

    def is_busy() -> bool:
        agents = started.fetch_status(started.entries[0])["agents"]
        drafting = [a for a in agents if a["endpoint"].startswith("drafting")]
        return all(
            a["running"] >= SLOTS and a["queued"] >= QUEUE for a in drafting
        )

    started.wait_until(is_busy, "the flood does not fill the slots and queues")


def list_requests_run(started: fleet.Fleet) -> set[str]:
    return {run["request_id"] for run in support.list_runs(started)}


def test_priority_customer_is_served_during_a_flood(
    started: fleet.Fleet,
) -> None:
    with concurrent.futures.ThreadPoolExecutor(FLOOD_REQUESTS) as pool:
        flooding = flood(pool, started)
        wait_busy(started)
        broker_answers = [
            support.chat(
                started.entries[0], "Quote. [tokens=3]", key=BROKER_KEY
            )
            for _ in range(5)
        ]
        answers = [future.result() for future in flooding]
    assert [a.outcome for a in broker_answers] == ["completed"] * 5
    assert all(a.is_whole for a in broker_answers)
    ran = list_requests_run(started)
    refused = [a for a in answers if a.outcome != "completed"]
    assert refused
    for answer in refused:
        assert answer.status == 503
        assert answer.code in ("endpoint-full", "deadline-unreachable")
        assert answer.outcome == "not-run"
        assert int(answer.headers["Retry-After"]) >= 1
        assert answer.request_id not in ran
    counters = started.fetch_status(started.entries[0])["counters"]
    by_code = collections.Counter(answer.code for answer in refused)
    for code, count in by_code.items():
        assert counters[f"refused.{code}"] >= count


def test_unreachable_deadline_is_refused_and_not_run(
    started: fleet.Fleet,
) -> None:
    with concurrent.futures.ThreadPoolExecutor(FLOOD_REQUESTS) as pool:
        flooding = flood(pool, started)
        wait_busy(started)
        soon = datetime.datetime.fromtimestamp(time.time() + 0.5, datetime.UTC)
        answer = support.chat(
            started.entries[0],
            f"Hurry. {LONG_ANSWER}",
            Wagtail_Deadline=soon.isoformat(),
        )
        for future in flooding:
            future.result()
    assert answer.code == "deadline-unreachable"
    assert answer.outcome == "not-run"
    assert int(answer.headers["Retry-After"]) >= 1
    assert answer.request_id not in list_requests_run(started)


def test_over_limit_is_refused_with_retry_after(
    tmp_path: pathlib.Path,
) -> None:
    value = make_bundle()
    for customer in value["customers"]:
        if customer["name"] == "broker":
            customer |= {"requests_per_second": 0.5, "burst": 2}
    path = tmp_path / "bundle.yaml"
    path.write_text(yaml.safe_dump(value))
    with support.run_fleet(1, None, path) as started:
        answers = [
            support.chat(started.entries[0], "Quote.", key=BROKER_KEY)
            for _ in range(6)
        ]
        refused = [a for a in answers if a.outcome != "completed"]
        assert answers[0].outcome == "completed"
        assert refused
        for answer in refused:
            assert (answer.status, answer.code) == (429, "over-limit")
            assert answer.outcome == "not-run"
            assert int(answer.headers["Retry-After"]) >= 1
