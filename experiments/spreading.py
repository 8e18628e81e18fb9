"""Ways to spread configuration records over one lossy in-memory link."""

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
RECORD_BYTES = 2000
OVERHEAD_BYTES = 120
RUN_SECONDS = 50.0
NEAR_SECONDS = 0.001
FAR_SECONDS = 0.02
POLL_SECONDS = 1.0
TIMEOUT_SECONDS = 3.0
DIGEST_SECONDS = 1.0
TAILS = 3
FAN_OUT = 8
REGIONS = 2
CUT_FROM = 10.0
CUT_UNTIL = 25.0
LOG = "log"
SIZES = (20, 200, 1140)


@dataclasses.dataclass(frozen=True)
class Condition:
    """How bad the link is.

    :param loss: the share of messages that are lost.
    :param has_cut: whether the second region is cut off for a while.
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
    """What a way costs and how soon all have a record.

    :param messages: a second, over all.
    :param kilobytes: a second, over all.
    :param log_messages: a second, in and out of the log.
    :param busiest_kb: a second, in and out of the busiest node.
    :param mean_last_ms: from the append to the last node, mean of records.
    :param worst_last_ms: likewise, the worst record; records appended
        during a cut count from its end.
    :param missing: records that some node lacked at the end.
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


class Link:
    """Carries messages with loss, and counts them.

    :param clock: the simulation.
    :param condition: how bad it is.
    :param regions: each node's region.
    :param rng: draws losses.
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
        """Deliver a message later, or lose it.

        :param size: in bytes, without overhead.
        :param callback: what happens on arrival.
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
        is_cut = CUT_FROM <= self._clock.now < CUT_UNTIL
        if self._condition.has_cut and is_far and is_cut:
            return True
        return self._rng.random() < self._condition.loss


