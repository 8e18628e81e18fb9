"""Helpers of the configuration tests."""

import asyncio
import collections.abc
import contextlib
import pathlib
import time
import typing

import yaml

from standins import fleet, processes
from tests.integration import support
from wagtailstream_agent import settings as agent_settings
from wagtailstream_core import (
    configuration,
    errors,
    freshness,
    records,
    work,
)
from wagtailstream_entry.callers import operations
from wagtailstream_entry.commands import operator_settings
from wagtailstream_entry.endpoints import connection
from wagtailstream_runtime import factory, log_client, settings

# Longer than an instance treats its configuration as fresh without contact to
# the log.
STALE_SECONDS = freshness.FRESHNESS_LIMIT_SECONDS + 1.5
ATTEMPT_TIMEOUT_SECONDS = 30.0
PAUSE_SECONDS = 0.1
OWN_ROUTES = fleet.Options(has_own_routes=True)

Edit = collections.abc.Callable[[support.Json], None]


def write_bundle(directory: pathlib.Path, edit: Edit) -> pathlib.Path:
    """Write an edited copy of `bundle.yaml` and return its path."""
    document = yaml.safe_load(support.BUNDLE.read_text())
    edit(document)
    path = directory / "edited.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


def serve_candidate(document: support.Json) -> None:
    """Route all new drafter sessions to version 2, on a single endpoint."""
    document["models"][0]["rollout"]["stages"] = [1.0]
    del document["endpoints"][1]


def add_stages(document: support.Json) -> None:
    """Give the drafter's roll-out four stages."""
    stages = [0.000001, 0.25, 0.5, 1.0]
    document["models"][0]["rollout"]["stages"] = stages


def fetch_revision(started: fleet.Fleet) -> int:
    """Return the configuration revision that the first entry holds."""
    return int(started.fetch_status(started.entries[0])["revision"])


def is_reached_everywhere(started: fleet.Fleet, offset: int) -> bool:
    """Return whether all entries and their agents have reached an offset.

    A restarted agent can be listed twice; its highest offset counts.
    """
    for entry in started.entries:
        status = started.fetch_status(entry)
        offsets = {entry.name: status["offset"]}
        for agent in status["agents"]:
            name = agent.get("instance", agent["address"])
            offsets[name] = max(agent.get("offset", -1), offsets.get(name, -1))
        if min(offsets.values()) < offset:
            return False
    return True


def wait_everywhere(started: fleet.Fleet, offset: int) -> None:
    """Wait until all instances have reached an offset."""
    started.wait_until(
        lambda: is_reached_everywhere(started, offset),
        f"not all instances have reached offset {offset}",
    )


def repeat_for(
    seconds: float, function: collections.abc.Callable[[], support.Answer]
) -> list[support.Answer]:
    """Call a function repeatedly for a time and return the answers."""
    answers = []
    deadline = time.monotonic() + seconds
    while time.monotonic() < deadline:
        answers.append(function())
        time.sleep(PAUSE_SECONDS)
    return answers


def load_operator(
    started: fleet.Fleet, name: str
) -> operator_settings.OperatorSettings:
    """Return an operator's settings."""
    return settings.load(
        started.directory / f"{name}.yaml", operator_settings.OperatorSettings
    )


def make_change(
    started: fleet.Fleet,
    operator: str,
    make_record: collections.abc.Callable[
        [configuration.Configuration], records.Record
    ],
) -> operations.Change:
    """Return an operator's signed change, based on the log's current state.

    :param make_record: makes the record for the configuration in the log.
    """
    loaded = load_operator(started, operator)

    async def fetch() -> configuration.Configuration:
        log = log_client.HttpLogClient(str(loaded.log))
        return await operations.fetch_configuration(log, loaded.load_keyring())

    state = asyncio.run(fetch())
    payload = records.seal(make_record(state), loaded.load_signer())
    return operations.Change(payload, state)


def append_change(
    started: fleet.Fleet, change: operations.Change
) -> operations.ChangeResult:
    """Append a change to the log and return the result."""
    loaded = load_operator(started, "alice")

    async def append() -> operations.ChangeResult:
        log = log_client.HttpLogClient(str(loaded.log))
        return await operations.append_record(
            log, loaded.load_keyring(), change, 5
        )

    return asyncio.run(append())


def send_attempt(
    started: fleet.Fleet,
    endpoint: str,
    model_work: work.ModelWork,
    offset: int = 0,
    customer: str = "atelier",
) -> work.Refused | work.Accepted:
    """Send an attempt directly to an agent and return its answer.

    An up-to-date entry would refuse some of these attempts by itself.

    :param offset: the configuration offset that the attempt claims.
    """
    found = started.endpoints[endpoint]
    loaded = settings.load(found.agent_settings, agent_settings.AgentSettings)
    attempt = work.Attempt(
        support.make_key(),
        0,
        customer,
        offset,
        time.time() + ATTEMPT_TIMEOUT_SECONDS,
        0,
        model_work,
    )

    async def run() -> work.Refused | work.Accepted:
        agent_connection = connection.Connection(
            found.agent.address, factory.make_authenticator(loaded)
        )
        with contextlib.closing(agent_connection):
            opened = await agent_connection.open_run(attempt)
            async with asyncio.timeout(ATTEMPT_TIMEOUT_SECONDS):
                answer = await opened.next_answer()
            await opened.close()
        return typing.cast("work.Refused | work.Accepted", answer)

    return asyncio.run(run())


def find_reason(answer: work.Refused | work.Accepted) -> errors.Reason | None:
    """Return the reason of an agent's refusal; None if it accepted."""
    if isinstance(answer, work.Refused):
        assert answer.refusal.outcome is errors.Outcome.NOT_RUN
        return answer.refusal.reason
    return None


def list_model_runs(
    started: fleet.Fleet, model: str, version: str
) -> list[str]:
    """Return the ids of the requests that engines ran on a version."""
    return [
        run["request_id"]
        for run in support.list_runs(started)
        if (run.get("model"), run.get("version")) == (model, version)
    ]


def find_loaded(started: fleet.Fleet, endpoint: str) -> set[str]:
    """Return the versions loaded on an endpoint's engine."""
    backend: processes.Process = started.endpoints[endpoint].backend
    state = started.get_json(f"{backend.url}/state")
    return {f"{v['model']}@{v['version']}" for v in state["loaded"]}
