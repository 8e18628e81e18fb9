"""A second copy of a refusal comes while the request runs after all."""

import asyncio
import itertools
import pathlib

from standin import caller, fleet, script, server, wire

FRONTS = 2
SERVERS = 2
CONTACT_SECONDS = 3.0
PLAY_SECONDS = 40.0
REQUESTS_PER_SECOND = 10.0
DEADLINE_MS = 5000
# Both servers are full when each fifth request comes; their refusals say for
# how long.
FULL_EACH = 5
FULL_SECONDS = 0.1
# When the second copy of a refusal follows, and the spans in which one of the
# two servers sends one, from the begin of the traffic. It gives some 35
# answers in such a span.
COPY_SECONDS = 0.2
COPIES = ((2.0, 7.0), (15.0, 20.0), (28.0, 33.0))
# From the begin of a run to its first token.
FIRST_SECONDS = 0.4
EVENTS = 4
PAUSE_SECONDS = 0.05


class Engines:
    """Two model servers that are full now and then."""

    def __init__(self, bench: script.Bench) -> None:
        self._bench = bench
        self._refused: set[tuple[str, str]] = set()
        self._copies: set[int] = set()
        self.began_at = float("inf")
        self.servers = [
            server.Server(
                f"s{number}",
                "drafting",
                bench.store,
                self._work,
                bench.recorder,
                slots=64,
                admit=self._admit,
            )
            for number in range(SERVERS)
        ]

    def _admit(self, call: server.Call) -> bool:
        """Return whether a request runs; refuse it if the server is full."""
        key = (call.identity, call.server.name)
        is_due = int(call.identity.split("-")[1]) % FULL_EACH == 0
        if not is_due or key in self._refused:
            return True
        self._refused.add(key)
        headers = {
            "X-Request-Id": call.identity,
            "X-Not-Executed": "1",
            "Retry-After": f"{FULL_SECONDS:.3f}",
        }
        answer = wire.encode_answer(503, headers, b"full")
        call.writer.write(answer)
        recorder = self._bench.recorder
        recorder.write(
            "full", request=call.identity, server=call.server.identity
        )
        is_first = (call.identity, self.servers[1].name) not in self._refused
        if call.server is self.servers[0] and is_first:
            self._send_copy(call, answer)
        return False

    def _send_copy(self, call: server.Call, answer: bytes) -> None:
        """Send a refusal once more, later, if it is time for one."""
        passed = self._bench.recorder.now - self.began_at
        for number, (begin, end) in enumerate(COPIES):
            if begin <= passed < end and number not in self._copies:
                self._copies.add(number)
                if self._bench.has_trouble:
                    self._bench.recorder.write(
                        "copy_due", request=call.identity
                    )
                    asyncio.get_running_loop().call_later(
                        COPY_SECONDS, call.writer.write, answer
                    )

    async def _work(self, call: server.Call) -> None:
        await asyncio.sleep(FIRST_SECONDS)
        await server.write_stream(call, EVENTS, PAUSE_SECONDS)
        self._bench.recorder.write("done", request=call.identity)


async def play(bench: script.Bench) -> bool:
    """Return whether the rule was broken."""
    route: dict[str, object] = {
        "pathPrefix": "/draft/",
        "kind": "streaming",
        "service": "drafting",
        "timeoutMs": DEADLINE_MS,
        "targetLatencyMs": 2000,
        "maxAttempts": 3,
        "stickySessions": True,
        "streamResumption": False,
        "targetGapMs": 1000,
    }
    engine = {
        "slots": 64,
        "kvCacheTokens": 500000,
        "models": [{"name": "m1", "cost": 0.01}],
    }
    fleet.put_manifest(
        bench.store, 1, [route], [{"name": "drafting", "engine": engine}]
    )
    engines = Engines(bench)
    for each in engines.servers:
        await each.start()
    system = bench.make_fleet(FRONTS)
    for place in range(FRONTS):
        system.start(place)
    await system.wait_ready()
    await asyncio.sleep(CONTACT_SECONDS + 1.0)
    engines.began_at = bench.recorder.now
    end = engines.began_at + PLAY_SECONDS
    async with asyncio.TaskGroup() as group:
        for number in itertools.count(1):
            if bench.recorder.now >= end:
                break
            group.create_task(_ask(bench, system, number))
            await asyncio.sleep(1.0 / REQUESTS_PER_SECOND)
    for each in engines.servers:
        each.stop()
    return judge(bench)


async def _ask(
    bench: script.Bench, system: fleet.Fleet, number: int
) -> None:
    """Send a request; once more, at the other process, if it was refused."""
    for attempt in range(2):
        answer = await caller.send(
            bench.recorder,
            system.fronts[(number + attempt) % FRONTS],
            f"q-{number}-{attempt}",
            "POST",
            "/draft/certificate",
            DEADLINE_MS,
            {
                "Session": f"s{number}",
                "X-Model": "m1",
                "X-Token-Usage": "1300,50",
                "X-Prefix-Hash": f"a{number % 7:x}:1000,b{number:x}:300",
            },
            b"draft",
        )
        if answer is None or answer.status != 503:
            return
        await asyncio.sleep(float(answer.headers.get("retry-after", "0.25")))


def judge(bench: script.Bench) -> bool:
    """Return whether the rule was broken; write why to the record."""
    recorder = bench.recorder
    runs: dict[str, int] = {}
    for _, fields in recorder.find("run"):
        runs[str(fields["request"])] = runs.get(str(fields["request"]), 0) + 1
    answers = {
        str(fields["request"]): fields["status"]
        for _, fields in recorder.find("answered")
    }
    refused_and_run = [
        each for each, status in answers.items()
        if status in (408, 421, 429, 503) and runs.get(each, 0) > 0
    ]
    numbers = [each.split("-")[1] for each, count in runs.items() if count]
    recorder.write(
        "verdict",
        requests=len(answers),
        copies=len(recorder.find("copy_due")),
        answered_503_and_run=refused_and_run,
        run_twice=[each for each, count in runs.items() if count > 1],
        asked_once_and_run_under_two_ids=sorted(
            {each for each in numbers if numbers.count(each) > 1}
        ),
    )
    print(recorder.lines[-1])
    return bool(refused_and_run)


script.main(pathlib.Path(__file__).parent, play)
