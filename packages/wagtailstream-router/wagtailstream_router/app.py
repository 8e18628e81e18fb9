"""Assembles an instance of the router, runs it and shuts it down."""

import asyncio
import collections.abc
import functools
import random
import signal
import time
import typing

from wagtailstream_router import (
    active_configuration,
    caller_server,
    configuration,
    crash_board,
    crash_records,
    directory,
    endpoint_link,
    errors,
    event_log,
    exchange,
    follower,
    forward_plain,
    forward_stream,
    forwarding,
    front,
    gossip,
    listeners,
    metrics,
    node,
    notice_recorder,
    page_server,
    part_board,
    peer_copy,
    replica,
    reply,
    request,
    rollout,
    rollout_state,
    rollout_status,
    settings_watch,
    state_exchange,
    store,
    trials,
    warm_prompts,
    wire,
)
from wagtailstream_router.admission import admission
from wagtailstream_router.cascade import time_price
from wagtailstream_router.engines import engine_speed
from wagtailstream_router.flow import ledger
from wagtailstream_router.instance import turning_away
from wagtailstream_router.zones import cold_share, cold_start, evacuation

# Interval between evaluations of the roll-outs, whose status is then written.
# It is short compared with the time limit for a roll-back.
STATUS_INTERVAL_SECONDS = 0.25
# Interval between removals of idle connections and expired state.
PRUNE_SECONDS = 0.5
# Fractions of the grace period after which no request is taken, no connection
# is expected, and open requests get their final answer.
ACCEPT_SHARE = 1.0 / 3.0
LEAVE_SHARE = 0.8
GRACE_SHARE = 0.87
# The time to send final answers, and to flush the last bytes to the sockets.
FLUSH_SECONDS = 0.05
# Interval between checks of whether requests are still open.
DRAIN_POLL_SECONDS = 0.05
METRICS_PATH = "/metrics"
# Delay before a failed task is restarted. It is as short as
# STATUS_INTERVAL_SECONDS, so that a restart breaks no time limit.
RESTART_SECONDS = 0.25
Run = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, None]
]


