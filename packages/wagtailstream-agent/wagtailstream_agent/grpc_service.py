"""The gRPC service that the agent offers to entries and other instances."""

import asyncio
import collections
import collections.abc
import dataclasses
import logging
import typing

import grpclib
import grpclib.const
import grpclib.events
import grpclib.server

from wagtailstream_agent import collector, execution, results, runner
from wagtailstream_core import (
    clock,
    demand,
    errors,
    heartbeat_codec,
    ledger,
    tallies,
    wire_codec,
    wire_grpc,
    wire_pb2,
)
from wagtailstream_runtime import (
    auth,
    bill_outbox,
    follower,
    metrics,
    notifier,
    strike_board,
)

# An entry that sends no heartbeat for this long is treated as disconnected.
HEARTBEAT_TIMEOUT_SECONDS = 5.0
# Holds the identifier of the entry's connection, by which its heartbeat stream
# is matched to its runs.
LINK_METADATA_KEY = "wagtail-link"

_LOGGER = logging.getLogger(__name__)

HeartbeatMaker = collections.abc.Callable[[], wire_pb2.Heartbeat]
RunStream = grpclib.server.Stream[wire_pb2.RunFrame, wire_pb2.AnswerFrame]
WatchStream = grpclib.server.Stream[wire_pb2.Heartbeat, wire_pb2.Heartbeat]
PushStream = grpclib.server.Stream[
    wire_pb2.ConfigurationRecords, wire_pb2.ConfigurationPosition
]
PullStream = grpclib.server.Stream[
    wire_pb2.ConfigurationPosition, wire_pb2.ConfigurationRecords
]
CollectStream = grpclib.server.Stream[
    wire_pb2.CollectRequest, wire_pb2.CollectReply
]
FetchStream = grpclib.server.Stream[
    wire_pb2.ResultRequest, wire_pb2.ResultReply
]


