"""Base classes of experiments and their rows; descriptions of charts."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Row:
    """A row of an experiment's table; each experiment adds its own fields.

    Fields of type str are settings of the run, numbers are measurements.

    :param way: the name of the algorithm that was measured; naive algorithms
        are included for comparison.
    """

    way: str


@dataclasses.dataclass(frozen=True)
class Chart:
    """A bar chart of one measurement of an experiment.

    :param measure: the field to plot on the vertical axis.
    :param x: the field on the horizontal axis.
    :param series: the field with one group of bars for each of its values.
    :param unit: the unit of the measurement.
    :param is_logarithmic: whether the vertical axis is logarithmic.
    :param where: the rows to include, as pairs of a field and its value
        converted to text.
    """

    measure: str
    x: str
    series: str
    unit: str
    is_logarithmic: bool = False
    where: tuple[tuple[str, str], ...] = ()


class Experiment(abc.ABC):
    """Measures several algorithms for the same task."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The experiment's name, as given to ``--only``."""

    @property
    def command(self) -> str:
        """The command that runs only this experiment."""
        return f"python -m experiments --only {self.name}"

    @property
    def charts(self) -> tuple[Chart, ...]:
        """The charts to draw from the rows."""
        return ()

    @abc.abstractmethod
    def run(self, seed: int) -> collections.abc.Sequence[Row]:
        """Measure every algorithm and return the rows.

        :param seed: seed for all random generators.
        """


def read_fields(row: Row) -> dict[str, str | float]:
    """Return the values of a row's fields by field name.

    :param row: the row of any experiment.
    """
    return {
        field.name: getattr(row, field.name)
        for field in dataclasses.fields(row)
    }
