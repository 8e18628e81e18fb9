"""A heartbeat of a server is carried out after the report that it leaves."""

import asyncio
import itertools
import json
import pathlib
import random

from standin import caller, fleet, script, server

FRONTS = 2
SERVERS = 4
LEAVING = 1
# Of the settings.
CONTACT_SECONDS = 3.0
DRAIN_SECONDS = 2.0
# From the heartbeat that gets no answer: when it is carried out, when the
# server reports that it leaves, and when it exits.
LATE_SECONDS = 3.7
REPORT_SECONDS = 0.8
EXIT_SECONDS = 4.75
REQUESTS_PER_SECOND = 100.0
WORK_SECONDS = 0.09
DEADLINE_MS = 4000


async def play(bench: script.Bench) -> bool:
    """Return whether the rule was broken."""
    recorder = bench.recorder

    async def work(call: server.Call) -> None:
        await asyncio.sleep(WORK_SECONDS)
        recorder.write("done", request=call.identity)
        call.answer(200, b"registered")

    fleet.put_manifest(
        bench.store,
        1,
        [
            {
                "pathPrefix": "/issue/",
                "kind": "unsafe",
                "service": "registry",
                "timeoutMs": DEADLINE_MS,
                "targetLatencyMs": 400,
                "maxAttempts": 1,
            },
        ],
        [{"name": "registry"}],
    )
    servers = [
        server.Server(f"s{number}", "registry", bench.store, work, recorder)
        for number in range(SERVERS)
    ]
    for each in servers:
        await each.start()
    system = bench.make_fleet(FRONTS)
    for place in range(FRONTS):
        # Each has a door of its own, which shows what it has read.
        system.start(place, await bench.store.open_door(f"front-{place}"))
    await system.wait_ready()
    leaving = servers[LEAVING]
    async with asyncio.TaskGroup() as group:
        traffic = group.create_task(_send_all(bench, system))
        await asyncio.sleep(CONTACT_SECONDS + 1.0)
        await _leave(bench, leaving)
        await asyncio.sleep(CONTACT_SECONDS)
        traffic.cancel()
    for each in servers:
        if each.is_up:
            each.stop()
    for fields in system.list_log_lines("endpoint_state", "endpoint_gone"):
        recorder.write(
            "log",
            node=fields["node"],
            message=fields["message"],
            endpoint=fields["endpoint"],
            state=fields.get("state"),
        )
    return judge(bench, leaving)


async def _leave(bench: script.Bench, leaving: server.Server) -> None:
    """Let a server report that it leaves, serve on, and exit."""
    recorder = bench.recorder
    if bench.has_trouble:
        leaving.next_delay_seconds = LATE_SECONDS
    leaving.beaten.clear()
    await leaving.beaten.wait()
    began = recorder.now
    recorder.write("heartbeat", sequence=leaving.sequence, state="ready")
    await asyncio.sleep(REPORT_SECONDS)
    leaving.drain()
    end = len(bench.store.list_records("keyed.servers"))
    recorder.write(
        "reported_draining", sequence=leaving.sequence, end_offset=end
    )
    await asyncio.sleep(began + LATE_SECONDS + 0.01 - recorder.now)
    newest = bench.store.newest("keyed.servers")[leaving.identity][1]
    fields = json.loads(newest)
    recorder.write(
        "newest_entry", sequence=fields["sequence"], state=fields["state"]
    )
    await asyncio.sleep(began + EXIT_SECONDS - recorder.now)
    leaving.stop()
    leaving.remove_entry()
    recorder.write("exited", server=leaving.identity)


async def _send_all(bench: script.Bench, system: fleet.Fleet) -> None:
    generator = random.Random(3)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            place = generator.randrange(FRONTS)
            group.create_task(
                caller.send(
                    bench.recorder,
                    system.fronts[place],
                    f"issue-{number}-{place}",
                    "POST",
                    "/issue/certificate",
                    DEADLINE_MS,
                    body=b"batch %d" % number,
                )
            )
            await asyncio.sleep(generator.expovariate(REQUESTS_PER_SECOND))


def judge(bench: script.Bench, leaving: server.Server) -> bool:
    """Return whether the rule was broken; write why to the record."""
    recorder = bench.recorder
    end = int(str(recorder.find("reported_draining")[0][1]["end_offset"]))
    acknowledged: dict[str, float] = {}
    for name, topic, given_end, at in bench.store.given:
        if topic == "keyed.servers" and given_end >= end and name:
            acknowledged.setdefault(name, recorder.convert(at))
    late = []
    for at, fields in recorder.find("run"):
        if fields["server"] != leaving.identity:
            continue
        front = f"front-{str(fields['request']).rpartition('-')[2]}"
        if front not in acknowledged:
            continue
        after = at - acknowledged[front]
        if after > DRAIN_SECONDS:
            late.append((front, round(after, 2)))
    done = {fields["request"] for _, fields in recorder.find("done")}
    answers = {
        fields["request"]: fields["status"]
        for _, fields in recorder.find("answered")
    }
    lost = [
        fields["request"]
        for _, fields in recorder.find("run")
        if fields["request"] not in done
        and answers.get(fields["request"]) not in (200, None)
    ]
    recorder.write(
        "verdict",
        acknowledged={
            name: round(at, 2) for name, at in acknowledged.items()
        },
        reached_leaving_server_too_late=len(late),
        front_and_seconds_after_its_acknowledgement=late,
        began_to_run_and_were_cut=lost,
    )
    print(recorder.lines[-1])
    return bool(late)


script.main(pathlib.Path(__file__).parent, play)
