"""Tests of claims: of several agents at most one runs a key.

The agents share a log that refuses appends, loses answers and drops records.
"""

import asyncio
import collections
import collections.abc
import contextlib
import enum
import random
import time

import hypothesis
import hypothesis.strategies as st
import pytest

from wagtailstream_agent import claims
from wagtailstream_core import clock, errors, ledger
from wagtailstream_runtime import log_client

WINDOW_SECONDS = 60.0
TIMEOUT_SECONDS = 20.0


class AppendFate(enum.Enum):
    """How an append ends."""

    DONE = "done"
    ANSWER_LOST = "answer lost"
    REFUSED = "refused"


class FaultyLog(log_client.MemoryLog):
    """A log with random delays that refuses appends and loses their answers.

    :param rng: draws the delays.
    :param fates: how the first appends end, in order; later ones succeed.
    """

    def __init__(
        self,
        rng: random.Random,
        fates: collections.abc.Iterable[AppendFate] = (),
    ) -> None:
        super().__init__()
        self._rng = rng
        self._fates = collections.deque(fates)
        self.is_down = False
        self.first = 0

    async def append(
        self, stream: str, payload: bytes
    ) -> log_client.AppendResult:
        for _ in range(self._rng.randrange(3)):
            await asyncio.sleep(0)
        fate = self._fates.popleft() if self._fates else AppendFate.DONE
        if self.is_down or fate is AppendFate.REFUSED:
            raise errors.LogUnavailableError("append", "log", "outage")
        appended = await super().append(stream, payload)
        if fate is AppendFate.ANSWER_LOST:
            raise errors.AppendUncertainError("append", "log", "lost")
        return appended

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> log_client.Slice:
        """Read the records from ``first`` on; earlier ones were dropped."""
        start = max(offset, self.first)
        part = await super().read(stream, start, min(wait_seconds, 0.005))
        for _ in range(self._rng.randrange(3)):
            await asyncio.sleep(0)
        return log_client.Slice(self.first, part.next, part.records)


def make_claim(key: str, claim_id: str) -> ledger.Claim:
    return ledger.Claim(
        customer="c",
        service="s",
        idempotency_key=key,
        claim_id=claim_id,
        claimant="127.0.0.1:1",
        request_id="r",
        key_time=time.time(),
    )


@contextlib.asynccontextmanager
async def run_ledger(log: log_client.LogClient):  # type: ignore[no-untyped-def]
    claim_ledger = claims.ClaimLedger(
        log, "s", WINDOW_SECONDS, clock.SystemClock()
    )
    tasks = [asyncio.ensure_future(c) for c in claim_ledger.list_tasks()]
    try:
        yield claim_ledger
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_complete(claim_ledger: claims.ClaimLedger) -> None:
    async with asyncio.timeout(TIMEOUT_SECONDS):
        while not claim_ledger.is_complete:
            await asyncio.sleep(0.001)


@hypothesis.settings(derandomize=True, max_examples=15, deadline=None)
@hypothesis.given(
    st.lists(
        st.tuples(
            st.integers(0, 2),
            st.sampled_from(["k1", "k2"]),
            st.sampled_from([0.0, 0.01, 5.0]),
            st.booleans(),
        ),
        min_size=2,
        max_size=8,
    ),
    # Drawn before the tasks run: how many appends there are depends on their
    # interleaving.
    st.lists(st.sampled_from(AppendFate), max_size=16),
    st.integers(0, 2**32 - 1),
)
def test_at_most_one_claimant_runs_a_key(
    attempts: list[tuple[int, str, float, bool]],
    fates: list[AppendFate],
    seed: int,
) -> None:
    """Several agents claim the same keys concurrently.

    Some claims time out, some are abandoned after they won.
    """
    runs: collections.Counter[str] = collections.Counter()

    async def attempt(
        claim_ledger: claims.ClaimLedger,
        claim: ledger.Claim,
        wait_seconds: float,
        is_abandoned: bool,
    ) -> None:
        try:
            state = await claim_ledger.claim(claim, time.time() + wait_seconds)
        except errors.LogUnavailableError:
            return
        if state is ledger.ClaimState.WON:
            if is_abandoned:
                claim_ledger.abandon(claim)
            else:
                runs[claim.idempotency_key] += 1

    async def run() -> None:
        log = FaultyLog(random.Random(seed), fates)
        async with contextlib.AsyncExitStack() as stack:
            agents = [
                await stack.enter_async_context(run_ledger(log))
                for _ in range(3)
            ]
            for claim_ledger in agents:
                await wait_complete(claim_ledger)
            await asyncio.gather(
                *(
                    attempt(
                        agents[agent],
                        make_claim(key, f"claim-{number}"),
                        wait_seconds,
                        is_abandoned,
                    )
                    for number, (
                        agent,
                        key,
                        wait_seconds,
                        is_abandoned,
                    ) in enumerate(attempts)
                )
            )

    asyncio.run(run())
    assert all(count == 1 for count in runs.values())


