"""Operators' commands, a forged record and an unknown peer."""

import collections.abc
import json
import pathlib
import subprocess
import sys

import grpclib.exceptions
import pytest
import requests

from standins import fleet
from tests.integration import support
from wagtailstream_core import records, signing, wire_grpc, wire_pb2
from wagtailstream_entry.commands import cli_output
from wagtailstream_entry.endpoints import connection
from wagtailstream_runtime import auth


@pytest.fixture(scope="module")
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet() as running:
        yield running


def run_operator_command(
    started: fleet.Fleet, *arguments: str
) -> support.Json:
    done = started.run_operator_command(
        "alice", *arguments, "--format", "json", check=False
    )
    value: support.Json = json.loads(done.stdout)
    return value | {"code": done.returncode}


def test_publisher_may_not_approve(started: fleet.Fleet) -> None:
    assert (
        run_operator_command(
            started, "bundle", "publish", str(support.BUNDLE)
        )["verdict"]
        == "accepted"
    )
    refused = run_operator_command(
        started, "bundle", "approve", str(support.BUNDLE)
    )
    assert refused["verdict"] == "not-permitted"
    assert refused["code"] == cli_output.EXIT_REJECTED


def test_signed_record_loses_to_an_earlier_change(
    started: fleet.Fleet, tmp_path: pathlib.Path
) -> None:
    out = tmp_path / "bundle.signed"
    started.run_operator_command(
        "alice", "bundle", "sign", str(support.BUNDLE), str(out)
    )
    started.run_operator_command(
        "bob", "bundle", "publish", str(support.BUNDLE)
    )
    lost = run_operator_command(
        started, "bundle", "publish", "--signed", str(out)
    )
    assert lost["verdict"] == "stale-base"
    assert lost["code"] == cli_output.EXIT_REJECTED


def test_lost_answer_is_resolved(started: fleet.Fleet) -> None:
    started.set_faults(started.platform["log"], lose_answers=1)
    done = run_operator_command(
        started, "bundle", "publish", str(support.BUNDLE)
    )
    assert done["verdict"] == "accepted"
    again = run_operator_command(started, "bundle", "status")
    assert again["revision"] == done["offset"]


def test_log_outage_is_reported(started: fleet.Fleet) -> None:
    started.set_faults(started.platform["log"], outage=True)
    try:
        done = started.run_operator_command(
            "alice", "bundle", "status", check=False
        )
    finally:
        started.set_faults(started.platform["log"], outage=False)
    assert done.returncode == cli_output.EXIT_FAILED
    assert "read" in done.stderr


def test_status_shows_every_instance(started: fleet.Fleet) -> None:
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wagtailstream_entry",
            "status",
            started.entries[0].url,
            "--format",
            "json",
        ],
        capture_output=True,
        text=True,
        timeout=support.TIMEOUT_SECONDS,
        check=True,
    )
    endpoints = {a["endpoint"] for a in json.loads(done.stdout)["agents"]}
    assert endpoints == set(started.endpoints)


def test_forged_record_is_refused_everywhere_and_counted(
    started: fleet.Fleet,
) -> None:
    pair = signing.generate_operator_key()
    forged = records.seal(
        records.Withdraw(base=0, model="drafter", version="1"),
        signing.OperatorSigner("alice", pair.private_key),
    )
    log = started.platform["log"].url
    requests.post(
        f"{log}/streams/config/records",
        data=forged,
        timeout=support.TIMEOUT_SECONDS,
    ).raise_for_status()

    def is_counted() -> bool:
        status = started.fetch_status(started.entries[0])
        return bool(
            status["counters"].get("configuration.rejected.bad-signature")
        )

    started.wait_until(is_counted, "the forged record was not counted")
    assert support.chat(started.entries[0], "Go on.").outcome == "completed"


async def test_agent_takes_no_work_from_an_unknown_peer(
    started: fleet.Fleet,
) -> None:
    address = started.endpoints["drafting-1"].agent.address
    unknown_peer = connection.Connection(
        address, auth.Authenticator("fleet-1", {"fleet-1": b"?" * 32})
    )
    stub = wire_grpc.AgentStub(unknown_peer._channel)
    with pytest.raises(grpclib.exceptions.GRPCError, match="unknown peer"):
        await stub.PullConfiguration(
            wire_pb2.ConfigurationPosition(),
            metadata=unknown_peer._make_metadata("PullConfiguration"),
        )
    unknown_peer.close()
