"""Implements the steps of rollout.feature against real processes."""

import collections.abc
import dataclasses

import pytest
import pytest_bdd

from standins import fleet
from tests.integration import support

STAGES = 3

pytest_bdd.scenarios("rollout.feature")


@dataclasses.dataclass
class World:
    """State shared by the steps of a scenario.

    :param token: the session token of the scenario's session, if any.
    """

    started: fleet.Fleet
    token: str = ""

    def ask(self, key: str = support.KEY, **headers: str) -> support.Answer:
        return support.chat(
            self.started.entries[0], "Draft it.", key=key, **headers
        )


@pytest.fixture
def world() -> collections.abc.Iterator[World]:
    with support.run_fleet() as started:
        yield World(started)


@pytest_bdd.given("a fleet whose drafter rolls out version 2")
def _fleet(world: World) -> None:
    drafter = world.started.bundle.find_model("drafter")
    assert drafter is not None
    assert drafter.rollout is not None
    assert drafter.rollout.candidate == "2"


@pytest_bdd.given(pytest_bdd.parsers.parse("a session on version {version}"))
def _session(world: World, version: str) -> None:
    answer = world.ask()
    assert answer.headers["Wagtail-Version"] == version
    world.token = answer.headers["Wagtail-Session"]


@pytest_bdd.given("the operator has advanced the roll-out to its last stage")
@pytest_bdd.when("the operator advances the roll-out to its last stage")
def _advance(world: World) -> None:
    for _ in range(STAGES - 1):
        world.started.run_operator_command(
            "alice", "bundle", "advance", "drafter"
        )


@pytest_bdd.when("the operator withdraws version 2")
def _withdraw(world: World) -> None:
    world.started.run_operator_command(
        "alice", "bundle", "withdraw", "drafter", "2"
    )


@pytest_bdd.then(
    pytest_bdd.parsers.parse("a new session runs on version {version}")
)
def _new_session(world: World, version: str) -> None:
    assert world.ask().headers["Wagtail-Version"] == version


@pytest_bdd.then("a new session of the narrow customer runs on version 1")
def _narrow(world: World) -> None:
    answer = world.ask(key=support.NARROW_KEY)
    assert answer.headers["Wagtail-Version"] == "1"


@pytest_bdd.then(
    pytest_bdd.parsers.parse("the session still runs on version {version}")
)
def _still(world: World, version: str) -> None:
    answer = world.ask(Wagtail_Session=world.token)
    assert answer.headers["Wagtail-Version"] == version


@pytest_bdd.then(
    "the session is refused with version-withdrawn and did not run"
)
def _refused(world: World) -> None:
    before = len(support.list_runs(world.started))
    answer = world.ask(Wagtail_Session=world.token)
    assert answer.code == "version-withdrawn"
    assert answer.outcome == "not-run"
    assert len(support.list_runs(world.started)) == before
