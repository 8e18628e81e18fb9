"""Roll-outs of plain services: exposure, evidence and retries."""

import asyncio
import collections.abc
import time

import orjson

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import records
from wagtailstream_router import rollout_state

FAILING = platform_endpoint.Plan(500, (b"internal error",))


async def start(
    fleet: support.Fleet,
) -> list[platform_endpoint.PlatformEndpoint]:
    """Start a router before two endpoints of v1; return two of v2."""
    for number in range(2):
        await fleet.add_endpoint(f"old-{number}", "plain")
    await fleet.start()
    for number in range(20):
        await fleet.call("GET", support.SAFE_PATH, identity=f"first-{number}")
    return [
        await fleet.add_endpoint(f"new-{number}", "plain", version="v2")
        for number in range(2)
    ]


async def order(fleet: support.Fleet, seconds: float = 20.0) -> None:
    """Order a roll-out to v2 and wait until the router has seen it."""
    value = {"service": "plain", "target": "v2", "durationS": seconds}
    fleet.platform.operator.put("rollout/plain", orjson.dumps(value))
    await fleet.wait_for(
        lambda: (
            fleet.has_event("rollout_ordered")
            and fleet.router.endpoint_count == 4
        )
    )


async def read_stage(fleet: support.Fleet) -> rollout_state.Stage | None:
    page = await fleet.platform.status.read_newest()
    if not page.records or page.records[0].value is None:
        return None
    codec = records.PlatformRecords()
    return codec.decode_status(page.records[0].value).status.stage


async def wait_for_stage(
    fleet: support.Fleet, stage: rollout_state.Stage
) -> None:
    while await read_stage(fleet) is not stage:
        await asyncio.sleep(0.01)


def count_runs(
    endpoints: collections.abc.Iterable[platform_endpoint.PlatformEndpoint],
) -> int:
    return sum(endpoint.runs for endpoint in endpoints)


