"""Customers' demand at each entry, as an agent collects it.

An agent keeps the reports of all entries and sends each entry the sum of the
others' demand.
"""

import collections
import collections.abc
import dataclasses


@dataclasses.dataclass(frozen=True)
class CustomerDemand:
    """A customer's request rate.

    :param rate: requests per second, including refused ones.
    """

    customer: str
    rate: float


@dataclasses.dataclass(frozen=True)
class _Report:
    demands: tuple[CustomerDemand, ...]
    received_at: float


class DemandBoard:
    """The latest report of each entry.

    :param fresh_seconds: the age from which a report is dropped.
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
        """Store an entry's report and drop expired ones.

        :param entry: the entry's name.
        :param demands: its customers' demand.
        :param now: monotonic seconds.
        """
        self._reports[entry] = _Report(tuple(demands), now)
        oldest = now - self._fresh_seconds
        for name in list(self._reports):
            if self._reports[name].received_at < oldest:
                del self._reports[name]

    def sum_others(self, entry: str, now: float) -> list[CustomerDemand]:
        """Return customers' total demand at all entries except one.

        :param entry: the entry to leave out.
        :param now: monotonic seconds.
        """
        totals: dict[str, float] = collections.defaultdict(float)
        oldest = now - self._fresh_seconds
        for name, report in self._reports.items():
            if name == entry or report.received_at < oldest:
                continue
            for demand in report.demands:
                totals[demand.customer] += demand.rate
        return [
            CustomerDemand(customer, rate) for customer, rate in totals.items()
        ]
