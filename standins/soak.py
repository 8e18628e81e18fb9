"""Soak test with fault injection: seeded runs against real router processes.

    python -m standins.soak --seed 1 --seeds 50 --seconds 8

Routers run as processes on loopback and are paused, stopped, killed and
restarted. Meanwhile the store, the endpoints and the network links fail, with
faults that overlap. Replies to callers are checked as they arrive; the
requests that endpoints received are checked at the end of the run.
"""

import asyncio
import collections
import dataclasses
import os
import pathlib
import random
import signal
import sys
import tempfile
import time
import typing

import click
import orjson

from standins import (
    platform_caller,
    platform_endpoint,
    platform_store,
    proxy,
    router_fleet,
    router_process,
    soak_crashes,
    soak_flow,
    soak_late_writes,
    soak_notices,
    soak_pressure,
    soak_rollout,
    soak_zones,
)
from wagtailstream_adapter import names

LinkMode = typing.Literal["cut", "freeze", "delay", "blackhole", "one_way"]

ROUTERS = 3
ENGINES = 3
PLAIN_ENDPOINTS = 3
CALLERS = 8
# Minimum share of successful requests after the last fault.
RECOVERED_SHARE = 0.75
RECOVERY_SECONDS = 2.0
# How long a router may take to be ready for a fault that needs one.
READY_SECONDS = 3.0
# How long after the last fault a change that the store acknowledged may not be
# in force yet, in the users' specification.
CONTACT_SECONDS = 3.0
STREAM_BODY = b"".join(router_fleet.STREAM.pieces)
PLAIN_BODY = b"".join(platform_endpoint.Plan().pieces)
# The share of the requests that their callers send once more.
REPEATED_SHARE = 0.2
LINK_MODES: tuple[LinkMode, ...] = (
    "cut",
    "freeze",
    "delay",
    "blackhole",
    "one_way",
)


@dataclasses.dataclass
class Outcome:
    """Result of a run.

    :param violations: violated guarantees, one line each.
    :param statuses: number of requests by HTTP status; 0 for no answer.
    :param actions: names of the injected faults in order.
    :param recovered: for each request after the last fault, whether it
        succeeded.
    """

    violations: list[str] = dataclasses.field(default_factory=list)
    statuses: collections.Counter[int] = dataclasses.field(
        default_factory=collections.Counter
    )
    actions: list[str] = dataclasses.field(default_factory=list)
    recovered: list[bool] = dataclasses.field(default_factory=list)


