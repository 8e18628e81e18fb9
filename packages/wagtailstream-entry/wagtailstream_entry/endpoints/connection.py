"""gRPC connections to one agent, each with its own heartbeats.

An open connection can stop carrying data for good while new connections to
the same agent work. Each connection therefore has its own heartbeat stream,
and a silent one is closed and replaced before the agent is considered dead.
"""

import asyncio
import collections.abc
import contextlib
import dataclasses
import ssl
import uuid

import grpclib
import grpclib.client
import grpclib.exceptions
import h2.exceptions

from wagtailstream_core import (
    billing,
    errors,
    wire_codec,
    wire_grpc,
    wire_pb2,
    work,
)
from wagtailstream_runtime import auth, notifier, strike_board

# A connection without a heartbeat for this long is closed.
HEARTBEAT_TIMEOUT_SECONDS = 3.0
# Time limit of one unary call, and of sending one message on a stream.
CALL_TIMEOUT_SECONDS = 3.0
# Metadata of every call by which the agent identifies its connection.
LINK_METADATA_KEY = "wagtail-link"
_SERVICE = "/wagtailstream.Agent/"

# The exceptions that grpclib and h2 raise when a call or connection fails.
CALL_ERRORS = (
    grpclib.GRPCError,
    grpclib.exceptions.StreamTerminatedError,
    grpclib.exceptions.ProtocolError,
    h2.exceptions.ProtocolError,
    OSError,
    asyncio.TimeoutError,
)

WatchStream = grpclib.client.Stream[wire_pb2.Heartbeat, wire_pb2.Heartbeat]
HeartbeatMaker = collections.abc.Callable[[], wire_pb2.Heartbeat]
HeartbeatHandler = collections.abc.Callable[
    ["Connection", wire_pb2.Heartbeat], None
]


@dataclasses.dataclass(frozen=True)
class WatchSettings:
    """Settings of the heartbeats that are exchanged with agents.

    :param interval_seconds: the time between heartbeats.
    :param make_heartbeat: returns a heartbeat with this entry's state.
    :param strikes: the strikes that this entry shares with the agents.
    :param urgent_notifier: notifies when a heartbeat must be sent at once.
    """

    interval_seconds: float
    make_heartbeat: HeartbeatMaker
    strikes: strike_board.StrikeBoard
    urgent_notifier: notifier.Notifier


class NotSentError(errors.PeerError):
    """The agent could not be reached; the attempt did not run."""


