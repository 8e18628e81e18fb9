"""Selection of the endpoints to which an entry keeps links.

In a large fleet, a full mesh of heartbeats would exceed the budget for
control traffic. So each entry keeps links to a bounded subset: in every pool,
the endpoints that rank first for it by rendezvous hashing. A change of the
members moves few links, and instances need not agree with each other.
"""

import collections
import collections.abc
import dataclasses
import math

import xxhash

# The "power of two choices" in routing needs two endpoints of each pool.
MIN_LINKS_PER_POOL = 2


@dataclasses.dataclass(frozen=True, order=True)
class Pool:
    """A group of interchangeable endpoints of a data centre.

    :param serves: the service, or the models, that they serve.
    """

    data_centre: str
    serves: tuple[str, ...]


@dataclasses.dataclass(frozen=True)
class Member:
    """An endpoint's agent as a candidate for a link.

    :param address: the agent's IP address and port.
    :param is_avoided: whether the endpoint can't take work. It is chosen only
        after all others of its pool.
    """

    address: str
    pool: Pool
    is_avoided: bool = False


def choose_links(
    entry: str, members: collections.abc.Iterable[Member], max_links: int
) -> frozenset[str]:
    """Return the addresses to which an entry keeps links.

    There are more than ``max_links`` only if MIN_LINKS_PER_POOL links to each
    pool already add up to more.

    :param entry: the entry's name.
    :param members: all known endpoints.
    :param max_links: the maximum number of links.
    """
    pools: dict[Pool, list[Member]] = collections.defaultdict(list)
    for member in members:
        pools[member.pool].append(member)
    sizes = {pool: len(in_pool) for pool, in_pool in pools.items()}
    if sum(sizes.values()) <= max_links:
        return frozenset(m.address for p in pools.values() for m in p)
    shares = allocate_links(entry, sizes, max_links)
    return frozenset(
        member.address
        for pool, in_pool in pools.items()
        for member in rank_members(entry, in_pool)[: shares[pool]]
    )


def rank_members(
    entry: str, members: collections.abc.Iterable[Member]
) -> list[Member]:
    """Return members in an entry's order of preference.

    :param entry: the entry's name.
    :param members: the members of one pool.
    """
    return sorted(
        members,
        key=lambda m: (
            m.is_avoided,
            hash_pair(entry, m.address),
        ),
    )


def hash_pair(entry: str, name: str) -> float:
    """Return a pseudo-random number between 0 and 1 for a pair of names.

    It depends on nothing else, so it is the same in every process.

    :param entry: the entry's name.
    :param name: the name to rank.
    """
    digest = xxhash.xxh3_64_intdigest(f"{entry}\0{name}".encode())
    return (digest + 0.5) / 2.0**64


def allocate_links(
    entry: str,
    sizes: collections.abc.Mapping[Pool, int],
    max_links: int,
) -> dict[Pool, int]:
    """Return the number of links to each pool.

    Each pool gets its minimum, and a share of the other links in proportion
    to its size. Links that are left over by rounding down go to pools drawn
    by a hash of the entry and the pool, with weights in proportion to their
    remainders. So each pool gets its exact share on average over all entries.

    :param entry: the entry's name.
    :param sizes: the number of members of each pool.
    :param max_links: the number of links to share out.
    """
    shares = {p: min(n, MIN_LINKS_PER_POOL) for p, n in sizes.items()}
    remaining = max_links - sum(shares.values())
    unfilled = {p: n - shares[p] for p, n in sizes.items() if n > shares[p]}
    total = sum(unfilled.values())
    if remaining <= 0 or total <= 0:
        return shares
    exact = {p: min(1.0, remaining / total) * n for p, n in unfilled.items()}
    for pool, part in exact.items():
        shares[pool] += int(part)
    leftover = remaining - sum(int(part) for part in exact.values())
    remainders = {p: part - int(part) for p, part in exact.items()}
    drawn = sorted(
        (p for p, remainder in remainders.items() if remainder > 0),
        key=lambda p: -math.log(hash_pair(entry, str(p))) / remainders[p],
    )
    for pool in drawn[: max(0, leftover)]:
        shares[pool] += 1
    return shares
