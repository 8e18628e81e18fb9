"""A version that turns bad is suspended automatically.

The entries pool their evidence, so that the suspension does not depend on
what one of them has seen.
"""

import collections.abc

import pytest

from standins import fleet
from tests.integration import support


def set_bad_versions(started: fleet.Fleet, *versions: str) -> None:
    for name, found in started.endpoints.items():
        if name.startswith("drafting"):
            started.set_faults(found.backend, bad_versions=list(versions))


def find_suspended(started: fleet.Fleet) -> list[list[str]]:
    return [
        started.fetch_status(entry)["suspended"] for entry in started.entries
    ]


def find_lowest_answer_count(started: fleet.Fleet, version: str) -> float:
    """Return the lowest count of a version's answers over all entries."""
    return min(
        {
            item["version"]: item["answers"]
            for item in started.fetch_status(entry)["versions"]
        }.get(version, 0.0)
        for entry in started.entries
    )


def chat_until(
    started: fleet.Fleet,
    is_done: collections.abc.Callable[[], bool],
    message: str,
) -> list[support.Answer]:
    """Send chats to the entries in turn until a condition holds.

    :param message: the error message if it never holds.
    """
    answers: list[support.Answer] = []

    def step() -> bool:
        for entry in started.entries:
            answers.append(
                support.chat(entry, f"Draft {len(answers)}. [tokens=4]")
            )
        return is_done()

    started.wait_until(step, message)
    return answers


def get_version(answer: support.Answer) -> str:
    return answer.headers.get("Wagtail-Version", "")


@pytest.fixture(scope="module")
def started() -> collections.abc.Iterator[fleet.Fleet]:
    options = fleet.Options(entry={"rating_share": 1.0})
    with support.run_fleet(entries=2, options=options) as running:
        running.run_operator_command("alice", "bundle", "advance", "drafter")
        chat_until(
            running,
            lambda: (
                find_lowest_answer_count(running, "drafter@1") >= 30
                and find_lowest_answer_count(running, "drafter@2") >= 5
            ),
            "the versions have too few answers",
        )
        yield running


@pytest.mark.parametrize("fault", [{"outage": True}, {"delay_seconds": 30}])
def test_rating_service_never_delays_a_caller(
    started: fleet.Fleet, fault: dict[str, object]
) -> None:
    started.set_faults(started.platform["rating"], **fault)
    set_bad_versions(started, "drafter@2")
    for number in range(40):
        # The deadline (30 s) is below the HTTP client's timeout (60 s), so a
        # chat that is delayed past it gets another outcome, not a timeout.
        answer = support.chat(started.entries[0], f"Draft {number}.")
        assert answer.outcome == "completed"

    def has_missed_rating() -> bool:
        counters = started.fetch_status(started.entries[0])["counters"]
        return counters.get("ratings.missed", 0) > 0

    started.wait_until(has_missed_rating, "no rating was missed")
    started.set_faults(
        started.platform["rating"], outage=False, delay_seconds=0
    )
    set_bad_versions(started)
    assert find_suspended(started) == [[], []]


def test_bad_candidate_is_suspended_automatically(
    started: fleet.Fleet,
) -> None:
    pinned = next(
        answer
        for answer in chat_until(started, lambda: True, "")
        + chat_until(started, lambda: True, "")
        + [support.chat(started.entries[0], f"p{n}") for n in range(40)]
        if get_version(answer) == "2"
    )
    set_bad_versions(started, "drafter@2")
    bad = chat_until(
        started,
        lambda: find_suspended(started) == [["drafter@2"]] * 2,
        "the bad version is not suspended",
    )
    assert all(answer.outcome == "completed" for answer in bad)
    before = count_runs(started, "2")
    after = chat_until(started, lambda: True, "")
    after += chat_until(started, lambda: True, "")
    assert {get_version(answer) for answer in after} == {"1"}
    refused = support.chat(
        started.entries[1],
        "Go on.",
        Wagtail_Session=pinned.headers["Wagtail-Session"],
    )
    assert (refused.code, refused.outcome) == ("version-withdrawn", "not-run")
    assert count_runs(started, "2") == before
    reinstate(started)


def test_log_outage_delays_the_record_but_not_the_change(
    started: fleet.Fleet,
) -> None:
    started.set_faults(started.platform["log"], outage=True)
    set_bad_versions(started, "drafter@2")

    def is_avoided() -> bool:
        answers = [
            support.chat(entry, f"Draft {number}. [tokens=4]")
            for entry in started.entries
            for number in range(8)
        ]
        return {get_version(answer) for answer in answers} == {"1"}

    started.wait_until(is_avoided, "new sessions start on a bad version")
    assert find_suspended(started) == [[], []]
    started.set_faults(started.platform["log"], outage=False)
    started.wait_until(
        lambda: find_suspended(started) == [["drafter@2"]] * 2,
        "the suspension was lost with the outage",
    )
    reinstate(started)


def reinstate(started: fleet.Fleet) -> None:
    """Lift the suspension and check that the old evidence is dropped."""
    set_bad_versions(started)
    started.run_operator_command(
        "alice", "bundle", "reinstate", "drafter", "2"
    )
    chat_until(
        started,
        lambda: find_lowest_answer_count(started, "drafter@2") >= 20,
        "the reinstated version gets too few answers",
    )
    assert find_suspended(started) == [[], []]


def count_runs(started: fleet.Fleet, version: str) -> int:
    return sum(
        run.get("version") == version for run in support.list_runs(started)
    )


def test_bad_last_version_is_kept_for_the_operators(
    started: fleet.Fleet,
) -> None:
    """If no good version is left, none is suspended automatically."""
    set_bad_versions(started, "drafter@1", "drafter@2")

    def is_held() -> bool:
        counters = started.fetch_status(started.entries[0])["counters"]
        return counters.get("versions.bad.hold", 0) > 0

    answers = chat_until(
        started, is_held, "the entry did not count a held suspension"
    )
    assert all(answer.outcome == "completed" for answer in answers)
    assert find_suspended(started) == [[], []]
