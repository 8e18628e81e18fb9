"""Instances discover each other through seeds and bounded messages."""

import asyncio
import dataclasses
import math
import socket

import pytest

from tests.router import test_peers
from wagtailstream_router import event_log, gossip, peer_report, rotation

INSTANCE_COUNT = 14


def pick_addresses(count: int) -> list[str]:
    """Return loopback addresses with ports that the system picks."""
    probes = []
    for _ in range(count):
        probe = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        probe.bind(("127.0.0.1", 0))
        probes.append(probe)
    addresses = [f"127.0.0.1:{bound.getsockname()[1]}" for bound in probes]
    for probe in probes:
        probe.close()
    return addresses


def make_gossip(
    address: str, seeds: list[str], sent_peers: list[tuple[str, ...]]
) -> gossip.Gossip:
    """Return an instance that records the addresses of peers that it sends."""

    def make_report(
        sequence: int, peers: tuple[str, ...]
    ) -> peer_report.PeerReport:
        sent_peers.append(peers)
        return dataclasses.replace(
            test_peers.REPORT,
            name=address,
            address=address,
            sequence=sequence,
            peers=peers,
        )

    return gossip.Gossip(
        address,
        "zone-1",
        seeds,
        make_report,
        lambda report: None,
        event_log.MemoryEventLog(),
    )


async def test_instances_discover_each_other_through_one_seed() -> None:
    addresses = pick_addresses(INSTANCE_COUNT)
    sent_peers: list[tuple[str, ...]] = []
    instances = [
        make_gossip(address, addresses[:1], sent_peers)
        for address in addresses
    ]
    tasks = [asyncio.ensure_future(instance.run()) for instance in instances]
    try:
        async with asyncio.timeout(60.0):
            while any(
                instance.process_count < INSTANCE_COUNT
                for instance in instances
            ):
                await asyncio.sleep(0.02)
        # Only addresses from which a message arrived are passed on.
        assert max(map(len, sent_peers)) <= gossip.MAX_NAMED_PEERS
        assert {peer for peers in sent_peers for peer in peers} <= set(
            addresses
        )
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


async def test_an_instance_that_starts_is_told_the_state_at_once(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(gossip, "INTERVAL_SECONDS", 1000.0)
    addresses = pick_addresses(2)
    tasks = []
    try:
        async with asyncio.timeout(10.0):
            for address in addresses:
                instance = make_gossip(address, addresses[:1], [])
                tasks.append(asyncio.ensure_future(instance.run()))
                await asyncio.sleep(0.1)
            while not instance.alive:
                await asyncio.sleep(0.01)
    finally:
        for task in tasks:
            task.cancel()
        await asyncio.gather(*tasks, return_exceptions=True)


def test_bounded_rounds_reach_all_addresses_in_turn() -> None:
    addresses = {f"10.0.0.{number}:1" for number in range(30)}
    reached: set[str] = set()
    for turn in range(math.ceil(30 / gossip.SAME_ZONE_TARGETS)):
        chosen = rotation.round_robin(
            addresses, gossip.SAME_ZONE_TARGETS, turn
        )
        assert len(chosen) == gossip.SAME_ZONE_TARGETS
        reached |= set(chosen)
    assert reached == addresses


def test_the_silence_limit_grows_with_the_number_of_peers() -> None:
    few = gossip._silence_limit_seconds(5, gossip.SAME_ZONE_TARGETS)
    many = gossip._silence_limit_seconds(400, gossip.SAME_ZONE_TARGETS)
    assert few == gossip.SILENCE_SECONDS
    assert many > 400 / gossip.SAME_ZONE_TARGETS * gossip.INTERVAL_SECONDS
