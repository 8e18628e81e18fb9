"""Token buckets, and the split of customers' limits among entries."""

import random

import hypothesis
import pytest
from hypothesis import strategies as st

from wagtailstream_core import demand, limits


def test_bucket_refills_at_its_rate():
    bucket = limits.TokenBucket(2.0, 4.0, 1.0, 0.0)
    assert bucket.try_take(0.0)
    assert not bucket.try_take(0.4)
    assert bucket.find_wait(0.4) == pytest.approx(0.1)
    assert bucket.try_take(0.5)


def test_a_smaller_share_takes_tokens_away():
    bucket = limits.TokenBucket(50.0, 50.0, 50.0, 0.0)
    limits.adjust_bucket(bucket, 50.0, 50.0, 0.1, 0.0)
    assert (bucket.rate, bucket.capacity, bucket.tokens) == (5.0, 5.0, 5.0)


def test_meter_follows_demand_and_forgets_it():
    meter = limits.DemandMeter()
    for number in range(500):
        meter.count_request(number * 0.02)
    assert meter.read(10.0) == pytest.approx(50.0, rel=0.1)
    assert meter.read(20.0) < 0.1


def test_share_follows_demand_not_the_number_of_entries():
    # An even split among the three entries would give 1/3.
    share = limits.find_share(limits.Demand(45.0, 5.0, 3))
    assert share > 0.85


def test_limit_is_split_evenly_without_known_demand():
    assert limits.find_share(limits.Demand(45.0, None, 4)) == 0.25
    assert limits.find_share(limits.Demand(0.0, 0.0, 4)) == 0.25


@hypothesis.given(
    st.lists(st.floats(0.01, 1e4), min_size=1, max_size=40), st.data()
)
def test_shares_add_up_to_the_limit(rates: list[float], data: st.DataObject):
    total = sum(rates)
    shares = [
        limits.find_share(limits.Demand(rate, total - rate, len(rates)))
        for rate in rates
    ]
    assert sum(shares) == pytest.approx(1.0)


def test_split_keeps_to_the_limit_and_uses_it():
    """The split uses the whole limit, but not more.

    Traffic is unequal, and the other entries' demand is known with a delay of
    up to one second. An even split would use only half of the limit.
    """
    rng = random.Random(5)
    meters = [limits.DemandMeter() for _ in range(3)]
    buckets = [limits.TokenBucket(1.0, 1.0, 1.0, 0.0) for _ in range(3)]
    reported = [0.0, 0.0, 0.0]
    admitted, now, reported_at = 0, 0.0, 0.0
    while now < 60.0:
        now += rng.expovariate(100.0)
        if now - reported_at > 1.0:
            reported = [meter.read(now) for meter in meters]
            reported_at = now
        entry = rng.choices(range(3), (0.9, 0.07, 0.03))[0]
        meters[entry].count_request(now)
        share = limits.find_share(
            limits.Demand(
                meters[entry].read(now), sum(reported) - reported[entry], 3
            )
        )
        limits.adjust_bucket(buckets[entry], 50.0, 50.0, share, now)
        admitted += buckets[entry].try_take(now)
    assert 0.95 < admitted / (50.0 * 60.0) < 1.05


def test_board_sums_all_entries_but_one_while_fresh():
    board = demand.DemandBoard(5.0)
    board.put("a", [demand.CustomerDemand("x", 3.0)], 0.0)
    board.put("b", [demand.CustomerDemand("x", 4.0)], 2.0)
    board.put("c", [demand.CustomerDemand("y", 1.0)], 2.0)
    assert board.sum_others("c", 3.0) == [demand.CustomerDemand("x", 7.0)]
    assert board.sum_others("a", 3.0) == [
        demand.CustomerDemand("x", 4.0),
        demand.CustomerDemand("y", 1.0),
    ]
    # The report of entry "a" has expired and no longer counts.
    assert board.sum_others("c", 6.0) == [demand.CustomerDemand("x", 4.0)]
