"""The choice of an endpoint."""

import collections
import dataclasses
import random

import hypothesis
from hypothesis import strategies as st

from wagtailstream_core import routing

SLOTS = 8


def make_candidate(name: str, reported: int = 0, **further: object):
    made = routing.Candidate(name, reported, 0, 0, SLOTS)
    return dataclasses.replace(made, **further)


def send_many(candidates: list[routing.Candidate], count: int):
    """Send requests without a new report; return the counts by endpoint."""
    rng = random.Random(1)
    for number in range(count):
        chosen = routing.choose_endpoint(candidates, number, rng)
        candidates = [
            dataclasses.replace(c, in_flight=c.in_flight + 1)
            if c.endpoint == chosen
            else c
            for c in candidates
        ]
    return {c.endpoint: c.in_flight for c in candidates}


def test_a_burst_spreads_before_the_next_report():
    # By the report alone, "a" would win every time it is drawn.
    candidates = [make_candidate("a", 0)]
    candidates += [make_candidate(name, 4) for name in "bcd"]
    assert send_many(candidates, 32)["a"] <= 13


def test_own_finished_requests_are_not_counted():
    ended = make_candidate("a", 8, in_flight_at_report=8)
    assert routing.estimate_load(ended) == 0
    others = make_candidate("b", 8, in_flight_at_report=2, in_flight=1)
    assert routing.estimate_load(others) == 7


def test_a_warm_prefix_wins_until_load_outweighs_it():
    rng = random.Random(2)
    idle = [make_candidate(name) for name in "abcd"]
    preferred = routing.find_preferred_endpoint(7, "abcd")
    chosen = {routing.choose_endpoint(idle, 7, rng) for _ in range(50)}
    assert chosen == {preferred}
    loaded = [
        dataclasses.replace(c, reported=6) if c.endpoint == preferred else c
        for c in idle
    ]
    chosen = {routing.choose_endpoint(loaded, 7, rng) for _ in range(50)}
    assert preferred not in chosen


def test_the_preferred_endpoint_of_a_prefix_moves_only_with_it():
    preferred_endpoints = {
        prefix: routing.find_preferred_endpoint(prefix, "abcd")
        for prefix in range(99)
    }
    for prefix, preferred in preferred_endpoints.items():
        if preferred != "d":
            assert routing.find_preferred_endpoint(prefix, "abc") == preferred


def test_suspect_endpoints_get_work_only_if_all_are():
    rng = random.Random(3)
    mixed = [make_candidate("a", is_suspect=True), make_candidate("b", 16)]
    chosen = {routing.choose_endpoint(mixed, n, rng) for n in range(50)}
    assert chosen == {"b"}
    suspect = [make_candidate(name, is_suspect=True) for name in "ab"]
    chosen = {routing.choose_endpoint(suspect, n, rng) for n in range(50)}
    assert chosen == {"a", "b"}


def test_near_endpoints_are_preferred_between_equals():
    rng = random.Random(4)
    pair = [make_candidate("far", is_near=False), make_candidate("near")]
    counts = collections.Counter(
        routing.choose_endpoint(pair, prefix, rng) for prefix in range(200)
    )
    # The bonus for a warm prefix outweighs the distance, so requests whose
    # prefix prefers "far" still go there.
    assert counts["near"] > 80
    copies = [make_candidate(c.endpoint, is_near=c.is_near) for c in pair]
    weights = routing.Weights(affinity=0.0)
    assert routing.choose_endpoint(copies, 1, rng, weights) == "near"


candidate_lists = st.lists(
    st.builds(
        routing.Candidate,
        st.text("abcdef", min_size=1, max_size=3),
        st.integers(0, 99),
        st.integers(0, 99),
        st.integers(0, 99),
        st.integers(0, 16),
        st.booleans(),
        st.booleans(),
        st.booleans(),
    ),
    unique_by=lambda c: c.endpoint,
    max_size=8,
)


@hypothesis.given(candidate_lists, st.integers(0, 2**64 - 1), st.integers())
def test_never_chooses_a_draining_endpoint(
    candidates: list[routing.Candidate], prefix: int, seed: int
):
    chosen = routing.choose_endpoint(candidates, prefix, random.Random(seed))
    again = routing.choose_endpoint(candidates, prefix, random.Random(seed))
    usable = {c.endpoint for c in candidates if not c.is_draining}
    assert chosen == again
    assert chosen in usable if usable else chosen is None
