"""Runs the experiments: ``python -m experiments``."""

import pathlib
import time

import click

from experiments import base, registry, report

DEFAULT_DIRECTORY = pathlib.Path("build/experiments")


@click.command()
@click.option(
    "--only", multiple=True, help="Run only this experiment; repeatable."
)
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=DEFAULT_DIRECTORY,
    show_default=True,
    help="Directory for tables and plots.",
)
def main(only: tuple[str, ...], seed: int, out: pathlib.Path) -> None:
    """Run every experiment and write its tables and plots."""
    finished = [run(item, seed) for item in choose(only)]
    report.write(finished, out)
    click.echo(f"written to {out}")


def choose(only: tuple[str, ...]) -> list[base.Experiment]:
    """Return the experiments to run.

    :param only: the names of the experiments; empty for all.
    :raises click.UsageError: an experiment of this name does not exist.
    """
    known = {item.name: item for item in registry.list_experiments()}
    unknown = [name for name in only if name not in known]
    if unknown:
        raise click.UsageError(
            f"no experiment {', '.join(unknown)}; there are {', '.join(known)}"
        )
    return [item for name, item in known.items() if not only or name in only]


def run(experiment: base.Experiment, seed: int) -> report.FinishedRun:
    """Run an experiment and print its table.

    :param experiment: what to run.
    :param seed: seed for the random generators.
    """
    started_at = time.monotonic()
    rows = experiment.run(seed)
    seconds = time.monotonic() - started_at
    finished = report.FinishedRun(experiment, seed, rows, seconds)
    click.echo(report.format_table(finished))
    click.echo(f"({seconds:.1f} s)\n")
    return finished


if __name__ == "__main__":
    main()
