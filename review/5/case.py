"""Sessions ask about two documents in turn as a good version comes in."""

import asyncio
import itertools
import json
import os
import pathlib
import random

from standin import caller, fleet, script, server

FRONTS = 3
# Of the settings.
SESSION_SECONDS = 5.0
MOST_MOVED = 3
# Of the order.
DURATION_SECONDS = 16.0
PLAY_SECONDS = 18.0
SESSIONS = 80
DOCUMENTS = 20
# The documents that a session asks about in turn; 1 for the control.
DOCUMENTS_EACH = int(os.environ.get("DOCUMENTS_EACH", "2"))
# From the end of an answer to the session's next request.
PAUSE_SECONDS = 1.0
DEADLINE_MS = 8000
EVENTS = 5
EVENT_SECONDS = 0.02


class Play:
    """The state of the play."""

    def __init__(self, bench: script.Bench) -> None:
        self.bench = bench
        self.generator = random.Random(5)
        self.old = self._make_servers("v1")
        self.new = self._make_servers("v2")
        self.system = bench.make_fleet(FRONTS)

    def _make_servers(self, version: str) -> list[server.Server]:
        return [
            server.Server(
                f"{version}-{number}",
                "drafting",
                self.bench.store,
                self.work,
                self.bench.recorder,
                version,
                64,
            )
            for number in range(3)
        ]

    async def work(self, call: server.Call) -> None:
        """Answer with a stream; both versions are good."""
        await server.write_stream(call, EVENTS, EVENT_SECONDS)

    async def run(self) -> bool:
        """Return whether the rule was broken."""
        route: dict[str, object] = {
            "pathPrefix": "/draft/",
            "kind": "streaming",
            "service": "drafting",
            "timeoutMs": DEADLINE_MS,
            "targetLatencyMs": 2000,
            "maxAttempts": 3,
            "stickySessions": True,
            "streamResumption": True,
            "targetGapMs": 1000,
        }
        engine = {
            "slots": 64,
            "kvCacheTokens": 500000,
            "models": [{"name": "m1", "cost": 0.01}],
        }
        fleet.put_manifest(
            self.bench.store,
            1,
            [route],
            [{"name": "drafting", "engine": engine}],
        )
        for each in self.old:
            await each.start()
        for place in range(FRONTS):
            self.system.start(place)
        await self.system.wait_ready()
        async with asyncio.TaskGroup() as group:
            platform = group.create_task(self._act_as_platform())
            sessions = [
                group.create_task(self._hold_session(number))
                for number in range(SESSIONS)
            ]
            await asyncio.sleep(4.0)
            if self.bench.has_trouble:
                await self._order()
            await asyncio.sleep(PLAY_SECONDS)
            for task in [platform, *sessions]:
                task.cancel()
        for each in self.old + self.new:
            if each.is_up:
                each.stop()
        return judge(self.bench)

    async def _order(self) -> None:
        for each in self.new:
            await each.start()
        order = {
            "service": "drafting",
            "target": "v2",
            "durationS": DURATION_SECONDS,
        }
        self.bench.store.put(
            "keyed.op", "rollout/drafting", json.dumps(order).encode()
        )
        self.bench.recorder.write("order")

    async def _act_as_platform(self) -> None:
        """Stop the old servers once the roll-out is completed."""
        store = self.bench.store
        seen = ""
        while True:
            await store.wait_change()
            found = store.newest("keyed.status").get("rollout/drafting")
            state = json.loads(found[1])["state"] if found else ""
            if state == seen:
                continue
            seen = state
            self.bench.recorder.write("status", state=state)
            if state == "completed":
                for each in self.old:
                    each.stop()
                    each.remove_entry()

    async def _hold_session(self, session: int) -> None:
        """Ask one question after the other, each at any process."""
        await asyncio.sleep(self.generator.random() * PAUSE_SECONDS)
        documents = self.generator.sample(range(DOCUMENTS), DOCUMENTS_EACH)
        for number in itertools.count():
            document = documents[number % DOCUMENTS_EACH]
            await caller.send(
                self.bench.recorder,
                self.generator.choice(self.system.fronts),
                f"q-{session}-{number}",
                "POST",
                "/draft/question",
                DEADLINE_MS,
                {
                    "Session": f"session-{session}",
                    "X-Model": "m1",
                    "X-Token-Usage": "1300,50",
                    "X-Prefix-Hash": (
                        f"d{document:x}:1000,b{session:x}{number:x}:300"
                    ),
                },
                b"question",
            )
            await asyncio.sleep(PAUSE_SECONDS)


def judge(bench: script.Bench) -> bool:
    """Return whether the rule was broken; write why to the record."""
    recorder = bench.recorder
    orders = recorder.find("order")
    states = {
        fields["state"]: at for at, fields in recorder.find("status")
    }
    # Nothing counts once the version was rolled back.
    until = states.get("rolled_back", float("inf"))
    sent_at = {
        fields["request"]: at for at, fields in recorder.find("sent")
    }
    answered = {
        fields["request"]: at for at, fields in recorder.find("answered")
    }
    version = {}
    run_at = {}
    for at, fields in recorder.find("run"):
        version[fields["request"]] = fields["version"]
        run_at[fields["request"]] = at
    back = []
    early = []
    half = orders[0][0] + DURATION_SECONDS / 2 if orders else float("inf")
    for request in version:
        _, session, number = str(request).split("-")
        before = f"q-{session}-{int(number) - 1}"
        if before not in version or before not in answered:
            continue
        if sent_at[request] - answered[before] >= SESSION_SECONDS:
            continue
        if run_at[request] >= until:
            continue
        if version[before] == "v2" and version[request] == "v1":
            back.append(request)
        if version[before] == "v1" and version[request] == "v2":
            if run_at[request] < half:
                early.append(request)
    recorder.write(
        "verdict",
        requests=len(version),
        on_new_version=sum(each == "v2" for each in version.values()),
        states={state: round(at, 2) for state, at in states.items()},
        moved_in_first_half=len(early),
        moved_back_to_old_version=len(back),
        sessions_moved_back=len({each.split("-")[1] for each in back}),
        allowed=MOST_MOVED,
    )
    print(recorder.lines[-1])
    return len(back) + len(early) > MOST_MOVED


async def play(bench: script.Bench) -> bool:
    """Return whether the rule was broken."""
    return await Play(bench).run()


script.main(pathlib.Path(__file__).parent, play)
