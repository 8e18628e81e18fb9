"""Tests of the engine stand-in and the fault proxy."""

import asyncio

import pytest

import standins.engine as engine
import standins.proxy as proxy
import standins.service as service

PROMPT = "Draft the letter. " * 10


@pytest.fixture
def call(serve):
    settings = engine.Settings(slots=1, queue_length=1)
    faults = engine.Faults(token_seconds=0.001, report_lag_seconds=0)
    served = engine.Engine(settings, faults)
    served.loaded.add(engine.Version("draft", "1"))
    return serve(served)


async def generate(call, prompt=PROMPT, **changes):
    body = {"request_id": "r", "attempt": 1, "model": "draft"}
    body |= {"version": "1", "prompt": prompt, "max_tokens": 50}
    return await call("/generate", body | changes)


async def wait_until_started(call, request_id):
    while True:
        _, [listed] = await call("/runs")
        if request_id in [run["request_id"] for run in listed["runs"]]:
            return


async def test_resume_continues_the_same_answer(call):
    _, whole = await generate(call)
    _, rest = await generate(call, resume_from=3)
    assert whole[0]["token"].startswith("draft@1:")
    assert rest[:-1] == whole[3:-1]
    assert whole[-1]["count"] == len(whole) - 1
    assert (whole[-1]["cached_tokens"], rest[-1]["cached_tokens"]) == (0, 32)
    _, [events] = await call("/cache-events?from=1")
    assert [event["seq"] for event in events["events"]] == [1]


async def test_bad_version_and_marker(call):
    await call("/faults", {"bad_versions": ["draft@1"]})
    _, lines = await generate(call, prompt="[tokens=4]")
    assert len(lines) == 5
    assert all("garbled" in line["token"] for line in lines[:-1])


async def test_fencing_and_loading(call):
    order = {"order": "load", "model": "draft", "version": "2", "fence": 5}
    assert (await generate(call, version="2"))[0] == 409
    assert (await call("/orders", order))[0] == 200
    stale = await call("/orders", order | {"fence": 4})
    assert stale == (409, [{"error": "stale-fence", "fence": 5}])
    while (await generate(call, version="2"))[0] != 200:
        await asyncio.sleep(0.01)


async def test_queue_priority_and_cancel(call):
    long = {"prompt": "[tokens=100000]", "max_tokens": 100000}
    first = asyncio.create_task(generate(call, request_id="a", **long))
    await wait_until_started(call, "a")
    second = asyncio.create_task(generate(call, request_id="b"))
    while (await call("/state"))[1][0]["queued"] < 1:
        await asyncio.sleep(0)
    code, lines = await generate(call, request_id="c")
    assert (code, lines) == (503, [{"error": "queue-full"}])
    await call("/cancel", {"request_id": "a"})
    assert (await first)[1][-1] == {"error": "cancelled"}
    assert (await second)[1][-1]["done"]
    _, [listed] = await call("/runs")
    states = [run["state"] for run in listed["runs"]]
    assert states == ["cancelled", "done"]


async def test_proxy_modes(call):
    route = proxy.Route(call.address)
    await route.listen()
    reader, writer = await asyncio.open_connection(service.HOST, route.port)
    request = b"GET /state HTTP/1.1\r\nHost: x\r\n\r\n"
    writer.write(request)
    assert (await reader.readline()).startswith(b"HTTP/1.1 200")
    await reader.readuntil(b"}")
    route.set_faults(proxy.RouteFaults(mode="freeze"))
    proxied = type(call)(f"{service.HOST}:{route.port}")
    assert (await proxied("/state"))[0] == 200
    writer.write(request)
    with pytest.raises(TimeoutError):
        await asyncio.wait_for(reader.readline(), 0.2)
    route.set_faults(proxy.RouteFaults(mode="cut"))
    with pytest.raises((ConnectionError, asyncio.IncompleteReadError)):
        await reader.readexactly(1_000_000)
    assert (await proxied("/state"))[0] == "connection closed"
