"""TLS contexts for calls between instances and for callers' connections."""

import pathlib
import ssl

from wagtailstream_core import errors
from wagtailstream_runtime import settings

_ALPN_HTTP2 = "h2"


def make_server_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of a gRPC server that requires certificates.

    :param tls: the settings; None for a plain connection.
    :raises errors.SettingsError: a certificate or key can't be loaded.
    """
    return _make_context(tls, ssl.Purpose.CLIENT_AUTH)


def make_client_context(tls: settings.Tls | None) -> ssl.SSLContext | None:
    """Return the context of a gRPC client that presents a certificate.

    :param tls: the settings; None for a plain connection.
    :raises errors.SettingsError: a certificate or key can't be loaded.
    """
    return _make_context(tls, ssl.Purpose.SERVER_AUTH)


def _make_context(
    tls: settings.Tls | None, purpose: ssl.Purpose
) -> ssl.SSLContext | None:
    if tls is None:
        return None
    try:
        context = ssl.create_default_context(purpose, cafile=tls.authority)
        context.load_cert_chain(tls.certificate, tls.private_key)
    except (ssl.SSLError, OSError) as error:
        raise errors.SettingsError(
            "load certificates", str(tls.certificate), str(error)
        ) from error
    context.verify_mode = ssl.CERT_REQUIRED
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    context.set_alpn_protocols([_ALPN_HTTP2])
    return context


def make_caller_context(
    certificate: pathlib.Path, private_key: pathlib.Path
) -> ssl.SSLContext:
    """Return the context of an HTTP server for callers.

    :param certificate: PEM file with the server's certificate.
    :param private_key: PEM file with its private key.
    :raises errors.SettingsError: a certificate or key can't be loaded.
    """
    context = ssl.create_default_context(ssl.Purpose.CLIENT_AUTH)
    try:
        context.load_cert_chain(certificate, private_key)
    except (ssl.SSLError, OSError) as error:
        raise errors.SettingsError(
            "load certificates", str(certificate), str(error)
        ) from error
    context.minimum_version = ssl.TLSVersion.TLSv1_2
    return context
