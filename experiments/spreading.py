"""Compares strategies to distribute configuration records to all nodes.

The network may lose messages. Nodes read the log by long polling, or get
records from their neighbours in a tree.
"""

import abc
import collections
import collections.abc
import dataclasses
import functools
import random

from experiments import base, simulation
from wagtailstream_core import dissemination

RECORDS = 20
RECORD_INTERVAL_SECONDS = 1.5
# The size of a record, and the headers of every message.
RECORD_BYTES = 2000
OVERHEAD_BYTES = 120
RUN_SECONDS = 50.0
# Latencies within a region and between regions.
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.02
# How long the log holds a poll open without new records, and how much longer a
# node waits for the answer before it polls again.
POLL_SECONDS = 1.0
TIMEOUT_SECONDS = 3.0
DIGEST_SECONDS = 1.0
# The number of nodes per region that read the log (tails), and the maximum
# number of children of a node in the tree.
TAILS_PER_REGION = 3
FAN_OUT = 8
REGIONS = 2
# The period of the cut, in seconds since the start.
CUT_FROM_SECONDS = 10.0
CUT_UNTIL_SECONDS = 25.0
LOG = "log"
SIZES = (20, 200, 1140)


@dataclasses.dataclass(frozen=True)
class Condition:
    """The faults of the network.

    :param loss: the fraction of messages that are lost.
    :param has_cut: whether the regions are cut off from each other from
        CUT_FROM_SECONDS until CUT_UNTIL_SECONDS.
    """

    name: str
    loss: float = 0.0
    has_cut: bool = False


CONDITIONS = (
    Condition("no loss"),
    Condition("1 % loss", 0.01),
    Condition("10 % loss", 0.1),
    Condition("region cut 15 s, 1 % loss", 0.01, True),
)


@dataclasses.dataclass(frozen=True)
class Row(base.Row):
    """The network traffic and the delay of one strategy.

    The delay of a record is the time from its append until the last node has
    it. For records appended during a cut it counts from the end of the cut.

    :param size: the number of nodes.
    :param messages: messages per second, of all nodes and the log.
    :param kilobytes: kilobytes per second, of all nodes and the log.
    :param log_messages: messages per second that the log sends and receives.
    :param busiest_kb: kilobytes per second that the busiest node sends and
        receives.
    :param mean_last_ms: the mean delay of the records, in milliseconds.
    :param worst_last_ms: the highest delay of a record, in milliseconds.
    :param missing: the number of records that some node lacked at the end.
    """

    size: str
    condition: str
    messages: float
    kilobytes: float
    log_messages: float
    busiest_kb: float
    mean_last_ms: float
    worst_last_ms: float
    missing: int


class Network:
    """A network that delays, loses and counts messages.

    :param clock: the simulation's clock.
    :param condition: the faults of the network.
    :param regions: the region of each node and of the log.
    :param rng: the generator for losses and delays.
    """

    def __init__(
        self,
        clock: simulation.Simulation,
        condition: Condition,
        regions: dict[str, int],
        rng: random.Random,
    ) -> None:
        self._clock = clock
        self._condition = condition
        self._regions = regions
        self._rng = rng
        self.messages: collections.Counter[str] = collections.Counter()
        self.bytes: collections.Counter[str] = collections.Counter()
        self.total = 0
        self.total_bytes = 0

    def send(
        self,
        source: str,
        target: str,
        size: int,
        callback: collections.abc.Callable[[], None],
    ) -> None:
        """Deliver a message after a delay, or lose it.

        :param source: the sender.
        :param target: the receiver.
        :param size: the size in bytes, without overhead.
        :param callback: called when the message arrives.
        """
        size += OVERHEAD_BYTES
        self.total += 1
        self.total_bytes += size
        for name in (source, target):
            self.messages[name] += 1
            self.bytes[name] += size
        if self._is_lost(source, target):
            return
        is_near = self._regions[source] == self._regions[target]
        delay = NEAR_SECONDS if is_near else FAR_SECONDS
        self._clock.after(delay * self._rng.uniform(1.0, 1.5), callback)

    def _is_lost(self, source: str, target: str) -> bool:
        is_far = self._regions[source] != self._regions[target]
        is_cut = CUT_FROM_SECONDS <= self._clock.now < CUT_UNTIL_SECONDS
        if self._condition.has_cut and is_far and is_cut:
            return True
        return self._rng.random() < self._condition.loss


