"""The agent's settings."""

import typing

import pydantic

from wagtailstream_runtime import settings


class AgentSettings(settings.CommonSettings):
    """The settings of one agent.

    :param endpoint: the endpoint's name in the bundle.
    :param kind: whether the endpoint is a model engine or a plain service.
    :param endpoint_url: the URL of the engine or service.
    :param advertised_address: IP address and port at which entries reach this
        agent, if it differs from the address that it listens on.
    :param slots: maximum number of calls that a plain service runs at once.
    :param stall_seconds: time without progress after which an engine with
        work counts as stalled.
    :param queue: maximum number of attempts that wait for a slot.
    """

    endpoint: str = pydantic.Field(min_length=1, max_length=64)
    kind: typing.Literal["engine", "service"]
    endpoint_url: pydantic.HttpUrl
    advertised_address: str | None = None
    slots: int = pydantic.Field(default=16, ge=1, le=4096)
    stall_seconds: float = pydantic.Field(default=3.0, gt=0, le=3600)
    queue: int = pydantic.Field(default=64, ge=0, le=65536)
