"""A request that crashes servers comes again for 75 seconds."""

import asyncio
import itertools
import pathlib
import random

from standin import caller, fleet, script, server

CONTACT_SECONDS = 3.0
PLAY_SECONDS = 75.0
# A request that crashes servers comes again so often, at any machine.
AGAIN_SECONDS = 1.5
BACK_SECONDS = 3.0
BYSTANDERS_PER_SECOND = 40.0
WORK_SECONDS = 0.09
CRASHING_PATH = "/read/crash"
MOST_RETRIES = 3


async def play(bench: script.Bench) -> bool:
    """Return whether the request reached servers too often."""
    recorder = bench.recorder
    crashes: list[asyncio.Task[None]] = []

    async def work(call: server.Call) -> None:
        if call.request.first[1] == CRASHING_PATH and bench.has_trouble:
            recorder.write("crash", server=call.server.identity)
            crashes.append(
                asyncio.ensure_future(call.server.crash(BACK_SECONDS))
            )
            await asyncio.sleep(1.0)
            return
        await asyncio.sleep(WORK_SECONDS)
        recorder.write("done", request=call.identity)
        call.answer(200, b"registered")

    fleet.put_manifest(
        bench.store,
        1,
        [
            {
                "pathPrefix": "/read/",
                "kind": "safe",
                "service": "registry",
                "timeoutMs": 4000,
                "targetLatencyMs": 400,
                "maxAttempts": 2,
            },
            {
                "pathPrefix": "/issue/",
                "kind": "unsafe",
                "service": "registry",
                "timeoutMs": 4000,
                "targetLatencyMs": 400,
                "maxAttempts": 1,
            },
        ],
        [{"name": "registry"}],
    )
    servers = [
        server.Server(f"s{number}", "registry", bench.store, work, recorder)
        for number in range(5)
    ]
    for each in servers:
        await each.start()
    system = bench.make_fleet(3)
    for place in range(3):
        system.start(place)
    await system.wait_ready()
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    recorder.write("begin", trouble=bench.has_trouble)
    end = recorder.now + PLAY_SECONDS
    async with asyncio.TaskGroup() as group:
        group.create_task(_send_bystanders(bench, system, end))
        group.create_task(_send_crashing(bench, system, end))
    for each in servers:
        each.stop()
    for task in crashes:
        task.cancel()
    return judge(bench)


async def _send_bystanders(
    bench: script.Bench, system: fleet.Fleet, end: float
) -> None:
    generator = random.Random(41)
    async with asyncio.TaskGroup() as group:
        for number in itertools.count():
            if bench.recorder.now >= end:
                return
            group.create_task(
                caller.send(
                    bench.recorder,
                    generator.choice(system.fronts),
                    f"issue-{number}",
                    "POST",
                    "/issue/certificate",
                    4000,
                    body=b"batch %d" % number,
                )
            )
            await asyncio.sleep(generator.expovariate(BYSTANDERS_PER_SECOND))


async def _send_crashing(
    bench: script.Bench, system: fleet.Fleet, end: float
) -> None:
    for number in itertools.count():
        if bench.recorder.now >= end:
            return
        await caller.send(
            bench.recorder,
            system.fronts[number % len(system.fronts)],
            f"crash-{number}",
            "GET",
            CRASHING_PATH,
            4000,
        )
        await asyncio.sleep(AGAIN_SECONDS)


def judge(bench: script.Bench) -> bool:
    """Return whether the rule was broken; write why to the record."""
    recorder = bench.recorder
    crashed = [at for at, _ in recorder.find("crash")]
    done = {fields["request"] for _, fields in recorder.find("done")}
    lost = sorted(
        {
            str(fields["request"])
            for _, fields in recorder.find("run")
            if str(fields["request"]).startswith("issue-")
            and fields["request"] not in done
        }
    )
    sent_at = {
        fields["request"]: at for at, fields in recorder.find("sent")
    }
    late = []
    if len(crashed) >= 3:
        since = crashed[2] + CONTACT_SECONDS
        late = [
            at
            for at, fields in recorder.find("run")
            if str(fields["request"]).startswith("crash-")
            and sent_at[fields["request"]] > since
        ]
    recorder.write(
        "verdict",
        crashes=len(crashed),
        third_crash_at=round(crashed[2], 3) if len(crashed) > 2 else None,
        reached_servers_later=len(late),
        allowed=MOST_RETRIES,
        at=[round(at, 1) for at in late],
        other_requests_cut_by_crashes=lost,
    )
    print(recorder.lines[-1])
    return len(late) > MOST_RETRIES


script.main(pathlib.Path(__file__).parent, play)
