"""What the tests of the configuration share."""

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

# Longer than an instance trusts a configuration without news of the log.
STALE_SECONDS = freshness.FRESHNESS_LIMIT_SECONDS + 1.5
WORK_SECONDS = 30.0
PAUSE_SECONDS = 0.1
OWN_ROUTES = fleet.Options(has_own_routes=True)

Edit = collections.abc.Callable[[support.Json], None]


def write_bundle(directory: pathlib.Path, edit: Edit) -> pathlib.Path:
    """Write an edited copy of the small bundle and return its path."""
    document = yaml.safe_load(support.BUNDLE.read_text())
    edit(document)
    path = directory / "edited.yaml"
    path.write_text(yaml.safe_dump(document))
    return path


def serve_candidate(document: support.Json) -> None:
    """Give version 2 of the drafter to all new sessions, on one endpoint."""
    document["models"][0]["rollout"]["stages"] = [1.0]
    del document["endpoints"][1]


def add_stages(document: support.Json) -> None:
    """Give the roll-out of the drafter a stage after the third."""
    stages = [0.000001, 0.25, 0.5, 1.0]
    document["models"][0]["rollout"]["stages"] = stages


def fetch_revision(started: fleet.Fleet) -> int:
    """Return the first entry's revision of the configuration."""
    return int(started.fetch_status(started.entries[0])["revision"])


def is_everywhere(started: fleet.Fleet, offset: int) -> bool:
    """Return whether all entries, and all agents they know, are there.

    Of an agent that was started anew, the newer process counts.
    """
    for entry in started.entries:
        status = started.fetch_status(entry)
        held = {entry.name: status["offset"]}
        for agent in status["agents"]:
            name = agent.get("instance", agent["address"])
            held[name] = max(agent.get("offset", -1), held.get(name, -1))
        if min(held.values()) < offset:
            return False
    return True


def wait_everywhere(started: fleet.Fleet, offset: int) -> None:
    """Wait until all instances hold an offset."""
    started.wait_until(
        lambda: is_everywhere(started, offset), f"{offset} is not everywhere"
    )


def repeat_for(
    seconds: float, function: collections.abc.Callable[[], support.Answer]
) -> list[support.Answer]:
    """Return the answers of calls over a time."""
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
    """Return an operator's change, based on what the log holds now."""
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
    """Append a change and return what became of it."""
    loaded = load_operator(started, "alice")

    async def append() -> operations.ChangeResult:
        log = log_client.HttpLogClient(str(loaded.log))
        return await operations.append_record(
            log, loaded.load_keyring(), change, 5
        )

    return asyncio.run(append())


def run_directly(
    started: fleet.Fleet,
    endpoint: str,
    model_work: work.ModelWork,
    offset: int = 0,
    customer: str = "atelier",
) -> work.Refused | work.Accepted:
    """Send an attempt to an agent, as an entry with its own ideas would.

    :param offset: the offset that the entry says it holds.
    """
    found = started.endpoints[endpoint]
    loaded = settings.load(found.agent_settings, agent_settings.AgentSettings)
    attempt = work.Attempt(
        support.make_key(),
        0,
        customer,
        offset,
        time.time() + WORK_SECONDS,
        0,
        model_work,
    )

    async def run() -> work.Refused | work.Accepted:
        dialled = connection.Connection(
            found.agent.address, factory.make_authenticator(loaded)
        )
        with contextlib.closing(dialled):
            opened = await dialled.open_run(attempt)
            async with asyncio.timeout(WORK_SECONDS):
                answer = await opened.next_answer()
            await opened.close()
        return typing.cast("work.Refused | work.Accepted", answer)

    return asyncio.run(run())


def find_reason(answer: work.Refused | work.Accepted) -> errors.Reason | None:
    """Return why an agent refused; None if it did not."""
    if isinstance(answer, work.Refused):
        assert answer.refusal.outcome is errors.Outcome.NOT_RUN
        return answer.refusal.reason
    return None


def list_model_runs(
    started: fleet.Fleet, model: str, version: str
) -> list[str]:
    """Return the requests that any engine ran on a version."""
    return [
        run["request_id"]
        for run in support.list_runs(started)
        if (run.get("model"), run.get("version")) == (model, version)
    ]


def find_loaded(started: fleet.Fleet, endpoint: str) -> set[str]:
    """Return the versions that an endpoint's engine holds."""
    backend: processes.Process = started.endpoints[endpoint].backend
    state = started.get_json(f"{backend.url}/state")
    return {f"{v['model']}@{v['version']}" for v in state["loaded"]}
