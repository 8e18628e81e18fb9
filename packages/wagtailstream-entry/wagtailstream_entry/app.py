"""The entry process: its components, its server and its shutdown."""

import asyncio
import contextlib
import logging
import random
import signal
import ssl

import uuid_utils
from tornado import httpserver

from wagtailstream_core import (
    cascade,
    clock,
    freshness,
    heartbeat_codec,
    wire_pb2,
)
from wagtailstream_entry import settings
from wagtailstream_entry.callers import (
    handler_base,
    handlers,
    open_requests,
    responses,
    status_report,
)
from wagtailstream_entry.endpoints import (
    connection,
    dispatch,
    links,
    quarantine,
)
from wagtailstream_entry.filters import (
    authenticate,
    check_freshness,
    climb_ladder,
    deadline,
    limit,
    parse_chat,
    pipeline,
    resume_session,
    run_model,
    run_service,
    sampling,
    settle,
)
from wagtailstream_entry.versions import rating, version_watch
from wagtailstream_runtime import (
    bill_outbox,
    factory,
    follower,
    instance_list,
    log_client,
    notifier,
    reporter,
    snapshot_keeper,
    strike_board,
    tls,
)

# Interval at which a draining entry looks for open requests.
DRAIN_POLL_SECONDS = 0.05
# How long to wait for the refusals of aborted requests to be written.
ABORT_LIMIT_SECONDS = 2.0
# Limit of the headers of a request.
MAX_HEADER_BYTES = 16384
# Limit of the data that is buffered from one connection.
MAX_BUFFER_BYTES = 1048576
# Tornado's own limit of a body. The handlers refuse a body earlier, at the
# limit that the bundle sets, and with a typed error.
MAX_BODY_BYTES = 1 << 30

_LOGGER = logging.getLogger(__name__)


