"""Freshness against an oracle that knows the whole log and all clocks."""

import itertools
import math

import hypothesis
from hypothesis import strategies

from wagtailstream_core import clock, freshness

PLACES = ("rennes", "brest", "vannes")
SKEW = clock.MAX_CLOCK_SKEW_SECONDS
# Maximum age of a change that a fresh instance may have missed. The skew
# counts twice: assess_freshness adds it to the limit, and a contact's age is
# measured by clocks that differ by up to it.
BOUND_SECONDS = freshness.FRESHNESS_LIMIT_SECONDS + 2 * SKEW
START = 1000.0

CONTACTS = strategies.builds(
    freshness.LogContact,
    strategies.sampled_from(PLACES),
    strategies.integers(0, 9).map(float),
    strategies.integers(-1, 9),
    strategies.integers(0, 9).map(float),
)
SEEDED = hypothesis.settings(derandomize=True, max_examples=150, deadline=None)


@SEEDED
@hypothesis.given(strategies.lists(CONTACTS, max_size=12), strategies.data())
def test_merge_agrees_with_keeping_everything(
    news: list[freshness.LogContact], data: strategies.DataObject
) -> None:
    """Each field is the maximum, for any order, grouping and repeats."""
    expected = {
        place: freshness.LogContact(
            place,
            max(c.reached_at for c in news if c.data_centre == place),
            max(c.tail_offset for c in news if c.data_centre == place),
            max(c.failed_at for c in news if c.data_centre == place),
        )
        for place in {c.data_centre for c in news}
    }
    shuffled = data.draw(strategies.permutations(news))
    cut = data.draw(strategies.integers(0, len(news)))
    first = freshness.merge({}, shuffled[:cut])
    second = freshness.merge({}, shuffled)
    assert freshness.merge(first, second.values()) == expected


class Instance:
    """One instance of a simulated fleet.

    :param skew: its wall clock's difference from the true time, in seconds.
    """

    def __init__(self, place: str, skew: float) -> None:
        self.place = place
        self.skew = skew
        self.offset = -1
        self.log_view = freshness.LogView()

    def read(self, started: float, now: float, tail: int) -> None:
        """Read the log's tail, and fold up to it."""
        self.offset = max(self.offset, tail)
        contact = freshness.LogContact(self.place, started + self.skew, tail)
        self._observe([contact], now, False)

    def fail(self, now: float) -> None:
        contact = freshness.LogContact(self.place, failed_at=now + self.skew)
        self._observe([contact], now, False)

    def hear(self, peer: "Instance", now: float) -> None:
        self._observe(list(peer.log_view.contacts.values()), now, True)

    def _observe(
        self,
        updates: list[freshness.LogContact],
        now: float,
        is_from_peer: bool,
    ) -> None:
        moment = freshness.ClockReading(now + self.skew, now)
        self.log_view = freshness.update_proof(
            freshness.observe(self.log_view, updates, moment, is_from_peer),
            self.offset,
        )

    def assess_freshness(self, now: float) -> freshness.Freshness:
        return freshness.assess_freshness(
            self.log_view, PLACES, self.offset, now
        )


EVENTS = strategies.lists(
    strategies.tuples(
        strategies.sampled_from(["append", "read", "fail", "hear", "wait"]),
        strategies.integers(0, 3),
        strategies.integers(0, 3),
        strategies.sampled_from([0.0, 0.3, 1.0, 2.0]),
    ),
    max_size=60,
)
SKEWS = strategies.lists(
    strategies.sampled_from([-SKEW / 2, 0.0, SKEW / 2]),
    min_size=4,
    max_size=4,
)


@SEEDED
@hypothesis.given(EVENTS, SKEWS)
def test_a_fresh_instance_missed_no_change_older_than_the_bound(
    events: list[tuple[str, int, int, float]], skews: list[float]
) -> None:
    """The oracle knows at which true time each record was appended."""
    places = (*PLACES, PLACES[0])
    fleet = [Instance(p, s) for p, s in zip(places, skews, strict=True)]
    appended_at: list[float] = []
    now = START
    for kind, one, other, pause in events:
        started, now = now, now + pause
        if kind == "append":
            appended_at.append(now)
        elif kind == "read":
            fleet[one].read(started, now, len(appended_at) - 1)
        elif kind == "fail":
            fleet[one].fail(now)
        elif kind == "hear" and one != other:
            fleet[one].hear(fleet[other], now)
        for instance in fleet:
            if instance.assess_freshness(now) is freshness.Freshness.FRESH:
                missed = appended_at[instance.offset + 1 :]
                assert all(at > now - BOUND_SECONDS for at in missed)


def test_log_down_needs_every_data_centre_and_a_peer() -> None:
    for failing in itertools.chain.from_iterable(
        itertools.combinations(PLACES, n) for n in range(4)
    ):
        fleet = [Instance(place, 0.0) for place in PLACES]
        for instance in fleet:
            instance.read(START, START, 3)
        later = START + 10.0
        for instance in fleet:
            if instance.place in failing:
                instance.fail(later)
        alone = fleet[0].assess_freshness(later)
        assert alone is freshness.Freshness.CUT_OFF
        for instance in fleet:
            fleet[0].hear(instance, later)
        expected = (
            freshness.Freshness.LOG_DOWN
            if len(failing) == len(PLACES)
            else freshness.Freshness.CUT_OFF
        )
        assert fleet[0].assess_freshness(later) is expected


def test_one_data_centre_alone_is_cut_off_not_log_down() -> None:
    alone = Instance("rennes", 0.0)
    alone.read(START, START, 3)
    alone.fail(START + 10.0)
    verdict = freshness.assess_freshness(
        alone.log_view, ["rennes"], 3, START + 10.0
    )
    assert verdict is freshness.Freshness.CUT_OFF


def test_known_newer_record_prevents_log_down() -> None:
    fleet = [Instance(place, 0.0) for place in PLACES]
    fleet[0].read(START, START, 3)
    fleet[1].read(START, START, 4)
    for instance in fleet:
        instance.fail(START + 10.0)
    for instance in fleet:
        fleet[0].hear(instance, START + 10.0)
    assert (
        fleet[0].assess_freshness(START + 10.0) is freshness.Freshness.CUT_OFF
    )
    fleet[0].offset = 4
    assert (
        fleet[0].assess_freshness(START + 10.0) is freshness.Freshness.LOG_DOWN
    )


def test_a_lagging_replica_proves_nothing() -> None:
    behind = Instance("rennes", 0.0)
    ahead = Instance("brest", 0.0)
    ahead.read(START, START, 7)
    behind.hear(ahead, START)
    behind.read(START, START, 5)
    assert behind.assess_freshness(START) is freshness.Freshness.CUT_OFF


def test_wall_clock_set_back_does_not_renew_freshness() -> None:
    peer = Instance("brest", 0.0)
    peer.read(START, START, 3)
    behind = Instance("rennes", 0.0)
    behind.offset = 3
    behind.hear(peer, START)
    assert behind.assess_freshness(START) is freshness.Freshness.FRESH
    later = START + 60.0
    behind.skew = -60.0
    behind.hear(peer, later)
    assert behind.assess_freshness(later) is freshness.Freshness.CUT_OFF


def test_times_from_the_future_are_dropped() -> None:
    contact = freshness.LogContact("brest", START + 10.0, 3, START + 10.0)
    log_view = freshness.observe(
        freshness.LogView(),
        [contact],
        freshness.ClockReading(START, START),
        True,
    )
    log_view = freshness.update_proof(log_view, 3)
    assert log_view.known_tail == 3
    assert log_view.proven_at == -math.inf
