"""Load generator for entries and engines: ``python -m standins.load URL``."""

import asyncio
import collections
import dataclasses
import pathlib
import random
import time
import typing

import click
import orjson
from hdrh import histogram
from tornado import httpclient, simple_httpclient

import standins.load_target as load_target

LOWEST_MICROSECONDS = 1
HIGHEST_MICROSECONDS = 600_000_000
SIGNIFICANT_DIGITS = 3
PERCENTILES = (50.0, 95.0, 99.0)
REQUEST_TIMEOUT_SECONDS = 120.0
_MICROSECONDS_PER_SECOND = 1e6

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Plan:
    """Amount and duration of the load.

    :param callers: maximum number of requests in flight.
    :param requests: maximum number of requests.
    :param seconds: time after which no further request is sent.
    :param rate: mean requests a second of an open loop; None for a closed
        loop, in which each caller waits for its answer.
    :param prefixes: number of distinct prompt prefixes.
    :param seed: seeds arrival times and prompts.
    """

    callers: int = 1
    requests: int = 100
    seconds: float = 10.0
    rate: float | None = None
    prefixes: int = 8
    seed: int = 1


class Recorder:
    """Latency histograms and outcome counts of a run."""

    def __init__(self) -> None:
        self.outcomes: collections.Counter[str] = collections.Counter()
        self.tokens = 0
        self._first_token_times = _make_histogram()
        self._answer_times = _make_histogram()
        self._started_at = time.monotonic()
        self._ended_at = self._started_at

    def record_outcome(
        self, due_at: float, progress: load_target.Progress, outcome: str
    ) -> None:
        """Record the end of a request.

        Latencies count from the time at which the request was due, so that
        an open loop that falls behind doesn't hide its delay.

        :param due_at: when the request was due, monotonic seconds.
        :param progress: the part of the answer that was received.
        :param outcome: how the request ended.
        """
        self._ended_at = time.monotonic()
        self.outcomes[outcome] += 1
        self.tokens += progress.tokens
        if progress.first_at is not None:
            _record(self._first_token_times, progress.first_at - due_at)
        if outcome == "completed":
            _record(self._answer_times, self._ended_at - due_at)

    def summarize(self) -> Json:
        """Return rates, outcome counts and latencies in milliseconds."""
        seconds = max(self._ended_at - self._started_at, 1e-9)
        return {
            "seconds": seconds,
            "outcomes": dict(self.outcomes),
            "requests_per_second": self.outcomes["completed"] / seconds,
            "tokens_per_second": self.tokens / seconds,
            "first_token_ms": _summarize(self._first_token_times),
            "whole_ms": _summarize(self._answer_times),
        }


def _make_histogram() -> histogram.HdrHistogram:
    return histogram.HdrHistogram(
        LOWEST_MICROSECONDS, HIGHEST_MICROSECONDS, SIGNIFICANT_DIGITS
    )


def _record(target: histogram.HdrHistogram, seconds: float) -> None:
    target.record_value(round(seconds * _MICROSECONDS_PER_SECOND))


def _summarize(target: histogram.HdrHistogram) -> Json:
    return {
        f"p{percentile:g}": target.get_value_at_percentile(percentile) / 1000.0
        for percentile in PERCENTILES
    }


