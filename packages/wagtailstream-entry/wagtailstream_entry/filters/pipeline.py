"""The request pipeline: filters, each of which passes or refuses."""

import abc
import collections.abc

import expression

from wagtailstream_core import errors
from wagtailstream_entry.filters import exchange

Verdict = expression.Result[None, errors.Refusal]
PASSED: Verdict = expression.Ok(None)


class Filter(abc.ABC):
    """One step of the pipeline."""

    @abc.abstractmethod
    async def process(self, request: exchange.Exchange) -> Verdict:
        """Process a request; an error refuses it and skips later filters.

        :param request: the request.
        """


class Pipeline:
    """Runs a request through filters.

    :param filters: in the order in which they run.
    """

    def __init__(self, filters: collections.abc.Sequence[Filter]) -> None:
        self._filters = filters

    async def process(self, request: exchange.Exchange) -> Verdict:
        """Return the first refusal, or `PASSED` if no filter refuses.

        :param request: the request.
        """
        for step in self._filters:
            verdict = await step.process(request)
            if verdict.is_error():
                return verdict
        return PASSED
