"""Logs hold one JSON line for each request, and no content or keys."""

import json
import pathlib

from standins import fleet
from tests.integration import support

PROMPT = "Unmistakable-prompt"
BODY = "unmistakable-body"


def read_lines(directory: pathlib.Path) -> list[support.Json]:
    return [
        json.loads(line)
        for path in directory.glob("entry-*.log")
        for line in path.read_text().splitlines()
    ]


def test_one_line_a_request_and_no_content(tmp_path: pathlib.Path) -> None:
    started = fleet.Fleet(
        tmp_path,
        support.BUNDLE,
        fleet.Options(
            agent={"log_level": "debug"}, entry={"log_level": "debug"}
        ),
    )
    try:
        started.start(1)
        started.publish()
        started.wait_ready()
        entry = started.entries[0]
        answer = support.chat(entry, PROMPT)
        refused = support.chat(entry, PROMPT, model="none")
        issued = support.call(
            entry,
            support.ISSUE,
            {"batch": BODY},
            idempotency_key=support.make_key(),
        )
        started.stop()
    finally:
        started.kill()
    lines = {
        line["request_id"]: line
        for line in read_lines(tmp_path)
        if line["message"] == "request"
    }
    assert len(lines) == 3
    completed = lines[answer.request_id]
    assert completed["customer"] == "atelier"
    assert completed["model"] == "drafter"
    assert completed["version"] == answer.headers["Wagtail-Version"]
    assert completed["endpoint"] == answer.headers["Wagtail-Endpoint"]
    assert completed["outcome"] == "completed"
    assert lines[refused.request_id]["result"] == "model-unknown"
    assert lines[refused.request_id]["step"] == "plan"
    assert lines[refused.request_id]["peer"] == "entry-1"
    assert lines[issued.request_id]["outcome"] == "completed"
    written = "".join(
        path.read_text()
        for pattern in ("entry-*.log", "agent-*.log")
        for path in tmp_path.glob(pattern)
    )
    for content in (PROMPT, BODY, answer.text[:20], support.KEY):
        assert content not in written
    errors = [
        line for line in read_lines(tmp_path) if line["level"] == "ERROR"
    ]
    assert errors == []