class Way(abc.ABC):
    """A way to spread records.

    :param size: how many receivers.
    :param condition: how bad the link is.
    :param seed: seeds the generator.
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
        self.link = Link(self.clock, condition, {**regions, LOG: 0}, self.rng)
        self.append_times: list[float] = []
        self.arrival_times: list[dict[str, float]] = []
        self._polling: dict[str, int] = {}
        self._polls: collections.Counter[str] = collections.Counter()

    def run(self) -> None:
        """Append all records and run to the end."""
        for number in range(RECORDS):
            self.clock.at(2.0 + number * RECORD_INTERVAL_SECONDS, self._append)
        self.start()
        self.clock.run(RUN_SECONDS)

    @abc.abstractmethod
    def start(self) -> None:
        """Schedule what the nodes do."""

    @abc.abstractmethod
    def next_offset(self, name: str) -> int:
        """Return the first offset that a node lacks.

        :param name: the node.
        """

    @abc.abstractmethod
    def accept_record(self, name: str, offset: int) -> None:
        """Give a node a record from the log.

        :param name: the node.
        :param offset: the record.
        """

    def record_arrival(self, name: str, offset: int) -> None:
        """Note when a node first held a record.

        :param name: the node.
        :param offset: the record.
        """
        self.arrival_times[offset].setdefault(name, self.clock.now)

    def _append(self) -> None:
        self.append_times.append(self.clock.now)
        self.arrival_times.append({})
        for name in list(self._polling):
            self._answer(name)

    def poll(self, name: str) -> None:
        """Ask the log for what follows, again and again.

        :param name: the node.
        """
        wanted = self.next_offset(name)
        self.link.send(name, LOG, 0, lambda: self._handle_poll(name, wanted))
        number = self._polls[name] = self._polls[name] + 1

        def retry() -> None:
            # A lost request or answer is noticed by its timeout.
            if self._polls[name] == number:
                self.poll(name)

        self.clock.after(POLL_SECONDS + TIMEOUT_SECONDS, retry)

    def _handle_poll(self, name: str, wanted: int) -> None:
        self._polling[name] = wanted
        if wanted < len(self.append_times):
            self._answer(name)
            return
        number = self._polls[name]

        def expire() -> None:
            if self._polls[name] == number and name in self._polling:
                self._answer(name)

        self.clock.after(POLL_SECONDS, expire)

    def _answer(self, name: str) -> None:
        wanted = self._polling.pop(name, None)
        if wanted is None:
            return
        offsets = range(wanted, len(self.append_times))
        number = self._polls[name]

        def arrive() -> None:
            if self._polls[name] != number:
                return
            for offset in offsets:
                self.accept_record(name, offset)
            self.poll(name)

        self.link.send(LOG, name, RECORD_BYTES * len(offsets), arrive)


class EveryoneTails(Way):
    """Each node reads the log."""

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


class Relayed(Way):
    """A few of each region tail; a tree relays, neighbours repair."""

    name = "few tail, neighbours repair"
    tails = TAILS

    def start(self) -> None:
        self._relays = {}
        for region in range(REGIONS):
            names = [n for n in self.names if self.regions[n] == region]
            for position in dissemination.place(names, TAILS, FAN_OUT):
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
            size = 8
            if isinstance(item.message, dissemination.Push):
                size = RECORD_BYTES
            self.link.send(
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


class EveryoneTailsAndLevels(Relayed):
    """Each node reads the log; digests between neighbours show gaps."""

    name = "everyone tails, heartbeats level"
    tails = max(SIZES)

    def _make_relay(
        self, position: dissemination.Position
    ) -> dissemination.Relay:
        return _LevellingRelay(position, self.rng)


class _LevellingRelay(dissemination.Relay):
    """Passes records on to those that asked for them alone."""

    def handle_record(
        self, offset: int, now: float
    ) -> list[dissemination.Outgoing]:
        asked = set(self._waiting_neighbours.get(offset, ()))
        return [
            item
            for item in super().handle_record(offset, now)
            if item.to in asked
            or not isinstance(item.message, dissemination.Push)
        ]


class RelayedFromTails(Relayed):
    """Likewise, but every gap is asked from a tail, without suppression."""

    name = "few tail, tails repair"

    def _make_relay(
        self, position: dissemination.Position
    ) -> dissemination.Relay:
        return _TailAskingRelay(position, self.rng)


class _TailAskingRelay(dissemination.Relay):
    """Asks a tail whenever a gap shows, however often it asked."""

    def _is_open(self, offset: int, now: float) -> bool:
        return False

    def _choose_replier(self, offset: int) -> str | None:
        parents = self._position.parents
        return self._rng.choice(parents[1:] or parents) if parents else None


WAYS: tuple[type[Way], ...] = (
    EveryoneTails,
    EveryoneTailsAndLevels,
    RelayedFromTails,
    Relayed,
)


def measure(
    way_class: type[Way], size: int, condition: Condition, seed: int
) -> Row:
    """Return a way's row.

    :param way_class: the way.
    :param size: how many receivers.
    :param condition: how bad the link is.
    :param seed: seeds the generator.
    """
    way = way_class(size, condition, seed)
    way.run()
    times, missing = [], 0
    for appended_at, arrival_times in zip(
        way.append_times, way.arrival_times, strict=True
    ):
        if len(arrival_times) < size:
            missing += 1
            continue
        start = appended_at
        if condition.has_cut and CUT_FROM <= appended_at < CUT_UNTIL:
            start = CUT_UNTIL
        times.append(max(0.0, max(arrival_times.values()) - start) * 1000.0)
    nodes = [name for name in way.link.bytes if name != LOG]
    return Row(
        way=way_class.name,
        size=str(size),
        condition=condition.name,
        messages=way.link.total / RUN_SECONDS,
        kilobytes=way.link.total_bytes / RUN_SECONDS / 1000.0,
        log_messages=way.link.messages[LOG] / RUN_SECONDS,
        busiest_kb=max(way.link.bytes[n] for n in nodes)
        / RUN_SECONDS
        / 1000.0,
        mean_last_ms=sum(times) / max(1, len(times)),
        worst_last_ms=max(times, default=0.0),
        missing=missing,
    )


class Spreading(base.Experiment):
    """Messages, bytes and time to the last node, with loss and a cut."""

    @property
    def name(self) -> str:
        """The name for ``--only``."""
        return "dissemination"

    @property
    def charts(self) -> tuple[base.Chart, ...]:
        """The charts of the rows."""
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
        """Run every way and return the rows.

        :param seed: seeds all random generators.
        """
        return [
            measure(way_class, size, condition, seed)
            for size in SIZES
            for condition in CONDITIONS
            for way_class in WAYS
        ]
