"""Streams are passed on in whole events and resumed after the last one."""

import asyncio
import dataclasses

from standins import platform_endpoint
from tests.router import support
from wagtailstream_adapter import names
from wagtailstream_router import forward_stream, metrics
from wagtailstream_router.cascade import demand

CHUNKED = platform_endpoint.Framing.CHUNKED
CONFIDENT = ((names.CONFIDENCE, "95"),)
DOUBTFUL = ((names.CONFIDENCE, "3"),)


def make_plan(
    first: int,
    last: int,
    end: platform_endpoint.End = platform_endpoint.End.WHOLE,
    tail: bytes = b"",
    headers: tuple[tuple[str, str], ...] = CONFIDENT,
) -> platform_endpoint.Plan:
    """Return a stream of events with the ids from first to last.

    :param tail: bytes after the last event.
    """
    pieces = platform_endpoint.make_events(range(first, last + 1))
    if tail:
        pieces = (*pieces, tail)
    return platform_endpoint.Plan(
        pieces=pieces, framing=CHUNKED, end=end, headers=headers
    )


async def call_stream(
    fleet: support.Fleet, identity: str = "request-1", **fields: str
) -> "support.platform_caller.Reply":
    return await fleet.call(
        "POST",
        support.STREAM_PATH,
        b"prompt",
        identity=identity,
        **support.make_stream_headers(),
        **fields,
    )


async def call_own_prompt(
    fleet: support.Fleet, number: int
) -> "support.platform_caller.Reply":
    """Send a request that shares no prompt part with other numbers."""
    fields = support.make_stream_headers()
    fields["X_Prefix_Hash"] = f"p{number}:200,q{number}:100"
    return await fleet.call(
        "POST",
        support.STREAM_PATH,
        b"prompt",
        identity=f"r-{number}",
        **fields,
    )


async def test_a_confident_answer_of_the_smallest_model_is_passed_on(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(1, 5)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 6)))
    assert endpoint.arrivals[0].headers["x-model"] == "small"
    # Two steps a rank; the customer's rank of 2 goes before the route's of 1.
    assert endpoint.arrivals[0].headers["x-request-priority"] == "4"


async def test_a_doubtful_answer_is_regenerated_by_the_largest_model(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.plans = [make_plan(1, 5, headers=DOUBTFUL), make_plan(1, 7)]
    await fleet.start()
    reply = await call_stream(fleet)
    models = [arrival.headers["x-model"] for arrival in endpoint.arrivals]
    assert models == ["small", "large"]
    assert [
        arrival.headers["x-request-priority"] for arrival in endpoint.arrivals
    ] == ["4", "5"]
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 8)))


async def test_the_log_and_metrics_do_not_tell_what_priced_a_choice(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.plans = [
        make_plan(1, 2, headers=DOUBTFUL),
        make_plan(1, 2),
        make_plan(1, 2),
    ]
    await fleet.start()
    await call_stream(fleet)
    line = await fleet.wait_for_event("model_climbed")
    assert isinstance(line["time_price"], float)
    assert line["engines"] == 1
    assert isinstance(line["offered_ms"], int)
    assert line["offered_ms"] > 0
    assert isinstance(line["room_ms"], int)
    assert line["room_ms"] > 0
    assert line["learnt_share"] == 1.0
    assert isinstance(line["price_age_ms"], int)
    await call_stream(fleet, "request-2")
    await fleet.wait_for_event("model_kept")
    assert fleet.counters.read(metrics.Counter.CLIMBED) == 1
    assert fleet.counters.read(metrics.Counter.CLIMB_NOT_WORTH) == 1
    kept = await fleet.wait_for_event("model_kept")
    price = fleet.counters.read_gauge(metrics.Gauge.TIME_PRICE)
    assert round(price, 3) == kept["time_price"]
    assert "\nwagtailstream_engine_time_price " in fleet.counters.render()


async def test_a_request_that_displaces_more_valuable_ones_climbs(
    fleet: support.Fleet,
) -> None:
    """Offers of ten times the gain a second fill all engines."""
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(1, 5, headers=DOUBTFUL)
    await fleet.start()
    price = fleet.router.prices.of("engine")
    for _ in range(100):
        price.record_demand([demand.Offer(1000.0, 500.0)], 1000.0)
    reply = await call_stream(fleet)
    assert reply.is_complete
    models = [arrival.headers["x-model"] for arrival in endpoint.arrivals]
    assert models == ["small"]
    line = await fleet.wait_for_event("model_kept")
    assert line["time_price"] == 1000.0
    counter = metrics.Counter.CLIMB_DENIED_PRICE
    assert fleet.counters.read(counter) == 1


async def test_a_refused_request_offers_nothing(
    fleet: support.Fleet,
) -> None:
    """The price is high when others are refused: they count as offers."""
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.status == 503
    assert fleet.router.prices.of("engine").offered_ms > 0.0


async def test_a_cut_stream_is_resumed_after_the_last_whole_event(
    fleet: support.Fleet,
) -> None:
    first = await fleet.add_endpoint("engine-1", "engine")
    second = await fleet.add_endpoint("engine-2", "engine")
    cut = make_plan(1, 3, platform_endpoint.End.CUT, b"id: 4\ndata: to")
    first.plans = second.plans = [cut]
    first.default = second.default = make_plan(4, 6)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 7)))
    arrivals = first.arrivals + second.arrivals
    assert sorted(
        arrival.headers.get("last-event-id", "") for arrival in arrivals
    ) == ["", "3"]


