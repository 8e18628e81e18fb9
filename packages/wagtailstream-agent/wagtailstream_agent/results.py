"""Stores the results of claimed requests.

Entries fetch a result from the agent that claimed the request when another
attempt with the same idempotency key lost the claim.
"""

import collections
import dataclasses

from wagtailstream_core import billing, errors

MAX_RESULTS = 2000


@dataclasses.dataclass(frozen=True)
class Result:
    """The result of a claimed request, as far as its claimant knows it.

    :param is_running: whether the outcome may still change.
    :param status: the service's HTTP status code once it answered.
    """

    request_id: str
    outcome: errors.Outcome
    is_running: bool
    status: int = 0
    body: bytes = b""
    cost: billing.AttemptCost | None = None


class ResultTable:
    """The MAX_RESULTS most recent results by claim."""

    def __init__(self) -> None:
        self._results: collections.OrderedDict[str, Result] = (
            collections.OrderedDict()
        )

    def put(self, claim_id: str, result: Result) -> None:
        """Store a result and evict the oldest one if the table is full.

        :param claim_id: the claim of the request.
        :param result: its present result.
        """
        self._results[claim_id] = result
        self._results.move_to_end(claim_id)
        while len(self._results) > MAX_RESULTS:
            self._results.popitem(last=False)

    def find(self, claim_id: str) -> Result | None:
        """Return the result of a claimed request, or None.

        :param claim_id: the claim of the request.
        """
        return self._results.get(claim_id)