class Entry:
    """One entry instance.

    :param entry_settings: the validated settings.
    """

    def __init__(self, entry_settings: settings.EntrySettings) -> None:
        self._settings = entry_settings
        self._socket = factory.bind(entry_settings)
        self._clock = clock.SystemClock()
        self._metrics = factory.make_metrics(entry_settings)
        platform = entry_settings.platform
        self._log = factory.make_log(
            entry_settings,
            log_client.HttpLogClient(str(platform.log)),
            self._metrics,
        )
        self._follower = follower.Follower(
            self._log,
            entry_settings.load_keyring(),
            entry_settings.load_fleet_signer(),
            entry_settings.data_centre,
            self._clock,
            self._metrics,
        )
        self._snapshot_keeper = snapshot_keeper.SnapshotKeeper(
            self._log,
            self._follower,
            entry_settings.load_fleet_signer(),
            entry_settings.platform.retention_seconds,
            self._clock,
            random.Random(),
            self._metrics,
        )
        self._outbox = bill_outbox.BillOutbox(
            self._log,
            entry_settings.bill_buffer,
            entry_settings.bill_window_seconds,
            self._metrics,
        )
        self._notifier = notifier.Notifier()
        strikes = strike_board.StrikeBoard(
            self._follower,
            self._clock,
            self._notifier,
            self._metrics,
            entry_settings.instance,
        )
        self._table = links.LinkTable(
            instance_list.HttpInstanceList(str(platform.instances)),
            self._follower,
            factory.make_authenticator(entry_settings),
            self._clock,
            connection.WatchSettings(
                entry_settings.heartbeat_seconds,
                self._make_heartbeat,
                strikes,
                self._notifier,
            ),
            entry_settings.refresh_seconds,
            links.LinkBounds(
                entry_settings.instance, entry_settings.max_links
            ),
            lambda received_tallies: self._watch.merge(received_tallies),
            lambda endpoint, life: self._quarantine.handle_endpoint_life(
                endpoint, life
            ),
            tls.make_client_context(entry_settings.tls),
        )
        self._watch = version_watch.VersionWatch(
            entry_settings.instance,
            self._follower,
            self._log,
            entry_settings.load_fleet_signer(),
            lambda: self._table.entry_count,
            self._clock,
            random.Random(),
            self._metrics,
        )
        rater = self._make_rater()
        histogram_store = cascade.HistogramStore()
        self._climber = climb_ladder.LadderClimber(
            rater,
            self._watch,
            histogram_store,
            self._follower,
            self._clock,
            random.Random(),
            self._metrics,
        )
        self._sampler = sampling.Sampler(
            rater,
            self._watch,
            histogram_store,
            self._follower,
            entry_settings.rating_share,
            entry_settings.rating_limit,
            random.Random(),
            self._metrics,
        )
        self._quarantine = quarantine.Quarantine(
            strikes,
            self._log,
            self._follower,
            entry_settings.load_fleet_signer(),
            self._clock,
        )
        self._dispatcher = dispatch.Dispatcher(
            self._table,
            entry_settings.data_centre,
            self._clock,
            random.Random(),
            self._metrics,
            entry_settings.instance,
            self._quarantine,
        )
        self._settle = settle.Settle(
            self._outbox, self._clock, entry_settings.instance
        )
        self._limiter = limit.LimitCustomer(
            self._table, self._clock, entry_settings.instance
        )
        self._open_requests = open_requests.OpenRequests()
        self._is_draining = False
        self._sequence = 0
        self._stop = asyncio.Event()

    def _make_heartbeat(self) -> wire_pb2.Heartbeat:
        self._sequence += 1
        return wire_pb2.Heartbeat(
            instance=self._settings.instance,
            data_centre=self._settings.data_centre,
            sequence=self._sequence,
            configuration_offset=self._follower.state.offset,
            draining=self._is_draining,
            contacts=heartbeat_codec.encode_contacts(self._follower.contacts),
            demands=heartbeat_codec.encode_demands(
                self._limiter.list_demands()
            ),
            tallies=self._watch.list_shared(),
        )

    def _make_rater(self) -> rating.Rater:
        url = self._settings.platform.rating
        return rating.HttpRater(str(url)) if url else rating.NoRater()

    def _make_context(self) -> handler_base.Context:
        session_keys = self._settings.session_keys.load_session_keys()
        peer = self._settings.instance
        common_filters = self._make_common_filters()
        chat = pipeline.Pipeline(
            [
                *common_filters,
                parse_chat.ParseChat(peer),
                resume_session.ResumeSession(
                    session_keys, lambda: str(uuid_utils.uuid7().hex), peer
                ),
                self._limiter,
                run_model.RunModel(
                    self._dispatcher,
                    self._follower,
                    self._climber,
                    self._sampler,
                    self._watch,
                    peer,
                ),
                self._settle,
            ]
        )
        service = pipeline.Pipeline(
            [
                *common_filters,
                run_service.CheckOperation(peer),
                self._limiter,
                run_service.RunService(
                    self._dispatcher, self._follower, self._clock, peer
                ),
                self._settle,
            ]
        )
        return handler_base.Context(
            peer,
            chat,
            service,
            self._follower,
            session_keys,
            self._metrics,
            self._open_requests,
            self._is_ready,
            self._describe,
        )

    def _make_common_filters(self) -> list[pipeline.Filter]:
        peer = self._settings.instance
        return [
            authenticate.Authenticate(peer),
            deadline.SetDeadline(peer),
            check_freshness.CheckFreshness(
                self._follower.assess_freshness,
                lambda: self._is_draining,
                lambda: self._outbox.is_full,
                peer,
            ),
        ]

    def _read_gauges(self) -> reporter.Reading:
        return reporter.Reading(
            len(self._open_requests),
            self._follower.state.offset,
            self._follower.assess_freshness(),
        )

    def _is_ready(self) -> bool:
        return (
            not self._is_draining
            and self._table.has_list
            and self._follower.state.bundle is not None
            and self._follower.assess_freshness()
            is not freshness.Freshness.CUT_OFF
        )

    def _describe(self) -> responses.Json:
        entry_state = status_report.EntryState(
            self._settings.instance,
            self._settings.data_centre,
            self._follower.state,
            self._follower.assess_freshness(),
            self._is_draining,
            len(self._open_requests),
            self._outbox.waiting_count,
            self._metrics.counts,
        )
        return status_report.describe(entry_state, self._table, self._watch)

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
        tasks = [
            asyncio.ensure_future(coroutine)
            for coroutine in (
                self._follower.run(),
                self._snapshot_keeper.run(),
                self._outbox.run(),
                self._table.run(),
                self._watch.run(),
                self._log.run(),
                reporter.Reporter(self._metrics, self._read_gauges).run(),
            )
        ]
        server = httpserver.HTTPServer(
            handlers.make_application(self._make_context()),
            max_header_size=MAX_HEADER_BYTES,
            max_body_size=MAX_BODY_BYTES,
            max_buffer_size=MAX_BUFFER_BYTES,
            ssl_options=self._make_caller_context(),
        )
        self._socket.listen(1024)
        server.add_socket(self._socket)
        print(f"listening {self._socket.getsockname()[1]}", flush=True)
        await self._stop.wait()
        await self._shut_down(server, tasks)

    def _make_caller_context(self) -> ssl.SSLContext | None:
        files = self._settings.caller_tls
        if files is None:
            return None
        return tls.make_caller_context(files.certificate, files.private_key)

    async def _shut_down(
        self,
        server: httpserver.HTTPServer,
        tasks: "list[asyncio.Task[None]]",
    ) -> None:
        """Refuse new work, finish open requests, flush the bills and stop."""
        self._is_draining = True
        self._notifier.notify()
        _LOGGER.info("draining", extra={"open": len(self._open_requests)})
        await self._wait_idle()
        server.stop()
        await self._settle.wait_settled()
        await self._outbox.drain()
        self._table.close()
        self._sampler.close()
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)
        await server.close_all_connections()
        _LOGGER.info("stopped")

    async def _wait_idle(self) -> None:
        """Wait for the open requests; abort them at the drain limit."""
        try:
            async with asyncio.timeout(self._settings.drain_seconds):
                await self._wait_answered()
        except TimeoutError:
            _LOGGER.warning(
                "drain limit reached",
                extra={"open": len(self._open_requests)},
            )
            await self._abort_open_requests()

    async def _wait_answered(self) -> None:
        while len(self._open_requests):
            await asyncio.sleep(DRAIN_POLL_SECONDS)

    async def _abort_open_requests(self) -> None:
        """Abort all open requests and wait for their refusals.

        The agents bill what ran.
        """
        self._open_requests.abort()
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(ABORT_LIMIT_SECONDS):
                await self._wait_answered()
