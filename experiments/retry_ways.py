"""The retry policies that the retry experiment compares."""

import abc
import random

from wagtailstream_core import errors, retries

ATTEMPT_TIMEOUT_SECONDS = 3.0
NAIVE_RETRIES = 3
BACKOFF_SECONDS = 0.2


class RetryPolicy(abc.ABC):
    """Decides whether and when a request gets another attempt.

    The attribute ``attempt_timeout`` is in seconds, None for no timeout.

    :param rng: the generator for jitter.
    """

    attempt_timeout: float | None = None

    def __init__(self, rng: random.Random) -> None:
        self.rng = rng

    @abc.abstractmethod
    def record_request(self, customer: str, now: float) -> None:
        """Record that a request arrived.

        :param customer: the customer's name.
        :param now: seconds since the start.
        """

    @abc.abstractmethod
    def record_first_token(self, seconds: float) -> None:
        """Record the time to first token of an attempt.

        :param seconds: from sending the attempt to its first token.
        """

    @abc.abstractmethod
    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        """Return the delay of the next attempt in seconds, None for no retry.

        :param customer: the customer's name.
        :param attempts: the number of attempts made so far.
        :param deadline: the request's deadline, seconds since the start.
        :param now: seconds since the start.
        """

    def find_hedge_delay(self) -> float | None:
        """Return the delay of a hedged attempt in seconds, None for never."""
        return None

    def may_hedge(self, customer: str, now: float) -> bool:
        """Return whether a hedged attempt may be sent now.

        :param customer: the customer's name.
        :param now: seconds since the start.
        """
        return False


class _Stateless(RetryPolicy):
    """Base of the policies that keep no record of the traffic."""

    def record_request(self, customer: str, now: float) -> None:
        pass

    def record_first_token(self, seconds: float) -> None:
        pass


class Never(_Stateless):
    """Naive: never retry."""

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        return None


class Always(_Stateless):
    """Naive: retry up to three times immediately, even after a timeout."""

    attempt_timeout = ATTEMPT_TIMEOUT_SECONDS

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        return 0.0 if attempts <= NAIVE_RETRIES else None


class Backoff(Always):
    """Retry up to three times, with exponential backoff and full jitter."""

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        if attempts > NAIVE_RETRIES:
            return None
        max_delay = BACKOFF_SECONDS * 2.0**attempts
        return float(self.rng.random() * max_delay)


class Budgeted(RetryPolicy):
    """The router's retry budget, without hedging.

    :param rng: unused.
    :param share: the number of retries allowed per request.
    """

    def __init__(self, rng: random.Random, share: float) -> None:
        super().__init__(rng)
        self._retry_budget = retries.Budget(share)

    def record_request(self, customer: str, now: float) -> None:
        self._retry_budget.record_request(customer, now)

    def record_first_token(self, seconds: float) -> None:
        pass

    def find_delay(
        self, customer: str, attempts: int, deadline: float, now: float
    ) -> float | None:
        refusal = errors.unknown(errors.Reason.ENDPOINT_FAILED, "", "", "")
        failed = retries.FailedRequest(refusal, attempts, deadline)
        if not retries.is_retriable(failed, now):
            return None
        return 0.0 if self._retry_budget.try_take(customer, now) else None


class Hedged(Budgeted):
    """The router's policy: a retry budget and hedged attempts.

    :param rng: unused.
    """

    def __init__(self, rng: random.Random) -> None:
        super().__init__(rng, retries.RETRY_SHARE)
        self._hedge_budget = retries.Budget(retries.HEDGE_SHARE)
        self._latency_window = retries.LatencyWindow()

    def record_request(self, customer: str, now: float) -> None:
        super().record_request(customer, now)
        self._hedge_budget.record_request(customer, now)

    def record_first_token(self, seconds: float) -> None:
        self._latency_window.add_sample(seconds)

    def find_hedge_delay(self) -> float | None:
        return self._latency_window.find_hedge_delay()

    def may_hedge(self, customer: str, now: float) -> bool:
        return self._hedge_budget.try_take(customer, now)
