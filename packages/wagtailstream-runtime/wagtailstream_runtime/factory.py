"""Builds the components that entry and agent share from their settings."""

import socket

from wagtailstream_runtime import (
    auth,
    collector_client,
    instance_list,
    log_client,
    metrics,
    settings,
    tls,
)


def make_metrics(loaded: settings.CommonSettings) -> metrics.Metrics:
    """Return metrics that are sent to statsd if the settings name a server.

    :param loaded: the validated settings.
    """
    server = loaded.statsd
    if server is None:
        return metrics.MemoryMetrics()
    return metrics.StatsdMetrics(str(server.host), server.port, server.prefix)


def make_authenticator(loaded: settings.CommonSettings) -> auth.Authenticator:
    """Return the authenticator of calls between instances.

    :param loaded: the validated settings.
    :raises errors.SettingsError: a secret can't be loaded.
    """
    return auth.Authenticator(
        loaded.fleet_keys.signing, loaded.fleet_keys.load()
    )


def make_log(
    loaded: settings.CommonSettings,
    direct: log_client.LogClient,
    counters: metrics.Metrics,
) -> log_client.LogClient:
    """Return a log client that uses collectors if the settings ask for them.

    :param loaded: the validated settings.
    :param direct: the client that appends directly to the platform's log.
    :param counters: metrics to count collector failures in.
    :raises errors.SettingsError: a secret or certificate can't be loaded.
    """
    if not loaded.collectors:
        return direct
    return collector_client.CollectorLogClient(
        direct,
        instance_list.HttpInstanceList(str(loaded.platform.instances)),
        loaded.collectors,
        loaded.instance,
        make_authenticator(loaded),
        tls.make_client_context(loaded.tls),
        counters,
    )


def bind(loaded: settings.CommonSettings) -> socket.socket:
    """Return a socket bound to the configured address.

    For port 0 the operating system chooses a free port.

    :param loaded: the validated settings.
    :raises OSError: the address can't be bound.
    """
    family = socket.AF_INET6 if loaded.host.version == 6 else socket.AF_INET
    bound = socket.socket(family, socket.SOCK_STREAM)
    bound.setsockopt(socket.SOL_SOCKET, socket.SO_REUSEADDR, 1)
    # Accepted connections inherit the option. Without it, Nagle's algorithm
    # would delay a streamed token until the previous one is acknowledged.
    bound.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
    bound.bind((str(loaded.host), loaded.port))
    bound.setblocking(False)
    return bound
