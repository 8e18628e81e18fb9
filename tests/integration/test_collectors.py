"""Bills and claims through collectors, of which one dies."""

from standins import fleet
from tests.integration import support

SETTINGS = {"collectors": 2, "collector_window_seconds": 0.02}


def use(started: fleet.Fleet, number: int) -> support.Answer:
    """Make a request of either kind and return its answer."""
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
        answers = [use(started, n) for n in range(10)]
        assert {answer.outcome for answer in answers} == {"completed"}
        # One engine and one service remain; half of all agents are gone.
        for name in ("drafting-2", "registry-2"):
            started.endpoints[name].agent.kill()
        answers += [use(started, n) for n in range(10, 40)]
        completed = [a for a in answers if a.outcome == "completed"]
        assert len(completed) >= 30

        def is_billed() -> bool:
            bills = support.count_billed_attempts(started)
            return all(a.request_id in bills for a in completed)

        started.wait_until(is_billed, "a bill is missing")
        issued = [
            run["request_id"]
            for run in support.list_runs(started)
            if run.get("operation") == "certificates/issue"
        ]
        assert len(issued) == len(set(issued)) >= 15
