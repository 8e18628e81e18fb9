"""Compares customers' shares of engine time with max-min shares.

One customer asks for as much as nine others together, and two thirds of its
requests reach a third of the instances. Instances hear of each other's uses
and waiting work only as of the last report. In the middle of the run a third
of the instances may be killed, or cut off from the others.
"""

import collections
import collections.abc
import dataclasses
import random

from experiments import base
from wagtailstream_router.admission import shares

STEP_SECONDS = 0.05
RUN_SECONDS = 60.0
WARM_UP_SECONDS = 15.0
FAULT_SECONDS = 30.0
# The fleet's engine time and the demand for it, in ms a second, per instance.
CAPACITY_MS = 1_000.0
DEMAND_MS = 1_500.0
REQUEST_MS = 50.0
# How long a request waits before its caller gives up.
PATIENCE_SECONDS = 5.0
CUSTOMERS = ("hot", *(f"customer-{number}" for number in range(9)))
SIZES = ((3, 0.2), (20, 0.2), (20, 1.0), (20, 3.0), (100, 1.0), (100, 3.0))
FAULTS = ("none", "third killed", "third cut")
WAYS = ("own turns", "fleet's use")


@dataclasses.dataclass(frozen=True)
class ShareRow(base.Row):
    """How far customers' engine time is from their max-min shares.

    :param instances: how many there are.
    :param age: the interval of reports, in seconds.
    :param fault: what happens in the middle.
    :param hot: the large customer's engine time over its share.
    :param least: the least of the other customers' engine time, over the share
        of each.
    :param idle: the part of the engine time that nobody got.
    """

    instances: str
    age: str
    fault: str
    hot: float
    least: float
    idle: float


class _Instance:
    """An instance with its waiters by customer, the oldest first."""

    def __init__(self, clock: collections.abc.Callable[[], float]) -> None:
        self.used = shares.CustomerShares(clock=clock)
        self.waiting: dict[str, collections.deque[float]] = {
            name: collections.deque() for name in CUSTOMERS
        }
        self.peer_waiting_ms = 0.0
        self.left_ms = 0.0

    def find_waiting_ms(self, is_weighted: bool) -> float:
        return sum(
            len(queue)
            * REQUEST_MS
            * (self.used.find_excess_factor(name) if is_weighted else 1.0)
            for name, queue in self.waiting.items()
            if queue
        )

    def grant(self, room_ms: float, taken: collections.Counter[str]) -> float:
        """Grant room to waiters by rank; return what was not used."""
        self.left_ms += room_ms
        while self.left_ms >= REQUEST_MS:
            names = [name for name, queue in self.waiting.items() if queue]
            if not names:
                break
            name = min(names, key=self.used.rank)
            self.waiting[name].popleft()
            self.used.record_use(name, REQUEST_MS)
            taken[name] += round(REQUEST_MS)
            self.left_ms -= REQUEST_MS
        unused = max(0.0, self.left_ms - REQUEST_MS)
        self.left_ms -= unused
        return unused