async def test_a_bad_version_of_a_plain_service_is_rolled_back(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    for endpoint in new:
        endpoint.default = FAILING
    await order(fleet)
    for number in range(100):
        await fleet.call("GET", support.SAFE_PATH, identity=f"get-{number}")
        await fleet.call(
            "POST", support.UNSAFE_PATH, b"x", identity=f"post-{number}"
        )
    await asyncio.wait_for(
        wait_for_stage(fleet, rollout_state.Stage.ROLLED_BACK), 10.0
    )
    assert 0 < count_runs(new) < 0.15 * 200
    before = count_runs(new)
    for number in range(50):
        reply = await fleet.call(
            "POST", support.UNSAFE_PATH, b"x", identity=f"after-{number}"
        )
        assert reply.status == 200
    assert count_runs(new) == before


async def test_attempts_count_when_they_are_sent(fleet: support.Fleet) -> None:
    new = await start(fleet)
    await order(fleet)
    for number in range(60):
        await fleet.call("GET", support.SAFE_PATH, identity=f"get-{number}")
    line = await asyncio.wait_for(_read_evidence(fleet, requests=60), 5.0)
    assert line["new_sent"] == count_runs(new) > 0


async def _read_evidence(
    fleet: support.Fleet, requests: int
) -> dict[str, object]:
    """Wait for a line on the evidence that counts some requests."""
    while True:
        for event, fields in fleet.log.lines:
            if event == "rollout_evidence" and fields["requests"] == requests:
                return fields
        await asyncio.sleep(0.01)


async def test_a_slow_version_of_a_plain_service_is_rolled_back(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    gate = asyncio.Event()
    for endpoint in new:
        endpoint.default = platform_endpoint.Plan(gate=gate)
    await order(fleet)
    calls = []
    for number in range(60):
        identity = f"post-{number}"
        call = fleet.call("POST", support.UNSAFE_PATH, b"x", identity)
        calls.append(asyncio.ensure_future(call))
        await asyncio.wait(calls[-1:], timeout=0.02)
    ended = await asyncio.wait_for(fleet.wait_for_event("rollout_ended"), 2.0)
    gate.set()
    assert ended["stage"] == "rolled_back"
    replies = await asyncio.gather(*calls)
    assert {reply.status for reply in replies} == {200}


async def test_a_retry_after_a_new_version_failed_goes_to_the_old_one(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    for endpoint in new:
        endpoint.default = FAILING
    await order(fleet)
    for number in range(100):
        reply = await fleet.call(
            "GET", support.SAFE_PATH, identity=f"get-{number}"
        )
        assert reply.status == 200
    assert count_runs(new) > 0


async def test_requests_that_fail_at_any_version_do_not_roll_a_good_one_back(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    await order(fleet)
    exposed = []
    for number in range(100):
        before = count_runs(new)
        identity = f"get-{number}"
        await fleet.call("GET", support.SAFE_PATH, identity=identity)
        if count_runs(new) > before:
            exposed.append(identity)
    assert len(exposed) > 5
    for endpoint in fleet.endpoints:
        endpoint.default = FAILING
    for identity in exposed:
        reply = await fleet.call("GET", support.SAFE_PATH, identity=identity)
        assert reply.status == 500
    assert not fleet.has_event("rollout_ended")


async def test_a_route_that_always_times_out_does_not_hide_a_slow_version(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    await order(fleet)
    gate = asyncio.Event()
    for endpoint in fleet.endpoints:
        endpoint.default = platform_endpoint.Plan(gate=gate)
    await asyncio.gather(
        *(
            fleet.call(
                "POST",
                support.UNSAFE_PATH,
                b"x",
                identity=f"long-{number}",
                deadline_ms=300,
            )
            for number in range(40)
        )
    )
    for number in range(120):
        for endpoint in fleet.endpoints:
            is_slow = endpoint in new and number % 2 == 0
            endpoint.default = platform_endpoint.Plan(
                gate=gate if is_slow else None
            )
        await fleet.call("GET", support.SAFE_PATH, identity=f"get-{number}")
    gate.set()
    ended = await asyncio.wait_for(fleet.wait_for_event("rollout_ended"), 2.0)
    assert ended["stage"] == "rolled_back"


async def test_a_good_version_of_a_plain_service_is_completed(
    fleet: support.Fleet,
) -> None:
    new = await start(fleet)
    await order(fleet, seconds=1.0)
    deadline = time.monotonic() + 20.0
    number = 0
    while await read_stage(fleet) is not rollout_state.Stage.COMPLETED:
        assert time.monotonic() < deadline
        number += 1
        await fleet.call("GET", support.SAFE_PATH, identity=f"get-{number}")
    before = count_runs(new)
    for number in range(30):
        await fleet.call("GET", support.SAFE_PATH, identity=f"after-{number}")
    assert count_runs(new) == before + 30


async def test_a_long_route_does_not_hide_late_answers_of_a_short_one(
    fleet: support.Fleet,
) -> None:
    await start(fleet)
    for endpoint in fleet.endpoints:
        endpoint.default = platform_endpoint.Plan()
    gate = asyncio.Event()
    limits = {}
    for number in range(5):
        for endpoint in fleet.endpoints:
            endpoint.default = platform_endpoint.Plan(gate=gate)
        long = asyncio.ensure_future(
            fleet.call(
                "POST", support.UNSAFE_PATH, b"x", identity=f"long-{number}"
            )
        )
        await asyncio.sleep(0.2)
        gate.set()
        await long
        gate = asyncio.Event()
        for endpoint in fleet.endpoints:
            endpoint.default = platform_endpoint.Plan()
        await fleet.call("GET", support.SAFE_PATH, identity=f"short-{number}")
    for event, fields in fleet.log.lines:
        if event == "answered":
            kind = str(fields["request"]).partition("-")[0]
            limits[kind] = fields["late_after_ms"]
    assert limits["short"] < limits["long"]
