"""Tests of the log, instance list, plain, rating and weight stand-ins."""

import asyncio
import base64
import time

import standins.instances as instances
import standins.log as log
import standins.plain as plain
import standins.rating as rating
import standins.weights as weights

RECORDS = "/streams/s/records"


async def test_log_retention_lag_and_size(serve):
    call = serve(log.Log(log.Faults()))
    appended = [(await call(RECORDS, p))[1][0] for p in (b"a", b"b", b"c")]
    assert [record["offset"] for record in appended] == [0, 1, 2]
    await call(f"{RECORDS}?before=1", method="DELETE")
    _, [page] = await call(f"{RECORDS}?from=0&limit=1")
    assert (page["first"], page["next"]) == (1, 3)
    assert base64.b64decode(page["records"][0]["payload"]) == b"b"
    await call("/faults", {"read_lag_seconds": 1000})
    hidden = {"first": 1, "next": 1, "records": []}
    assert (await call(f"{RECORDS}?from=0"))[1] == [hidden]
    await call("/faults", {"retention_seconds": 0})
    empty = {"first": 3, "next": 3, "records": []}
    assert (await call(f"{RECORDS}?from=0"))[1] == [empty]
    too_large = b"x" * (log.MAX_PAYLOAD_BYTES + 1)
    assert (await call(RECORDS, too_large))[0] == 413


async def test_append_and_outage_end_a_waiting_read(serve):
    call = serve(log.Log(log.Faults()))
    waiting = asyncio.create_task(call(f"{RECORDS}?from=0&wait=15"))
    await call(RECORDS, b"a")
    assert (await waiting)[1][0]["next"] == 1
    waiting = asyncio.create_task(call(f"{RECORDS}?from=1&wait=15"))
    while (await call("/stats"))[1][0]["reads"] < 2:
        await asyncio.sleep(0)
    await call("/faults", {"outage": True})
    assert await waiting == (503, [{"error": "outage"}])
    assert await call(RECORDS, b"a") == (503, [{"error": "outage"}])


async def test_log_lost_answer_rate_and_fault_names(serve):
    call = serve(log.Log(log.Faults()))
    await call("/faults", {"lose_answers": 1, "append_rate": 0})
    assert (await call(RECORDS, b"a"))[0] == "connection closed"
    codes = [(await call(RECORDS, b"a"))[0] for _ in range(log.APPEND_BURST)]
    assert codes == [200] * (log.APPEND_BURST - 1) + [429]
    _, [stats] = await call("/stats")
    assert (stats["appends"], stats["rejected"]) == (log.APPEND_BURST, 1)
    assert (await call("/faults", {"nonsense": 1}))[0] == 400
    assert (await call("/faults", {"outage": "what"}))[0] == 400


async def test_instance_list_lags(serve):
    call = serve(instances.Instances(instances.Faults(lag_seconds=1000)))
    body = {"role": "agent", "address": "127.0.0.1:1"}
    await call("/instances/a", body | {"data_centre": "rennes"}, "PUT")
    assert (await call("/instances"))[1] == [{"instances": []}]
    await call("/faults", {"lag_seconds": 0})
    assert (await call("/instances"))[1][0]["instances"][0]["id"] == "a"
    assert (await call("/instances/a", method="DELETE"))[0] == 200
    assert (await call("/instances"))[1] == [{"instances": []}]


async def test_plain_records_runs(serve):
    call = serve(plain.Plain("registry", plain.Faults(lose_answers=1)))
    assert (await call("/file", {"a": 1}))[0] == "connection closed"
    assert (await call("/file", {"a": 2}))[1][0]["result"] == "op-2"
    await call("/faults", {"fail": True})
    assert (await call("/file", {"a": 3}))[0] == 500
    _, [listed] = await call("/runs")
    assert [run["body"] for run in listed["runs"]] == [{"a": 1}, {"a": 2}]


async def test_rating_scores(serve):
    call = serve(rating.Rating({"draft:2": 0.4}, rating.Faults()))
    body = {"request_id": "r", "model": "draft", "prompt": "p", "task": "t"}
    scores = []
    for version, answer in (("1", "tide"), ("2", "tide"), ("1", "garbled")):
        changes = {"version": version, "answer": answer}
        scores.append((await call("/ratings", body | changes))[1][0]["score"])
    assert 0.7 <= scores[0] <= 0.9
    assert 0.3 <= scores[1] <= 0.5
    assert scores[2] == rating.GARBLED_SCORE


async def test_weight_downloads_share_the_rate(serve):
    size = weights.CHUNK_BYTES
    store = weights.Weights(size, weights.Faults(rate_bytes=10 * size))
    call = serve(store)
    start = time.monotonic()
    paths = ("/weights/draft/1", "/weights/draft/2")
    replies = await asyncio.gather(*(call(path) for path in paths))
    assert [code for code, _ in replies] == [200, 200]
    assert time.monotonic() - start >= 0.2
    _, [stats] = await call("/stats")
    expected = {"downloads": 2, "most_concurrent": 2, "bytes": 2 * size}
    assert stats == expected