class AgentService(wire_grpc.AgentBase):
    """Serves runs, heartbeats, configuration records, results and appends.

    :param attempt_runner: runs attempts.
    :param config_follower: holds the configuration in force.
    :param outbox: holds bills until they are durable.
    :param make_heartbeat: returns a heartbeat with this agent's state.
    :param system_clock: source of the current time.
    :param strikes: the strikes that this agent knows.
    :param change_notifier: wakes the heartbeat senders when a change must be
        sent at once.
    :param board: relays the counts of good and bad answers of each version
        between entries.
    :param record_collector: batches other instances' bills and claims.
    """

    def __init__(
        self,
        attempt_runner: runner.Runner,
        config_follower: follower.Follower,
        outbox: bill_outbox.BillOutbox,
        make_heartbeat: HeartbeatMaker,
        system_clock: clock.Clock,
        strikes: strike_board.StrikeBoard,
        change_notifier: notifier.Notifier,
        board: tallies.TallyBoard,
        record_collector: collector.Collector,
    ) -> None:
        self._runner = attempt_runner
        self._follower = config_follower
        self._outbox = outbox
        self._make_heartbeat = make_heartbeat
        self._clock = system_clock
        self._demands = demand.DemandBoard(HEARTBEAT_TIMEOUT_SECONDS)
        self._strikes = strikes
        self._notifier = change_notifier
        self._board = board
        self._collector = record_collector
        self._executions: dict[str, set[asyncio.Task[typing.Any]]] = (
            collections.defaultdict(set)
        )
        self._cleanups: set[asyncio.Task[None]] = set()
        self._open_count = 0

    @property
    def open_count(self) -> int:
        """Number of attempts that are running or not yet cleaned up."""
        return self._open_count

    async def wait_finished(self, limit_seconds: float) -> None:
        """Wait until the bills of all ended attempts are in the outbox.

        :param limit_seconds: maximum time to wait.
        """
        if self._cleanups:
            await asyncio.wait(list(self._cleanups), timeout=limit_seconds)

    async def Run(self, stream: RunStream) -> None:  # noqa: N802
        """Run one attempt.

        :param stream: receives the entry's frames, sends the answer's.
        """
        frame = await stream.recv_message()
        if frame is None:
            return
        attempt = wire_codec.decode_attempt(frame)
        running = execution.Execution(
            attempt,
            self._runner,
            self._outbox,
            self._follower.state.offset,
        )
        self._open_count += 1
        link = _find_link(stream)
        task = asyncio.current_task()
        if task is not None:
            self._executions[link].add(task)
        try:
            await self._exchange(stream, running)
        finally:
            self._untrack(link, task)
            self._finish_in_background(running)

    def _untrack(
        self, link: str, task: "asyncio.Task[typing.Any] | None"
    ) -> None:
        if task is not None:
            self._executions[link].discard(task)
        if not self._executions[link]:
            del self._executions[link]

    def _finish_in_background(self, running: execution.Execution) -> None:
        cleanup = asyncio.ensure_future(running.finish())
        self._cleanups.add(cleanup)
        cleanup.add_done_callback(self._on_finished)

    def _on_finished(self, cleanup: "asyncio.Task[None]") -> None:
        self._cleanups.discard(cleanup)
        self._open_count -= 1

    async def _exchange(
        self, stream: RunStream, running: execution.Execution
    ) -> None:
        sender = asyncio.ensure_future(self._send_frames(stream, running))
        try:
            await self._receive_frames(stream, running)
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    async def _send_frames(
        self, stream: RunStream, running: execution.Execution
    ) -> None:
        while (frame := await running.next_frame()) is not None:
            await stream.send_message(frame)

    async def _receive_frames(
        self, stream: RunStream, running: execution.Execution
    ) -> None:
        while (frame := await stream.recv_message()) is not None:
            match frame.WhichOneof("frame"):
                case "cancel":
                    return
                case "settled":
                    running.settle(
                        frame.settled.is_durable,
                        [
                            wire_codec.decode_cost(cost)
                            for cost in frame.settled.costs
                        ],
                    )
                    return

    async def Watch(self, stream: WatchStream) -> None:  # noqa: N802
        """Exchange heartbeats until the connection ends or goes silent.

        Then cancel the attempts that the entry runs over the same link.

        :param stream: receives the entry's heartbeats, sends this agent's.
        """
        link = _find_link(stream)
        with self._notifier.subscribe() as send_due:
            peer = _Peer()
            sender = asyncio.ensure_future(
                self._send_heartbeats(stream, send_due, peer)
            )
            try:
                await self._receive_heartbeats(stream, send_due, peer)
            except TimeoutError:
                _LOGGER.info(
                    "no heartbeat from entry, cancelling its attempts",
                    extra={"peer": link},
                )
            finally:
                sender.cancel()
                for task in list(self._executions.get(link, ())):
                    task.cancel()

    async def _receive_heartbeats(
        self, stream: WatchStream, send_due: asyncio.Event, peer: "_Peer"
    ) -> None:
        while True:
            async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                message = await stream.recv_message()
            if message is None:
                return
            peer.instance = message.instance
            self._merge_heartbeat(message)
            send_due.set()

    async def _send_heartbeats(
        self, stream: WatchStream, send_due: asyncio.Event, peer: "_Peer"
    ) -> None:
        """Send a heartbeat in answer to each one and after urgent changes."""
        position = 0
        while True:
            await send_due.wait()
            send_due.clear()
            message = self._make_heartbeat_for(peer)
            position = self._strikes.add_to_heartbeat(message, position)
            await stream.send_message(message)

    def _merge_heartbeat(self, message: wire_pb2.Heartbeat) -> None:
        self._strikes.merge_heartbeat(message)
        self._follower.merge_contacts(
            heartbeat_codec.decode_contacts(message.contacts)
        )
        self._demands.put(
            message.instance,
            heartbeat_codec.decode_demands(message.demands),
            self._clock.monotonic(),
        )
        self._board.merge(
            heartbeat_codec.decode_tallies(message.tallies),
            self._clock.monotonic(),
        )

    def _make_heartbeat_for(self, peer: "_Peer") -> wire_pb2.Heartbeat:
        message = self._make_heartbeat()
        other_demands = self._demands.sum_others(
            peer.instance, self._clock.monotonic()
        )
        message.demands.extend(heartbeat_codec.encode_demands(other_demands))
        return message

    async def PushConfiguration(  # noqa: N802
        self, stream: PushStream
    ) -> None:
        """Receive configuration records from an entry with a newer offset.

        :param stream: receives records, sends this agent's offset.
        """
        message = await stream.recv_message()
        if message is not None:
            self._follower.apply_offer(wire_codec.decode_offer(message))
        await stream.send_message(
            wire_pb2.ConfigurationPosition(offset=self._follower.state.offset)
        )

    async def PullConfiguration(  # noqa: N802
        self, stream: PullStream
    ) -> None:
        """Send configuration records to an entry with an older offset.

        :param stream: receives the entry's offset, sends records.
        """
        message = await stream.recv_message()
        offset = message.offset if message is not None else -1
        offer = self._follower.make_offer(offset)
        await stream.send_message(wire_codec.encode_offer(offer))

    async def FetchResult(self, stream: FetchStream) -> None:  # noqa: N802
        """Send the result of a request that this agent claimed.

        :param stream: receives the key, sends the result.
        """
        message = await stream.recv_message()
        if message is None:
            return
        key = ledger.ClaimKey(
            message.customer, message.service, message.idempotency_key
        )
        found = self._runner.find_result(key, message.claim_id)
        await stream.send_message(_encode_result(found))

    async def Collect(self, stream: CollectStream) -> None:  # noqa: N802
        """Append another instance's record as part of a batch.

        :param stream: receives the record, sends the append's result.
        """
        message = await stream.recv_message()
        if message is None:
            return
        await stream.send_message(await self._collector.collect(message))


