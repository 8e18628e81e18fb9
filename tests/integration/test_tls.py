"""TLS between instances and between callers and entries."""

import asyncio
import pathlib

import grpclib.client
import pytest
import requests

from standins import fleet
from tests.integration import certificates, support
from wagtailstream_core import wire_grpc, wire_pb2
from wagtailstream_entry.endpoints import connection


async def call_without_tls(address: str) -> None:
    host, port = address.split(":")
    channel = grpclib.client.Channel(host, int(port))
    try:
        stub = wire_grpc.AgentStub(channel)
        async with asyncio.timeout(support.TIMEOUT_SECONDS):
            await stub.PullConfiguration(wire_pb2.ConfigurationPosition())
    finally:
        channel.close()


def test_work_runs_over_tls_and_plain_peers_are_refused(
    tmp_path: pathlib.Path,
) -> None:
    files = certificates.write_certificates(tmp_path)
    caller_tls = {k: files[k] for k in ("certificate", "private_key")}
    options = fleet.Options(
        agent={"tls": files}, entry={"tls": files, "caller_tls": caller_tls}
    )
    started = fleet.Fleet(tmp_path, support.BUNDLE, options)
    try:
        started.start(1)
        url = started.entries[0].url.replace("http:", "https:")
        started.publish_without_waiting()

        def is_ready() -> bool:
            answer = requests.post(
                f"{url}/v1/chat/completions",
                json={
                    "model": "drafter",
                    "messages": [{"role": "user", "content": "Go."}],
                },
                headers={"Authorization": f"Bearer {support.KEY}"},
                verify=files["authority"],
                timeout=support.TIMEOUT_SECONDS,
            )
            return answer.status_code == 200

        started.wait_until(is_ready, "no answer over TLS")
        agent = started.endpoints["drafting-1"].agent
        with pytest.raises(connection.CALL_ERRORS):
            asyncio.run(call_without_tls(agent.address))
    finally:
        started.kill()
