"""Load and unload orders that agents send to engines."""

import time

import pytest

from standins import fleet
from tests.integration import configuration_support as shared
from tests.integration import support

WATCH_SECONDS = 3.0
RATE_BYTES_PER_SECOND = 512 * 1024


@pytest.mark.parametrize("fencing", ["--fencing", "--no-fencing"])
def test_an_old_agent_that_wakes_orders_nothing(fencing: str) -> None:
    """An agent that was replaced and missed a withdrawal wakes again.

    It must not order the engine to load the withdrawn version, with and
    without fencing in the engine.
    """
    options = fleet.Options(engine=(fencing,), has_own_routes=True)
    with support.run_fleet(options=options) as started:
        old = started.endpoints["drafting-1"].agent
        old.freeze()
        started.set_route_fault("log-agent-drafting-1", "freeze")
        started.restart_agent("drafting-1")
        started.set_route_fault("log-agent-drafting-1", "pass")
        started.wait_ready()
        started.run_operator_command(
            "alice", "bundle", "withdraw", "drafter", "2"
        )
        started.wait_until(
            lambda: (
                "drafter@2" not in shared.find_loaded(started, "drafting-1")
            ),
            "the new agent did not unload the version",
        )
        time.sleep(shared.STALE_SECONDS)
        started.set_route_fault("log-agent-drafting-1", "blackhole")
        old.thaw()
        deadline = time.monotonic() + WATCH_SECONDS
        while time.monotonic() < deadline:
            loaded = shared.find_loaded(started, "drafting-1")
            assert loaded == {"drafter@1", "large@1"}
            time.sleep(shared.PAUSE_SECONDS / 10)
        started.set_route_fault("log-agent-drafting-1", "pass")
        old.stop()


def test_all_agents_start_at_once_at_the_stores_rate() -> None:
    """Each engine loads one version at a time, the serving version first.

    All engines restart at once and share the store's limited rate, so the
    order of loading decides when they can serve again.
    """
    options = fleet.Options(
        weights=("--rate-bytes", str(RATE_BYTES_PER_SECOND))
    )
    stable = {"drafter@1", "large@1"}
    seen: list[set[str]] = []
    with support.run_fleet(options=options) as started:
        engines = [e for e in started.endpoints.values() if e.endpoint.models]
        for found in engines:
            found.agent.kill()
            found.backend.kill()
        for found in engines:
            started.restart_backend(found.endpoint.name)

        def is_loaded() -> bool:
            held = [
                shared.find_loaded(started, e.endpoint.name) for e in engines
            ]
            seen.extend(held)
            return all(len(versions) == 3 for versions in held)

        started.wait_until(
            is_loaded, "the engines have not loaded all versions"
        )
        weights = started.platform["weights"].url
        stats = started.get_json(f"{weights}/stats")
        assert stats["most_concurrent"] <= len(engines)
        assert any(versions == stable for versions in seen)
        assert all(v >= stable for v in seen if "drafter@2" in v)
