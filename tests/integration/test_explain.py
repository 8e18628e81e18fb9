"""The `explain` command finds a request's cause of failure in router logs.

The tests follow the three procedures of docs/OPERATIONS.md on logs of real
processes.
"""

import collections.abc
import dataclasses
import pathlib
import random
import subprocess
import sys

import pytest_asyncio

from standins import platform_caller, platform_endpoint, router_fleet
from wagtailstream_adapter import names

ROUTERS = 2
# Number of requests, of which one is answered by the test's plan. Each goes
# to a random router.
REQUESTS = 5
LOW_CONFIDENCE = dataclasses.replace(
    router_fleet.STREAM, headers=((names.CONFIDENCE, "3"),)
)
SHED = platform_endpoint.Plan(503, is_not_run=True, is_signed=False)
CUT = platform_endpoint.Plan(answers=False)


@pytest_asyncio.fixture
async def started(
    tmp_path: pathlib.Path,
) -> collections.abc.AsyncIterator[router_fleet.RouterFleet]:
    made = router_fleet.RouterFleet(tmp_path, ROUTERS)
    try:
        for number in range(2):
            await made.add_endpoint(f"plain-{number}", "plain")
            await made.add_endpoint(f"engine-{number}", "engine")
        await made.start()
        yield made
    finally:
        await made.stop()


def add_plan(
    started: router_fleet.RouterFleet,
    service: str,
    plan: platform_endpoint.Plan,
) -> None:
    """Have each endpoint of a service answer its next request by a plan."""
    for proxied in started.endpoints:
        if proxied.service == service:
            proxied.endpoint.plans.append(plan)


async def call_with_one_plan(
    started: router_fleet.RouterFleet,
    kind: str,
    service: str,
    plan: platform_endpoint.Plan,
) -> tuple[str, platform_caller.Reply]:
    """Send requests, of which one, drawn with a seed, is answered by a plan.

    :param plan: how the endpoints of the service answer that request.
    :returns: the id of that request and its answer.
    """
    generator = random.Random(7)
    chosen = f"request-{generator.randrange(REQUESTS)}"
    chosen_reply: platform_caller.Reply | None = None
    for number in range(REQUESTS):
        request_id = f"request-{number}"
        if request_id == chosen:
            add_plan(started, service, plan)
        address = generator.choice(started.addresses)
        reply = await started.call(request_id, kind, address)
        if request_id == chosen:
            chosen_reply = reply
            for proxied in started.endpoints:
                proxied.endpoint.plans.clear()
    assert chosen_reply is not None
    return chosen, chosen_reply


def explain(
    started: router_fleet.RouterFleet, request_id: str
) -> list[dict[str, str]]:
    """Run `explain` for a request and return its lines as fields by name."""
    done = subprocess.run(
        [
            sys.executable,
            "-m",
            "wagtailstream_adapter",
            "explain",
            request_id,
            *started.log_paths,
        ],
        capture_output=True,
        text=True,
        check=True,
    )
    lines = []
    for line in done.stdout.splitlines():
        _, node, event, *fields = line.split(" ")
        pairs = [field.partition("=") for field in fields if "=" in field]
        table = {key: value for key, _, value in pairs}
        lines.append(table | {"event": event, "node": node})
    return lines


async def test_refused_before_it_ran(
    started: router_fleet.RouterFleet,
) -> None:
    request_id, reply = await call_with_one_plan(
        started, "unsafe", "plain", SHED
    )
    assert reply.status == 503
    *before, last = explain(started, request_id)
    assert last["event"] == "refused"
    assert last["reason"] == "refused_by_endpoint"
    shed = [line for line in before if line["event"] == "attempt_failed"]
    assert {line["fault"] for line in shed} == {"shed"}
    assert {line["may_have_run"] for line in shed} == {"False"}
    assert shed[0]["endpoint"].startswith("plain-")


async def test_cut_after_it_was_sent(
    started: router_fleet.RouterFleet,
) -> None:
    request_id, reply = await call_with_one_plan(
        started, "unsafe", "plain", CUT
    )
    assert reply.status == 502
    *before, last = explain(started, request_id)
    assert last["event"] == "failed"
    assert last["reason"] == "failed_unknown"
    assert last["sent"] == "1"
    (sent,) = [line for line in before if line["event"] == "sent"]
    assert sent["endpoint"] in last["endpoints"]
    (cut,) = [line for line in before if line["event"] == "attempt_failed"]
    assert cut["fault"] == "broken"
    assert cut["may_have_run"] == "True"


async def test_served_by_a_larger_model_than_expected(
    started: router_fleet.RouterFleet,
) -> None:
    request_id, reply = await call_with_one_plan(
        started, "streaming", "engine", LOW_CONFIDENCE
    )
    assert reply.status == 200
    events = {line["event"]: line for line in explain(started, request_id)}
    climbed = events["model_climbed"]
    assert climbed["confidence"] == "3.0"
    assert (climbed["model"], climbed["larger"]) == ("small", "large")
    assert float(climbed["left_ms"]) > 0.0
    assert events["answered"]["model"] == "large"
    assert events["answered"]["sent"] == "2"
