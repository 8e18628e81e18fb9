"""The entry's settings."""

import pydantic

from wagtailstream_runtime import settings


class CallerTls(settings.Section):
    """The server certificate for callers, in PEM files."""

    certificate: pydantic.FilePath
    private_key: pydantic.FilePath


class EntrySettings(settings.CommonSettings):
    """The settings of one entry.

    :param session_keys: the keys that sign session tokens.
    :param caller_tls: the server certificate for callers; without it, the
        load balancer terminates TLS.
    :param heartbeat_seconds: the time between heartbeats; well below the
        silence after which either end closes the connection.
    :param max_links: the maximum number of agents that this entry links to;
        in a larger fleet, it selects some of each pool.
    :param rating_share: the share of the answers of stable versions that is
        rated, 0 to 1.
    :param rating_limit: the maximum number of concurrent background ratings.
    :param refresh_seconds: the time between reads of the platform's list of
        instances.
    """

    session_keys: settings.Keys
    caller_tls: CallerTls | None = None
    heartbeat_seconds: float = pydantic.Field(default=1.0, gt=0, le=1.5)
    max_links: int = pydantic.Field(default=128, ge=1, le=4096)
    rating_share: float = pydantic.Field(default=0.2, ge=0, le=1)
    rating_limit: int = pydantic.Field(default=16, ge=0, le=1024)
    refresh_seconds: float = pydantic.Field(default=1.0, gt=0, le=60)
