"""Processor time of a choice of a model server, by the number of servers.

Run with ``python -m experiments.choosing_time``.
"""

import collections.abc
import dataclasses
import pathlib
import random
import time

import click

from experiments import base, report
from wagtailstream_router import (
    configuration,
    directory,
    endpoint,
    placement,
    request,
    warm_prompts,
)
from wagtailstream_router.engines import candidates, engine_speed

SERVERS = (20, 60, 250, 750)
CHOICES = 400
MODELS = ("small", "middle", "large")


@dataclasses.dataclass(frozen=True)
class ChoosingRow(base.Row):
    """One measurement.

    :param servers: the number of servers.
    :param us: the processor time of a choice in microseconds.
    """

    servers: int
    us: float


class ChoosingTime(base.Experiment):
    """Measures the choice of a model server at several sizes."""

    @property
    def name(self) -> str:
        return "choosing_time"

    @property
    def command(self) -> str:
        return "python -m experiments.choosing_time"

    def run(self, seed: int) -> collections.abc.Sequence[ChoosingRow]:
        return [
            ChoosingRow("ring and random", count, _measure(count, seed))
            for count in SERVERS
        ]


_SPEEDS = engine_speed.EngineSpeeds()


def _measure(count: int, seed: int) -> float:
    members = [_make_member(f"engine-{number}") for number in range(count)]
    for member in members:
        member.health.record_success(1.0)
    warm = warm_prompts.WarmPrompts()
    picker = candidates.Candidates(random.Random(seed))
    calls = [_make_call(number) for number in range(CHOICES)]
    _choose(members, calls[0], warm, picker)
    began = time.process_time()
    for call in calls:
        _choose(members, call, warm, picker)
    return (time.process_time() - began) / CHOICES * 1e6


def _choose(
    members: list[directory.Member],
    call: request.Request,
    warm: warm_prompts.WarmPrompts,
    picker: candidates.Candidates,
) -> None:
    chosen = placement.choose_engine(
        members, _ROUTE, MODELS[-1], call, warm, picker, _SPEEDS
    )
    assert chosen is not None
    warm.record(chosen.member.identity, MODELS[-1], call)


_ROUTE = configuration.Route(
    name="stream",
    host="example.test",
    prefix="/stream/",
    kind=configuration.RouteKind.STREAM,
    shares=(configuration.ServiceShare("engine", 1.0),),
    timeout_ms=3000.0,
    target_ms=1000.0,
    max_attempts=3,
    priority=0,
    is_public=True,
    is_sticky=False,
    is_resumable=True,
    sizes=MODELS,
    target_gap_ms=400.0,
)


def _make_member(identity: str) -> directory.Member:
    return directory.Member(
        endpoint.Endpoint(
            identity=identity,
            service="engine",
            address="10.0.0.1:80",
            zone="zone-1",
            version="v1",
            slots=8,
            state=endpoint.EndpointState.READY,
            cold_ms=0.0,
            models=(),
            born_ms=1,
        )
    )


def _make_call(number: int) -> request.Request:
    return request.Request(
        identity=f"request-{number}",
        method="POST",
        target="/stream/a",
        path="/stream/a",
        host="example.test",
        headers=(),
        body=b"",
        arrived=0.0,
        deadline=None,
        credential="",
        parts=(
            request.PromptPart("all", 2_000),
            request.PromptPart(f"part-{number % 40}", 11_000),
            request.PromptPart(f"own-{number}", 2_000),
        ),
        prompt_tokens=15_000,
        max_output_tokens=100,
        expected_output_tokens=0,
        last_event=None,
        model="",
        session="",
    )


@click.command()
@click.option("--seed", default=1, show_default=True)
@click.option(
    "--out",
    type=click.Path(path_type=pathlib.Path, file_okay=False),
    default=pathlib.Path("build/choosing_time"),
    show_default=True,
)
def main(seed: int, out: pathlib.Path) -> None:
    """Measure the processor time of a choice of a model server."""
    experiment = ChoosingTime()
    finished = report.FinishedRun(experiment, seed, experiment.run(seed), 0.0)
    report.write([finished], out)
    click.echo(report.format_table(finished))


if __name__ == "__main__":
    main()
