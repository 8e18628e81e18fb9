"""The choice of links: bounds, balance, and stability under changes."""

import collections
import hashlib

import hypothesis
from hypothesis import strategies

from wagtailstream_core import membership

SETTINGS = hypothesis.settings(derandomize=True, max_examples=100)
ENTRIES = 390
AGENTS = 750
MAX_LINKS = 128
POOLS = [
    membership.Pool(f"dc-{data_centre}", (f"model-{model}",))
    for data_centre in range(4)
    for model in range(11)
]
FLEETS = strategies.lists(
    strategies.tuples(strategies.integers(0, 5), strategies.booleans()),
    max_size=60,
)


def make_fleet(
    places: list[tuple[int, bool]],
) -> list[membership.Member]:
    """Return the members of a fleet.

    :param places: the index of its pool, and ``is_avoided``, of each member.
    """
    return [
        membership.Member(f"10.0.0.{n}:1", POOLS[pool], is_avoided)
        for n, (pool, is_avoided) in enumerate(places)
    ]


def make_large_fleet() -> list[membership.Member]:
    return [
        membership.Member(f"10.1.{n // 250}.{n % 250}:7000", POOLS[n % 44])
        for n in range(AGENTS)
    ]


@SETTINGS
@hypothesis.given(FLEETS, strategies.integers(0, 70))
def test_choice_is_bounded_and_covers_each_pool(
    places: list[tuple[int, bool]], max_links: int
) -> None:
    members = make_fleet(places)
    chosen = membership.choose_links("entry-1", members, max_links)
    sizes = collections.Counter(m.pool for m in members)
    least = sum(min(n, membership.MIN_LINKS_PER_POOL) for n in sizes.values())
    assert len(chosen) == min(len(members), max(max_links, least))
    for pool, size in sizes.items():
        kept = [m for m in members if m.pool == pool and m.address in chosen]
        assert len(kept) >= min(size, membership.MIN_LINKS_PER_POOL)
        left_out = [
            m for m in members if m.pool == pool and m.address not in chosen
        ]
        if any(not m.is_avoided for m in left_out):
            assert not any(m.is_avoided for m in kept)


@SETTINGS
@hypothesis.given(FLEETS, strategies.integers(0, 70))
def test_choice_does_not_depend_on_order(
    places: list[tuple[int, bool]], max_links: int
) -> None:
    members = make_fleet(places)
    turned = sorted(
        members, key=lambda m: hashlib.sha256(m.address.encode()).digest()
    )
    assert membership.choose_links(
        "entry-1", members, max_links
    ) == membership.choose_links("entry-1", turned, max_links)


@SETTINGS
@hypothesis.given(FLEETS, strategies.data())
def test_lost_member_moves_few_links(
    places: list[tuple[int, bool]], data: strategies.DataObject
) -> None:
    members = make_fleet(places)
    if not members:
        return
    lost = data.draw(strategies.sampled_from(members))
    rest = [m for m in members if m is not lost]
    before = membership.choose_links("entry-1", members, 20)
    after = membership.choose_links("entry-1", rest, 20)
    # One link replaces the lost one, and rounding may move a link between
    # any two pools.
    assert len(after - before) <= 1 + len({m.pool for m in members})


def test_large_fleet_is_covered_and_balanced() -> None:
    members = make_large_fleet()
    links = collections.Counter(
        address
        for n in range(ENTRIES)
        for address in membership.choose_links(
            f"entry-{n}", members, MAX_LINKS
        )
    )
    mean = ENTRIES * MAX_LINKS / AGENTS
    assert len(links) == AGENTS
    assert min(links.values()) > mean / 2
    assert max(links.values()) < mean * 2


def test_small_fleet_gets_a_full_mesh() -> None:
    members = make_large_fleet()[:9]
    chosen = membership.choose_links("entry-1", members, MAX_LINKS)
    assert chosen == {m.address for m in members}