@dataclasses.dataclass
class _Peer:
    """The entry at the other end of a heartbeat stream.

    :param instance: its name; empty before its first heartbeat.
    """

    instance: str = ""


def _find_link(stream: RunStream | WatchStream) -> str:
    metadata = typing.cast(
        "collections.abc.Mapping[str, str]", stream.metadata or {}
    )
    return str(metadata.get(LINK_METADATA_KEY, ""))


def _encode_result(found: results.Result | None) -> wire_pb2.ResultReply:
    if found is None:
        return wire_pb2.ResultReply(outcome=wire_pb2.OUTCOME_UNKNOWN)
    reply = wire_pb2.ResultReply(
        outcome=wire_codec.encode_outcome(found.outcome),
        running=found.is_running,
        status=found.status,
        body=found.body,
        request_id=found.request_id,
    )
    if found.cost is not None:
        reply.cost.CopyFrom(wire_codec.encode_cost(found.cost))
    return reply


def require_authentication(
    server: grpclib.server.Server,
    authenticator: auth.Authenticator,
    counters: metrics.Metrics,
) -> None:
    """Refuse every call that has no valid credential.

    :param server: the server.
    :param authenticator: checks the credentials.
    :param counters: metrics to count refused calls in.
    """

    async def check(event: grpclib.events.RecvRequest) -> None:
        credential = event.metadata.get(auth.METADATA_KEY)
        try:
            authenticator.check(event.method_name, str(credential or ""))
        except errors.SignatureError as error:
            counters.count(metrics.Metric.PEERS_REFUSED)
            raise grpclib.GRPCError(
                grpclib.const.Status.UNAUTHENTICATED, "unknown peer"
            ) from error

    grpclib.events.listen(server, grpclib.events.RecvRequest, check)
