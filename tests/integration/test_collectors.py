"""Bills and claims stay complete when a collector dies.

Collectors are instances that batch the appends of others. A bill that a dead
collector held must still reach the log, and a claimed call must not run
twice.
"""

from standins import fleet
from tests.integration import support

SETTINGS = {"collectors": 2, "collector_window_seconds": 0.02}


def send_request(started: fleet.Fleet, number: int) -> support.Answer:
    """Send a chat if the number is odd, else a claimed service call."""
    entry = started.entries[number % len(started.entries)]
    if number % 2:
        return support.chat(entry, f"Draft {number}. [tokens=4]")
    return support.call(
        entry,
        support.ISSUE,
        {"batch": number},
        idempotency_key=support.make_key(),
    )


def test_bills_and_claims_hold_while_a_collector_dies() -> None:
    options = fleet.Options(entry=SETTINGS, agent=SETTINGS)
    with support.run_fleet(entries=2, options=options) as started:
        answers = [send_request(started, n) for n in range(10)]
        assert {answer.outcome for answer in answers} == {"completed"}
        # Half of the agents are killed: one engine and one service remain.
        for name in ("drafting-2", "registry-2"):
            started.endpoints[name].agent.kill()
        answers += [send_request(started, n) for n in range(10, 40)]
        completed = [a for a in answers if a.outcome == "completed"]
        assert len(completed) >= 30

        def is_billed() -> bool:
            bills = support.count_billed_attempts(started)
            return all(a.request_id in bills for a in completed)

        started.wait_until(is_billed, "not every completed request is billed")
        issued = [
            run["request_id"]
            for run in support.list_runs(started)
            if run.get("operation") == "certificates/issue"
        ]
        assert len(issued) == len(set(issued)) >= 15
