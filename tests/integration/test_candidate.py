"""A candidate version that no endpoint has loaded gets no sessions.

The weight store is down, so no engine can load the candidate. A session that
started on it would be pinned to a version that no endpoint can run.
"""

import pathlib

from standins import fleet
from tests.integration import support


def test_new_sessions_start_on_what_is_loaded(tmp_path: pathlib.Path) -> None:
    options = fleet.Options(
        engine=("--loaded", "drafter:1", "--loaded", "large:1")
    )
    started = fleet.Fleet(tmp_path, support.BUNDLE, options)
    try:
        started.start(1)
        started.set_faults(started.platform["weights"], outage=True)
        started.publish()
        started.wait_ready()
        check_candidate(started)
    finally:
        started.kill()


def check_candidate(started: fleet.Fleet) -> None:
    for _ in range(2):
        started.run_operator_command("alice", "bundle", "advance", "drafter")
    for number in range(5):
        answer = support.chat(started.entries[0], f"Draft {number}.")
        assert answer.headers.get("Wagtail-Version") == "1", answer.code
    started.set_faults(started.platform["weights"], outage=False)

    def is_on_candidate() -> bool:
        answer = support.chat(started.entries[0], "Draft it.")
        return answer.headers["Wagtail-Version"] == "2"

    started.wait_until(
        is_on_candidate, "no new session runs on the loaded candidate"
    )
