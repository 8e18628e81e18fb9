"""Resumes the session of a request's token, or starts a new session."""

import collections.abc

import expression

from wagtailstream_core import errors, session
from wagtailstream_entry.filters import exchange, pipeline


class ResumeSession(pipeline.Filter):
    """Sets the session that a request belongs to.

    :param keys: the keys that sign session tokens.
    :param make_id: returns a new, unique session identifier.
    :param peer: this instance's name, for refusals.
    """

    def __init__(
        self,
        keys: session.SessionKeys,
        make_id: collections.abc.Callable[[], str],
        peer: str,
    ) -> None:
        self._keys = keys
        self._make_id = make_id
        self._peer = peer

    async def process(self, request: exchange.Exchange) -> pipeline.Verdict:
        """Set the request's session; refuse a token that is not valid.

        :param request: the request.
        """
        request.session_id = self._make_id()
        if not request.session_token or request.customer is None:
            return pipeline.PASSED
        read = session.read_token(
            request.session_token,
            request.customer.name,
            self._keys,
            self._peer,
        )
        if read.is_error():
            return expression.Error(read.error)
        if request.requested_model != read.ok.model:
            return expression.Error(
                errors.not_run(
                    errors.Reason.SESSION_INVALID,
                    f"the session is for model {read.ok.model},"
                    f" not {request.requested_model}",
                    session.STEP,
                    self._peer,
                )
            )
        request.session = read.ok
        request.session_id = read.ok.session_id
        return pipeline.PASSED
