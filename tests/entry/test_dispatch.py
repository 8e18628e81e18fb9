"""The dispatcher with fake agents: retries, hedges and early refusals."""

import asyncio
import dataclasses
import hashlib
import random
import types
import typing

import pytest

from wagtailstream_core import (
    assembly,
    billing,
    bundle,
    clock,
    configuration,
    errors,
    retries,
    work,
)
from wagtailstream_entry.endpoints import (
    agent_state,
    connection,
    dispatch,
    target,
)
from wagtailstream_entry.filters import exchange
from wagtailstream_runtime import metrics

VERSION = configuration.ModelVersion("m", "1")
TEXT = b"whole"
SLOTS = 4


class FakeRun:
    """Plays the answers of an agent, and is silent after the last one.

    Each letter of the script is one answer: "a" accepts the attempt, "c"
    sends a chunk, "e" ends the answer, "f" refuses since the endpoint is
    full, "w" waits for `released`, and any other letter breaks the
    connection.
    """

    def __init__(self, attempt: work.Attempt, script: str) -> None:
        self.is_closed = False
        self.released = asyncio.Event()
        self._attempt = attempt
        self._script = list(script)
        self._sent = b""

    async def next_answer(self) -> dispatch.Answer:
        if not self._script:
            await asyncio.Event().wait()
        letter = self._script.pop(0)
        if letter == "w":
            await self.released.wait()
            return await self.next_answer()
        return self._make(letter)

    def _make(self, letter: str) -> dispatch.Answer:
        number = self._attempt.number
        match letter:
            case "a":
                return work.Accepted(0)
            case "c":
                self._sent += TEXT
                return assembly.Chunk("r", number, 0, TEXT)
            case "e":
                cost = billing.AttemptCost(attempt=number, endpoint="e")
                digest = hashlib.sha256(self._sent).digest()
                return work.Ended(number, 1, digest, cost)
            case "f":
                refusal = errors.not_run(
                    errors.Reason.ENDPOINT_FULL, "", "admit", "agent", 9.0
                )
                return work.Refused(refusal, 0)
        raise errors.PeerError("receive", "agent", "cut short")

    async def close(self) -> None:
        self.is_closed = True


class FakeLink:
    """A link to an agent that plays one script per attempt.

    The last script is repeated. "unreachable" fails before the attempt is
    sent.
    """

    def __init__(self, name: str, *scripts: str, **state: typing.Any) -> None:
        self.address = name
        self.is_usable = True
        self.is_suspect = False
        self.is_draining = False
        self.is_dead = False
        self.in_flight = 0
        self.runs: list[FakeRun] = []
        self._scripts = list(scripts)
        self.state = dataclasses.replace(
            agent_state.AgentState(
                instance=name,
                endpoint=name,
                data_centre="d",
                configuration_offset=0,
                is_draining=False,
                running=0,
                queued=0,
                queues={},
                slots=SLOTS,
                service_mean_seconds=0.0,
                service_bound_seconds=0.0,
                other_entries_rates={},
                loaded=frozenset({VERSION}),
                own_in_flight=0,
                received_at=0.0,
                life=f"life of {name}",
            ),
            **state,
        )

    async def open_run(self, attempt: work.Attempt) -> FakeRun:
        script = (
            self._scripts.pop(0)
            if len(self._scripts) > 1
            else self._scripts[0]
        )
        if script == "unreachable":
            raise connection.NotSentError("connect", self.address, "refused")
        self.runs.append(FakeRun(attempt, script))
        return self.runs[-1]

    def record_progress(self) -> None:
        pass

    record_failure = record_draining = record_progress

    async def is_alive(self) -> bool:
        return not self.is_dead


class FakeQuarantine:
    """Quarantines no body, and keeps the `life` given with each strike."""

    def __init__(self) -> None:
        self.unconfirmed_lives: list[str] = []

    def check(self, digest: str) -> None:
        return None

    def is_suspect(self, digest: str) -> bool:
        return False

    def record_answer(self, digest: str) -> None:
        pass

    async def record_crash(
        self,
        digest: str,
        endpoint: str,
        life: str,
    ) -> None:
        self.unconfirmed_lives.append(life)


class DispatcherHarness:
    """A dispatcher with fake links to agents."""

    def __init__(self, *fakes: FakeLink) -> None:
        self.counters = metrics.MemoryMetrics()
        self.quarantine = FakeQuarantine()
        follower = types.SimpleNamespace(state=types.SimpleNamespace(offset=0))
        table = types.SimpleNamespace(
            list_links=lambda: fakes, follower=follower
        )
        self.dispatcher = dispatch.Dispatcher(
            typing.cast(typing.Any, table),
            "d",
            clock.SystemClock(),
            random.Random(1),
            self.counters,
            "entry",
            typing.cast(typing.Any, self.quarantine),
        )
        self.names = frozenset(fake.address for fake in fakes)

    async def run(
        self, version: configuration.ModelVersion | None = VERSION
    ) -> tuple[dispatch.Outcome, bytes]:
        sink = exchange.BufferSink()
        request = make_request(sink)
        outcome = await self.dispatcher.run(
            request,
            target.Target(self.names, version, 0),
            lambda position: work.ModelWork("m", "1", "p", 9, position),
            sink,
        )
        return outcome, sink.content

    def record_first_chunk_latencies(self, seconds: float) -> None:
        """Record enough latencies of first chunks for hedging to start."""
        window = self.dispatcher._hedger._find_window("m")
        for _ in range(retries.MIN_SAMPLES):
            window.add_sample(seconds)


