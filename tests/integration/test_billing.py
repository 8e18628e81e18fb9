"""Every request is billed exactly once, whatever fails.

An entry, its agents or both are killed, the log is down, or its answers to
appends are lost. A bill could then be lost or doubled.
"""

import collections.abc
import threading

import pytest

from standins import fleet
from tests.integration import support

TOKENS = 120
PROMPT = f"Summarise the dossier. [tokens={TOKENS}]"
TOKEN_SECONDS = 0.01
# At this speed an engine still generates the answer for seconds when the
# caller gets a quarter of it.
SLOW_TOKEN_SECONDS = 0.04
BILL_BUFFER = 3


@pytest.fixture
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        support.slow_engines(running, TOKEN_SECONDS)
        yield running


def stream(
    started: fleet.Fleet, in_the_middle: collections.abc.Callable[[], None]
) -> support.Answer:
    """Stream an answer and call a function after a quarter of it.

    The engines are slow until then.
    """

    def on_piece(count: int) -> None:
        if count == TOKENS // 4:
            in_the_middle()
            support.slow_engines(started, TOKEN_SECONDS)

    support.slow_engines(started, SLOW_TOKEN_SECONDS)
    return support.chat(started.entries[0], PROMPT, on_piece=on_piece)


def find_billed_models(started: fleet.Fleet, request_id: str) -> list[str]:
    """Return the models of the attempts on a request's only bill."""
    fold = support.demo.fetch_bills(started.platform["log"].url)
    bills = [
        fold.find_bill(k) for k in fold.keys if k.request_id == request_id
    ]
    assert len(bills) == 1
    return [cost.model for cost in bills[0].attempts] if bills[0] else []


def test_agent_killed_in_the_middle(started: fleet.Fleet) -> None:
    def kill() -> None:
        name = support.find_endpoint_running(started, "drafter")
        started.endpoints[name].agent.kill()

    answer = stream(started, kill)
    assert answer.is_whole
    support.wait_billed(started, answer.request_id, 1)


def test_agent_killed_after_the_end(started: fleet.Fleet) -> None:
    answer = stream(started, lambda: None)
    for found in started.endpoints.values():
        found.agent.kill()
    assert answer.is_whole
    assert support.count_billed_attempts(started)[answer.request_id] == 1


def test_entry_killed_in_the_middle(started: fleet.Fleet) -> None:
    answer = stream(started, started.entries[0].kill)
    assert not answer.is_whole
    support.wait_billed(started, answer.request_id, 1)


def test_both_killed_after_the_end(started: fleet.Fleet) -> None:
    """The stream's end mark is sent only once the log holds the bill."""
    answer = stream(started, lambda: None)
    started.entries[0].kill()
    for found in started.endpoints.values():
        found.agent.kill()
    assert answer.is_whole
    assert support.count_billed_attempts(started)[answer.request_id] == 1


@pytest.mark.parametrize("killed", ["entry", "agents"])
def test_one_holder_killed_while_the_log_is_down(
    started: fleet.Fleet, killed: str
) -> None:
    """Entry and agent each keep the bill until the log accepts it."""
    log = started.platform["log"]
    started.set_faults(log, outage=True)
    answer = stream(started, lambda: None)
    assert answer.is_whole
    if killed == "entry":
        started.entries[0].kill()
    else:
        for found in started.endpoints.values():
            found.agent.kill()
    started.set_faults(log, outage=False)
    support.wait_billed(started, answer.request_id, 1)


def test_every_append_loses_its_answer(started: fleet.Fleet) -> None:
    started.set_faults(started.platform["log"], lose_answers=1_000_000)
    answers = [stream(started, lambda: None) for _ in range(2)]
    started.set_faults(started.platform["log"], lose_answers=0)
    for answer in answers:
        assert answer.is_whole
        support.wait_billed(started, answer.request_id, 1)


def test_log_down_for_longer_than_the_buffer_holds() -> None:
    options = fleet.Options(
        entry={"bill_buffer": BILL_BUFFER}, agent={"bill_buffer": BILL_BUFFER}
    )
    with support.run_fleet(1, options) as started:
        entry, log = started.entries[0], started.platform["log"]
        started.set_faults(log, outage=True)
        answers = [
            support.chat(entry, "Draft.") for _ in range(BILL_BUFFER + 3)
        ]
        whole = [answer for answer in answers if answer.is_whole]
        refused = [answer for answer in answers if not answer.is_whole]
        assert len(whole) == BILL_BUFFER
        assert {a.code for a in refused} == {"billing-full"}
        assert {a.outcome for a in refused} == {"not-run"}
        assert all(int(a.headers["Retry-After"]) > 0 for a in refused)
        assert len(support.list_runs(started)) == BILL_BUFFER
        started.set_faults(log, outage=False)
        for answer in whole:
            support.wait_billed(started, answer.request_id, 1)
        assert len(support.count_billed_attempts(started)) == BILL_BUFFER
        started.wait_until(
            lambda: support.chat(entry, "Again.").is_whole,
            "requests are still refused after the outage",
        )


LADDER_OPTIONS = fleet.Options(
    engine=("--quality", "drafter:1=0"), rating=(), has_proxy=True
)


def test_cascade_with_an_escalation_and_a_retry_has_one_bill() -> None:
    """The small model scores badly, and the large one's connection is cut."""
    routed = ["drafting-1", "drafting-2"]
    with support.run_fleet(1, LADDER_OPTIONS, routed=routed) as started:
        support.slow_engines(started, TOKEN_SECONDS)

        def cut(count: int) -> None:
            if count == TOKENS // 4:
                name = support.find_endpoint_running(started, "large")
                started.set_route_fault(name, "cut")

        answer = support.chat(
            started.entries[0], PROMPT, model="ladder", on_piece=cut
        )
        assert answer.is_whole
        support.wait_billed(started, answer.request_id, 3)
        models = find_billed_models(started, answer.request_id)
        assert models == ["drafter", "large", "large"]


def test_escalation_that_is_refused_is_billed_and_not_called_not_run() -> None:
    """The small model ran, though the large one then refuses the request.

    So the outcome is "unknown", not "not-run".
    """
    options = fleet.Options(engine=("--quality", "drafter:1=0"))
    with support.run_fleet(1, options) as started:
        support.slow_engines(started, TOKEN_SECONDS)
        started.run_operator_command(
            "alice", "bundle", "withdraw", "large", "1"
        )
        answer = support.chat(started.entries[0], PROMPT, model="ladder")
        assert answer.code == "version-withdrawn"
        assert support.count_runs(started, answer.request_id) == 1
        assert answer.outcome == "unknown"
        support.wait_billed(started, answer.request_id, 1)


def test_many_callers_over_a_restart_of_every_agent(
    started: fleet.Fleet,
) -> None:
    """Requests and bills match one to one."""
    answers: list[support.Answer] = []

    def ask(index: int) -> None:
        for number in range(3):
            entry = started.entries[index % 2]
            prompt = f"{index}-{number} {PROMPT}"
            answers.append(support.chat(entry, prompt))

    threads = [threading.Thread(target=ask, args=(i,)) for i in range(4)]
    for thread in threads:
        thread.start()
    for name in ("drafting-1", "drafting-2"):
        started.endpoints[name].agent.kill()
        started.restart_agent(name)
        started.wait_ready()
    for thread in threads:
        thread.join()
    bills = support.count_billed_attempts(started)
    assert len(answers) == 12
    assert [answer.error for answer in answers if not answer.is_whole] == []
    assert {answer.request_id for answer in answers} <= set(bills)
    assert len(bills) == len(answers)
