"""Authenticates requests by their API key."""

import expression

from wagtailstream_core import bundle, errors
from wagtailstream_entry.filters import exchange, pipeline

STEP = "authenticate"
# A longer key is refused without hashing it.
MAX_KEY_CHARACTERS = 256
_SCHEME = "bearer "


def find_customer(
    authorization: str, current_bundle: bundle.Bundle
) -> bundle.Customer | None:
    """Return the customer whose key an Authorization header holds, or None.

    :param authorization: the header's value.
    :param current_bundle: the bundle in force.
    """
    if not authorization.lower().startswith(_SCHEME):
        return None
    key = authorization[len(_SCHEME) :].strip()
    if len(key) > MAX_KEY_CHARACTERS:
        return None
    return current_bundle.find_customer_by_key(key)


class Authenticate(pipeline.Filter):
    """Refuses requests without a known API key.

    :param peer: this instance's name, for refusals.
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Set the request's customer.

        :param request: the request.
        """
        current_bundle = request.configuration.bundle
        if current_bundle is None:
            return expression.Error(
                errors.not_run(
                    errors.Reason.NO_CONFIGURATION,
                    "no configuration bundle is in force yet",
                    STEP,
                    self._peer,
                    request.received_at + 1.0,
                )
            )
        request.customer = find_customer(request.authorization, current_bundle)
        if request.customer is None:
            return expression.Error(
                errors.not_run(
                    errors.Reason.UNAUTHENTICATED,
                    "the API key is missing or unknown",
                    STEP,
                    self._peer,
                )
            )
        return pipeline.PASSED
