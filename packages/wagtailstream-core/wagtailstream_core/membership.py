"""Chooses which endpoints an entry keeps links to.

A full mesh of heartbeats costs more than the budget for control at fleet
size. Each entry keeps a bounded subset: of every pool, the endpoints that
rank first for it by rendezvous hashing. A change of the members moves few
links, and no two instances have to agree on anything.
"""

import collections
import collections.abc
import dataclasses
import math

import xxhash

# Power of two choices needs two endpoints of each pool.
MIN_LINKS_PER_POOL = 2


@dataclasses.dataclass(frozen=True, order=True)
class Pool:
    """Endpoints that can stand in for one another.

    :param serves: the service, or the models, that they serve.
    """

    data_centre: str
    serves: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Member:
    """An endpoint's agent, as far as the choice depends on it.

    :param address: the agent's IP number and port.
    :param is_avoided: whether it can't take work: it is taken only where
        its pool has no other left.
    """

    address: str
    pool: Pool
    is_avoided: bool = False


def choose_links(
    entry: str, members: collections.abc.Iterable[Member], max_links: int
) -> frozenset[str]:
    """Return the addresses that an entry keeps links to.

    At most the bound, unless the smallest share of every pool is more.

    :param entry: the entry's name.
    :param members: all endpoints known.
    :param max_links: how many links the entry may keep.
    """
    pools: dict[Pool, list[Member]] = collections.defaultdict(list)
    for member in members:
        pools[member.pool].append(member)
    sizes = {pool: len(found) for pool, found in pools.items()}
    if sum(sizes.values()) <= max_links:
        return frozenset(m.address for p in pools.values() for m in p)
    shares = share_links(entry, sizes, max_links)
    return frozenset(
        member.address
        for pool, found in pools.items()
        for member in rank_members(entry, found)[: shares[pool]]
    )


def rank_members(
    entry: str, members: collections.abc.Iterable[Member]
) -> list[Member]:
    """Return members in the order in which an entry prefers them.

    :param entry: the entry's name.
    :param members: the members of one pool.
    """
    return sorted(
        members,
        key=lambda m: (
            m.is_avoided,
            draw_rank(entry, m.address),
        ),
    )


def draw_rank(entry: str, name: str) -> float:
    """Return a number from 0 to 1 that depends on the two names alone.

    :param entry: the entry's name.
    :param name: what is ranked.
    """
    digest = xxhash.xxh3_64_intdigest(f"{entry}\0{name}".encode())
    return (digest + 0.5) / 2.0**64


def share_links(
    entry: str,
    sizes: collections.abc.Mapping[Pool, int],
    max_links: int,
) -> dict[Pool, int]:
    """Return how many links go to each pool, by size, with a least share.

    What rounding leaves over goes to pools drawn for this entry by their
    remainders, so that over all entries each pool gets its exact share.

    :param entry: the entry's name.
    :param sizes: the number of members of each pool.
    :param max_links: how many links there are to share.
    """
    shares = {p: min(n, MIN_LINKS_PER_POOL) for p, n in sizes.items()}
    left = max_links - sum(shares.values())
    wanting = {p: n - shares[p] for p, n in sizes.items() if n > shares[p]}
    total = sum(wanting.values())
    if left <= 0 or total <= 0:
        return shares
    exact = {p: min(1.0, left / total) * n for p, n in wanting.items()}
    for pool, part in exact.items():
        shares[pool] += int(part)
    rest = left - sum(int(part) for part in exact.values())
    remainders = {p: part - int(part) for p, part in exact.items()}
    drawn = sorted(
        (p for p, remainder in remainders.items() if remainder > 0),
        key=lambda p: -math.log(draw_rank(entry, str(p))) / remainders[p],
    )
    for pool in drawn[: max(0, rest)]:
        shares[pool] += 1
    return shares
