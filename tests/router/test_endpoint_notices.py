"""Endpoints that say in their answers that they leave or are full."""

import asyncio
import collections.abc
import dataclasses
import random
import time

import pytest

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import headers, names
from wagtailstream_router import (
    directory,
    endpoint_link,
    endpoint_notice,
    event_log,
    exchange,
    full_endpoints,
    health,
    job,
    metrics,
    notice_recorder,
)

LEAVING = ((names.LEAVING, "1"),)
EVENTS = platform_endpoint.make_events(range(1, 4))
STREAM = platform_endpoint.Plan(
    pieces=EVENTS,
    framing=platform_endpoint.Framing.CHUNKED,
    headers=((names.CONFIDENCE, "95"),),
)
# method, path, service, whether the answers are streams
KINDS = [
    ("GET", support.SAFE_PATH, "plain"),
    ("POST", support.UNSAFE_PATH, "plain"),
    ("POST", support.STREAM_PATH, "engine"),
]


@pytest.fixture
async def fleet() -> collections.abc.AsyncIterator[support.Fleet]:
    """Return a router with two endpoints of each service, not started."""
    value = support.Fleet()
    value.platform.put_configuration(support.make_configuration())
    for service in ("plain", "engine"):
        for number in (1, 2):
            endpoint = await value.add_endpoint(f"{service}-{number}", service)
            if service == "engine":
                endpoint.default = STREAM
    try:
        yield value
    finally:
        await value.close()


def find(
    fleet: support.Fleet, service: str
) -> list[platform_endpoint.PlatformEndpoint]:
    """Return the endpoints of a service."""
    return [
        endpoint
        for endpoint in fleet.endpoints
        if endpoint.identity.startswith(service)
    ]


def add_headers(
    plan: platform_endpoint.Plan, *pairs: tuple[str, str]
) -> platform_endpoint.Plan:
    """Return a plan with more headers."""
    return dataclasses.replace(plan, headers=(*plan.headers, *pairs))


def make_full(seconds: str) -> platform_endpoint.Plan:
    """Return a refusal that names a time."""
    return platform_endpoint.Plan(
        503,
        (b"full",),
        ((names.RETRY_AFTER, seconds),),
        is_signed=False,
        is_not_run=True,
    )


async def call(
    fleet: support.Fleet, method: str, path: str, number: int
) -> int:
    """Send a request of a kind and return the status of its answer."""
    fields = (
        support.make_stream_headers() if path == support.STREAM_PATH else {}
    )
    answer = await fleet.call(
        method, path, identity=f"request-{number}", **fields
    )
    return answer.status


async def call_until_reached(
    fleet: support.Fleet,
    endpoint: platform_endpoint.PlatformEndpoint,
    method: str,
    path: str,
) -> None:
    """Send requests until one reached an endpoint."""
    number = 1000
    while not endpoint.request_received.is_set():
        number += 1
        await call(fleet, method, path, number)


async def make_leave(
    fleet: support.Fleet, method: str, path: str, service: str
) -> tuple[
    platform_endpoint.PlatformEndpoint, platform_endpoint.PlatformEndpoint
]:
    """Let an endpoint say that it leaves; return it and the other one."""
    leaving, other = find(fleet, service)
    leaving.default = add_headers(leaving.default, *LEAVING)
    await call_until_reached(fleet, leaving, method, path)
    return leaving, other


@pytest.mark.parametrize(("method", "path", "service"), KINDS)
async def test_requests_reach_an_endpoint_after_it_said_that_it_leaves(
    fleet: support.Fleet, method: str, path: str, service: str
) -> None:
    await fleet.start()
    leaving, other = await make_leave(fleet, method, path, service)
    runs = leaving.runs
    for number in range(12):
        assert await call(fleet, method, path, number) == 200
    assert leaving.runs == runs
    assert other.runs >= 12
    assert fleet.counters.read(metrics.Counter.ENDPOINTS_LEAVING) == 1


