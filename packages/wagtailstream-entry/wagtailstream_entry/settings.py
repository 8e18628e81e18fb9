"""The entry's settings."""

import pydantic

from wagtailstream_runtime import settings


class CallerTls(settings.Section):
    """The certificate that callers see, in PEM files."""

    certificate: pydantic.FilePath
    private_key: pydantic.FilePath


class EntrySettings(settings.Common):
    """What one entry needs to know before it starts.

    :param session_keys: the keys that sign session tokens.
    :param caller_tls: the certificate towards callers; without it the
        balancer ends TLS.
    :param heartbeat_seconds: the time between heartbeats; well below the
        silence after which either end drops the connection.
    :param max_links: how many agents this entry links to, of a larger fleet
        by pool.
    :param rating_share: the rated share of the answers of stable versions.
    :param rating_limit: how many ratings may be under way off the path.
    """

    session_keys: settings.Keys
    caller_tls: CallerTls | None = None
    heartbeat_seconds: float = pydantic.Field(default=1.0, gt=0, le=1.5)
    max_links: int = pydantic.Field(default=128, ge=1, le=4096)
    rating_share: float = pydantic.Field(default=0.2, ge=0, le=1)
    rating_limit: int = pydantic.Field(default=16, ge=0, le=1024)
    refresh_seconds: float = pydantic.Field(default=1.0, gt=0, le=60)