class Connection:
    """One connection to an agent.

    :param address: the agent's IP address and port.
    :param authenticator: creates the credentials of calls.
    :param context: the TLS context; None for a plaintext connection.
    """

    def __init__(
        self,
        address: str,
        authenticator: auth.Authenticator,
        context: ssl.SSLContext | None = None,
    ) -> None:
        host, _, port = address.rpartition(":")
        self._address = address
        self._authenticator = authenticator
        self._channel = grpclib.client.Channel(host, int(port), ssl=context)
        self._stub = wire_grpc.AgentStub(self._channel)
        self._connection_id = uuid.uuid4().hex
        self._in_flight = 0
        self._is_closed = False
        self._has_received_heartbeat = False

    @property
    def has_received_heartbeat(self) -> bool:
        """Whether a heartbeat of the agent arrived over this connection."""
        return self._has_received_heartbeat

    @property
    def in_flight(self) -> int:
        """The number of open runs on this connection."""
        return self._in_flight

    @property
    def is_closed(self) -> bool:
        """Whether the connection was closed at this end."""
        return self._is_closed

    def close(self) -> None:
        """Close the connection; its runs fail at once."""
        if not self._is_closed:
            self._is_closed = True
            self._channel.close()

    def _make_metadata(self, method: str) -> dict[str, str]:
        metadata = self._authenticator.make_metadata(_SERVICE + method)
        metadata[LINK_METADATA_KEY] = self._connection_id
        return metadata

    async def watch(
        self, watch_settings: WatchSettings, handle_heartbeat: HeartbeatHandler
    ) -> None:
        """Exchange heartbeats until the connection fails or goes silent.

        The connection is closed when this returns.

        :param watch_settings: the interval and contents of heartbeats.
        :param handle_heartbeat: called with each heartbeat of the agent.
        """
        try:
            with contextlib.suppress(*CALL_ERRORS):
                async with self._stub.Watch.open(
                    metadata=self._make_metadata("Watch")
                ) as stream:
                    async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                        await stream.send_request()
                    await self._exchange_heartbeats(
                        stream, watch_settings, handle_heartbeat
                    )
        finally:
            self.close()

    async def _exchange_heartbeats(
        self,
        stream: WatchStream,
        watch_settings: WatchSettings,
        handle_heartbeat: HeartbeatHandler,
    ) -> None:
        sender = asyncio.ensure_future(
            _send_heartbeats(stream, watch_settings)
        )
        try:
            while True:
                async with asyncio.timeout(HEARTBEAT_TIMEOUT_SECONDS):
                    reply = await stream.recv_message()
                if reply is None:
                    return
                self._has_received_heartbeat = True
                watch_settings.strikes.merge_heartbeat(reply)
                handle_heartbeat(self, reply)
        finally:
            sender.cancel()
            await asyncio.gather(sender, return_exceptions=True)

    async def push_configuration(
        self, message: wire_pb2.ConfigurationRecords
    ) -> int:
        """Send records to the agent and return its offset afterwards.

        :param message: the configuration records.
        :raises errors.PeerError: the agent did not answer.
        """
        try:
            reply = await self._stub.PushConfiguration(
                message,
                timeout=CALL_TIMEOUT_SECONDS,
                metadata=self._make_metadata("PushConfiguration"),
            )
        except CALL_ERRORS as error:
            raise errors.PeerError(
                "push configuration", self._address, repr(error)
            ) from error
        return int(reply.offset)

    async def pull_configuration(
        self, offset: int
    ) -> wire_pb2.ConfigurationRecords:
        """Fetch the configuration records after an offset.

        :param offset: the offset that this entry holds.
        :raises errors.PeerError: the agent did not answer.
        """
        try:
            reply = await self._stub.PullConfiguration(
                wire_pb2.ConfigurationPosition(offset=offset),
                timeout=CALL_TIMEOUT_SECONDS,
                metadata=self._make_metadata("PullConfiguration"),
            )
        except CALL_ERRORS as error:
            raise errors.PeerError(
                "pull configuration", self._address, repr(error)
            ) from error
        return reply

    async def fetch_result(
        self, request: wire_pb2.ResultRequest
    ) -> wire_pb2.ResultReply:
        """Fetch the result of a request that an agent claimed.

        :param request: the idempotency key and the claim.
        :raises errors.PeerError: the agent did not answer.
        """
        try:
            reply = await self._stub.FetchResult(
                request,
                timeout=CALL_TIMEOUT_SECONDS,
                metadata=self._make_metadata("FetchResult"),
            )
        except CALL_ERRORS as error:
            raise errors.PeerError(
                "fetch result", self._address, repr(error)
            ) from error
        return reply

    async def open_run(self, attempt: work.Attempt) -> "Run":
        """Send an attempt to the agent.

        :param attempt: the attempt.
        :raises NotSentError: the agent could not be reached.
        :raises errors.PeerError: sending failed; the agent may have received
            the attempt.
        """
        run = Run(self, self._stub, self._address)
        self._in_flight += 1
        try:
            await run.start(attempt, self._make_metadata("Run"))
        except BaseException:
            await run.close()
            raise
        return run

    def record_run_closed(self) -> None:
        """Decrement the number of open runs."""
        self._in_flight -= 1


async def _send_heartbeats(
    stream: WatchStream, watch_settings: WatchSettings
) -> None:
    position = 0
    with watch_settings.urgent_notifier.subscribe() as is_urgent:
        while True:
            message = watch_settings.make_heartbeat()
            position = watch_settings.strikes.add_to_heartbeat(
                message, position
            )
            await stream.send_message(message)
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(watch_settings.interval_seconds):
                    await is_urgent.wait()
            is_urgent.clear()


