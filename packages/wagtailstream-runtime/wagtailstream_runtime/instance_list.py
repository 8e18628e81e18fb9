"""Client of the platform's list of live and leaving instances.

The list may be outdated and is only a hint.
"""

import abc
import dataclasses
import typing

import pydantic
from tornado import httpclient

from wagtailstream_core import errors
from wagtailstream_runtime import http_client

TIMEOUT_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class Instance:
    """An item of the platform's instance list.

    :param role: such as ``entry`` or ``agent``.
    :param address: IP address and port.
    :param endpoint: name of the endpoint that an agent fronts.
    :param is_leaving: whether the platform is about to stop the instance.
    """

    id: str
    role: str
    address: str
    data_centre: str
    endpoint: str
    is_leaving: bool


class InstanceList(abc.ABC):
    """Interface of the platform's instance list."""

    @abc.abstractmethod
    async def fetch(self) -> list[Instance]:
        """Return the listed instances.

        :raises errors.PeerError: the platform did not answer.
        """


class MemoryInstanceList(InstanceList):
    """A list in memory, for tests and experiments.

    :param instances: the listed instances.
    """

    def __init__(self, instances: list[Instance]) -> None:
        self.instances = instances

    async def fetch(self) -> list[Instance]:
        """Return the listed instances."""
        return list(self.instances)


class _WireInstance(pydantic.BaseModel):
    id: str
    role: str
    address: str
    data_centre: str
    endpoint: str = ""
    state: typing.Literal["live", "leaving"]


class _WireList(pydantic.BaseModel):
    instances: tuple[_WireInstance, ...]


class HttpInstanceList(InstanceList):
    """Fetches the list over HTTP.

    :param url: the base URL of the platform's instance list.
    """

    def __init__(self, url: str) -> None:
        self._url = url.rstrip("/")
        self._client = http_client.WholeAnswerClient(force_instance=True)

    async def fetch(self) -> list[Instance]:
        """Return the listed instances.

        :raises errors.PeerError: the platform did not answer.
        """
        try:
            response = await self._client.fetch(
                f"{self._url}/instances",
                request_timeout=TIMEOUT_SECONDS,
                connect_timeout=TIMEOUT_SECONDS,
            )
            wire = _WireList.model_validate_json(response.body)
        except (
            httpclient.HTTPError,
            OSError,
            pydantic.ValidationError,
        ) as error:
            raise errors.PeerError(
                "list instances", self._url, str(error)
            ) from error
        return [
            Instance(
                item.id,
                item.role,
                item.address,
                item.data_centre,
                item.endpoint,
                item.state == "leaving",
            )
            for item in wire.instances
        ]
