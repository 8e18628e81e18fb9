"""Clients of the service that rates answers."""

import abc
import dataclasses

import orjson
import pydantic
from tornado import httpclient

from wagtailstream_core import cascade
from wagtailstream_entry.filters import exchange
from wagtailstream_runtime import http_client

# Time limit of one call of the rating service.
TIMEOUT_SECONDS = 1.0
# Concurrent calls of the rating service; further ones are queued.
_MAX_CLIENTS = 256


@dataclasses.dataclass(frozen=True)
class RatingRequest:
    """An answer to rate, with what the rating service needs to rate it."""

    request_id: str
    model: str
    version: str
    prompt: str
    answer: str
    task: str


def make_rating_request(
    request: exchange.Exchange, answer: bytes
) -> RatingRequest:
    """Return an answer to rate.

    :param request: the request that was answered.
    :param answer: the complete answer.
    """
    return RatingRequest(
        request.request_id,
        request.origin.model,
        request.origin.version,
        request.prompt,
        answer.decode("utf-8", "replace"),
        request.task,
    )


def make_key(
    request: exchange.Exchange, rating_request: RatingRequest
) -> cascade.Key:
    """Return the key under which ladders store a rating.

    :param request: the request that was answered.
    :param rating_request: the answer to rate.
    """
    customer = request.customer.name if request.customer else ""
    return cascade.Key(
        customer,
        rating_request.task,
        rating_request.model,
        rating_request.version,
    )


class Rater(abc.ABC):
    """Rates answers."""

    @abc.abstractmethod
    async def rate(self, rating_request: RatingRequest) -> float | None:
        """Return the score of an answer, 0 to 1, or None if rating failed.

        :param rating_request: the answer to rate.
        """


class NoRater(Rater):
    """Rates nothing; used if the platform has no rating service."""

    async def rate(self, rating_request: RatingRequest) -> float | None:
        """Return None.

        :param rating_request: the answer to rate.
        """
        return None


class _WireScore(pydantic.BaseModel):
    score: float = pydantic.Field(ge=0, le=1)


class HttpRater(Rater):
    """Rates answers through the platform's rating service.

    :param url: the base URL of the service.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = http_client.WholeAnswerClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def rate(self, rating_request: RatingRequest) -> float | None:
        """Return the score of an answer, 0 to 1, or None if rating failed.

        :param rating_request: the answer to rate.
        """
        try:
            response = await self._client.fetch(
                f"{self._url}/ratings",
                method="POST",
                body=orjson.dumps(dataclasses.asdict(rating_request)),
                request_timeout=TIMEOUT_SECONDS,
            )
            return _WireScore.model_validate_json(response.body).score
        except (httpclient.HTTPError, OSError, pydantic.ValidationError):
            return None
