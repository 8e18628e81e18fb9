"""The log is bounded, never blocks, and explains a request."""

import json
import logging
import os
import pathlib
import subprocess
import sys

from click import testing

from wagtailstream_adapter import command_line as command
from wagtailstream_router import event_log, metrics

FLOOD = """
from wagtailstream_router import event_log
log = event_log.JsonEventLog("n", event_log.LineBudget(100.0, 200.0))
for number in range(20000):
    log.write_routine("answered", request=str(number))
for number in range(50):
    log.write("failed", request=str(number))
import sys
sys.stderr.write(str(log.dropped))
"""


def test_a_flood_is_bounded_and_failures_are_kept() -> None:
    done = subprocess.run(
        [sys.executable, "-c", FLOOD], capture_output=True, check=True
    )
    lines = [json.loads(line) for line in done.stdout.splitlines()]
    events = [line["message"] for line in lines]
    assert len(lines) < 1000
    assert events.count("failed") == 50
    assert int(done.stderr) >= 19000
    assert any("lines_dropped" in line for line in lines)


def test_a_stalled_reader_does_not_block_the_log() -> None:
    read_end, write_end = os.pipe()
    budget = event_log.LineBudget(1e9, 1e9)
    handler = event_log.NonBlockingHandler(write_end, budget)
    record = logging.LogRecord("n", 20, "", 0, "x" * 1000, None, None)
    for _ in range(2000):
        handler.emit(record)
    assert budget.dropped > 1000
    os.close(read_end)
    handler.emit(record)
    os.close(write_end)


def test_explain_orders_the_lines_of_several_processes(
    tmp_path: pathlib.Path,
) -> None:
    first = tmp_path / "a.log"
    second = tmp_path / "b.log"
    first.write_text(
        '{"message": "answered", "request": "r1", "time": 3, "node": "a"}\n'
        "not a line\n{broken\n"
    )
    second.write_text(
        '12.0 b {"message": "attempt_failed", "request": "r1", "time": 2,'
        ' "endpoint": "e", "node": "b"}\n'
        '{"message": "endpoint_paused", "endpoint": "e", "time": 1,'
        ' "node": "b"}\n'
        '{"message": "endpoint_joined", "endpoint": "e", "time": 1,'
        ' "node": "c"}\n'
        '{"message": "answered", "request": "r2", "time": 2}\n'
    )
    result = testing.CliRunner().invoke(
        command.main, ["explain", "r1", str(first), str(second)]
    )
    lines = result.output.splitlines()
    assert [
        name for line in lines for name in line.split() if "_" in name
    ] == [
        "endpoint_paused",
        "attempt_failed",
    ]
    assert len(lines) == 3
    missing = testing.CliRunner().invoke(
        command.main, ["explain", "r9", str(first)]
    )
    assert missing.exit_code == 1


def test_metrics_are_rendered_as_text() -> None:
    counters = metrics.Metrics()
    counters.count(metrics.Counter.CLIMBED, 3)
    counters.observe(metrics.Histogram.FIRST_BYTE, 0.3)
    text = counters.render()
    assert "wagtailstream_climbed_total 3" in text
    assert 'first_byte_seconds_bucket{le="0.25"} 0' in text
    assert 'first_byte_seconds_bucket{le="0.5"} 1' in text
    assert "wagtailstream_first_byte_seconds_count 1" in text