class Load:
    """Sends the requests of a plan.

    :param plan: amount and duration of the load.
    :param target: the entry or engine that is called.
    """

    def __init__(self, plan: Plan, target: load_target.Target) -> None:
        self._plan = plan
        self._target = target
        self._rng = random.Random(plan.seed)
        self._client = simple_httpclient.SimpleAsyncHTTPClient(
            force_instance=True, max_clients=plan.callers
        )
        self._sent = 0
        self._stop_at = time.monotonic() + plan.seconds
        self.recorder = Recorder()

    async def run(self) -> None:
        """Send all requests and wait until each has ended."""
        if self._plan.rate is None:
            callers = (
                self._send_closed_loop() for _ in range(self._plan.callers)
            )
            await asyncio.gather(*callers)
        else:
            await self._send_open_loop(self._plan.rate)
        self._client.close()

    @property
    def _may_send(self) -> bool:
        return (
            self._sent < self._plan.requests
            and time.monotonic() < self._stop_at
        )

    async def _send_closed_loop(self) -> None:
        while self._may_send:
            self._sent += 1
            await self._send_request(time.monotonic(), self._sent)

    async def _send_open_loop(self, rate: float) -> None:
        """Send requests as a Poisson process, without awaiting answers.

        A request that is due while ``callers`` others are in flight is
        skipped and counted as ``not-sent``.
        """
        due = time.monotonic()
        in_flight: set[asyncio.Task[None]] = set()
        while self._may_send:
            due += self._rng.expovariate(rate)
            await asyncio.sleep(max(0.0, due - time.monotonic()))
            self._sent += 1
            if len(in_flight) >= self._plan.callers:
                self.recorder.outcomes["not-sent"] += 1
                continue
            task = asyncio.ensure_future(self._send_request(due, self._sent))
            in_flight.add(task)
            task.add_done_callback(in_flight.discard)
        await asyncio.gather(*in_flight)

    async def _send_request(self, due_at: float, number: int) -> None:
        prefix = self._rng.randrange(self._plan.prefixes)
        progress = self._target.make_progress()
        request = self._target.make_request(
            f"load-{self._plan.seed}-{number}", f"Prefix {prefix}."
        )
        request.streaming_callback = progress.feed
        request.request_timeout = REQUEST_TIMEOUT_SECONDS
        try:
            answer = await self._client.fetch(request, raise_error=False)
            outcome = progress.find_outcome(answer.code)
        except (httpclient.HTTPError, OSError):
            outcome = "failed"
        self.recorder.record_outcome(due_at, progress, outcome)


def format_summary(summary: Json) -> str:
    """Return a summary as text.

    :param summary: the result of :meth:`Recorder.summarize`.
    """
    lines = [
        f"{summary['requests_per_second']:.1f} requests/s, "
        f"{summary['tokens_per_second']:.0f} tokens/s "
        f"in {summary['seconds']:.1f} s"
    ]
    lines += [
        f"{name}: {count}" for name, count in summary["outcomes"].items()
    ]
    for key in ("first_token_ms", "whole_ms"):
        times = ", ".join(
            f"{percentile} {value:.1f}"
            for percentile, value in summary[key].items()
        )
        lines.append(f"{key}: {times}")
    return "\n".join(lines)


@click.command()
@click.argument("url")
@click.option("--key", help="API key of an entry.")
@click.option("--engine", is_flag=True, help="The URL is an engine's.")
@click.option("--model", default="drafter", show_default=True)
@click.option("--version", default="1", show_default=True)
@click.option("--tokens", default=32, show_default=True)
@click.option("--callers", default=1, show_default=True)
@click.option("--requests", default=100, show_default=True)
@click.option("--seconds", default=10.0, show_default=True)
@click.option("--rate", type=float, help="Open loop: requests a second.")
@click.option("--prefixes", default=8, show_default=True)
@click.option("--seed", default=1, show_default=True)
@click.option("--json", "json_path", type=click.Path(path_type=pathlib.Path))
def main(
    url: str,
    key: str | None,
    engine: bool,
    model: str,
    version: str,
    tokens: int,
    callers: int,
    requests: int,
    seconds: float,
    rate: float | None,
    prefixes: int,
    seed: int,
    json_path: pathlib.Path | None,
) -> None:
    """Send load to an entry or an engine and print a summary."""
    target: load_target.Target
    if engine:
        target = load_target.EngineTarget(url, model, version, tokens)
    else:
        target = load_target.EntryTarget(url, model, tokens, key or "")
    plan = Plan(callers, requests, seconds, rate, prefixes, seed)
    summary = asyncio.run(_run(plan, target))
    if json_path is not None:
        json_path.write_bytes(orjson.dumps(summary))
    click.echo(format_summary(summary))


async def _run(plan: Plan, target: load_target.Target) -> Json:
    load = Load(plan, target)
    await load.run()
    return load.recorder.summarize()


if __name__ == "__main__":
    main()
