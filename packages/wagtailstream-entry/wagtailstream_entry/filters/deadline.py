"""Sets the deadline of a request."""

import datetime

import expression

from wagtailstream_core import errors
from wagtailstream_entry.filters import exchange, pipeline

STEP = "deadline"
# A deadline later than this after arrival is shortened to it.
MAX_DEADLINE_SECONDS = 3600.0


def parse(text: str) -> float | None:
    """Return the Unix time of an RFC 3339 text, or None if it is malformed.

    A time without a zone is malformed.

    :param text: the value of the Wagtail-Deadline header.
    """
    try:
        parsed = datetime.datetime.fromisoformat(text)
    except ValueError:
        return None
    return parsed.timestamp() if parsed.tzinfo else None


class SetDeadline(pipeline.Filter):
    """Sets the deadline from the header, or the bundle's default.

    :param peer: this instance's name, for refusals.
    """

    def __init__(self, peer: str) -> None:
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Set the request's deadline; refuse one that is past.

        :param request: the request.
        """
        current_bundle = request.configuration.bundle
        default = (
            current_bundle.limits.deadline_seconds if current_bundle else 0.0
        )
        deadline: float | None = request.received_at + default
        if request.deadline_text:
            deadline = parse(request.deadline_text)
        if deadline is None:
            return self._refuse(
                errors.Reason.MALFORMED,
                "Wagtail-Deadline is not an RFC 3339 time with a zone",
            )
        if deadline <= request.received_at:
            return self._refuse(
                errors.Reason.DEADLINE_PAST, "the deadline has passed"
            )
        request.deadline = min(
            deadline, request.received_at + MAX_DEADLINE_SECONDS
        )
        return pipeline.PASSED

    def _refuse(self, reason: errors.Reason, message: str) -> pipeline.Verdict:
        return expression.Error(
            errors.not_run(reason, message, STEP, self._peer)
        )
