"""Each refusal that says "not run" is true: the request did not run."""

import contextlib
import datetime
import pathlib

import pytest
import requests
import yaml

from standins import fleet, processes
from tests.integration import support

# test_path covers the reasons for bad input. Reasons without a test here:
# - agent-behind: the entry pushes its configuration and retries, so a caller
#   sees it only in a race. The tests of gate and dispatch cover it.
# - cancelled: the caller has left, so nobody receives the refusal.
# - internal and claim-lost: their outcome is "unknown".
# - claim-abandoned, cut-off and quarantined: other tests cover them.
# - retries-exhausted: no code refuses with it.
LONG_PROMPT = "Long. [tokens=200]"


def check_refusal(
    started: fleet.Fleet, answer: support.Answer, code: str
) -> None:
    """Check a refusal's code and outcome, and that the request did not run."""
    assert answer.code == code
    assert answer.outcome == "not-run"
    assert support.count_runs(started, answer.request_id) == 0


def issue(entry: processes.Process, **headers: str) -> support.Answer:
    key = support.make_key()
    return support.call(
        entry, support.ISSUE, {}, idempotency_key=key, **headers
    )


def change_bundle(directory: pathlib.Path, **customer: object) -> pathlib.Path:
    """Write `bundle.yaml` with changed customers and return its path.

    :param customer: the fields that change for every customer.
    """
    value = yaml.safe_load(support.BUNDLE.read_text())
    for found in value["customers"]:
        found.update(customer)
    path = directory / "bundle.yaml"
    path.write_text(yaml.safe_dump(value))
    return path


def make_deadline(seconds: float) -> str:
    now = datetime.datetime.now(datetime.UTC)
    return (now + datetime.timedelta(seconds=seconds)).isoformat()


def test_billing_full() -> None:
    """The agent's bill buffer is full, while the entry's has room."""
    options = fleet.Options(agent={"bill_buffer": 1})
    with support.run_fleet(1, options) as started:
        started.set_faults(started.platform["log"], outage=True)
        entry = started.entries[0]
        answers = [support.chat(entry, "Draft.") for _ in range(3)]
        assert [answer.is_whole for answer in answers] == [True, True, False]
        check_refusal(started, answers[-1], "billing-full")
        assert int(answers[-1].headers["Retry-After"]) > 0


def test_deadline_out_of_reach_in_the_endpoints_queue() -> None:
    options = fleet.Options(engine=("--slots", "1"))
    with support.run_fleet(1, options) as started:
        support.slow_engines(started, 0.02)
        entry = started.entries[0]
        running = [
            support.in_background(lambda: support.chat(entry, LONG_PROMPT))
            for _ in range(2)
        ]
        started.wait_until(
            lambda: len(support.list_runs(started)) == 2,
            "the engines are not busy",
        )
        deadline = make_deadline(1.0)
        answer = support.chat(entry, "Short.", Wagtail_Deadline=deadline)
        check_refusal(started, answer, "deadline-unreachable")
        assert answer.error["step"] == "admit"
        assert int(answer.headers["Retry-After"]) > 0
        assert all(future.result().is_whole for future in running)
        assert support.count_runs(started, answer.request_id) == 0


def test_draining() -> None:
    with support.run_fleet(1) as started:
        support.slow_engines(started, 0.02)
        entry = started.entries[0]
        refused: list[support.Answer] = []

        def drain(count: int) -> None:
            if count == 1:
                entry.terminate()
                started.wait_until(
                    lambda: started.fetch_status(entry)["draining"],
                    "the entry is not draining",
                )
                refused.append(support.chat(entry, "Draft."))

        assert support.chat(entry, LONG_PROMPT, on_piece=drain).is_whole
        check_refusal(started, refused[0], "draining")


def test_endpoint_failed() -> None:
    with support.run_fleet(1) as started:
        for name in ("registry-1", "registry-2"):
            started.endpoints[name].backend.kill()
        check_refusal(started, issue(started.entries[0]), "endpoint-failed")


