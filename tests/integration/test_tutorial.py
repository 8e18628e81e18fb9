"""Runs all commands of docs/tutorial.md in order against a fleet."""

import os
import pathlib
import re
import subprocess
import sys

from standins import demo, fleet
from tests.integration import support

ROOT = pathlib.Path(__file__).parents[2]


def test_every_command_of_the_tutorial_runs(tmp_path: pathlib.Path) -> None:
    page = (ROOT / "docs" / "tutorial.md").read_text()
    blocks = re.findall(r"```bash\n(.*?)```", page, re.DOTALL)
    started = fleet.Fleet(tmp_path, demo.BUNDLE)
    try:
        started.start(demo.ENTRIES)
        started.publish()
        started.wait_ready()
        done = subprocess.run(
            ["bash", "-euo", "pipefail", "-c", "\n".join(blocks)],
            cwd=ROOT,
            capture_output=True,
            text=True,
            timeout=support.TIMEOUT_SECONDS,
            env={
                **os.environ,
                "URL": started.entries[0].url,
                "FLEET": str(tmp_path),
                "PATH": f"{pathlib.Path(sys.executable).parent}:"
                + os.environ["PATH"],
            },
        )
    finally:
        started.kill()
    assert done.returncode == 0, done.stdout + done.stderr
    assert len(blocks) >= 8
    assert len(set(re.findall(r'"result":"(op-\d+)"', done.stdout))) == 1