class Run:
    """The gRPC stream of one attempt at an agent.

    :param owner: the connection that carries the stream.
    :param stub: the connection's stub.
    :param address: the agent's address, for error messages.
    """

    def __init__(
        self, owner: Connection, stub: wire_grpc.AgentStub, address: str
    ) -> None:
        self._owner = owner
        self._stub = stub
        self._address = address
        self._stack = contextlib.AsyncExitStack()
        self._stream: (
            grpclib.client.Stream[wire_pb2.RunFrame, wire_pb2.AnswerFrame]
            | None
        ) = None
        self._is_closed = False
        self._is_ended = False

    @property
    def is_alive(self) -> bool:
        """Whether the stream is open, so the agent still waits for a bill."""
        return not self._is_closed and not self._owner.is_closed

    async def start(
        self, attempt: work.Attempt, metadata: dict[str, str]
    ) -> None:
        """Open the stream and send the attempt.

        :param attempt: the attempt.
        :param metadata: the metadata of the call, with its credentials.
        :raises NotSentError: the agent could not be reached.
        :raises errors.PeerError: sending failed; the agent may have received
            the attempt.
        """
        stream = await self._stack.enter_async_context(
            self._stub.Run.open(metadata=metadata)
        )
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await stream.send_request()
        except CALL_ERRORS as error:
            raise NotSentError(
                "connect", self._address, repr(error)
            ) from error
        self._stream = stream
        try:
            async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                await stream.send_message(wire_codec.encode_attempt(attempt))
        except CALL_ERRORS as error:
            raise errors.PeerError(
                "dispatch", self._address, repr(error)
            ) from error

    async def next_answer(self) -> wire_codec.Answer:
        """Return the next frame of the answer.

        :raises errors.PeerError: the connection failed, or the stream ended
            before the frame that ends the answer.
        """
        if self._stream is None:
            raise errors.PeerError(
                "receive", self._address, "the attempt was not started"
            )
        try:
            frame = await self._stream.recv_message()
        except CALL_ERRORS as error:
            raise errors.PeerError(
                "receive", self._address, repr(error)
            ) from error
        if frame is None:
            raise errors.PeerError(
                "receive",
                self._address,
                "the stream ended before the end of the answer",
            )
        return wire_codec.decode_answer(frame, self._address)

    async def settle(
        self,
        is_durable: bool,
        costs: collections.abc.Sequence[billing.AttemptCost],
    ) -> bool:
        """Notify the agent that this entry bills the attempt, and close.

        :param is_durable: whether the log holds the bill; otherwise the
            agent is asked to keep a copy of the bill.
        :param costs: the costs of all attempts on the bill.
        :returns: whether the agent confirmed.
        """
        is_confirmed = False
        if self._stream is not None and self.is_alive:
            settled = wire_pb2.Settled(
                is_durable=is_durable,
                costs=[wire_codec.encode_cost(cost) for cost in costs],
            )
            with contextlib.suppress(*CALL_ERRORS):
                async with asyncio.timeout(CALL_TIMEOUT_SECONDS):
                    await self._stream.send_message(
                        wire_pb2.RunFrame(settled=settled), end=True
                    )
                    await self._stream.recv_trailing_metadata()
                    is_confirmed = True
                    # The stream ended normally; `close` must not cancel it.
                    self._is_ended = True
        await self.close()
        return is_confirmed

    async def close(self) -> None:
        """Close the stream, and cancel the attempt if it has not ended.

        The agent bills a cancelled attempt.
        """
        if self._is_closed:
            return
        self._is_closed = True
        self._owner.record_run_closed()
        with contextlib.suppress(*CALL_ERRORS, Exception):
            if self._stream is not None and not self._is_ended:
                await self._stream.cancel()
        with contextlib.suppress(*CALL_ERRORS, Exception):
            await self._stack.aclose()
