"""Measures the overhead of the request path through entry and agent.

``python -m experiments.path`` starts one entry, one agent and one engine as
real processes. It puts the same load on the entry and directly on the engine,
alternately. Only the ratios within one run are meaningful.
"""

import contextlib
import dataclasses
import hashlib
import pathlib
import subprocess
import sys
import tempfile
import typing

import click
import orjson
import yaml

from experiments import base, report
from standins import fleet

KEY = "path-key"
SLOTS = 256
QUEUE_CAPACITY = 1024
CALLER_COUNTS = (1, 32, 256)
# The number of tokens of each answer.
TOKENS = 32
MIN_REQUESTS = 100
REQUESTS_PER_CALLER = 8
MAX_SECONDS = 30.0
ROUNDS = 2

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class PathRow(base.Row):
    """The measurements of one target: the engine, or the path to it.

    Latencies and rates are medians over the rounds.

    :param callers: the number of concurrent callers, in a closed loop.
    :param first_p50: median time to first token, in milliseconds.
    :param first_p99: 99th percentile of the time to first token, in
        milliseconds.
    :param rate: tokens per second.
    :param failed: requests of all rounds that did not complete.
    :param first_ratio: ``first_p50`` divided by that of the engine.
    :param rate_ratio: ``rate`` divided by that of the engine.
    """

    callers: str
    first_p50: float
    first_p99: float
    rate: float
    failed: int
    first_ratio: float
    rate_ratio: float


def make_bundle() -> Json:
    """Return a bundle with one model, one endpoint and one customer."""
    key_hash = hashlib.sha256(KEY.encode()).hexdigest()
    return {
        "schema_version": 1,
        "name": "path",
        "data_centres": ["one"],
        "models": [{"name": "drafter", "versions": ["1"], "stable": "1"}],
        "endpoints": [
            {"name": "engine-1", "data_centre": "one", "models": ["drafter"]}
        ],
        "customers": [
            {
                "name": "caller",
                "key_hashes": [key_hash],
                "allow": [{"model": "drafter"}],
                "requests_per_second": 100000,
                "burst": 100000,
            }
        ],
    }


@contextlib.contextmanager
def run_fleet(directory: pathlib.Path) -> typing.Iterator[fleet.Fleet]:
    """Run one entry, one agent and one engine until the context ends.

    :param directory: the directory for their files.
    """
    path = directory / "bundle.yaml"
    path.write_text(yaml.safe_dump(make_bundle()))
    options = fleet.Options(
        engine=("--slots", str(SLOTS), "--queue", str(QUEUE_CAPACITY)),
        agent={"queue": QUEUE_CAPACITY},
    )
    running = fleet.Fleet(directory, path, options)
    try:
        running.start(1)
        running.publish()
        running.wait_ready()
        yield running
    finally:
        running.kill()


def run_load(
    directory: pathlib.Path, callers: int, seed: int, *target: str
) -> Json:
    """Run the load generator as a separate process and return its results.

    :param directory: the directory for its output.
    :param callers: the number of concurrent callers.
    :param seed: seed for the prompts.
    :param target: the URL to call, and the option for its kind: ``--key=...``
        for an entry, ``--engine`` for an engine.
    """
    out = directory / "load.json"
    requests = max(MIN_REQUESTS, REQUESTS_PER_CALLER * callers)
    subprocess.run(
        [
            sys.executable,
            "-m",
            "standins.load",
            *target,
            f"--callers={callers}",
            f"--requests={requests}",
            f"--seconds={MAX_SECONDS}",
            f"--tokens={TOKENS}",
            f"--seed={seed}",
            f"--json={out}",
        ],
        check=True,
        stdout=subprocess.DEVNULL,
        timeout=10 * MAX_SECONDS,
    )
    value: Json = orjson.loads(out.read_bytes())
    return value


def _median(values: list[float]) -> float:
    """Return the median; of an even number of values the upper one."""
    return sorted(values)[len(values) // 2]


def _make_row(
    way: str, callers: int, results: list[Json], engine_results: list[Json]
) -> PathRow:
    first = _median([m["first_token_ms"]["p50"] for m in results])
    rate = _median([m["tokens_per_second"] for m in results])
    failed = sum(
        count
        for m in results
        for name, count in m["outcomes"].items()
        if name != "completed"
    )
    return PathRow(
        way,
        str(callers),
        first,
        _median([m["first_token_ms"]["p99"] for m in results]),
        rate,
        failed,
        first / _median([m["first_token_ms"]["p50"] for m in engine_results]),
        rate / _median([m["tokens_per_second"] for m in engine_results]),
    )


def measure(directory: pathlib.Path, seed: int) -> list[PathRow]:
    """Measure the engine and the path, and return the rows.

    :param directory: the directory for all files.
    :param seed: seed for the prompts.
    """
    rows = []
    with run_fleet(directory) as running:
        engine_url = running.endpoints["engine-1"].backend.url
        entry_url = running.entries[0].url
        # Not measured: opens connections and warms up the processes.
        run_load(directory, 8, seed, entry_url, f"--key={KEY}")
        for callers in CALLER_COUNTS:
            engine_results, path_results = [], []
            for round_number in range(ROUNDS):
                prompt_seed = 1000 * (seed + round_number) + callers
                engine_results.append(
                    run_load(
                        directory, callers, prompt_seed, engine_url, "--engine"
                    )
                )
                path_results.append(
                    run_load(
                        directory,
                        callers,
                        prompt_seed,
                        entry_url,
                        f"--key={KEY}",
                    )
                )
            rows.append(
                _make_row("engine", callers, engine_results, engine_results)
            )
            rows.append(
                _make_row("path", callers, path_results, engine_results)
            )
    return rows


class PathExperiment(base.Experiment):
    """Compares the path with direct calls of the engine, in one run."""

    @property
    def name(self) -> str:
        return "path"

    @property
    def command(self) -> str:
        return "python -m experiments.path"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        return (
            base.Chart("first_p50", "callers", "way", "ms", True),
            base.Chart("rate", "callers", "way", "tokens/s", True),
        )

    def run(self, seed: int) -> list[PathRow]:
        with tempfile.TemporaryDirectory() as directory:
            return measure(pathlib.Path(directory), seed)


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=pathlib.Path("build/path"),
    show_default=True,
)
def main(seed: int, out: pathlib.Path) -> None:
    """Measure the overhead of the request path with real processes."""
    experiment = PathExperiment()
    finished = report.FinishedRun(experiment, seed, experiment.run(seed), 0.0)
    report.write([finished], out)
    click.echo(report.format_table(finished))


if __name__ == "__main__":
    main()
