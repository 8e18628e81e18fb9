"""Late answers are recorded once, as soon as they are late."""

import asyncio

from wagtailstream_router import answer_watch, rollout_state


async def test_a_late_answer_is_recorded_before_it_arrives() -> None:
    samples: asyncio.Queue[rollout_state.Sample] = asyncio.Queue()
    watch = answer_watch.AnswerWatch(0.0, samples.put_nowait)
    sample = await asyncio.wait_for(samples.get(), 30.0)
    assert sample.is_slow
    watch.record_arrival()
    watch.record_silence()
    assert samples.empty()
    assert watch.has_arrived


async def test_a_timely_answer_is_recorded_once() -> None:
    samples: list[rollout_state.Sample] = []
    watch = answer_watch.AnswerWatch(60_000.0, samples.append)
    watch.record_arrival()
    watch.record_arrival()
    assert samples == [rollout_state.Sample(is_slow=False)]


async def test_an_answer_that_is_no_longer_waited_for_is_late() -> None:
    samples: list[rollout_state.Sample] = []
    watch = answer_watch.AnswerWatch(60_000.0, samples.append)
    watch.record_silence()
    assert samples == [rollout_state.Sample(is_slow=True)]
    assert not watch.has_arrived


async def test_a_stopped_watch_records_nothing() -> None:
    samples: list[rollout_state.Sample] = []
    watch = answer_watch.AnswerWatch(0.0, samples.append)
    watch.stop()
    await asyncio.sleep(0.2)
    assert not samples
