"""Keeps the results of non-idempotent requests for callers that come back."""

import collections
import dataclasses

from wagtailstream_core import billing, errors, ledger

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
    """The latest results, by key, within a bound."""

    def __init__(self) -> None:
        self._results: collections.OrderedDict[ledger.ClaimKey, Result] = (
            collections.OrderedDict()
        )

    def put(self, key: ledger.ClaimKey, result: Result) -> None:
        """Keep a result; the oldest goes once there are too many.

        :param key: the key that the request claimed.
        :param result: where it stands.
        """
        self._results[key] = result
        self._results.move_to_end(key)
        while len(self._results) > MAX_RESULTS:
            self._results.popitem(last=False)

    def find(self, key: ledger.ClaimKey) -> Result | None:
        """Return a result, or None.

        :param key: the key that the request claimed.
        """
        return self._results.get(key)
