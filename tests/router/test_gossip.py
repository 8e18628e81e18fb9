"""Instances find each other through few seeds, and tell few addresses."""

import asyncio
import dataclasses
import math
import socket

from tests.router import test_peers
from wagtailstream_router import event_log, gossip, peer_news

COUNT = 14


def pick_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that the system picks."""
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
    addresses = [f"127.0.0.1:{one.getsockname()[1]}" for one in probes]
    for probe in probes:
        probe.close()
    return addresses


def make_gossip(
    address: str, seeds: list[str], told: list[tuple[str, ...]]
) -> gossip.Gossip:
    """Return an instance that notes which addresses it tells."""

    def make_news(sequence: int, peers: tuple[str, ...]) -> peer_news.PeerNews:
        told.append(peers)
        return dataclasses.replace(
            test_peers.NEWS,
            name=address,
            address=address,
            sequence=sequence,
            peers=peers,
        )

    return gossip.Gossip(
        address,
        "zone-1",
        seeds,
        make_news,
        lambda news: None,
        event_log.MemoryEventLog(),
    )


async def test_all_hear_of_all_through_one_seed() -> None:
    addresses = pick_addresses(COUNT)
    told: list[tuple[str, ...]] = []
    instances = [make_gossip(one, addresses[:1], told) for one in addresses]
    tasks = [asyncio.ensure_future(one.run()) for one in instances]
    try:
        async with asyncio.timeout(60.0):
            while any(one.process_count < COUNT for one in instances):
                await asyncio.sleep(0.02)
        # An address that nobody was heard at is never told.
        assert max(map(len, told)) <= gossip.MAX_TOLD_PEERS
        assert {one for peers in told for one in peers} <= set(addresses)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def test_turns_reach_all_and_no_more_than_some_at_once() -> None:
    addresses = {f"10.0.0.{number}:1" for number in range(30)}
    reached: set[str] = set()
    for turn in range(math.ceil(30 / gossip.NEAR_TARGETS)):
        taken = gossip._take_turn(addresses, gossip.NEAR_TARGETS, turn)
        assert len(taken) == gossip.NEAR_TARGETS
        reached |= set(taken)
    assert reached == addresses


def test_peers_that_are_heard_in_rare_turns_are_not_silent() -> None:
    few = gossip._silence_seconds(5, gossip.NEAR_TARGETS)
    many = gossip._silence_seconds(400, gossip.NEAR_TARGETS)
    assert few == gossip.SILENCE_SECONDS
    assert many > 400 / gossip.NEAR_TARGETS * gossip.INTERVAL_SECONDS
