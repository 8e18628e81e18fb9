"""What each entry is asked for, gathered at an agent for all the others."""

import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class CustomerDemand:
    """How much a customer asks for.

    :param rate: requests a second.
    """

    customer: str
    rate: float


@dataclasses.dataclass(frozen=True)
class _Report:
    demands: tuple[CustomerDemand, ...]
    heard_at: float


class DemandBoard:
    """The newest report of each entry, while it is fresh.

    :param fresh_seconds: how long a report counts.
    """

    def __init__(self, fresh_seconds: float) -> None:
        self._fresh_seconds = fresh_seconds
        self._reports: dict[str, _Report] = {}

    def put(
        self,
        entry: str,
        demands: collections.abc.Iterable[CustomerDemand],
        now: float,
    ) -> None:
        """Take in a report.

        :param entry: the entry that made it.
        :param demands: what customers ask of it.
        :param now: monotonic seconds.
        """
        self._reports[entry] = _Report(tuple(demands), now)
        oldest = now - self._fresh_seconds
        for name in list(self._reports):
            if self._reports[name].heard_at < oldest:
                del self._reports[name]

    def sum_others(self, entry: str, now: float) -> list[CustomerDemand]:
        """Return what customers ask of all entries but one.

        :param entry: the entry that is left out.
        :param now: monotonic seconds.
        """
        totals: dict[str, float] = collections.defaultdict(float)
        oldest = now - self._fresh_seconds
        for name, report in self._reports.items():
            if name == entry or report.heard_at < oldest:
                continue
            for demand in report.demands:
                totals[demand.customer] += demand.rate
        return [
            CustomerDemand(customer, rate) for customer, rate in totals.items()
        ]
