"""Tests of the workloads, the engine model and the reports."""

import csv
import dataclasses
import pathlib
import random

from experiments import (
    base,
    engine_model,
    report,
    simulation,
    workload,
)


def make_request(number: int, prefix: int = 1, priority: int = 0):
    return workload.Request(
        number, 0.0, "c", 1, prefix, 800, 1600, 10, priority, 60.0
    )


def test_same_seed_gives_same_workload():
    first, same_seed, other_seed = (
        workload.generate(workload.GULFMARK, 20.0, 60.0, random.Random(seed))
        for seed in (1, 1, 2)
    )
    assert first == same_seed
    assert first != other_seed


def test_mean_rate_and_large_customers():
    requests = workload.generate(
        workload.KERLANN, 20.0, 2000.0, random.Random(3)
    )
    assert 0.9 < len(requests) / (20.0 * 2000.0) < 1.1
    largest = sum(r.customer == "customer-0" for r in requests)
    assert largest > 0.25 * len(requests)


def test_engine_serves_priorities_first_and_reports_late():
    clock = simulation.Simulation()
    engine = engine_model.Engine("e", clock, engine_model.EngineShape(slots=1))
    order: list[int] = []
    for number, priority in ((1, 0), (2, 0), (3, 9)):
        request = make_request(number, priority=priority)
        engine.submit(
            engine_model.Job(
                request,
                lambda: None,
                lambda number=number: order.append(number),
            )
        )
    assert engine.load == 3
    clock.run(0.1)
    assert engine.read_reported_load(0.2) == 0
    assert engine.read_reported_load(0.05) == 3
    clock.run(60.0)
    assert order == [1, 3, 2]
    assert engine.hits == 2


@dataclasses.dataclass(frozen=True)
class Measured(base.Row):
    lag: str
    seconds: float


class Small(base.Experiment):
    @property
    def name(self) -> str:
        return "small"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        return (base.Chart("seconds", "lag", "way", "s"),)

    def run(self, seed: int) -> list[Measured]:
        return [Measured("naive", "1", 2.0), Measured("chosen", "1", 1.0)]


def test_report_writes_one_table_and_plots(tmp_path: pathlib.Path):
    rows = Small().run(1)
    report.write([report.FinishedRun(Small(), 1, rows, 0.0)], tmp_path)
    with (tmp_path / "results.csv").open() as file:
        lines = list(csv.reader(file))
    assert lines[1] == ["small", "1", "lag=1", "naive", "seconds", "2.0"]
    assert "--only small --seed 1" in (tmp_path / "results.txt").read_text()
    assert (tmp_path / "small-seconds-by-lag.png").stat().st_size
