"""Tests of the load generator: token counts and a run against an engine."""

import asyncio
import pathlib

import pytest

from standins import load, load_target, processes


@pytest.mark.parametrize("size", [1, 2, 7, 1000])
def test_progress_counts_tokens_however_the_body_is_cut(size: int):
    target = load_target.EngineTarget("http://e", "m", "1", 3)
    progress = target.make_progress()
    lines = [b'{"index":%d,"token":"t"}\n' % n for n in range(3)]
    body = b"".join(lines) + b'{"done":true,"count":3}\n'
    for start in range(0, len(body), size):
        progress.feed(body[start : start + size])
    assert progress.tokens == 3
    assert progress.find_outcome(200) == "completed"


def test_progress_detects_a_cut_answer():
    progress = load_target.EntryTarget("", "m", 3, "k").make_progress()
    progress.feed(b'data: {"delta":{"content":"x"}}\n\n')
    assert progress.tokens == 1
    assert progress.find_outcome(200) == "cut-short"
    assert progress.find_outcome(503) == "status-503"


@pytest.mark.parametrize("rate", [None, 200.0])
def test_a_run_is_bounded_in_count(tmp_path: pathlib.Path, rate: float | None):
    group = processes.ProcessGroup(tmp_path)
    engine = group.start("engine", "-m", "standins.engine", "--loaded", "m:1")
    try:
        target = load_target.EngineTarget(engine.url, "m", "1", 4)
        plan = load.Plan(callers=4, requests=12, rate=rate, seconds=60.0)
        summary = asyncio.run(load._run(plan, target))
    finally:
        engine.kill()
    assert sum(summary["outcomes"].values()) == 12
    assert summary["outcomes"]["completed"] > 0
    assert "completed" in load.format_summary(summary)