@pytest.mark.parametrize("answer", ["refusal", "error", "unsigned"])
async def test_only_successes_are_read_for_leaving(
    fleet: support.Fleet, answer: str
) -> None:
    plan = {
        "refusal": platform_endpoint.Plan(
            503, (b"full",), LEAVING, is_signed=False, is_not_run=True
        ),
        "error": platform_endpoint.Plan(500, (b"error",), LEAVING),
        "unsigned": platform_endpoint.Plan(headers=LEAVING, is_signed=False),
    }[answer]
    leaving, other = find(fleet, "plain")
    leaving.default = plan
    await fleet.start()
    await call_until_reached(fleet, leaving, "GET", support.SAFE_PATH)
    leaving.request_received.clear()
    for number in range(6):
        assert await call(fleet, "GET", support.SAFE_PATH, number) == 200
    assert not leaving.request_received.is_set()


async def test_a_running_stream_ends_when_its_endpoint_leaves(
    fleet: support.Fleet,
) -> None:
    leaving, other = find(fleet, "engine")
    other.default = platform_endpoint.Plan(500, (b"error",))
    gate = asyncio.Event()
    await fleet.start()
    fields = support.make_stream_headers()
    leaving.plans = [dataclasses.replace(STREAM, gate=gate)]
    running = [
        asyncio.ensure_future(
            fleet.call(
                "POST",
                support.STREAM_PATH,
                identity=f"running-{number}",
                X_Model="*",
                X_Token_Usage="300,40",
                X_Prefix_Hash=f"{number:02x}:200,bb:100",
            )
        )
        for number in range(4)
    ]
    await fleet.wait_for(leaving.request_received.is_set)
    leaving.default = add_headers(STREAM, *LEAVING)
    while not fleet.has_event("endpoint_leaving"):
        await fleet.call(
            "POST", support.STREAM_PATH, identity="told", **fields
        )
    gate.set()
    answers = await asyncio.gather(*running)
    assert any(answer.body == b"".join(EVENTS) for answer in answers)


@pytest.mark.parametrize("sequence", [0, 99])
async def test_an_entry_undoes_what_the_endpoint_itself_said(
    fleet: support.Fleet, sequence: int
) -> None:
    await fleet.start()
    leaving, other = await make_leave(fleet, "GET", support.SAFE_PATH, "plain")
    runs = leaving.runs
    fleet.platform.put_endpoint(leaving, "plain", sequence=sequence)
    # Another zone: the entry differs from the one before, and is read.
    fleet.platform.put_endpoint(other, "plain", sequence=99, zone="zone-2")
    await fleet.wait_for(
        lambda: all(
            member.entry.zone == "zone-2"
            for member in fleet.router._members.list_ready("plain")
        )
    )
    for number in range(6):
        assert await call(fleet, "GET", support.SAFE_PATH, number) == 200
    assert leaving.runs == runs


