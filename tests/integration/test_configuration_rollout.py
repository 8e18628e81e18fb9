"""Roll-outs with interrupted or concurrent operator commands.

An interrupted roll-out must be resumable by any operator, and no stage may
be recorded twice.
"""

import concurrent.futures
import pathlib
import subprocess
import sys

from standins import fleet
from tests.integration import configuration_support as shared
from tests.integration import support

ADVANCE = ("bundle", "advance", "drafter", "--to", "2")


def find_stages(started: fleet.Fleet) -> set[int]:
    return {
        rollout["stage"]
        for entry in started.entries
        for rollout in started.fetch_status(entry)["rollouts"]
    }


def test_an_interrupted_rollout_is_picked_up(tmp_path: pathlib.Path) -> None:
    """Alice's command is killed before all instances are at stage 1.

    Bob's command must resume at stage 1, and a repeated command must change
    nothing.
    """
    path = shared.write_bundle(tmp_path, shared.add_stages)
    with support.run_fleet(entries=2, bundle_path=path) as started:
        base = shared.fetch_revision(started)
        paused = started.endpoints["drafting-2"].agent
        paused.freeze()
        settings = str(started.directory / "alice.yaml")
        command = subprocess.Popen(
            [sys.executable, "-m", "wagtailstream_entry", *ADVANCE]
            + ["--settings", settings, "--wait", "60"],
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
        )
        started.wait_until(
            lambda: find_stages(started) == {1},
            "the entries are not at stage 1",
        )
        command.kill()
        command.wait()
        assert find_stages(started) == {1}
        paused.thaw()
        started.run_operator_command("bob", *ADVANCE)
        assert find_stages(started) == {2}
        started.run_operator_command("alice", *ADVANCE)
        assert shared.fetch_revision(started) == base + 2


def test_two_operators_advance_at_once(tmp_path: pathlib.Path) -> None:
    """Both commands succeed, whichever operator records each stage."""
    path = shared.write_bundle(tmp_path, shared.add_stages)
    with support.run_fleet(entries=2, bundle_path=path) as started:
        with concurrent.futures.ThreadPoolExecutor() as pool:
            done = [
                pool.submit(started.run_operator_command, name, *ADVANCE)
                for name in fleet.OPERATORS
            ]
        assert [f.result().returncode for f in done] == [0, 0]
        assert find_stages(started) == {2}
