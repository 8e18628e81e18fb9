"""An entry with `max_links` connects to only part of the fleet.

It must replace the endpoints that die by others of the same pool.
"""

import collections.abc
import pathlib

import pytest

from standins import fleet, processes
from tests.integration import support

ENGINES = 6
# Two of the five endpoints in the Rennes engine pool, and one in each of the
# three pools with a single endpoint.
MAX_LINKS = 5


@pytest.fixture
def started(tmp_path: pathlib.Path) -> collections.abc.Iterator[fleet.Fleet]:
    path = support.write_bundle(tmp_path, ENGINES, "rennes")
    with support.run_fleet(bundle_path=path) as running:
        yield running


def list_usable(started: fleet.Fleet, entry: processes.Process) -> set[str]:
    """Return the endpoints to which an entry sends work."""
    return {
        agent["endpoint"]
        for agent in started.fetch_status(entry)["agents"]
        if agent.get("usable") and agent.get("loaded") is not None
    }


def test_entry_chooses_others_when_its_endpoints_die(
    started: fleet.Fleet,
) -> None:
    bounded = started.start_entry(settings={"max_links": MAX_LINKS})
    started.wait_until(
        lambda: len(list_usable(started, bounded)) == MAX_LINKS,
        "the entry did not reach max_links",
    )
    assert len(list_usable(started, started.entries[0])) == ENGINES + 2
    first = list_usable(started, bounded)
    for number in range(10):
        answer = support.chat(bounded, f"Draft number {number}.")
        assert answer.is_whole
        assert answer.headers["Wagtail-Endpoint"] in first
    lost = first - {"drafting-2", "registry-1", "registry-2"}
    for name in lost:
        started.endpoints[name].agent.kill()
    started.wait_until(
        lambda: len(list_usable(started, bounded) - first) == len(lost),
        "the links to dead endpoints are not replaced",
    )
    started.endpoints["drafting-2"].agent.kill()
    answer = support.chat(bounded, "Draft one more.")
    assert answer.is_whole
    assert answer.headers["Wagtail-Endpoint"] not in first
