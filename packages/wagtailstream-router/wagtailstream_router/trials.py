"""Grants single attempts of what is refused but may be sound."""

import collections.abc
import time

# How long an attempt may take until the next one is granted; what crashes
# endpoints does so as they begin to answer.
ATTEMPT_SECONDS = 2.0
# Upper bound of the attempts that are remembered; those granted first go.
MAX_KEPT = 64


class Trials:
    """Grants attempts at one instance, one at a time for each suspect.

    :param is_chosen: returns whether this instance is the one that may grant
        attempts; the others grant none.
    """

    def __init__(
        self,
        is_chosen: collections.abc.Callable[[], bool] = lambda: True,
    ) -> None:
        self._is_chosen = is_chosen
        # The request that was granted an attempt, and until when none follows.
        self._granted: dict[int | str, tuple[str, float]] = {}

    def grant(self, key: int | str, identity: str) -> bool:
        """Return whether a request may be sent.

        :param key: the suspect.
        :param identity: the id of the request, which may ask again.
        """
        now = time.monotonic()
        granted, until = self._granted.get(key, ("", 0.0))
        if now < until:
            return identity == granted
        if not self._is_chosen():
            return False
        self._granted.pop(key, None)
        self._granted[key] = identity, now + ATTEMPT_SECONDS
        if len(self._granted) > MAX_KEPT:
            del self._granted[next(iter(self._granted))]
        return True
