"""Fixture that serves a stand-in inside the test process."""

import orjson
import pytest
import tornado.httpclient
import tornado.httpserver
import tornado.testing

CLOSED = "connection closed"


class Client:
    """HTTP client of one stand-in."""

    def __init__(self, address):
        self.address = address

    async def __call__(self, path, body=None, method=None):
        """Send a request; return the status and the JSON lines of the answer.

        The status is ``CLOSED`` if the connection closed without an answer.
        """
        if body is not None and not isinstance(body, bytes):
            body = orjson.dumps(body)
        try:
            reply = await tornado.httpclient.AsyncHTTPClient().fetch(
                f"http://{self.address}{path}",
                method=method or ("GET" if body is None else "POST"),
                body=body,
                raise_error=False,
            )
        except (tornado.httpclient.HTTPError, ConnectionError):
            return CLOSED, []
        if "json" not in reply.headers.get("Content-Type", ""):
            return reply.code, []
        return reply.code, [
            orjson.loads(line) for line in reply.body.splitlines()
        ]


@pytest.fixture
async def serve():
    servers = []

    def start(service):
        sock, port = tornado.testing.bind_unused_port()
        server = tornado.httpserver.HTTPServer(service.application())
        server.add_sockets([sock])
        servers.append(server)
        return Client(f"127.0.0.1:{port}")

    yield start
    for server in servers:
        server.stop()
