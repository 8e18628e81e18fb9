"""Writes the rows of experiments as text tables, CSV and bar charts."""

import collections.abc
import csv
import dataclasses
import pathlib

import matplotlib.backends.backend_agg
import matplotlib.figure

from experiments import base

CSV_HEADER = ("experiment", "seed", "settings", "way", "measure", "value")
FIGURE_INCHES = (8.0, 4.5)
DOTS_PER_INCH = 100

Fields = dict[str, str | float]


@dataclasses.dataclass(frozen=True)
class FinishedRun:
    """The result of one run of an experiment.

    :param seconds: how long the run took.
    """

    experiment: base.Experiment
    seed: int
    rows: collections.abc.Sequence[base.Row]
    seconds: float


def write(
    finished: collections.abc.Sequence[FinishedRun], directory: pathlib.Path
) -> None:
    """Write ``results.txt``, ``results.csv`` and a PNG file per chart.

    :param finished: the runs to write.
    :param directory: the output directory; created if missing.
    """
    directory.mkdir(parents=True, exist_ok=True)
    text = "\n".join(format_table(item) for item in finished)
    (directory / "results.txt").write_text(text)
    with (directory / "results.csv").open("w", newline="") as file:
        writer = csv.writer(file)
        writer.writerow(CSV_HEADER)
        for item in finished:
            writer.writerows(_list_csv_rows(item))
    for item in finished:
        for chart in item.experiment.charts:
            _draw(item, chart, directory)


def format_table(finished: FinishedRun) -> str:
    """Return the rows of a run as a text table with aligned columns.

    :param finished: the run.
    """
    heading = (
        f"{finished.experiment.name}: {finished.experiment.command}"
        f" --seed {finished.seed}"
    )
    rows = [base.read_fields(row) for row in finished.rows]
    if not rows:
        return f"{heading}\n(no rows)\n"
    header = list(rows[0])
    lines = [header]
    lines += [[_format(value) for value in row.values()] for row in rows]
    widths = [max(map(len, column)) for column in zip(*lines, strict=True)]
    body = "\n".join(
        "  ".join(
            cell.ljust(width) for cell, width in zip(line, widths, strict=True)
        ).rstrip()
        for line in lines
    )
    return f"{heading}\n{body}\n"


def _format(value: str | float) -> str:
    if isinstance(value, str):
        return value
    if isinstance(value, int):
        return str(value)
    return f"{value:.4g}"


def _list_csv_rows(
    finished: FinishedRun,
) -> collections.abc.Iterator[tuple[str | float, ...]]:
    for row in finished.rows:
        fields = base.read_fields(row)
        way = str(fields.pop("way"))
        settings = " ".join(
            f"{name}={value}"
            for name, value in fields.items()
            if isinstance(value, str)
        )
        for name, value in fields.items():
            if not isinstance(value, str):
                yield (
                    finished.experiment.name,
                    finished.seed,
                    settings,
                    way,
                    name,
                    value,
                )


def _draw(
    finished: FinishedRun, chart: base.Chart, directory: pathlib.Path
) -> None:
    rows = [base.read_fields(row) for row in finished.rows]
    rows = [
        row
        for row in rows
        if all(str(row[name]) == value for name, value in chart.where)
    ]
    figure = matplotlib.figure.Figure(FIGURE_INCHES, DOTS_PER_INCH)
    matplotlib.backends.backend_agg.FigureCanvasAgg(figure)
    axes = figure.add_subplot()
    ticks = list(dict.fromkeys(str(row[chart.x]) for row in rows))
    labels = list(dict.fromkeys(str(row[chart.series]) for row in rows))
    # The bars of a tick fill 0.8 of the distance between ticks.
    width = 0.8 / max(len(labels), 1)
    for index, label in enumerate(labels):
        values = [_find_value(rows, chart, tick, label) for tick in ticks]
        positions = [
            position + index * width for position in range(len(ticks))
        ]
        axes.bar(positions, values, width, label=label)
    tick_offset = 0.4 - width / 2
    axes.set_xticks(
        [position + tick_offset for position in range(len(ticks))], ticks
    )
    axes.set_xlabel(chart.x)
    axes.set_ylabel(f"{chart.measure} [{chart.unit}]")
    axes.set_title(_make_title(finished, chart))
    if chart.is_logarithmic:
        axes.set_yscale("log")
    axes.legend(fontsize="small")
    figure.tight_layout()
    figure.savefig(directory / f"{_make_file_name(finished, chart)}.png")


def _find_value(
    rows: list[Fields], chart: base.Chart, tick: str, label: str
) -> float:
    for row in rows:
        if str(row[chart.x]) == tick and str(row[chart.series]) == label:
            return float(row[chart.measure])
    return 0.0


def _make_title(finished: FinishedRun, chart: base.Chart) -> str:
    where = ", ".join(f"{name} {value}" for name, value in chart.where)
    title = f"{finished.experiment.name}, seed {finished.seed}"
    return f"{title}: {where}" if where else title


def _make_file_name(finished: FinishedRun, chart: base.Chart) -> str:
    parts = [finished.experiment.name, chart.measure, "by", chart.x]
    parts += [value for _, value in chart.where]
    return "-".join(parts).replace(" ", "-")
