"""An accepted configuration reaches every instance and never reverts."""

import collections
import collections.abc
import contextlib
import threading

import requests

from standins import fleet, processes
from tests.integration import configuration_support as shared
from tests.integration import support
from wagtailstream_core import records

RETENTION_SECONDS = 4.0


def withdraw(started: fleet.Fleet) -> int:
    """Append a withdrawal of version 2 and return its offset.

    Does not wait until the instances hold it.
    """
    change = shared.make_change(
        started,
        "alice",
        lambda state: records.Withdraw(
            base=state.revision, model="drafter", version="2"
        ),
    )
    return shared.append_change(started, change).offset


def test_the_log_goes_down_right_after_an_append() -> None:
    """Instances that could not read a change from the log get it from peers.

    One is paused, one is cut off from the log, and two are restarted during
    the outage.
    """
    options = shared.OWN_ROUTES
    with support.run_fleet(entries=2, options=options) as started:
        log = started.platform["log"]
        paused = started.endpoints["drafting-1"].agent
        paused.freeze()
        started.set_route_fault("log-agent-registry-1", "blackhole")
        offset = withdraw(started)
        started.wait_until(
            lambda: (
                started.fetch_status(started.entries[0])["offset"] >= offset
            ),
            "no instance read the change",
        )
        started.set_faults(log, outage=True)
        started.endpoints["drafting-2"].agent.kill()
        started.restart_agent("drafting-2")
        started.entries[1].kill()
        started.start_entry()
        del started.entries[1]
        paused.thaw()
        shared.wait_everywhere(started, offset)
        started.wait_ready()
        for entry in started.entries:
            answer = support.chat(entry, "Served from peers.")
            assert answer.headers["Wagtail-Version"] == "1"


def test_a_replica_that_lags_delays_no_change() -> None:
    """Readers of a replica that lags get a change from their peers.

    The replica must not take them back to the older configuration either.
    """
    options = fleet.Options(replica_readers=("agent-drafting-1", "entry-1"))
    with support.run_fleet(entries=2, options=options) as started:
        log = started.platform["log"]
        started.set_faults(log, replica_lag_seconds=3600.0)
        offset = withdraw(started)
        shared.wait_everywhere(started, offset)
        found = started.endpoints["drafting-1"]
        found.agent.kill()
        started.restart_agent("drafting-1")
        started.wait_ready()
        shared.wait_everywhere(started, offset)
        answers = shared.repeat_for(
            shared.STALE_SECONDS,
            lambda: support.chat(started.entries[0], "Go on."),
        )
        assert {a.code for a in answers} == {""}


@contextlib.contextmanager
def watch_offsets(
    started: fleet.Fleet,
) -> collections.abc.Iterator[dict[str, list[int]]]:
    """Record the configuration offsets that instances report.

    An agent's offsets are kept for each entry that reports them.
    """
    seen: dict[str, list[int]] = collections.defaultdict(list)
    is_over = threading.Event()

    def record_offsets(entry: processes.Process) -> None:
        status = started.fetch_status(entry)
        seen[entry.address].append(status["offset"])
        for agent in status["agents"]:
            if agent.get("offset", -1) >= 0:
                key = f"{agent['address']} by {entry.address}"
                seen[key].append(agent["offset"])

    def watch() -> None:
        while not is_over.is_set():
            for entry in list(started.entries):
                with contextlib.suppress(requests.RequestException):
                    record_offsets(entry)

    watcher = threading.Thread(target=watch)
    watcher.start()
    try:
        yield seen
    finally:
        is_over.set()
        watcher.join()


def test_no_offset_ever_moves_down() -> None:
    """Offsets grow while instances are killed, restarted, paused and woken.

    Two instances read from a replica that holds none of the records.
    """
    options = fleet.Options(replica_readers=("agent-registry-1", "entry-1"))
    with support.run_fleet(entries=2, options=options) as started:
        log = started.platform["log"]
        started.set_faults(log, replica_lag_seconds=3600.0)
        with watch_offsets(started) as seen:
            for name in ("drafting-1", "registry-1", "drafting-2"):
                started.endpoints[name].agent.kill()
                started.restart_agent(name)
                paused = started.endpoints["registry-2"].agent
                paused.freeze()
                offset = withdraw(started)
                started.entries[1].kill()
                started.start_entry()
                del started.entries[1]
                paused.thaw()
                shared.wait_everywhere(started, offset)
        for address, offsets in seen.items():
            assert offsets == sorted(offsets), address


def test_the_configuration_outlasts_the_logs_retention() -> None:
    """Instances and operators start from a snapshot once records expired."""
    options = fleet.Options(platform={"retention_seconds": RETENTION_SECONDS})
    with support.run_fleet(entries=2, options=options) as started:
        log = started.platform["log"]
        withdraw(started)
        started.set_faults(log, retention_seconds=RETENTION_SECONDS)
        url = f"{log.url}/streams/{records.STREAM}/records"
        started.wait_until(
            lambda: started.get_json(url)["first"] > 3, "no record has expired"
        )
        started.entries[0].kill()
        started.start_entry()
        del started.entries[0]
        started.endpoints["drafting-1"].agent.kill()
        started.restart_agent("drafting-1")
        publish = ("bundle", "publish", str(support.BUNDLE), "--wait", "0")
        started.run_operator_command("bob", *publish)
        started.wait_ready()
        for entry in started.entries:
            status = started.fetch_status(entry)
            assert status["withdrawn"] == ["drafter@2"]
            assert status["freshness"] == "fresh"
