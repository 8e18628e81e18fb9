"""What an experiment is: seeded runs that give rows, and their charts."""

import abc
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class Row:
    """One line of an experiment's table; experiments add their fields.

    Text fields are settings, numbers are measures.

    :param way: which way to decide gave it, the naive ones among them.
    """

    way: str


@dataclasses.dataclass(frozen=True)
class Chart:
    """One measure of an experiment's rows, to be drawn.

    :param measure: the field that is drawn.
    :param x: the field along the horizontal axis.
    :param series: the field that tells the lines or bars apart.
    :param unit: the unit of the measure.
    :param where: fields and the values that rows must have, as text.
    """

    measure: str
    x: str
    series: str
    unit: str
    is_logarithmic: bool = False
    where: tuple[tuple[str, str], ...] = ()


class Experiment(abc.ABC):
    """Sets one decision against one small fake, beside its naive version."""

    @property
    @abc.abstractmethod
    def name(self) -> str:
        """The name for ``--only``."""

    @property
    def command(self) -> str:
        """The command that runs this experiment alone."""
        return f"python -m experiments --only {self.name}"

    @property
    def charts(self) -> tuple[Chart, ...]:
        """The charts of the rows."""
        return ()

    @abc.abstractmethod
    def run(self, seed: int) -> collections.abc.Sequence[Row]:
        """Run every way and return the rows.

        :param seed: seeds all random generators.
        """


def read_fields(row: Row) -> dict[str, str | float]:
    """Return a row's fields by name.

    :param row: the row.
    """
    return {
        field.name: getattr(row, field.name)
        for field in dataclasses.fields(row)
    }
