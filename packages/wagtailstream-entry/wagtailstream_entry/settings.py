"""The entry's settings."""

import pydantic

from wagtailstream_platform import settings


class EntrySettings(settings.Common):
    """What one entry needs to know before it starts.

    :param session_keys: the keys that sign session tokens.
    :param heartbeat_seconds: how often each agent is asked for its state.
    """

    session_keys: settings.Keys
    heartbeat_seconds: float = pydantic.Field(default=1.0, gt=0, le=60)
    refresh_seconds: float = pydantic.Field(default=1.0, gt=0, le=60)
