"""Tests of the components built from the settings."""

import ipaddress
import socket
import types
import typing

from wagtailstream_runtime import factory


def test_accepted_connections_have_nagle_disabled():
    loaded = types.SimpleNamespace(
        host=ipaddress.ip_address("127.0.0.1"), port=0
    )
    with factory.bind(typing.cast(typing.Any, loaded)) as bound:
        bound.setblocking(True)
        bound.listen()
        with socket.create_connection(bound.getsockname()):
            accepted, _ = bound.accept()
            with accepted:
                option = accepted.getsockopt(
                    socket.IPPROTO_TCP, socket.TCP_NODELAY
                )
    assert option