class Soak:
    """A seeded run.

    :param seed: seeds the choice of faults and requests.
    :param seconds: duration of the fault injection.
    :param directory: directory for settings and logs.
    """

    def __init__(
        self, seed: int, seconds: float, directory: pathlib.Path
    ) -> None:
        self.outcome = Outcome()
        self._random = random.Random(seed)
        self._seconds = seconds
        self._fleet = router_fleet.RouterFleet(directory, ROUTERS)
        self._refused: collections.Counter[str] = collections.Counter()
        self._repeats: collections.Counter[str] = collections.Counter()
        # Draws of its own, so that those of the other faults stay as they
        # were.
        self._repeat_random = random.Random(f"{seed}-repeats")
        self._unsafe: set[str] = set()
        # What the operator and the endpoints wrote last.
        self._version = 1
        self._states: dict[str, str] = {}
        self._notices = soak_notices.NoticeCheck()
        self._zones = soak_zones.ZoneFaults(self._fleet, seed, self._kill)
        self._flow = soak_flow.FlowFaults(
            self._fleet, self._random, self._notices
        )
        self._pressure = soak_pressure.Pressure(self._fleet, self._random)
        self._rollout = soak_rollout.RolloutFaults(self._fleet, seed)
        self._crashes = soak_crashes.CrashFaults(self._fleet, seed)
        self._late_writes = soak_late_writes.LateWriteFaults(
            self._fleet, self._notices, seed
        )
        self._sent = 0
        self._is_recovering = False
        self._is_finished = False

    async def run(self) -> Outcome:
        """Run to the end and return the result."""
        try:
            await self._start()
            await self._crashes.start()
            await self._late_writes.start()
            sampling = asyncio.ensure_future(self._flow.sample_memory())
            callers = [
                asyncio.ensure_future(self._run_caller(number))
                for number in range(CALLERS)
            ]
            await asyncio.gather(
                self._inject(),
                self._zones.run(self._seconds),
                self._rollout.run(self._seconds),
            )
            self.outcome.actions += self._zones.actions
            # Cold endpoints take less until they are warm.
            await asyncio.sleep(router_fleet.COLD_START_SECONDS)
            self._is_recovering = True
            await asyncio.sleep(RECOVERY_SECONDS)
            self._is_finished = True
            await asyncio.gather(*callers)
            await asyncio.sleep(CONTACT_SECONDS - RECOVERY_SECONDS)
            sampling.cancel()
        finally:
            await self._crashes.stop()
            await self._late_writes.stop()
            await self._fleet.stop()
        self._check_runs()
        for line in (
            *self._notices.list_violations(
                proxied.endpoint for proxied in self._fleet.all_endpoints
            ),
            *self._flow.list_violations(),
            *self._zones.list_violations(),
            *self._pressure.list_violations(),
            *self._rollout.list_violations(),
            *self._crashes.list_violations(),
            *self._late_writes.list_violations(),
        ):
            self._report_violation(line)
        self._check_recovery()
        self._check_configurations()
        return self.outcome

    async def _start(self) -> None:
        for number in range(ENGINES + PLAIN_ENDPOINTS):
            service = "engine" if number < ENGINES else "plain"
            zone = soak_zones.ZONES[number % len(soak_zones.ZONES)]
            await self._fleet.add_endpoint(
                f"{service}-{number}", service, zone=zone
            )
        await self._fleet.start()

    async def _inject(self) -> None:
        """Inject overlapping faults until the time is over, then recover."""
        running: set[asyncio.Task[None]] = set()
        deadline = time.monotonic() + self._seconds
        fault_actions = [
            self._pause_router,
            self._kill_router,
            self._stop_router,
            self._fail_store,
            self._fail_endpoint,
            self._fail_endpoint,
            self._copy_answers_late,
            self._copy_answers_late,
            self._drain_endpoint,
            self._leave_endpoint,
            self._leave_endpoint,
            self._fill_endpoint,
            self._fill_endpoint,
            self._signal_starting_router,
            self._change_configuration,
            self._change_configuration,
            self._change_configuration,
            self._compact,
            self._restore_store,
            self._fail_link,
            self._fail_link,
            self._flow.stall_callers,
            self._flow.read_slowly,
            self._flow.slow_endpoint,
            self._press,
            self._press,
        ]
        while time.monotonic() < deadline:
            action = self._random.choice(fault_actions)
            self.outcome.actions.append(action.__name__.strip("_"))
            running.add(asyncio.ensure_future(action()))
            await asyncio.sleep(self._random.uniform(0.1, 0.6))
        await asyncio.gather(*running)
        self._change_version()
        self._fleet.store.fault = platform_store.Fault.NONE
        await self._fleet.wait_all_ready()

    async def _pause_router(self) -> None:
        router = self._random.choice(self._fleet.routers)
        began = time.monotonic()
        router.send_signal(signal.SIGSTOP)
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        router.send_signal(signal.SIGCONT)
        self._record_disturbed(router.address, began)

    def _record_disturbed(self, name: str, began: float) -> None:
        self._notices.record_disturbed(name, began, time.monotonic())

    async def _kill_router(self) -> None:
        await self._restart(signal.SIGKILL)

    async def _stop_router(self) -> None:
        await self._restart(signal.SIGTERM)

    async def _kill(self, router: router_process.RouterProcess) -> None:
        async with router.lock:
            await self._restart_locked(router, signal.SIGKILL)

    async def _restart(self, number: signal.Signals) -> None:
        router = self._random.choice(self._fleet.routers)
        async with router.lock:
            await self._restart_locked(router, number)

    async def _restart_locked(
        self, router: router_process.RouterProcess, number: signal.Signals
    ) -> None:
        began = time.monotonic()
        router.send_signal(signal.SIGCONT)
        router.send_signal(number)
        await router.wait()
        self._fleet.start_router(router)
        self._record_disturbed(router.address, began)

    async def _signal_starting_router(self) -> None:
        """Restart a router, and signal it while it starts."""
        router = self._random.choice(self._fleet.routers)
        async with router.lock:
            await self._restart_locked(router, signal.SIGKILL)
            await router.wait_signals_handled()
            for _ in range(self._random.randint(1, 3)):
                router.send_signal(signal.SIGHUP)
                await asyncio.sleep(self._random.uniform(0.0, 0.1))
            if self._random.random() < 0.5:
                router.send_signal(signal.SIGTERM)
                await router.wait()
            if router.exit_code not in (None, os.EX_OK):
                self._report_violation(
                    f"{router.address}: ended with {router.exit_code} by"
                    " signals during its start"
                )
            if router.exit_code is not None:
                self._fleet.start_router(router)

    async def _fail_store(self) -> None:
        self._fleet.store.fault = self._random.choice(
            [
                platform_store.Fault.BUSY,
                platform_store.Fault.SILENT,
                platform_store.Fault.LOST,
            ]
        )
        began = time.monotonic()
        await asyncio.sleep(self._random.uniform(0.3, 1.5))
        self._fleet.store.fault = platform_store.Fault.NONE
        self._record_disturbed(soak_late_writes.STORE, began)

    async def _fail_endpoint(self) -> None:
        """Make the next few answers of a random endpoint faulty."""
        endpoint = self._random.choice(self._fleet.endpoints).endpoint
        plan = endpoint.default
        pieces = plan.pieces[: self._random.randint(0, len(plan.pieces))]
        end = self._random.choice(
            [platform_endpoint.End.CUT, platform_endpoint.End.SILENT]
        )
        faulty_plans = [
            dataclasses.replace(plan, pieces=pieces, end=end),
            dataclasses.replace(plan, answers=False),
            dataclasses.replace(plan, end=platform_endpoint.End.EXTRA),
            dataclasses.replace(plan, echo="another"),
            dataclasses.replace(plan, is_signed=False),
            dataclasses.replace(
                plan, cut_after=self._repeat_random.randrange(300)
            ),
            platform_endpoint.Plan(503, is_not_run=True, is_signed=False),
        ]
        for _ in range(self._random.randint(1, 4)):
            endpoint.plans.append(self._random.choice(faulty_plans))

    async def _copy_answers_late(self) -> None:
        """Let answers come a second time, while the next request runs."""
        endpoint = self._random.choice(self._fleet.endpoints).endpoint
        plan = endpoint.default
        refusal = platform_endpoint.Plan(503, is_not_run=True, is_signed=False)
        for _ in range(self._random.randint(3, 8)):
            seconds = self._random.uniform(0.01, 0.05)
            first = self._random.choice([plan, refusal, refusal])
            endpoint.plans += [
                dataclasses.replace(first, late_copy_seconds=seconds),
                dataclasses.replace(plan, delay_seconds=2 * seconds),
            ]

    async def _drain_endpoint(self) -> None:
        proxied = self._random.choice(self._fleet.endpoints)
        self._write_state(proxied, "draining")
        await asyncio.sleep(self._random.uniform(0.5, 2.0))
        self._write_state(proxied, "ready")

    async def _leave_endpoint(self) -> None:
        """Let an endpoint say that it leaves, whatever its entry says."""
        proxied = self._random.choice(self._fleet.endpoints)
        endpoint = proxied.endpoint
        if endpoint.is_leaving:
            return
        endpoint.is_leaving = True
        deadline = time.monotonic() + self._random.uniform(1.0, 3.0)
        while time.monotonic() < deadline:
            await asyncio.sleep(self._random.uniform(0.1, 0.4))
            state = self._random.choice(["ready", "ready", "draining"])
            self._fleet.put_endpoint_record(proxied, state)
        endpoint.begin_start()
        self._write_state(proxied, "ready")

    async def _fill_endpoint(self) -> None:
        """Let an endpoint refuse requests for a while, and say how long."""
        endpoint = self._random.choice(self._fleet.endpoints).endpoint
        seconds = self._random.uniform(0.6, 2.0)
        endpoint.closes_when_full = self._random.random() < 0.5
        endpoint.full_until = time.monotonic() + seconds
        await asyncio.sleep(seconds)

    async def _press(self) -> None:
        """Let a customer send more to a router than endpoints have room for.

        At times the router is stopped meanwhile.
        """
        router = self._random.choice(self._fleet.routers)
        is_stopped = self._random.random() < 0.5
        async with router.lock:
            if not await self._fleet.is_ready_within(
                router.address, READY_SECONDS
            ):
                # It has just been started, or can't read the store.
                return
            began = time.monotonic()
            if await self._pressure.press(router, is_stopped):
                await router.wait()
                self._fleet.start_router(router)
                self._record_disturbed(router.address, began)

    def _write_state(
        self, proxied: router_fleet.ProxiedEndpoint, state: str
    ) -> None:
        self._states[proxied.endpoint.identity] = state
        self._fleet.put_endpoint_record(proxied, state)

    async def _change_configuration(self) -> None:
        self._change_version()

    def _change_version(self) -> None:
        self._version += 1
        self._fleet.put_configuration(self._version)

    async def _restore_store(self) -> None:
        """Restore the store from an older copy; its writers write again."""
        ends = {
            name: self._random.randint(0, topic.end)
            for name, topic in self._fleet.store.topics.items()
        }
        self._fleet.store.restore(ends)
        self._record_disturbed(soak_late_writes.STORE, time.monotonic())
        await asyncio.sleep(self._random.uniform(0.0, 1.0))
        self._fleet.put_configuration(self._version)
        self._zones.write_orders()
        self._crashes.write_entries()
        self._late_writes.write_entries()
        for proxied in self._fleet.endpoints:
            state = self._states.get(proxied.endpoint.identity, "ready")
            self._fleet.put_endpoint_record(proxied, state)

    async def _compact(self) -> None:
        self._fleet.store.compact(names.ENDPOINTS_TOPIC)
        self._fleet.store.compact(names.OPERATOR_TOPIC)

    async def _fail_link(self) -> None:
        """Inject a network fault on the link to an endpoint or the store."""
        routes = {
            proxied.endpoint.identity: proxied.route
            for proxied in self._fleet.endpoints
        }
        name, route = self._random.choice(
            [*routes.items(), *self._fleet.store_routes.items()]
        )
        mode = self._random.choice(LINK_MODES)
        began = time.monotonic()
        route.set_faults(proxy.RouteFaults(mode=mode))
        await asyncio.sleep(self._random.uniform(0.2, 1.5))
        route.set_faults(proxy.RouteFaults(mode="pass"))
        if name in routes:
            self._record_disturbed(name, began)
        else:
            # Without the store, an instance keeps what it promised.
            store_name = f"{soak_late_writes.STORE}-{name}"
            self._record_disturbed(store_name, began)

    async def _run_caller(self, number: int) -> None:
        # Every second caller uses its connections until they are closed.
        kept = platform_caller.KeptConnections() if number % 2 else None
        while not self._is_finished:
            self._sent += 1
            kind = self._random.choice(["safe", "unsafe", "streaming"])
            identity = f"{number}-{self._sent}"
            address = self._random.choice(self._fleet.addresses)
            await self._call(identity, kind, address, kept)
            if self._repeat_random.random() < REPEATED_SHARE:
                # The caller sends the request once more under its id.
                self._repeats[identity] += 1
                await self._call(identity, kind, address, kept)
            await asyncio.sleep(0.02)
        if kept is not None:
            kept.close()

    async def _call(
        self,
        request_id: str,
        kind: str,
        address: str,
        kept: platform_caller.KeptConnections | None,
    ) -> None:
        if kind == "unsafe":
            self._unsafe.add(request_id)
        is_recovering = self._is_recovering
        self._notices.record_call(request_id, address, time.monotonic())
        reply = await self._fleet.call(request_id, kind, address, kept=kept)
        if reply.headers.get(names.LEAVING.lower()) == "1":
            self._notices.record_passed_on(request_id, time.monotonic())
        self.outcome.statuses[reply.status] += 1
        if is_recovering:
            self.outcome.recovered.append(reply.status == 200)
        self._check_reply(request_id, kind, reply)

    def _check_reply(
        self, request_id: str, kind: str, reply: platform_caller.Reply
    ) -> None:
        if reply.status in (429, 503):
            self._refused[request_id] += 1
        if reply.status in (400, 401, 403, 404, 413):
            self._report_violation(
                f"{request_id}: status {reply.status} for a valid request"
            )
        echo = reply.headers.get(names.REQUEST_ID.lower(), request_id)
        if echo != request_id:
            self._report_violation(f"{request_id}: got the answer to {echo}")
        if reply.status != 200 or not reply.is_complete:
            return
        expected = STREAM_BODY if kind == "streaming" else PLAIN_BODY
        if reply.body != expected:
            self._report_violation(
                f"{request_id}: body is {reply.body!r}, expected {expected!r}"
            )
        if names.SIGNATURE.lower() not in reply.headers:
            self._report_violation(
                f"{request_id}: success without a signature"
            )

    def _check_runs(self) -> None:
        runs: collections.Counter[str] = collections.Counter()
        for proxied in self._fleet.all_endpoints:
            for arrival in proxied.endpoint.arrivals:
                runs[arrival.headers.get(names.REQUEST_ID.lower(), "")] += 1
        for request_id in self._unsafe:
            sent = 1 + self._repeats[request_id]
            if runs[request_id] > sent:
                self._report_violation(
                    f"{request_id}: sent {sent} times, ran"
                    f" {runs[request_id]} times"
                )
            if self._refused[request_id] + runs[request_id] > sent:
                self._report_violation(
                    f"{request_id}: refused as not run, but ran"
                )

    def _check_recovery(self) -> None:
        recovered = self.outcome.recovered
        share = sum(recovered) / max(1, len(recovered))
        if share < RECOVERED_SHARE:
            self._report_violation(
                f"only {share:.2f} of the requests succeeded after the last "
                f"fault, expected at least {RECOVERED_SHARE}"
            )

    def _check_configurations(self) -> None:
        """Check that no process moved back, and all ended on the newest."""
        for path in self._fleet.log_paths:
            version = 0
            for line in pathlib.Path(path).read_bytes().splitlines():
                fields = _parse_line(line)
                if fields.get("message") == "started":
                    version = 0
                if fields.get("message") != "configuration":
                    continue
                if fields["version"] <= version:
                    self._report_violation(
                        f"{path}: version {fields['version']} of the"
                        f" configuration after {version}"
                    )
                version = fields["version"]
            if version != self._version:
                self._report_violation(
                    f"{path}: ended on version {version} of the"
                    f" configuration, not {self._version}"
                )

    def _report_violation(self, line: str) -> None:
        self.outcome.violations.append(line)


