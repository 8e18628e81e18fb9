"""Refuses new work while this entry must not accept any.

That is the case while the configuration may be outdated, while the entry
drains, and while its buffer of bills is full.
"""

import collections.abc

import expression

from wagtailstream_core import errors, freshness
from wagtailstream_entry.filters import exchange, pipeline

STEP = "freshness"
# When a refused caller may retry.
RETRY_SECONDS = 5.0


class CheckFreshness(pipeline.Filter):
    """Refuses while this instance is cut off, drains or can't buffer bills.

    :param get_freshness: returns how fresh the configuration is.
    :param is_draining: returns whether this instance is shutting down.
    :param is_billing_full: returns whether the buffer of bills is full.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        get_freshness: collections.abc.Callable[[], freshness.Freshness],
        is_draining: collections.abc.Callable[[], bool],
        is_billing_full: collections.abc.Callable[[], bool],
        peer: str,
    ) -> None:
        self._get_freshness = get_freshness
        self._is_draining = is_draining
        self._is_billing_full = is_billing_full
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Refuse the request if it must not start now.

        :param request: the request.
        """
        if self._is_draining():
            return self._refuse(
                request, errors.Reason.DRAINING, "this entry is draining"
            )
        if self._is_billing_full():
            return self._refuse(
                request,
                errors.Reason.BILLING_FULL,
                "the buffer of bills waiting for the log is full",
            )
        if self._get_freshness() is freshness.Freshness.CUT_OFF:
            return self._refuse(
                request,
                errors.Reason.CUT_OFF,
                "this entry is cut off from configuration updates",
            )
        return pipeline.PASSED

    def _refuse(
        self,
        request: exchange.Exchange,
        reason: errors.Reason,
        message: str,
    ) -> pipeline.Verdict:
        retry_at = request.received_at + RETRY_SECONDS
        return expression.Error(
            errors.not_run(reason, message, STEP, self._peer, retry_at)
        )
