"""Signals that come while a program still imports its modules."""

import asyncio
import contextlib
import os
import pathlib
import signal
import subprocess
import sys
import time

import orjson
import pytest

from standins import router_fleet

LIMIT_SECONDS = 30.0
# Python runs a module of this name at its start. It halts the first import of
# a library until a file exists.
HALT = """
import pathlib, sys, time

class Halt:
    def find_spec(self, name, path=None, target=None):
        if name == "{library}":
            pathlib.Path("{directory}/halted").touch()
            limit = time.monotonic() + 60.0
            while not pathlib.Path("{directory}/go").exists():
                if time.monotonic() > limit:
                    sys.exit("not released")
                time.sleep(0.01)
        return None

sys.meta_path.insert(0, Halt())
"""
# For each program: the words of its command, and a library that it imports.
PROGRAMS = [
    (
        ("wagtailstream_adapter", "entry", "--settings", "x", "--policy", "x"),
        "tornado",
    ),
    (("wagtailstream_entry", "serve", "missing.yaml"), "grpclib"),
    (("wagtailstream_agent", "serve", "missing.yaml"), "grpclib"),
]


def make_environment(directory: pathlib.Path, library: str) -> dict[str, str]:
    """Return an environment in which an import halts."""
    (directory / "sitecustomize.py").write_text(
        HALT.format(directory=directory, library=library)
    )
    return os.environ | {"PYTHONPATH": str(directory)}


def wait_file(path: pathlib.Path) -> None:
    """Wait until a file exists."""
    limit = time.monotonic() + LIMIT_SECONDS
    while not path.exists():
        assert time.monotonic() < limit, f"{path} is missing"
        time.sleep(0.01)


@contextlib.contextmanager
def halted(
    directory: pathlib.Path, words: tuple[str, ...], library: str
) -> "contextlib.Generator[subprocess.Popen[bytes], None, None]":
    """Start a program and halt it while it imports a library."""
    process = subprocess.Popen(
        [sys.executable, "-m", *words],
        env=make_environment(directory, library),
        stdout=subprocess.PIPE,
        stderr=subprocess.STDOUT,
    )
    try:
        wait_file(directory / "halted")
        yield process
    finally:
        (directory / "go").touch()
        process.kill()
        process.wait()


@pytest.mark.parametrize(("words", "library"), PROGRAMS)
def test_a_stop_during_the_imports_is_no_orderly_end(
    tmp_path: pathlib.Path, words: tuple[str, ...], library: str
) -> None:
    with halted(tmp_path, words, library) as process:
        process.send_signal(signal.SIGTERM)
        output, _ = process.communicate(timeout=LIMIT_SECONDS)
    assert process.returncode == 0
    line = orjson.loads(output)
    assert (line["message"], line["cause"]) == ("stopped", "SIGTERM")


@pytest.mark.parametrize(("words", "library"), PROGRAMS)
def test_a_reload_during_the_imports_ends_the_program(
    tmp_path: pathlib.Path, words: tuple[str, ...], library: str
) -> None:
    with halted(tmp_path, words, library) as process:
        for _ in range(3):
            process.send_signal(signal.SIGHUP)
        (tmp_path / "go").touch()
        process.communicate(timeout=LIMIT_SECONDS)
    # Its settings file is missing: it ran on to where it reads that.
    assert process.returncode > 0


async def test_a_reload_during_the_imports_is_forgotten(
    tmp_path: pathlib.Path, monkeypatch: pytest.MonkeyPatch
) -> None:
    for name, value in make_environment(tmp_path, "tornado").items():
        monkeypatch.setenv(name, value)
    fleet = router_fleet.RouterFleet(tmp_path, routers=1)
    try:
        await fleet.add_endpoint("plain-0", "plain")
        starting = asyncio.ensure_future(fleet.start())
        while not (tmp_path / "halted").exists():
            await asyncio.sleep(0.01)
        fleet.routers[0].send_signal(signal.SIGHUP)
        (tmp_path / "go").touch()
        await starting
        (log,) = fleet.log_paths
        async with asyncio.timeout(LIMIT_SECONDS):
            while b'"settings_reloaded"' not in pathlib.Path(log).read_bytes():
                await asyncio.sleep(0.05)
        assert b'"signal"' in pathlib.Path(log).read_bytes()
    finally:
        (tmp_path / "go").touch()
        await fleet.stop()