def _parse_line(line: bytes) -> dict[str, typing.Any]:
    """Return a line of a router's log; {} for the end of a killed one."""
    try:
        fields = orjson.loads(line)
    except ValueError:
        return {}
    return fields if isinstance(fields, dict) else {}


def run_seed(seed: int, seconds: float, directory: pathlib.Path) -> Outcome:
    """Run the soak test with one seed.

    :param seconds: duration of the fault injection.
    :param directory: directory for settings and logs.
    """
    return asyncio.run(Soak(seed, seconds, directory).run())


@click.command()
@click.option("--seed", default=1, help="The first seed.")
@click.option("--seeds", default=1, help="Number of seeds.")
@click.option("--seconds", default=8.0, help="Duration of fault injection.")
def main(seed: int, seeds: int, seconds: float) -> None:
    """Run the seeds one after the other and keep their logs."""
    failed = 0
    for current_seed in range(seed, seed + seeds):
        directory = pathlib.Path(
            tempfile.mkdtemp(prefix=f"soak-{current_seed}-")
        )
        outcome = run_seed(current_seed, seconds, directory)
        statuses = dict(sorted(outcome.statuses.items()))
        click.echo(
            f"seed {current_seed}: {len(outcome.actions)} faults, {statuses}"
        )
        for line in outcome.violations:
            click.echo(f"  BROKEN {line} (logs in {directory})")
        failed += bool(outcome.violations)
    click.echo(f"{seeds - failed} passed, {failed} failed")
    sys.exit(os.EX_OK if not failed else 1)


if __name__ == "__main__":
    main()