class Strategy(abc.ABC):
    """Simulates one strategy to distribute records to many nodes.

    :param size: the number of nodes.
    :param condition: the faults of the network.
    :param seed: seed for the random generator.
    """

    name = ""

    def __init__(self, size: int, condition: Condition, seed: int) -> None:
        self.clock = simulation.Simulation()
        self.rng = random.Random(seed)
        self.names = [f"n{index}" for index in range(size)]
        regions = {
            name: index % REGIONS for index, name in enumerate(self.names)
        }
        self.regions = regions
        self.network = Network(
            self.clock, condition, {**regions, LOG: 0}, self.rng
        )
        self.append_times: list[float] = []
        self.arrival_times: list[dict[str, float]] = []
        self._polling: dict[str, int] = {}
        self._poll_counts: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Run the whole simulation, with all appends to the log."""
        for number in range(RECORDS):
            self.clock.at(2.0 + number * RECORD_INTERVAL_SECONDS, self._append)
        self.start()
        self.clock.run(RUN_SECONDS)

    @abc.abstractmethod
    def start(self) -> None:
        """Schedule the first actions of the nodes."""

    @abc.abstractmethod
    def next_offset(self, name: str) -> int:
        """Return the first offset that a node lacks.

        :param name: the name of the node.
        """

    @abc.abstractmethod
    def accept_record(self, name: str, offset: int) -> None:
        """Handle a record that a node received.

        :param name: the name of the node.
        :param offset: the offset of the record.
        """

    def record_arrival(self, name: str, offset: int) -> None:
        """Record the time when a node first has a record.

        :param name: the name of the node.
        :param offset: the offset of the record.
        """
        self.arrival_times[offset].setdefault(name, self.clock.now)

    def _append(self) -> None:
        self.append_times.append(self.clock.now)
        self.arrival_times.append({})
        for name in list(self._polling):
            self._answer(name)

    def poll(self, name: str) -> None:
        """Long-poll the log for new records, repeatedly.

        :param name: the name of the node.
        """
        from_offset = self.next_offset(name)
        self.network.send(
            name, LOG, 0, lambda: self._handle_poll(name, from_offset)
        )
        poll_number = self._poll_counts[name] = self._poll_counts[name] + 1

        def retry() -> None:
            # No answer before the timeout: the request or the answer was lost.
            if self._poll_counts[name] == poll_number:
                self.poll(name)

        self.clock.after(POLL_SECONDS + TIMEOUT_SECONDS, retry)

    def _handle_poll(self, name: str, from_offset: int) -> None:
        self._polling[name] = from_offset
        if from_offset < len(self.append_times):
            self._answer(name)
            return
        poll_number = self._poll_counts[name]

        def expire() -> None:
            if (
                self._poll_counts[name] == poll_number
                and name in self._polling
            ):
                self._answer(name)

        self.clock.after(POLL_SECONDS, expire)

    def _answer(self, name: str) -> None:
        from_offset = self._polling.pop(name, None)
        if from_offset is None:
            return
        offsets = range(from_offset, len(self.append_times))
        poll_number = self._poll_counts[name]

        def arrive() -> None:
            if self._poll_counts[name] != poll_number:
                return
            for offset in offsets:
                self.accept_record(name, offset)
            self.poll(name)

        self.network.send(LOG, name, RECORD_BYTES * len(offsets), arrive)


class EveryoneTails(Strategy):
    """Every node reads the log."""

    name = "everyone tails"

    def start(self) -> None:
        self._next = dict.fromkeys(self.names, 0)
        for name in self.names:
            first = self.rng.uniform(0.0, POLL_SECONDS)
            self.clock.at(first, functools.partial(self.poll, name))

    def next_offset(self, name: str) -> int:
        return self._next[name]

    def accept_record(self, name: str, offset: int) -> None:
        self.record_arrival(name, offset)
        self._next[name] = max(self._next[name], offset + 1)


class Relayed(Strategy):
    """A few nodes per region (tails) read the log and relay records in a tree.

    Nodes request missing records from their neighbours in the tree.
    """

    name = "few tail, neighbours repair"
    # The number of nodes per region that read the log.
    tails = TAILS_PER_REGION

    def start(self) -> None:
        self._relays = {}
        for region in range(REGIONS):
            names = [n for n in self.names if self.regions[n] == region]
            for position in dissemination.place(
                names, TAILS_PER_REGION, FAN_OUT
            ):
                self._relays[position.name] = self._make_relay(position)
                first = self.rng.uniform(0.0, DIGEST_SECONDS)
                self.clock.at(
                    first, functools.partial(self._send_digests, position.name)
                )
            for name in names[: self.tails]:
                self.clock.at(0.1, functools.partial(self.poll, name))

    def _make_relay(
        self, position: dissemination.Position
    ) -> dissemination.Relay:
        return dissemination.Relay(position, self.rng)

    def next_offset(self, name: str) -> int:
        return self._relays[name].next_offset

    def accept_record(self, name: str, offset: int) -> None:
        relay = self._relays[name]
        if not relay.holds(offset):
            self.record_arrival(name, offset)
            self._send(name, relay.handle_record(offset, self.clock.now))

    def _send_digests(self, name: str) -> None:
        relay = self._relays[name]
        self._send(name, relay.make_digests(self.clock.now))
        self.clock.after(DIGEST_SECONDS, lambda: self._send_digests(name))

    def _send(
        self, source: str, outgoing: list[dissemination.Outgoing]
    ) -> None:
        for item in outgoing:
            # A digest holds one offset; a request counts as one too.
            size = 8
            if isinstance(item.message, dissemination.Push):
                size = RECORD_BYTES
            self.network.send(
                source,
                item.to,
                size,
                functools.partial(self._deliver, source, item),
            )

    def _deliver(self, source: str, item: dissemination.Outgoing) -> None:
        relay, now = self._relays[item.to], self.clock.now
        match item.message:
            case dissemination.Push(offset=offset):
                self.accept_record(item.to, offset)
            case dissemination.Digest() as digest:
                self._send(item.to, relay.handle_digest(source, digest, now))
            case dissemination.RecordRequest() as request:
                self._send(item.to, relay.handle_request(source, request, now))


class EveryoneTailsAndRepairs(Relayed):
    """Every node reads the log, and requests missing records from neighbours.

    Digests of neighbours reveal which records are missing.
    """

    name = "everyone tails, heartbeats level"
    tails = max(SIZES)

    def _make_relay(
        self, position: dissemination.Position
    ) -> dissemination.Relay:
        return _OnRequestRelay(position, self.rng)


class _OnRequestRelay(dissemination.Relay):
    """Forwards records only to neighbours that requested them."""

    def handle_record(
        self, offset: int, now: float
    ) -> list[dissemination.Outgoing]:
        requesters = set(self._waiting_neighbours.get(offset, ()))
        return [
            item
            for item in super().handle_record(offset, now)
            if item.to in requesters
            or not isinstance(item.message, dissemination.Push)
        ]


class RelayedFromTails(Relayed):
    """Like :class:`Relayed`, but nodes request missing records from tails.

    Requests are repeated even while an earlier one is pending.
    """

    name = "few tail, tails repair"

    def _make_relay(
        self, position: dissemination.Position
    ) -> dissemination.Relay:
        return _TailRequestRelay(position, self.rng)


class _TailRequestRelay(dissemination.Relay):
    """Requests each missing record from a tail, even if requested before."""

    def _is_open(self, offset: int, now: float) -> bool:
        return False

    def _choose_replier(self, offset: int) -> str | None:
        parents = self._position.parents
        return self._rng.choice(parents[1:] or parents) if parents else None


STRATEGIES: tuple[type[Strategy], ...] = (
    EveryoneTails,
    EveryoneTailsAndRepairs,
    RelayedFromTails,
    Relayed,
)


def measure(
    strategy_class: type[Strategy], size: int, condition: Condition, seed: int
) -> Row:
    """Simulate one strategy and return its row.

    :param strategy_class: the strategy to distribute records.
    :param size: the number of nodes.
    :param condition: the faults of the network.
    :param seed: seed for the random generator.
    """
    strategy = strategy_class(size, condition, seed)
    strategy.run()
    delays_ms, missing = [], 0
    for appended_at, arrival_times in zip(
        strategy.append_times, strategy.arrival_times, strict=True
    ):
        if len(arrival_times) < size:
            missing += 1
            continue
        counted_from = appended_at
        if (
            condition.has_cut
            and CUT_FROM_SECONDS <= appended_at < CUT_UNTIL_SECONDS
        ):
            counted_from = CUT_UNTIL_SECONDS
        delays_ms.append(
            max(0.0, max(arrival_times.values()) - counted_from) * 1000.0
        )
    nodes = [name for name in strategy.network.bytes if name != LOG]
    return Row(
        way=strategy_class.name,
        size=str(size),
        condition=condition.name,
        messages=strategy.network.total / RUN_SECONDS,
        kilobytes=strategy.network.total_bytes / RUN_SECONDS / 1000.0,
        log_messages=strategy.network.messages[LOG] / RUN_SECONDS,
        busiest_kb=max(strategy.network.bytes[n] for n in nodes)
        / RUN_SECONDS
        / 1000.0,
        mean_last_ms=sum(delays_ms) / max(1, len(delays_ms)),
        worst_last_ms=max(delays_ms, default=0.0),
        missing=missing,
    )


class Spreading(base.Experiment):
    """Compares traffic and delay with losses and with regions cut off."""

    @property
    def name(self) -> str:
        """The experiment's name, as given to ``--only``."""
        return "dissemination"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts to draw from the rows."""
        return tuple(
            base.Chart(
                measure=measure_name,
                x="condition",
                series="way",
                unit=unit,
                is_logarithmic=True,
                where=(("size", str(SIZES[-1])),),
            )
            for measure_name, unit in (
                ("worst_last_ms", "ms"),
                ("log_messages", "messages/s"),
            )
        )

    def run(self, seed: int) -> list[Row]:
        """Measure every algorithm and return the rows.

        :param seed: seed for all random generators.
        """
        return [
            measure(strategy_class, size, condition, seed)
            for size in SIZES
            for condition in CONDITIONS
            for strategy_class in STRATEGIES
        ]