def test_next_claim_wins_after_an_abandonment() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        async with (
            run_ledger(log) as first_agent,
            run_ledger(log) as second_agent,
        ):
            await wait_complete(first_agent)
            await wait_complete(second_agent)
            first = make_claim("k", "a")
            deadline = time.time() + TIMEOUT_SECONDS
            assert (
                await first_agent.claim(first, deadline)
                is ledger.ClaimState.WON
            )
            lost = await second_agent.claim(make_claim("k", "b"), deadline)
            assert lost is ledger.ClaimState.LOST
            first_agent.abandon(first)
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while second_agent.find_winner(first.key) is not None:
                    await asyncio.sleep(0.001)
            won = await second_agent.claim(make_claim("k", "c"), deadline)
            assert won is ledger.ClaimState.WON
            # A late duplicate of the abandoned claim, from an append that
            # timed out, has no effect.
            await log.append("claims.s", ledger.encode_batch([first]))
            again = await first_agent.claim(make_claim("k", "d"), deadline)
            assert again is ledger.ClaimState.LOST

    asyncio.run(run())


def test_timed_out_claim_is_abandoned_once_the_log_is_back() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        async with run_ledger(log) as claim_ledger:
            await wait_complete(claim_ledger)
            log.is_down = True
            claim = make_claim("k", "a")
            with pytest.raises(errors.LogUnavailableError):
                await claim_ledger.claim(claim, time.time() + 0.3)
            assert claim_ledger.pending_abandonment_count == 1
            log.is_down = False
            async with asyncio.timeout(TIMEOUT_SECONDS):
                while claim_ledger.pending_abandonment_count:
                    await asyncio.sleep(0.01)
            next_claim = make_claim("k", "b")
            state = await claim_ledger.claim(
                next_claim, time.time() + TIMEOUT_SECONDS
            )
            assert state is ledger.ClaimState.WON

    asyncio.run(run())


def test_restart_after_retention_dropped_a_claim_refuses_claims() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        held = make_claim("k", "a")
        await log.append("claims.s", ledger.encode_batch([held]))
        log.first = 1
        async with run_ledger(log) as claim_ledger:
            await asyncio.sleep(0.05)
            assert not claim_ledger.is_complete
            with pytest.raises(errors.LogUnavailableError):
                await claim_ledger.claim(make_claim("k", "b"), time.time() + 1)

    asyncio.run(run())


def test_reader_overtaken_by_retention_wins_no_claim() -> None:
    """Retention drops another agent's earlier claim before it is read.

    The agent's own claim would then look like the first one.
    """

    class OvertakenLog(FaultyLog):
        async def append(
            self, stream: str, payload: bytes
        ) -> log_client.AppendResult:
            # Bypass the delays, so that no read happens between the appends.
            rival = ledger.encode_batch([make_claim("k", "rival")])
            await log_client.MemoryLog.append(self, stream, rival)
            appended = await log_client.MemoryLog.append(self, stream, payload)
            self.first = appended.offset
            return appended

    async def run() -> None:
        async with run_ledger(OvertakenLog(random.Random(1))) as claim_ledger:
            await wait_complete(claim_ledger)
            with pytest.raises(errors.LogUnavailableError):
                await claim_ledger.claim(make_claim("k", "b"), time.time() + 1)

    asyncio.run(run())