async def test_a_silent_stream_is_resumed_at_another_endpoint(
    fleet: support.Fleet,
) -> None:
    first = await fleet.add_endpoint("engine-1", "engine")
    second = await fleet.add_endpoint("engine-2", "engine")
    silent = make_plan(1, 2, platform_endpoint.End.SILENT)
    first.plans = second.plans = [silent]
    first.default = second.default = make_plan(3, 4)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 5)))
    await asyncio.wait(
        [
            asyncio.ensure_future(endpoint.disconnected.wait())
            for endpoint in (first, second)
        ],
        return_when=asyncio.FIRST_COMPLETED,
    )


async def test_a_slow_stream_is_cut_while_no_engine_would_be_faster(
    fleet: support.Fleet,
) -> None:
    """All engines are late by 5 s; events come 0.3 s apart, 0.4 s allowed."""
    slow = dataclasses.replace(make_plan(1, 4), piece_pause_seconds=0.3)
    engines = []
    for number in (1, 2):
        engine = await fleet.add_endpoint(f"engine-{number}", "engine")
        engine.default = slow
        engines.append(engine)
    await fleet.start()
    for member in fleet.router._members.members.values():
        for _ in range(20):
            member.lag.record(5000.0)
    reply = await call_stream(fleet)
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 5)))
    assert sum(engine.runs for engine in engines) == 1


async def test_a_slow_stream_stays_where_another_engine_would_be_faster(
    fleet: support.Fleet,
) -> None:
    """As above, but nothing waits at the other engine."""
    slow = dataclasses.replace(make_plan(1, 4), piece_pause_seconds=0.3)
    engines = []
    for number in (1, 2):
        engine = await fleet.add_endpoint(f"engine-{number}", "engine")
        engine.plans = [slow]
        engine.default = make_plan(2, 4)
        engines.append(engine)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 5)))
    assert sum(engine.runs for engine in engines) > 1


async def test_a_stream_that_can_not_be_resumed_ends_incomplete(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(1, 2, platform_endpoint.End.CUT)
    table = support.make_configuration(2)
    routes = table["routes"]
    assert isinstance(routes, list)
    routes[2]["streamResumption"] = False
    fleet.platform.put_configuration(table)
    await fleet.start()
    reply = await call_stream(fleet)
    assert not reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 3)))
    assert endpoint.runs == 1


async def test_a_stream_that_ends_within_an_event_is_resumed(
    fleet: support.Fleet,
) -> None:
    first = await fleet.add_endpoint("engine-1", "engine")
    torn = make_plan(1, 2, tail=b"id: 3\ndata: to")
    first.plans = [torn]
    first.default = make_plan(3, 3)
    await fleet.start()
    reply = await call_stream(fleet)
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 4)))


async def test_a_callers_last_event_id_is_passed_on(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(8, 9)
    await fleet.start()
    reply = await call_stream(fleet, Last_Event_Id="7")
    assert endpoint.arrivals[0].headers["last-event-id"] == "7"
    assert reply.body == b"".join(platform_endpoint.make_events((8, 9)))


async def test_the_retry_budget_bounds_extra_sends() -> None:
    fleet = support.Fleet(retry_slack=0.0)
    fleet.platform.put_configuration(support.make_configuration())
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(1, 2, headers=DOUBTFUL)
    await fleet.start()
    for number in range(10):
        await call_stream(fleet, identity=f"request-{number}")
    await fleet.close()
    # The budget is nine tenths of ten requests; the router uses only a part.
    assert 10 < endpoint.runs <= 10 + 9


async def test_a_version_that_answers_late_is_rolled_back() -> None:
    """Late answers must roll a version back as failures do.

    A slow version kept its exposure (seen on the generated day 28921732,
    bad-versions, which the bench command `hunt` played).
    """
    fleet = support.Fleet()
    fleet.platform.put_configuration(support.make_configuration())
    old = await fleet.add_endpoint("engine-1", "engine")
    old.default = make_plan(1, 2)
    await fleet.start()
    for number in range(20):
        await call_stream(fleet, identity=f"before-{number}")
    new = await fleet.add_endpoint("engine-2", "engine", version="v2")
    gates = [asyncio.Event() for _ in range(4)]
    new.plans = [
        dataclasses.replace(make_plan(1, 2), gate=gate) for gate in gates
    ]
    new.default = make_plan(1, 2)
    fleet.platform.operator.put(
        "rollout/engine",
        b'{"service": "engine", "target": "v2", "durationS": 1000}',
    )
    await fleet.wait_for_event("rollout_ordered")
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 2)
    number = 0
    while not fleet.has_event("rollout_ended"):
        number += 1
        await call_own_prompt(fleet, number)
    line = await fleet.wait_for_event("rollout_ended")
    assert line["stage"] == "rolled_back"
    assert new.runs <= 5
    await fleet.close()


