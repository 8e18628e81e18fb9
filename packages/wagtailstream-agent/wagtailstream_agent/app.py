"""Construction, startup and graceful shutdown of the agent process."""

import asyncio
import collections.abc
import logging
import random
import signal
import typing

import expression
import grpclib.server

from wagtailstream_agent import (
    claims,
    collector,
    engine,
    gate,
    grpc_service,
    loader,
    model_runner,
    plain_service,
    results,
    runner,
    service_runner,
    settings,
    slots,
    stall,
)
from wagtailstream_core import (
    clock,
    configuration,
    errors,
    heartbeat_codec,
    tallies,
    wire_codec,
    wire_pb2,
    work,
)
from wagtailstream_runtime import (
    bill_outbox,
    factory,
    follower,
    log_client,
    metrics,
    notifier,
    reporter,
    snapshot_keeper,
    strike_board,
    tls,
)

DRAIN_POLL_SECONDS = 0.05
FINISH_LIMIT_SECONDS = 5.0
# Gives the draining heartbeat time to reach the entries before connections
# close.
DRAIN_NOTICE_SECONDS = 0.25

_LOGGER = logging.getLogger(__name__)


class Agent(runner.AgentContext):
    """The agent of one endpoint: builds the components and runs them.

    :param agent_settings: the validated settings.
    """

    def __init__(self, agent_settings: settings.AgentSettings) -> None:
        self._settings = agent_settings
        self._socket = factory.bind(agent_settings)
        self._clock = clock.SystemClock()
        self._metrics = factory.make_metrics(agent_settings)
        direct = log_client.HttpLogClient(str(agent_settings.platform.log))
        self._log = factory.make_log(agent_settings, direct, self._metrics)
        self._follower = follower.Follower(
            self._log,
            agent_settings.load_keyring(),
            agent_settings.load_fleet_signer(),
            agent_settings.data_centre,
            self._clock,
            self._metrics,
        )
        self._snapshot_keeper = snapshot_keeper.SnapshotKeeper(
            self._log,
            self._follower,
            agent_settings.load_fleet_signer(),
            agent_settings.platform.retention_seconds,
            self._clock,
            random.Random(),
            self._metrics,
        )
        self._outbox = bill_outbox.BillOutbox(
            self._log,
            agent_settings.bill_buffer,
            agent_settings.bill_window_seconds,
            self._metrics,
        )
        self._slots = slots.Slots(
            agent_settings.slots,
            agent_settings.queue,
            self._clock,
            random.Random(),
        )
        self._results = results.ResultTable()
        self._notifier = notifier.Notifier()
        self._strikes = strike_board.StrikeBoard(
            self._follower,
            self._clock,
            self._notifier,
            self._metrics,
            agent_settings.instance,
        )
        self._stall_watch = stall.StallWatch(
            self._clock,
            agent_settings.stall_seconds,
            str(agent_settings.endpoint_url),
        )
        self._loader: loader.Loader | None = None
        self._runner = self._make_runner()
        self._board = tallies.TallyBoard(agent_settings.instance)
        self._service = grpc_service.AgentService(
            self._runner,
            self._follower,
            self._outbox,
            self._make_heartbeat,
            self._clock,
            self._strikes,
            self._notifier,
            self._board,
            collector.Collector(
                direct, agent_settings.collector_window_seconds, self._metrics
            ),
        )
        self._is_draining = False
        self._sequence = 0
        self._tasks: list[asyncio.Task[None]] = []
        self._stop = asyncio.Event()

    @property
    def name(self) -> str:
        """The agent's name, reported in refusals."""
        return self._settings.instance

    @property
    def configuration_offset(self) -> int:
        """The log offset of the configuration that this agent applies."""
        return self._follower.state.offset

    def check(self, attempt: work.Attempt) -> gate.Verdict:
        """Check whether an attempt may be dispatched now.

        :param attempt: the attempt.
        """
        verdict = gate.check(
            gate.GateState(
                self._settings.instance,
                self._settings.endpoint,
                self._follower.state,
                self._follower.assess_freshness(),
                self._is_draining,
                self._outbox.is_full,
                self._clock.wall(),
            ),
            attempt,
        )
        refusal = self._strikes.check(work.digest(attempt.work))
        if verdict.is_ok() and refusal is not None:
            return expression.Error(refusal)
        return verdict

    def count_refusal(self, refusal: errors.Refusal) -> None:
        """Count a refusal by its reason.

        :param refusal: the refusal.
        """
        self._metrics.count(metrics.Metric.REFUSED, refusal.reason.value)

    def record_crash(self, attempt: work.Attempt) -> None:
        """Record a strike: the endpoint crashed while running an attempt.

        :param attempt: an attempt that the crash is attributed to.
        """
        self._strikes.record_crash(
            work.digest(attempt.work), self._settings.endpoint
        )

    def _make_runner(self) -> runner.Runner:
        url = str(self._settings.endpoint_url)
        if self._settings.kind == "engine":
            model_engine = engine.HttpEngine(url)
            self._loader = loader.Loader(
                model_engine, self._follower, self._settings.endpoint
            )
            return model_runner.ModelRunner(
                self,
                self._settings.endpoint,
                self._slots,
                self._clock,
                model_engine,
                self._stall_watch,
            )
        call_runner = service_runner.ServiceRunner(
            self,
            self._settings.endpoint,
            self._slots,
            self._clock,
            plain_service.HttpService(url),
            self._find_address(),
            self._results,
        )
        self._follower.add_listener(self._make_ledger_listener(call_runner))
        return call_runner

    def _find_address(self) -> str:
        return self._settings.advertised_address or (
            f"{self._settings.host}:{self._socket.getsockname()[1]}"
        )

    def _make_ledger_listener(
        self, call_runner: service_runner.ServiceRunner
    ) -> follower.Listener:
        def start_ledger(state: configuration.Configuration) -> None:
            current_bundle = state.bundle
            if current_bundle is None or call_runner.claim_ledger is not None:
                return
            own_endpoint = current_bundle.find_endpoint(
                self._settings.endpoint
            )
            if own_endpoint is None or own_endpoint.service is None:
                return
            claim_ledger = claims.ClaimLedger(
                self._log,
                own_endpoint.service,
                current_bundle.limits.claim_window_seconds,
                self._clock,
            )
            call_runner.claim_ledger = claim_ledger
            for coroutine in claim_ledger.list_tasks():
                self._start(coroutine)

        return start_ledger

    def _make_heartbeat(self) -> wire_pb2.Heartbeat:
        """Return a heartbeat; set the slots to the engine's count first."""
        self._sequence += 1
        state = self._loader.state if self._loader else None
        if state is not None:
            self._slots.resize(state.slots)
        return wire_pb2.Heartbeat(
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            endpoint=self._settings.endpoint,
            sequence=self._sequence,
            configuration_offset=self._follower.state.offset,
            draining=self._is_draining,
            running=self._slots.running,
            queued=self._slots.queued,
            slots=self._slots.count,
            loaded=[
                wire_pb2.ModelVersion(model=v.model, version=v.version)
                for v in (sorted(state.loaded) if state else ())
            ],
            contacts=heartbeat_codec.encode_contacts(self._follower.contacts),
            service_mean_ms=wire_codec.to_milliseconds(
                self._slots.service_time.mean or 0.0
            ),
            service_bound_ms=wire_codec.to_milliseconds(
                self._slots.service_time.bound
            ),
            queues=[
                wire_pb2.QueueLength(priority=priority, queued=queued)
                for priority, queued in self._slots.count_queued().items()
            ],
            stalled=self._stall_watch.is_stalled,
            endpoint_life=state.life if state else "",
            tallies=heartbeat_codec.encode_tallies(
                self._board.list_shared(self._clock.monotonic())
            ),
        )

    def _read_gauges(self) -> reporter.Reading:
        return reporter.Reading(
            self._service.open_count,
            self._follower.state.offset,
            self._follower.assess_freshness(),
        )

    def _start(
        self,
        coroutine: collections.abc.Coroutine[typing.Any, typing.Any, None],
    ) -> None:
        self._tasks.append(asyncio.ensure_future(coroutine))

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully."""
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self._stop.set)
        loop.add_signal_handler(
            signal.SIGHUP,
            _LOGGER.info,
            "SIGHUP ignored: settings are read at the start only",
        )
        self._start(self._follower.run())
        self._start(self._snapshot_keeper.run())
        self._start(self._outbox.run())
        self._start(self._log.run())
        self._start(reporter.Reporter(self._metrics, self._read_gauges).run())
        if self._loader is not None:
            self._start(self._loader.run())
        server = self._make_server()
        await server.start(
            sock=self._socket,
            ssl=tls.make_server_context(self._settings.tls),
        )
        print(f"listening {self._socket.getsockname()[1]}", flush=True)
        await self._stop.wait()
        await self._shut_down(server)

    def _make_server(self) -> grpclib.server.Server:
        server = grpclib.server.Server([self._service])
        grpc_service.require_authentication(
            server,
            factory.make_authenticator(self._settings),
            self._metrics,
        )
        return server

    async def _shut_down(self, server: grpclib.server.Server) -> None:
        """Refuse new work, wait for running attempts, flush bills, stop."""
        self._is_draining = True
        self._notifier.notify()
        _LOGGER.info("draining", extra={"open": self._service.open_count})
        await asyncio.sleep(DRAIN_NOTICE_SECONDS)
        await self._wait_idle()
        server.close()
        await server.wait_closed()
        await self._service.wait_finished(FINISH_LIMIT_SECONDS)
        await self._outbox.drain(self._has_abandonments)
        for task in self._tasks:
            task.cancel()
        await asyncio.gather(*self._tasks, return_exceptions=True)
        _LOGGER.info("stopped")

    async def _wait_idle(self) -> None:
        try:
            async with asyncio.timeout(self._settings.drain_seconds):
                while self._service.open_count:
                    await asyncio.sleep(DRAIN_POLL_SECONDS)
        except TimeoutError:
            _LOGGER.warning(
                "drain limit reached",
                extra={"open": self._service.open_count},
            )

    def _has_abandonments(self) -> bool:
        if not isinstance(self._runner, service_runner.ServiceRunner):
            return False
        claim_ledger = self._runner.claim_ledger
        return (
            claim_ledger is not None
            and claim_ledger.pending_abandonment_count > 0
        )