class _Fleet:
    """The instances of a run.

    :param count: how many there are.
    :param way: one of `WAYS`.
    """

    def __init__(self, count: int, way: str, rng: random.Random) -> None:
        self.now = 0.0
        self.is_shared = way != WAYS[0]
        self.rng = rng
        self.instances = [_Instance(lambda: self.now) for _ in range(count)]
        self.alive = list(self.instances)
        self.groups = [list(self.instances)]
        self.busy = self.instances[: max(1, count // 3)]

    def fail(self, fault: str) -> None:
        """Kill or cut off a third of the instances, hot ones among them."""
        third = self.instances[:: max(1, 3)]
        rest = [one for one in self.instances if one not in third]
        if fault == "third killed":
            self.alive = rest
            self.groups = [rest]
        elif fault == "third cut":
            self.groups = [third, rest]

    def arrive(self, demands: collections.abc.Mapping[str, float]) -> None:
        """Add the requests of a step."""
        for name, demand_ms in demands.items():
            mean = demand_ms * STEP_SECONDS / REQUEST_MS
            for _ in range(int(mean) + (self.rng.random() < mean % 1.0)):
                pool = self.alive
                if name == "hot" and self.rng.random() < 2 / 3:
                    pool = [one for one in self.busy if one in self.alive]
                self.rng.choice(pool or self.alive).waiting[name].append(
                    self.now
                )

    def report(self) -> None:
        """Let all instances of a group hear of each other."""
        for group in self.groups:
            reports = [(one, one.used.make_report()) for one in group]
            waiting = [one.find_waiting_ms(self.is_shared) for one in group]
            total = sum(waiting)
            for one, own_ms in zip(group, waiting, strict=True):
                one.peer_waiting_ms = total - own_ms
                if self.is_shared:
                    one.used.set_peer_uses(
                        (self.now, uses)
                        for other, uses in reports
                        if other is not one
                    )

    def serve(self, room_ms: float, taken: collections.Counter[str]) -> float:
        """Part a step's engine time; return what nobody took."""
        wanted = [one.find_waiting_ms(self.is_shared) for one in self.alive]
        parts = [
            own_ms / (own_ms + one.peer_waiting_ms) if own_ms else 0.0
            for one, own_ms in zip(self.alive, wanted, strict=True)
        ]
        scale = max(1.0, sum(parts))
        unused = room_ms * max(0.0, 1.0 - sum(parts) / scale)
        for one, part in zip(self.alive, parts, strict=True):
            unused += one.grant(room_ms * part / scale, taken)
        # Room that is left over is open to whoever has waiters.
        for one in sorted(self.alive, key=lambda _: self.rng.random()):
            if unused < REQUEST_MS:
                break
            if any(one.waiting.values()):
                unused = one.grant(unused, taken)
        return unused

    def expire(self) -> None:
        """Let callers give up that waited too long."""
        for one in self.alive:
            for queue in one.waiting.values():
                while queue and queue[0] < self.now - PATIENCE_SECONDS:
                    queue.popleft()


def _find_ideal(
    demands: collections.abc.Mapping[str, float], capacity: float
) -> dict[str, float]:
    """Return the max-min shares of a capacity."""
    ideal: dict[str, float] = {}
    left = capacity
    ordered = sorted(demands, key=lambda name: demands[name])
    for place, name in enumerate(ordered):
        ideal[name] = min(demands[name], left / (len(ordered) - place))
        left -= ideal[name]
    return ideal


def _run(
    way: str, count: int, age: float, fault: str, rng: random.Random
) -> ShareRow:
    fleet = _Fleet(count, way, rng)
    capacity = CAPACITY_MS * count
    demand = DEMAND_MS * count
    demands = dict.fromkeys(CUSTOMERS, demand / 18)
    demands["hot"] = demand / 2
    taken: collections.Counter[str] = collections.Counter()
    idle = 0.0
    report_at = 0.0
    has_failed = False
    for step in range(round(RUN_SECONDS / STEP_SECONDS)):
        fleet.now = step * STEP_SECONDS
        if fleet.now >= FAULT_SECONDS and not has_failed:
            has_failed = True
            fleet.fail(fault)
        if fleet.now >= report_at:
            report_at += age
            fleet.report()
        fleet.arrive(demands)
        fleet.expire()
        served: collections.Counter[str] = collections.Counter()
        unused = fleet.serve(capacity * STEP_SECONDS, served)
        if fleet.now >= WARM_UP_SECONDS:
            taken.update(served)
            idle += unused
    seconds = RUN_SECONDS - WARM_UP_SECONDS
    ideal = _find_ideal(demands, capacity)
    ratios = {
        name: taken[name] / (ideal[name] * seconds) for name in CUSTOMERS
    }
    hot = ratios.pop("hot")
    return ShareRow(
        way,
        str(count),
        f"{age:g}",
        fault,
        hot,
        min(ratios.values()),
        idle / (capacity * seconds),
    )


class CustomerSharesExperiment(base.Experiment):
    """Compares both ways at all sizes, ages of reports and faults."""

    @property
    def name(self) -> str:
        return "customer-shares"

    def run(self, seed: int) -> collections.abc.Sequence[base.Row]:
        return [
            _run(way, count, age, fault, random.Random(seed))
            for count, age in SIZES
            for fault in FAULTS
            for way in WAYS
        ]