async def test_a_slow_version_is_rolled_back_before_its_answers_end() -> None:
    """Late first tokens count while the answers are still awaited."""
    fleet = support.Fleet()
    route = support.make_route(
        "stream",
        "streaming",
        service="engine",
        maxAttempts=1,
        timeoutMs=120_000,
    )
    table = support.make_configuration(routes=[route])
    fleet.platform.put_configuration(table)
    old = await fleet.add_endpoint("engine-1", "engine")
    old.default = make_plan(1, 2)
    await fleet.start()
    for number in range(20):
        await call_stream(fleet, identity=f"before-{number}")
    new = await fleet.add_endpoint("engine-2", "engine", version="v2")
    gate = asyncio.Event()
    new.default = dataclasses.replace(make_plan(1, 2), gate=gate)
    fleet.platform.operator.put(
        "rollout/engine",
        b'{"service": "engine", "target": "v2", "durationS": 1000}',
    )
    await fleet.wait_for_event("rollout_ordered")
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 2)
    calls = [
        asyncio.ensure_future(call_own_prompt(fleet, number))
        for number in range(100)
    ]
    line = await fleet.wait_for_event("rollout_ended")
    assert line["stage"] == "rolled_back"
    assert not gate.is_set()
    gate.set()
    replies = await asyncio.gather(*calls)
    assert all(reply.is_complete for reply in replies)
    await fleet.close()


async def test_a_stream_that_failed_on_a_version_on_trial_goes_elsewhere(
    fleet: support.Fleet,
) -> None:
    old = await fleet.add_endpoint("engine-1", "engine")
    old.default = make_plan(1, 2)
    await fleet.start()
    for number in range(20):
        await call_stream(fleet, identity=f"before-{number}")
    new = await fleet.add_endpoint("engine-2", "engine", version="v2")
    new.default = platform_endpoint.Plan(500, (b"error",))
    fleet.platform.operator.put(
        "rollout/engine",
        b'{"service": "engine", "target": "v2", "durationS": 1000}',
    )
    await fleet.wait_for_event("rollout_ordered")
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 2)
    number = 0
    while not fleet.has_event("rollout_ended"):
        number += 1
        reply = await call_own_prompt(fleet, number)
        assert reply.status == 200
    identities = [
        arrival.headers[names.REQUEST_ID.lower()] for arrival in new.arrivals
    ]
    assert len(identities) == len(set(identities)) > 0


async def test_a_slow_answer_is_awaited_if_no_retry_budget_is_left() -> None:
    """Without budget for another attempt, a slow answer must not be cut.

    It was cut after the usual timeout (seen on the generated day c876e756,
    which the bench command `hunt` played).
    """
    fleet = support.Fleet(retry_slack=0.0)
    fleet.platform.put_configuration(support.make_configuration())
    first = await fleet.add_endpoint("engine-1", "engine")
    second = await fleet.add_endpoint("engine-2", "engine")
    gate = asyncio.Event()
    slow = dataclasses.replace(make_plan(1, 3), gate=gate)
    first.default = second.default = slow
    await fleet.start()
    pending_reply = asyncio.ensure_future(call_stream(fleet))
    # Longer than the router waits while another attempt is allowed.
    await asyncio.sleep(forward_stream.MIN_HEAD_TIMEOUT_SECONDS * 2.0)
    gate.set()
    reply = await pending_reply
    assert reply.is_complete
    assert reply.body == b"".join(platform_endpoint.make_events(range(1, 4)))
    assert first.runs + second.runs == 1
    await fleet.close()


async def test_the_log_tells_what_a_broken_stream_shared_with_others(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    endpoint.default = make_plan(1, 2, platform_endpoint.End.CUT)
    await fleet.start()
    await call_stream(fleet)
    line = await fleet.wait_for_event("attempt_failed")
    assert line["shared_parts"] == ["aa"]
    assert line["answered_ms"] is not None


async def test_an_unreachable_server_is_asked_once_for_a_larger_model(
    fleet: support.Fleet,
) -> None:
    """The other server answered for the smaller model, and is still there."""
    first = await fleet.add_endpoint("engine-1", "engine")
    second = await fleet.add_endpoint("engine-2", "engine")
    for endpoint in (first, second):
        endpoint.default = make_plan(1, 3, headers=DOUBTFUL)
    await fleet.start()
    await second.close()
    for number in range(4):
        reply = await call_own_prompt(fleet, number)
        assert reply.status == 200
    failed = [
        fields["request"]
        for event, fields in fleet.log.lines
        if event == "attempt_failed"
    ]
    assert failed
    assert len(failed) == len(set(failed))
