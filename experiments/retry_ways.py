"""The ways to retry that are set beside each other."""

import abc
import random

from wagtailstream_core import errors, retries

ATTEMPT_TIMEOUT_SECONDS = 3.0
NAIVE_RETRIES = 3
BACKOFF_SECONDS = 0.2


class Way(abc.ABC):
    """Decides whether a further attempt is made, and when.

    :param rng: for jitter.
    """

    attempt_timeout: float | None = None

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def note_request(self, customer: str, now: float) -> None:
        """Note a request."""

    @abc.abstractmethod
    def record_first_token(self, seconds: float) -> None:
        """Note the time to a first token."""

    @abc.abstractmethod
    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        """Return the seconds until the next attempt, or None for none."""

    def find_hedge_delay(self) -> float | None:
        """Return the seconds until a hedge, or None for none."""
        return None

    def may_hedge(self, customer: str, now: float) -> bool:
        """Return whether a hedge may be sent to a free endpoint."""
        return False


class _Unaware(Way):
    """Takes no note of the traffic."""

    def note_request(self, customer: str, now: float) -> None:
        pass

    def record_first_token(self, seconds: float) -> None:
        pass


class Never(_Unaware):
    """Naive: no retry."""

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        return None


class Always(_Unaware):
    """Naive: always retry three times, also after a timeout."""

    attempt_timeout = ATTEMPT_TIMEOUT_SECONDS

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        return 0.0 if attempts <= NAIVE_RETRIES else None


class Backoff(Always):
    """Three retries with exponential backoff and jitter."""

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        if attempts > NAIVE_RETRIES:
            return None
        longest = BACKOFF_SECONDS * 2.0**attempts
        return float(self.rng.random() * longest)


class Budgeted(Way):
    """The core's budget, without hedges.

    :param rng: unused.
    :param share: retries for each request.
    """

    def __init__(self, rng: random.Random, share: float) -> None:
        super().__init__(rng)
        self._budget = retries.Budget(share)

    def note_request(self, customer: str, now: float) -> None:
        self._budget.note_request(customer, now)

    def record_first_token(self, seconds: float) -> None:
        pass

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        refusal = errors.unknown(errors.Reason.ENDPOINT_FAILED, "", "", "")
        failed = retries.FailedRequest(refusal, attempts, deadline)
        if not retries.is_retriable(failed, now):
            return None
        return 0.0 if self._budget.try_take(customer, now) else None


class Hedged(Budgeted):
    """The core's way: budget and hedges.

    :param rng: unused.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, retries.RETRY_SHARE)
        self._hedges = retries.Budget(retries.HEDGE_SHARE)
        self._window = retries.LatencyWindow()

    def note_request(self, customer: str, now: float) -> None:
        super().note_request(customer, now)
        self._hedges.note_request(customer, now)

    def record_first_token(self, seconds: float) -> None:
        self._window.add_sample(seconds)

    def find_hedge_delay(self) -> float | None:
        return self._window.find_hedge_delay()

    def may_hedge(self, customer: str, now: float) -> bool:
        return self._hedges.try_take(customer, now)
