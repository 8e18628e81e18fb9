"""The agent's settings."""

import typing

import pydantic

from wagtailstream_runtime import settings


class AgentSettings(settings.Common):
    """What one agent needs to know before it starts.

    :param endpoint: the name under which the bundle knows the endpoint.
    :param kind: whether a model engine or a plain service stands beside it.
    :param endpoint_url: the address of the engine or service.
    :param advertised_address: IP number and port under which entries reach
        this agent, where it differs from what it listens on.
    :param stall_seconds: how long an engine may hold work without progress.
    :param slots: how many calls a plain service takes at once.
    """

    endpoint: str = pydantic.Field(min_length=1, max_length=64)
    kind: typing.Literal["engine", "service"]
    endpoint_url: pydantic.HttpUrl
    advertised_address: str | None = None
    slots: int = pydantic.Field(default=16, ge=1, le=4096)
    stall_seconds: float = pydantic.Field(default=3.0, gt=0, le=3600)
    queue: int = pydantic.Field(default=64, ge=0, le=65536)
