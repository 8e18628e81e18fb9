"""Client of the plain service that the agent fronts."""

import abc
import dataclasses

from tornado import httpclient, simple_httpclient

from wagtailstream_core import errors, work
from wagtailstream_runtime import http_client

REQUEST_ID_HEADER = "Wagtail-Request-Id"
_MAX_CLIENTS = 4096


class NotSentError(errors.PeerError):
    """The call never reached the service; nothing ran."""


class ConnectionLostError(errors.PeerError):
    """The connection broke; the service may have crashed during the call."""


@dataclasses.dataclass(frozen=True)
class ServiceAnswer:
    """A service's complete answer.

    :param status: the HTTP status code.
    """

    status: int
    body: bytes


class Service(abc.ABC):
    """Interface of a plain service."""

    @abc.abstractmethod
    async def call(
        self, request_id: str, service_work: work.ServiceWork, seconds: float
    ) -> ServiceAnswer:
        """Call an operation once.

        :param request_id: sent to the service in a header.
        :param service_work: the operation and its body.
        :param seconds: timeout for the whole call.
        :raises NotSentError: the service could not be reached.
        :raises ConnectionLostError: the connection broke; the call may have
            run.
        :raises errors.PeerError: no answer arrived; the call may have run.
        """


class HttpService(Service):
    """Service client over HTTP.

    :param url: the service's base URL.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = http_client.WholeAnswerClient(
            force_instance=True, max_clients=_MAX_CLIENTS
        )

    async def call(
        self, request_id: str, service_work: work.ServiceWork, seconds: float
    ) -> ServiceAnswer:
        """Call an operation once.

        :param request_id: sent to the service in a header.
        :param service_work: the operation and its body.
        :param seconds: timeout for the whole call.
        :raises NotSentError: the service could not be reached.
        :raises ConnectionLostError: the connection broke; the call may have
            run.
        :raises errors.PeerError: no answer arrived; the call may have run.
        """
        has_body = service_work.method != "GET"
        request = httpclient.HTTPRequest(
            f"{self._url}/{service_work.operation}",
            method=service_work.method,
            body=service_work.body if has_body else None,
            headers={
                REQUEST_ID_HEADER: request_id,
                "Content-Type": "application/json",
            },
            request_timeout=seconds,
            connect_timeout=seconds,
            follow_redirects=False,
        )
        try:
            response = await self._client.fetch(request, raise_error=False)
        except ConnectionRefusedError as error:
            raise NotSentError(
                "call", self._url, "connection refused"
            ) from error
        except simple_httpclient.HTTPTimeoutError as error:
            raise errors.PeerError("call", self._url, str(error)) from error
        except (httpclient.HTTPError, OSError) as error:
            raise ConnectionLostError("call", self._url, str(error)) from error
        return ServiceAnswer(response.code, response.body)