def make_request(sink: exchange.AnswerSink) -> exchange.Exchange:
    customer = bundle.Customer(name="c", key_hashes=("0" * 64,))
    now = clock.SystemClock().wall()
    return exchange.Exchange(
        request_id="r",
        authorization="",
        session_token="",
        deadline_text="",
        idempotency_key="",
        received_at=now,
        body=b"",
        sink=sink,
        configuration=typing.cast(typing.Any, None),
        customer=customer,
        deadline=now + 30.0,
    )


@pytest.mark.parametrize("failure", ["f", "ax", "unreachable"])
async def test_failed_attempt_is_retried_on_another_agent(failure: str):
    bad, good = FakeLink("bad", failure, running=0), FakeLink("good", "ace")
    good.in_flight = 3
    harness = DispatcherHarness(bad, good)
    outcome, content = await harness.run()
    assert outcome.is_ok()
    assert content == TEXT
    reason = "endpoint-full" if failure == "f" else "endpoint-failed"
    assert harness.counters.counts[f"retried.{reason}"] == 1


async def test_budget_limits_retries_if_all_attempts_fail():
    # Without the budget, three retries for each request would make 160
    # attempts.
    fakes = [FakeLink(name, "ax") for name in "abcd"]
    harness = DispatcherHarness(*fakes)
    for _ in range(40):
        outcome, _ = await harness.run()
        assert outcome.error.outcome is errors.Outcome.UNKNOWN
    attempts = sum(len(fake.runs) for fake in fakes)
    assert attempts <= 40 * (1 + retries.RETRY_SHARE) + retries.BURST + 1
    assert harness.counters.counts["retry_denied.endpoint-failed"] > 20


async def test_unsent_request_is_refused_as_not_run():
    harness = DispatcherHarness(
        FakeLink("a", "unreachable"), FakeLink("b", "f")
    )
    outcome, _ = await harness.run()
    assert outcome.error.outcome is errors.Outcome.NOT_RUN


async def test_hedge_wins_over_a_stuck_attempt():
    stuck, free = FakeLink("stuck", "a"), FakeLink("free", "ace")
    free.in_flight = 3
    harness = DispatcherHarness(stuck, free)
    harness.record_first_chunk_latencies(0.01)
    outcome, content = await harness.run()
    assert outcome.is_ok()
    assert content == TEXT
    assert outcome.ok.run is free.runs[0]
    assert not free.runs[0].is_closed
    assert stuck.runs[0].is_closed
    assert harness.counters.counts["hedged"] == 1
    assert "retried.endpoint-failed" not in harness.counters.counts


async def test_failed_hedge_does_not_end_the_first_attempt():
    slow, bad = FakeLink("slow", "a"), FakeLink("bad", "f")
    bad.in_flight = 3
    harness = DispatcherHarness(slow, bad)
    harness.record_first_chunk_latencies(0.01)
    running = asyncio.ensure_future(harness.run())
    while not bad.runs:
        await asyncio.sleep(0.005)
    await asyncio.sleep(0.01)
    assert not running.done()
    assert not slow.runs[0].is_closed
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    assert slow.runs[0].is_closed
    assert bad.runs[0].is_closed


async def test_hedge_that_may_have_run_makes_the_outcome_unknown():
    slow, lost = FakeLink("slow", "wf"), FakeLink("lost", "ax")
    lost.in_flight = 3
    harness = DispatcherHarness(slow, lost)
    harness.record_first_chunk_latencies(0.01)
    running = asyncio.ensure_future(harness.run())
    while not lost.runs:
        await asyncio.sleep(0.005)
    slow.runs[0].released.set()
    outcome, _ = await running
    assert outcome.error.outcome is errors.Outcome.UNKNOWN


@pytest.mark.parametrize(("is_dead", "runs"), [(False, 2), (True, 1)])
async def test_started_answer_resumes_at_an_agent_only_if_it_is_alive(
    monkeypatch: pytest.MonkeyPatch, is_dead: bool, runs: int
):
    monkeypatch.setattr(dispatch, "ENDPOINT_WAIT_SECONDS", 0.05)
    first, other = FakeLink("first", "acx", "ae"), FakeLink("other", "ax")
    first.is_dead = is_dead
    other.in_flight = 3
    harness = DispatcherHarness(first, other)
    outcome, content = await harness.run()
    assert len(first.runs) == runs
    assert outcome.is_ok() is not is_dead
    assert content == TEXT
    # Only the agents are known to be gone; their endpoints may still run.
    unconfirmed = {"life of first"} if is_dead else set()
    assert set(harness.quarantine.unconfirmed_lives) >= unconfirmed


@pytest.mark.parametrize("why", ["service", "busy", "suspect"])
async def test_no_hedge_is_sent(why: str):
    stuck, other = FakeLink("stuck", "a"), FakeLink("other", "ace")
    other.in_flight = SLOTS if why == "busy" else 3
    other.is_suspect = why == "suspect"
    harness = DispatcherHarness(stuck, other)
    harness.record_first_chunk_latencies(0.001)
    running = asyncio.ensure_future(
        harness.run(None if why == "service" else VERSION)
    )
    await asyncio.sleep(0.05)
    assert len(stuck.runs) == 1
    assert not other.runs
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)


async def test_request_is_not_sent_if_no_endpoint_can_meet_its_deadline():
    busy = {
        "running": SLOTS,
        "queues": {0: 40},
        "service_mean_seconds": 4.0,
        "service_bound_seconds": 8.0,
    }
    fakes = [FakeLink(name, "ace", **busy) for name in "ab"]
    outcome, _ = await DispatcherHarness(*fakes).run()
    refusal = outcome.error
    assert refusal.reason is errors.Reason.DEADLINE_UNREACHABLE
    assert refusal.outcome is errors.Outcome.NOT_RUN
    assert refusal.retry_at > clock.SystemClock().wall()
    assert not any(fake.runs for fake in fakes)