async def test_a_notice_is_forgotten_while_the_entry_is_missing(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    leaving, _ = await make_leave(fleet, "GET", support.SAFE_PATH, "plain")
    runs = leaving.runs
    fleet.platform.endpoints.put(leaving.identity, None)
    await fleet.wait_for_event("endpoint_gone")
    fleet.platform.put_endpoint(leaving, "plain", sequence=2)
    await fleet.wait_for(
        lambda: leaving.identity in fleet.router._members.members
    )
    for number in range(6):
        assert await call(fleet, "GET", support.SAFE_PATH, number) == 200
    assert leaving.runs == runs


async def test_a_new_start_stays_shut_out(fleet: support.Fleet) -> None:
    await fleet.start()
    leaving, other = await make_leave(fleet, "GET", support.SAFE_PATH, "plain")
    leaving.default = platform_endpoint.Plan()
    leaving.request_received.clear()
    fleet.platform.put_endpoint(leaving, "plain", sequence=1, born=2)
    fleet.platform.put_endpoint(other, "plain", state="draining", sequence=2)
    await call_until_reached(fleet, leaving, "GET", support.SAFE_PATH)
    assert await call(fleet, "GET", support.SAFE_PATH, 1) == 200


@pytest.mark.parametrize("value", ["0", "yes", "", "11", "1, 1"])
async def test_a_malformed_notice_shuts_an_endpoint_out(
    fleet: support.Fleet, value: str
) -> None:
    plain, _ = find(fleet, "plain")
    plain.default = add_headers(plain.default, (names.LEAVING, value))
    await fleet.start()
    await call_until_reached(fleet, plain, "GET", support.SAFE_PATH)
    assert not fleet.has_event("endpoint_leaving")
    assert fleet.counters.read(metrics.Counter.LEAVING_IGNORED) >= 1


@pytest.mark.parametrize(
    "plan",
    [
        platform_endpoint.Plan(421, (b"x",), LEAVING, is_signed=False),
        platform_endpoint.Plan(headers=LEAVING, echo="another"),
        platform_endpoint.Plan(
            headers=(*LEAVING, (names.INSTANCE, "another"))
        ),
    ],
)
async def test_an_answer_of_another_shuts_an_endpoint_out(
    fleet: support.Fleet, plan: platform_endpoint.Plan
) -> None:
    plain, _ = find(fleet, "plain")
    plain.default = plan
    await fleet.start()
    await call_until_reached(fleet, plain, "GET", support.SAFE_PATH)
    assert not fleet.has_event("endpoint_leaving")


async def test_an_answer_at_an_address_given_anew_shuts_the_old_one_out(
    fleet: support.Fleet,
) -> None:
    plain, _ = find(fleet, "plain")
    plain.default = platform_endpoint.Plan(headers=LEAVING)
    fleet.platform.endpoints.put(
        "later",
        b'{"service": "other", "address": "%s", "zone": "zone-1",'
        b' "version": "v1", "slots": 8, "state": "ready", "sequence": 1,'
        b' "born": 9}' % plain.address.encode(),
    )
    await fleet.start()
    await call_until_reached(fleet, plain, "GET", support.SAFE_PATH)
    assert not fleet.has_event("endpoint_leaving")


@pytest.mark.parametrize(("method", "path", "service"), KINDS)
async def test_requests_wait_while_all_endpoints_leave(
    fleet: support.Fleet, method: str, path: str, service: str
) -> None:
    for endpoint in find(fleet, service):
        endpoint.default = add_headers(endpoint.default, *LEAVING)
    await fleet.start()
    while fleet.counters.read(metrics.Counter.ENDPOINTS_LEAVING) < 2:
        await call(fleet, method, path, 1)
    runs = sum(endpoint.runs for endpoint in find(fleet, service))
    began = time.monotonic()
    assert await call(fleet, method, path, 2) == 503
    assert time.monotonic() - began < 1.0
    assert sum(endpoint.runs for endpoint in find(fleet, service)) == runs
    assert fleet.counters.read(metrics.Counter.REFUSED_LEAVING) >= 1


class TellingPool(endpoint_link.LinkPool):
    """A pool whose endpoint speaks while a connection to it is opened."""

    def __init__(self, speak: collections.abc.Callable[[], object]) -> None:
        super().__init__(headers.PlatformHeaders())
        self._speak = speak

    async def acquire(
        self,
        address: str,
        used: collections.abc.Container[endpoint_link.EndpointLink] = (),
        identity: str = "",
    ) -> endpoint_link.EndpointLink:
        """Return a connection, after the endpoint has spoken."""
        link = await super().acquire(address, used, identity)
        self._speak()
        return link


@pytest.mark.parametrize("fault", [health.Fault.LEAVING, health.Fault.FULL])
async def test_a_chosen_request_is_sent_after_the_endpoint_spoke(
    fleet: support.Fleet, fault: health.Fault
) -> None:
    await fleet.start()
    plain, _ = find(fleet, "plain")
    members = fleet.router._members
    members.refresh()
    member = members.members[plain.identity]

    def speak() -> None:
        if fault is health.Fault.LEAVING:
            member.notices.record_leaving()
        else:
            member.notices.record_full(0.0, time.monotonic() + 9.0)

    log = event_log.MemoryEventLog()
    counters = metrics.Metrics()
    sender = exchange.Sender(
        TellingPool(speak),
        headers.PlatformHeaders(),
        log,
        counters,
        notice_recorder.NoticeRecorder(
            members, lambda: 15.0, lambda: None, log, counters
        ),
    )
    call_ = support.make_stream_request("chosen")
    task = job.Job(
        call_,
        support.get_route("safe"),
        "plain",
        None,
        time.monotonic() + 2.0,
        1,
        support.DiscardingReply(),
    )
    with pytest.raises(exchange.AttemptError) as raised:
        async with sender.open(task, member, "", 1.0, lambda: True):
            pass
    assert raised.value.fault is fault
    assert not raised.value.may_have_run
    assert plain.runs == 0


def make_members(
    fleet: support.Fleet,
) -> list[directory.Member]:
    """Return the members of the plain service."""
    fleet.router._members.refresh()
    return fleet.router._members.list_ready("plain")


async def test_hearsay_empties_a_service(fleet: support.Fleet) -> None:
    await fleet.start()
    members = fleet.router._members
    first, second = make_members(fleet)
    members.merge_peer_leaving([(first.identity, first.entry.born_ms + 1)])
    assert directory.list_available([first, second]) == [first, second]
    members.merge_peer_leaving([(first.identity, first.entry.born_ms)])
    assert directory.list_available([first, second]) == [second]
    members.merge_peer_leaving([(second.identity, second.entry.born_ms)])
    assert directory.list_available([first, second]) == [first, second]
    assert await call(fleet, "GET", support.SAFE_PATH, 1) == 200


@pytest.mark.parametrize(("method", "path", "service"), KINDS)
async def test_requests_reach_an_endpoint_while_it_is_full(
    fleet: support.Fleet, method: str, path: str, service: str
) -> None:
    full, other = find(fleet, service)
    full.default = make_full("0.6")
    await fleet.start()
    await call_until_reached(fleet, full, method, path)
    until = time.monotonic() + 0.5
    full.request_received.clear()
    number = 0
    while time.monotonic() < until:
        number += 1
        assert await call(fleet, method, path, number) == 200
    assert not full.request_received.is_set()
    # It gets requests again after the time that it named.
    full.default = other.default
    while not full.request_received.is_set():
        number += 1
        fleet.router._members.refresh()
        await asyncio.gather(
            *(
                call(fleet, method, path, number * 100 + place)
                for place in range(12)
            )
        )


async def test_a_full_endpoint_is_asked_again_on_a_new_connection(
    fleet: support.Fleet,
) -> None:
    full, _ = find(fleet, "plain")
    full.default = dataclasses.replace(
        make_full("9"), framing=platform_endpoint.Framing.CLOSE
    )
    await fleet.start()
    await call_until_reached(fleet, full, "GET", support.SAFE_PATH)
    await fleet.wait_for(full.disconnected.is_set)
    full.request_received.clear()
    for number in range(8):
        assert await call(fleet, "GET", support.SAFE_PATH, number) == 200
    assert not full.request_received.is_set()


async def fill_all(fleet: support.Fleet, seconds: str) -> None:
    """Let both plain endpoints say that they are full."""
    for endpoint in find(fleet, "plain"):
        endpoint.default = make_full(seconds)
    number = 0
    while fleet.counters.read(metrics.Counter.ENDPOINTS_FULL) < 2:
        number += 1
        await call(fleet, "GET", support.SAFE_PATH, number)


async def test_a_request_is_refused_although_an_endpoint_is_free_in_time(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    await fill_all(fleet, "0.5")
    for endpoint in find(fleet, "plain"):
        endpoint.default = platform_endpoint.Plan()
    assert await call(fleet, "POST", support.UNSAFE_PATH, 7) == 200
    assert fleet.counters.read(metrics.Counter.WAITED_FULL) >= 1


async def test_a_request_waits_in_vain_for_endpoints_that_stay_full(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    await fill_all(fleet, "8")
    began = time.monotonic()
    answer = await fleet.call("POST", support.UNSAFE_PATH, identity="waits")
    assert answer.status == 503
    assert time.monotonic() - began < 1.0
    assert float(answer.headers["retry-after"]) > 6.0
    assert fleet.counters.read(metrics.Counter.REFUSED_FULL) >= 1


async def test_a_request_waits_until_too_late_for_an_answer(
    fleet: support.Fleet,
) -> None:
    """The deadline is 2.5 s away, and the route's target time is 1 s."""
    await fleet.start()
    await fill_all(fleet, "2.2")
    began = time.monotonic()
    answer = await fleet.call("POST", support.UNSAFE_PATH, identity="waits")
    assert answer.status == 503
    assert time.monotonic() - began < 1.0
    assert fleet.counters.read(metrics.Counter.WAITED_FULL) == 0


async def test_retries_are_spent_on_full_endpoints(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    await fill_all(fleet, "8")
    for endpoint in find(fleet, "plain"):
        endpoint.request_received.clear()
    for number in range(5):
        assert await call(fleet, "GET", support.SAFE_PATH, number) == 503
    assert not any(
        endpoint.request_received.is_set() for endpoint in find(fleet, "plain")
    )


@pytest.mark.parametrize("value", ["-1", "inf", "nan", "soon", "", "1e999"])
async def test_a_malformed_time_shuts_an_endpoint_out(
    fleet: support.Fleet, value: str
) -> None:
    full, _ = find(fleet, "plain")
    full.plans = [make_full(value)]
    await fleet.start()
    await call_until_reached(fleet, full, "GET", support.SAFE_PATH)
    assert not fleet.has_event("endpoint_full")
    assert fleet.counters.read(metrics.Counter.RETRY_AFTERS_IGNORED) == 1


async def test_an_absurd_time_shuts_an_endpoint_out_for_good(
    fleet: support.Fleet,
) -> None:
    full, _ = find(fleet, "plain")
    full.plans = [make_full("1e12")]
    await fleet.start()
    await call_until_reached(fleet, full, "GET", support.SAFE_PATH)
    line = await fleet.wait_for_event("endpoint_full")
    assert line["seconds"] == 15.0
    assert fleet.counters.read(metrics.Counter.RETRY_AFTERS_CLAMPED) == 1


def test_an_overtaken_answer_shortens_the_time() -> None:
    notices = endpoint_notice.Notices()
    assert notices.record_full(10.0, 100.0)
    assert not notices.record_full(9.0, 50.0)
    assert notices.full_until == 100.0
    assert notices.record_full(9.0, 110.0)
    assert notices.record_full(11.0, 60.0)
    assert notices.full_until == 60.0


async def test_waiting_requests_go_on_regardless_of_priority() -> None:
    queue = full_endpoints.FullQueue()
    until = time.monotonic() + 0.05
    order: list[int] = []

    async def wait(priority: int) -> None:
        await queue.wait(until, priority)
        order.append(priority)

    await asyncio.gather(*(wait(priority) for priority in (5, 0, 9, 2)))
    assert order == [0, 2, 5, 9]


def test_refused_callers_return_in_one_wave() -> None:
    generator = random.Random(1)
    times = [full_endpoints.spread_seconds(4.0, generator) for _ in range(100)]
    assert min(times) >= 4.0
    assert max(times) - min(times) > 1.0


async def test_a_light_customer_waits_behind_a_flood_for_a_full_endpoint() -> (
    None
):
    """Forty requests of one customer came before one of another."""
    use = {"hot": 900.0, "light": 10.0}
    queue = full_endpoints.FullQueue(use.__getitem__)
    until = time.monotonic() + 0.05
    order = []

    async def wait(priority: int, customer: str) -> None:
        await queue.wait(until, priority, customer)
        order.append((priority, customer))

    await asyncio.gather(
        *(wait(1, "hot") for _ in range(40)),
        wait(1, "light"),
        wait(0, "hot"),
    )
    assert order[:3] == [(0, "hot"), (1, "light"), (1, "hot")]
