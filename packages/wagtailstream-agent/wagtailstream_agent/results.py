"""Keeps the results of non-idempotent requests for callers that come back."""

import collections
import dataclasses

from wagtailstream_core import billing, errors

MAX_RESULTS = 2000


@dataclasses.dataclass(frozen=True)
class Result:
    """Where a claimed request stands at its claimant."""

    request_id: str
    outcome: errors.Outcome
    is_running: bool
    status: int = 0
    body: bytes = b""
    cost: billing.AttemptCost | None = None


class ResultTable:
    """The latest results, by claim, within a bound."""

    def __init__(self) -> None:
        self._results: collections.OrderedDict[str, Result] = (
            collections.OrderedDict()
        )

    def put(self, claim_id: str, result: Result) -> None:
        """Keep a result; the oldest goes once there are too many.

        :param claim_id: the claim of the request.
        :param result: where it stands.
        """
        self._results[claim_id] = result
        self._results.move_to_end(claim_id)
        while len(self._results) > MAX_RESULTS:
            self._results.popitem(last=False)

    def find(self, claim_id: str) -> Result | None:
        """Return a result, or None.

        :param claim_id: the claim of the request.
        """
        return self._results.get(claim_id)