class Router:
    """One instance of the router.

    :param settings: the instance's name, addresses and bounds.
    :param topics: the topics of the platform's store.
    :param headers: decodes and encodes heads of requests and answers.
    :param records: decodes and encodes records of the store.
    :param source: reads the settings again on a change; None to keep them.
    :param is_reload_due: returns whether SIGHUP came before `serve`.
    """

    def __init__(
        self,
        settings: node.Settings,
        topics: store.Store,
        headers: wire.HeaderCodec,
        records: wire.RecordCodec,
        log: event_log.EventLog,
        counters: metrics.Metrics,
        source: settings_watch.SettingsSource | None = None,
        is_reload_due: collections.abc.Callable[[], bool] = lambda: False,
    ) -> None:
        self._is_reload_due = is_reload_due
        self._settings = settings
        self._watch = settings_watch.SettingsWatch(
            source or settings_watch.FixedSettings(settings),
            settings,
            self._apply_settings,
            log,
        )
        self._topics = topics
        self._log = log
        self._counters = counters
        store_read_timing = settings.pace
        self._gossip = gossip.Gossip(
            settings.gossip_address,
            settings.zone,
            settings.seeds,
            lambda sequence, peers: self._state_exchange.make_report(
                sequence, peers
            ),
            lambda report: self._state_exchange.handle_report(report),
            log,
        )
        self._peer_copies = peer_copy.NewestPeerCopies(
            self._gossip, headers, settings.name
        )
        self._operator = follower.Follower(
            topics.operator,
            replica.Replica(),
            follower.ReadTiming(store_read_timing.operator_wait_seconds, 0.0),
            log,
            self._on_operator_change,
            self._peer_copies,
            takes_peer_records=False,
        )
        self._entries = follower.Follower(
            topics.endpoints,
            replica.Replica(records.read_write_order),
            follower.ReadTiming(0.0, store_read_timing.entries_pause_seconds),
            log,
            self._on_entries_change,
            self._peer_copies,
        )
        self._active_configuration = active_configuration.ActiveConfiguration(
            self._operator.copy, records, log
        )
        self._cold_rules = cold_start.ColdRules(
            self._find_service, settings.bounds.cold
        )
        share = cold_share.ColdShare(
            settings.name,
            bool(set(settings.seeds) - {settings.gossip_address}),
        )
        self._members = directory.Directory(
            self._entries.copy,
            records,
            log,
            evacuation.EvacuationBoard(
                self._operator.copy, records.find_emptied_zone, log
            ),
            self._cold_rules,
            share,
        )
        self._rollouts = rollout.Rollouts(
            rollout_state.Start(settings.name, time.time_ns() // 1_000_000),
            self._operator.copy,
            records,
            settings.bounds.exposure,
            log,
            self._members.list_withheld_versions,
        )
        self._status_writer = rollout_status.RolloutStatusWriter(
            topics.status, self._rollouts, records, log
        )
        self._crashes = crash_board.CrashBoard(
            part_board.PartBoard(log, trials.Trials(self._is_first_by_name)),
            log,
            lambda: self._gossip.send(is_urgent=True),
            trials.Trials(self._is_first_by_name),
        )
        self._crash_records = crash_records.CrashRecords(
            topics.crashes,
            self._crashes,
            lambda: self._operator.copy.end.era,
            log,
        )
        self._warm = warm_prompts.WarmPrompts()
        self._prices = time_price.TimePrices()
        self._admission = admission.Admission(
            self._active_configuration,
            settings.admission,
            lambda: self._gossip.process_count,
            log,
            counters,
            random.Random(),
        )
        self._speeds = engine_speed.EngineSpeeds()
        self._speeds.is_enabled = settings.learns_speeds
        self._state_exchange = state_exchange.StateExchange(
            settings,
            state_exchange.SharedState(
                self._operator,
                self._entries,
                self._members,
                self._rollouts,
                self._warm,
                self._crashes,
                share,
                self._prices,
                self._admission,
                self._speeds,
            ),
            lambda: self._gossip.alive,
            lambda: self._turning_away.make_report(),
        )
        self._pool = endpoint_link.LinkPool(headers)
        self._responder = forwarding.ErrorResponder(headers, log, counters)
        self._front = self._make_front(headers)
        self._server = caller_server.CallerServer(
            headers,
            self._handle,
            lambda: self._active_configuration.limits,
            log,
            counters,
            ledger.Ledger(settings.buffers),
        )
        self._turning_away = turning_away.TurningAway(
            settings,
            self._server.ledger,
            lambda: self._gossip.alive,
            log,
            counters,
        )
        self._server.ends_connections = lambda: (
            self._turning_away.ends_connections
        )
        self._probe_server = page_server.PageServer(self._make_probe_page)
        self._stop = asyncio.Event()
        self._started = asyncio.Event()
        self._listeners = listeners.Listeners(settings.idle_seconds)

    @property
    def callers_port(self) -> int:
        """The port for callers; available once `serve` has opened it."""
        return self._listeners.port("callers")

    @property
    def copies_address(self) -> str:
        """The address where peers read this instance's topic copies.

        It is available once `serve` has opened the port.
        """
        host = self._settings.gossip_address.rpartition(":")[0]
        return f"{host}:{self._listeners.port('copies')}"

    @property
    def is_ready(self) -> bool:
        """Whether the instance is loaded and not draining."""
        return (
            not self._state_exchange.is_draining
            and self._active_configuration.is_loaded
            and self._entries.copy.is_loaded
        )

    @property
    def held_bytes(self) -> int:
        """The bytes held for callers and endpoints."""
        return self._server.ledger.held_bytes

    @property
    def configuration_version(self) -> int:
        """The version of the configuration in force; 0 if there is none."""
        value = self._active_configuration.get()
        return value.version if value is not None else 0

    @property
    def prices(self) -> time_price.TimePrices:
        """The prices of the services' engine time."""
        return self._prices

    @property
    def idle_seconds(self) -> float:
        """The keep-alive time of a caller's idle connection."""
        return self._listeners.idle_seconds

    @property
    def endpoint_count(self) -> int:
        """The number of endpoints in the directory."""
        return len(self._members.members)

    async def wait_started(self) -> None:
        """Wait until the ports are open."""
        await self._started.wait()

    def stop(self) -> None:
        """Start a graceful shutdown, as SIGTERM does."""
        self._stop.set()

    def _make_front(self, headers: wire.HeaderCodec) -> front.Front:
        responder = self._responder
        self._retry_policy = forwarding.RetryPolicy(
            self._settings.bounds.retry_budget,
            lambda: self._gossip.process_count,
            self._crashes,
            self._pool.reaches,
            self._log,
            self._counters,
            self._admission.engine_shares.rank,
        )
        sender = exchange.Sender(
            self._pool,
            headers,
            self._log,
            self._counters,
            notice_recorder.NoticeRecorder(
                self._members,
                lambda: self._active_configuration.limits.idle_ms / 1000.0,
                lambda: self._gossip.send(is_urgent=True),
                self._log,
                self._counters,
            ),
        )
        plain = forward_plain.PlainForwarder(
            self._members,
            sender,
            self._retry_policy,
            responder,
            self._rollouts,
            self._log,
            self._counters,
            self._settings.zone,
            self._admission,
        )
        self._stream = forward_stream.StreamForwarder(
            self._members,
            sender,
            self._retry_policy,
            responder,
            self._rollouts,
            self._warm,
            self._settings.credits_,
            self._prices,
            self._speeds,
            self._log,
            self._counters,
            self._admission,
        )
        return front.Front(
            self._active_configuration,
            plain,
            self._stream,
            responder,
            self._counters,
            random.Random(),
        )

    def _is_first_by_name(self) -> bool:
        """Return whether no live peer has a name before this instance's."""
        return all(
            self._settings.name < peer.report.name
            for peer in self._gossip.alive
            if not peer.report.is_draining
        )

    def _find_service(self, name: str) -> configuration.Service | None:
        value = self._active_configuration.get()
        return None if value is None else value.services.get(name)

    async def _handle(
        self, call: request.Request, caller: reply.Reply
    ) -> None:
        if self._server.is_refusing:
            self._responder.refuse(
                caller, call.identity, 503, metrics.Counter.REFUSED_DRAINING
            )
            return
        await self._front.handle(call, caller)

    async def serve(self) -> None:
        """Serve until SIGTERM or SIGINT, then shut down gracefully.

        SIGHUP reloads the settings.
        """
        loop = asyncio.get_running_loop()
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            loop.add_signal_handler(signal_number, self.stop)
        loop.add_signal_handler(signal.SIGHUP, self._watch.request_reload)
        if self._is_reload_due():
            self._watch.request_reload()
        self._listeners.open(
            "callers", self._server, self._settings.callers_address
        )
        self._listeners.open(
            "ready", self._probe_server, self._settings.ready_address
        )
        by_topic = {
            follower_.topic_name: follower_.copy
            for follower_ in (self._operator, self._entries)
        }
        copies = page_server.PageServer(
            functools.partial(peer_copy.make_page, by_topic)
        )
        self._listeners.open("copies", copies, self._settings.gossip_address)
        if self._settings.metrics_address:
            self._listeners.open(
                "metrics", self._probe_server, self._settings.metrics_address
            )
        tasks = [
            asyncio.ensure_future(self._keep_running(run))
            for run in (
                self._operator.run,
                self._entries.run,
                self._write_statuses,
                self._keep_crash_records,
                self._gossip.run,
                self._prune,
                self._watch.run,
                self._server.unread_watch.run,
                self._turning_away.run,
            )
        ]
        self._started.set()
        self._log.write("started", zone=self._settings.zone)
        await self._stop.wait()
        await self._shut_down()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        self._pool.close()
        self._peer_copies.close()
        self._topics.close()
        self._log.write("stopped")

    async def _keep_running(self, run: Run) -> None:
        """Run a background task until cancelled; restart it if it fails."""
        while True:
            try:
                await run()
            except Exception as error:
                # A bug in the router: without this task the process would
                # continue with stale state, unnoticed.
                self._log.write(
                    "internal_error", task=run.__qualname__, detail=repr(error)
                )
            await asyncio.sleep(RESTART_SECONDS)

    def _make_probe_page(self, path: str) -> page_server.Page:
        if path == METRICS_PATH:
            self._refresh_counters()
            return page_server.Page(200, self._counters.render().encode())
        if self.is_ready and self._turning_away.is_open:
            return page_server.Page(200, b"ready\n")
        return page_server.Page(503, b"not ready\n")

    def _refresh_counters(self) -> None:
        counter = metrics.Counter
        self._counters.set(counter.CONNECTIONS_OPENED, self._pool.opened)
        self._counters.set(counter.LOG_LINES_DROPPED, self._log.dropped)
        self._counters.set_gauge(
            metrics.Gauge.HELD_BYTES, self._server.ledger.held_bytes
        )
        self._counters.set(counter.ENDPOINTS_CRASHED, self._crashes.total)
        gauge = metrics.Gauge
        self._counters.set_gauge(
            gauge.ZONES_EMPTIED, len(self._members.emptied_zones)
        )
        self._counters.set_gauge(
            gauge.ENDPOINTS_COLD, self._members.cold_count
        )
        self._counters.set_gauge(gauge.WAITING, self._admission.waiting_count)
        self._counters.set_gauge(
            gauge.WAITING_BYTES, self._admission.waiting_bytes
        )
        self._counters.set(
            counter.STORE_RESTORES,
            max(self._operator.restores, self._entries.restores),
        )

    def _on_operator_change(self) -> None:
        self._members.refresh()
        self._listeners.set_idle_limit(
            self._active_configuration.limits.idle_ms / 1000.0
        )
        self._rollouts.refresh()
        self._gossip.send(is_urgent=True)

    def _on_entries_change(self) -> None:
        before = self._members.last_changed_end
        if self._members.changed_end != before:
            self._gossip.send(is_urgent=True)

    def _apply_settings(self, settings: node.Settings) -> None:
        """Apply reloaded settings to requests from now on."""
        self._settings = settings
        bounds = settings.bounds
        self._retry_policy.set_bounds(bounds.retry_budget)
        self._rollouts.set_exposure_bounds(bounds.exposure)
        self._cold_rules.set_bounds(bounds.cold)
        self._stream.set_credits(settings.credits_)
        self._speeds.is_enabled = settings.learns_speeds
        self._gossip.set_seeds(settings.seeds)
        self._server.ledger.set_bounds(settings.buffers)
        self._admission.set_bounds(settings.admission)
        self._turning_away.set_share(settings.turn_away_share)

    async def _write_statuses(self) -> None:
        while True:
            await asyncio.sleep(STATUS_INTERVAL_SECONDS)
            if not self._operator.copy.is_loaded:
                continue
            try:
                await self._status_writer.step()
            except errors.StoreError as error:
                self._log.write_routine(
                    "status_not_written", detail=str(error)
                )

    async def _keep_crash_records(self) -> None:
        while True:
            try:
                await self._crash_records.step()
            except errors.StoreError as error:
                self._log.write_routine(
                    "crash_records_not_kept", detail=str(error)
                )
                await asyncio.sleep(crash_records.RETRY_SECONDS)
            await asyncio.sleep(crash_records.STEP_SECONDS)

    async def _prune(self) -> None:
        while True:
            await asyncio.sleep(PRUNE_SECONDS)
            self._members.refresh()
            self._members.log_cold()
            self._pool.prune(self._members.addresses)
            self._warm.prune(self._members.members)
            self._speeds.prune(self._members.members)
            self._crashes.record_members(self._members.members)

    async def _shut_down(self) -> None:
        """Drain: fail the readiness probe, refuse, wait, end the rest."""
        began = time.monotonic()
        self._state_exchange.is_draining = True
        self._server.is_closing = True
        self._log.write("draining", open=len(self._server.tasks))
        grace_seconds = self._settings.bounds.grace_seconds
        leaving = self._settings.leaving
        deadline = began + grace_seconds * GRACE_SHARE
        # What cannot be answered by then is refused or answered earlier.
        self._front.end_by(deadline)
        await _sleep_until(
            began + min(leaving.accept_seconds, grace_seconds * ACCEPT_SHARE)
        )
        # Requests that arrive from now on might not finish before the exit.
        self._server.is_refusing = True
        self._admission.close()
        self._retry_policy.wake_waiting()
        self._log.write("refusing", open=len(self._server.tasks))
        await _sleep_until(
            began + min(leaving.leave_seconds, grace_seconds * LEAVE_SHARE)
        )
        while self._is_busy and time.monotonic() < deadline:
            await asyncio.sleep(DRAIN_POLL_SECONDS)
        self._listeners.stop()
        self._server.end_reading()
        if self._server.tasks:
            # Their deadline has come: they are about to send a final answer.
            await asyncio.wait(list(self._server.tasks), timeout=FLUSH_SECONDS)
        for task in list(self._server.tasks):
            task.cancel()
        await asyncio.sleep(FLUSH_SECONDS)

    @property
    def _is_busy(self) -> bool:
        """Whether a request is being read or answered."""
        return bool(self._server.tasks or self._server.readers)


async def _sleep_until(deadline: float) -> None:
    await asyncio.sleep(max(0.0, deadline - time.monotonic()))