def test_endpoint_full() -> None:
    options = fleet.Options(engine=("--slots", "1"), agent={"queue": 0})
    with support.run_fleet(1, options) as started:
        support.slow_engines(started, 0.02)
        entry = started.entries[0]
        running = [
            support.in_background(lambda: support.chat(entry, LONG_PROMPT))
            for _ in range(2)
        ]
        started.wait_until(
            lambda: len(support.list_runs(started)) == 2,
            "the engines are not busy",
        )
        check_refusal(started, support.chat(entry, "Draft."), "endpoint-full")
        assert all(future.result().is_whole for future in running)


def test_ledger_unavailable() -> None:
    with support.run_fleet(1) as started:
        started.set_faults(started.platform["log"], outage=True)
        answer = issue(started.entries[0])
        check_refusal(started, answer, "ledger-unavailable")
        assert int(answer.headers["Retry-After"]) > 0
        started.set_faults(started.platform["log"], outage=False)
        started.wait_until(
            lambda: issue(started.entries[0]).outcome == "completed",
            "calls are still refused after the outage",
        )
        assert support.count_runs(started, answer.request_id) == 0


def test_no_configuration_and_no_endpoint(tmp_path: pathlib.Path) -> None:
    started = fleet.Fleet(tmp_path, support.BUNDLE)
    with contextlib.ExitStack() as stack:
        stack.callback(started.kill)
        started.start(1)
        entry = started.entries[0]
        check_refusal(
            started, support.chat(entry, "Draft."), "no-configuration"
        )
        started.publish()
        started.wait_ready()
        for found in started.endpoints.values():
            found.agent.stop()
        started.wait_until(
            lambda: (
                not any(
                    agent.get("usable")
                    for agent in started.fetch_status(entry)["agents"]
                )
            ),
            "the entry still lists usable agents",
        )
        check_refusal(started, support.chat(entry, "Draft."), "no-endpoint")
        check_refusal(started, issue(entry), "no-endpoint")


def test_not_loaded() -> None:
    """The engines unloaded the version, and the agents don't know it yet."""
    with support.run_fleet(1) as started:
        entry = started.entries[0]

        def is_refused() -> bool:
            for name in ("drafting-1", "drafting-2"):
                requests.post(
                    f"{started.endpoints[name].backend.url}/orders",
                    json={
                        "order": "unload",
                        "model": "drafter",
                        "version": "1",
                        "fence": 1000,
                    },
                    timeout=10,
                ).raise_for_status()
            answer = support.chat(entry, "Draft.")
            assert answer.outcome == "not-run"
            assert support.count_runs(started, answer.request_id) == 0
            return answer.code == "not-loaded"

        started.wait_until(is_refused, "no chat was refused with not-loaded")


def test_over_limit(tmp_path: pathlib.Path) -> None:
    path = change_bundle(tmp_path, requests_per_second=0.01, burst=1)
    with support.run_fleet(1, bundle_path=path) as started:
        entry = started.entries[0]
        assert support.chat(entry, "Draft.").is_whole
        answer = support.chat(entry, "Draft.")
        check_refusal(started, answer, "over-limit")
        assert int(answer.headers["Retry-After"]) > 0


def test_version_withdrawn() -> None:
    with support.run_fleet(1) as started:
        entry = started.entries[0]
        token = support.chat(entry, "Begin.").headers["Wagtail-Session"]
        started.run_operator_command(
            "alice", "bundle", "withdraw", "drafter", "1"
        )
        answer = support.chat(entry, "Go on.", Wagtail_Session=token)
        check_refusal(started, answer, "version-withdrawn")


@pytest.mark.parametrize("model", ["drafter", "ladder"])
def test_unknown_after_a_try_that_may_have_run(model: str) -> None:
    """All engines die while they run the request.

    The last attempt may be refused without a run, but earlier attempts ran,
    so the outcome of the request is "unknown".
    """
    with support.run_fleet(1) as started:
        support.slow_engines(started, 0.02)
        future = support.in_background(
            lambda: support.chat(
                started.entries[0], LONG_PROMPT, model, stream=False
            )
        )
        for _ in range(2):
            started.wait_until(
                lambda: any(
                    run["state"] == "running"
                    for run in support.list_runs(started)
                ),
                "no engine is running the request",
            )
            name = support.find_endpoint_running(started, "drafter")
            started.endpoints[name].backend.kill()
        answer = future.result()
        assert answer.outcome == "unknown"
