"""Claims of several agents over one faulty log: at most one runs a key."""

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
LIMIT_SECONDS = 20.0


class Fate(enum.Enum):
    """What becomes of an append."""

    DONE = "done"
    ANSWER_LOST = "answer lost"
    REFUSED = "refused"


class FaultyLog(log_client.MemoryLog):
    """Refuses and loses answers of appends, delays at random.

    :param rng: draws the delays.
    :param fates: of the first appends, in order; those after them are done.
    """

    def __init__(
        self, rng: random.Random, fates: collections.abc.Iterable[Fate] = ()
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
        fate = self._fates.popleft() if self._fates else Fate.DONE
        if self.is_down or fate is Fate.REFUSED:
            raise errors.LogUnavailableError("append", "log", "outage")
        appended = await super().append(stream, payload)
        if fate is Fate.ANSWER_LOST:
            raise errors.AppendUncertainError("append", "log", "lost")
        return appended

    async def read(
        self, stream: str, offset: int, wait_seconds: float = 0.0
    ) -> log_client.Slice:
        """Read with retention: nothing before ``first`` is held."""
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
    made = claims.ClaimLedger(log, "s", WINDOW_SECONDS, clock.SystemClock())
    tasks = [asyncio.ensure_future(c) for c in made.list_tasks()]
    try:
        yield made
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def wait_complete(made: claims.ClaimLedger) -> None:
    async with asyncio.timeout(LIMIT_SECONDS):
        while not made.is_complete:
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
    # Drawn whole before the tasks race: how often these ask hangs on how they
    # fall together.
    st.lists(st.sampled_from(Fate), max_size=16),
    st.integers(0, 2**32 - 1),
)
def test_at_most_one_claimant_runs_a_key(
    tries: list[tuple[int, str, float, bool]],
    fates: list[Fate],
    seed: int,
) -> None:
    """Tries of three agents at once; some give up, some after winning."""
    runs: collections.Counter[str] = collections.Counter()

    async def attempt(
        made: claims.ClaimLedger, claim: ledger.Claim, limit: float, drop: bool
    ) -> None:
        try:
            state = await made.claim(claim, time.time() + limit)
        except errors.LogUnavailableError:
            return
        if state is ledger.ClaimState.WON:
            if drop:
                made.abandon(claim)
            else:
                runs[claim.idempotency_key] += 1

    async def run() -> None:
        log = FaultyLog(random.Random(seed), fates)
        async with contextlib.AsyncExitStack() as stack:
            agents = [
                await stack.enter_async_context(run_ledger(log))
                for _ in range(3)
            ]
            for made in agents:
                await wait_complete(made)
            await asyncio.gather(
                *(
                    attempt(
                        agents[agent],
                        make_claim(key, f"claim-{number}"),
                        limit,
                        drop,
                    )
                    for number, (agent, key, limit, drop) in enumerate(tries)
                )
            )

    asyncio.run(run())
    assert all(count == 1 for count in runs.values())


def test_abandoned_claim_lets_the_next_one_win_soon() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        async with run_ledger(log) as one, run_ledger(log) as two:
            await wait_complete(one)
            await wait_complete(two)
            first = make_claim("k", "a")
            deadline = time.time() + LIMIT_SECONDS
            assert await one.claim(first, deadline) is ledger.ClaimState.WON
            lost = await two.claim(make_claim("k", "b"), deadline)
            assert lost is ledger.ClaimState.LOST
            one.abandon(first)
            async with asyncio.timeout(LIMIT_SECONDS):
                while two.find_winner(first.key) is not None:
                    await asyncio.sleep(0.001)
            won = await two.claim(make_claim("k", "c"), deadline)
            assert won is ledger.ClaimState.WON
            # Its late copy, from an append given up, changes nothing.
            await log.append("claims.s", ledger.encode_batch([first]))
            again = await one.claim(make_claim("k", "d"), deadline)
            assert again is ledger.ClaimState.LOST

    asyncio.run(run())


def test_claim_given_up_is_abandoned_once_the_log_is_back() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        async with run_ledger(log) as made:
            await wait_complete(made)
            log.is_down = True
            claim = make_claim("k", "a")
            with pytest.raises(errors.LogUnavailableError):
                await made.claim(claim, time.time() + 0.3)
            assert made.abandoning_count == 1
            log.is_down = False
            async with asyncio.timeout(LIMIT_SECONDS):
                while made.abandoning_count:
                    await asyncio.sleep(0.01)
            next_claim = make_claim("k", "b")
            state = await made.claim(next_claim, time.time() + LIMIT_SECONDS)
            assert state is ledger.ClaimState.WON

    asyncio.run(run())


def test_restart_after_retention_passed_over_a_claim_takes_none() -> None:
    async def run() -> None:
        log = FaultyLog(random.Random(1))
        held = make_claim("k", "a")
        await log.append("claims.s", ledger.encode_batch([held]))
        log.first = 1
        async with run_ledger(log) as made:
            await asyncio.sleep(0.05)
            assert not made.is_complete
            with pytest.raises(errors.LogUnavailableError):
                await made.claim(make_claim("k", "b"), time.time() + 1)

    asyncio.run(run())


def test_reader_that_retention_overtakes_wins_nothing() -> None:
    """A rival's claim is dropped unread between the append and the read."""

    class OvertakenLog(FaultyLog):
        async def append(
            self, stream: str, payload: bytes
        ) -> log_client.AppendResult:
            # Without delays, so that no reader comes between.
            rival = ledger.encode_batch([make_claim("k", "rival")])
            await log_client.MemoryLog.append(self, stream, rival)
            appended = await log_client.MemoryLog.append(self, stream, payload)
            self.first = appended.offset
            return appended

    async def run() -> None:
        async with run_ledger(OvertakenLog(random.Random(1))) as made:
            await wait_complete(made)
            with pytest.raises(errors.LogUnavailableError):
                await made.claim(make_claim("k", "b"), time.time() + 1)

    asyncio.run(run())
