"""Room and uses that peers report, late or not at all."""

import dataclasses

import pytest

from tests.router import support, test_peers
from wagtailstream_router import gossip, lag, peer_report
from wagtailstream_router.admission import fit


def test_tokens_uses_and_waiting_work_survive_a_message() -> None:
    report = dataclasses.replace(
        test_peers.REPORT,
        loads={
            "engine-1": peer_report.EndpointLoad(
                3, 120.0, lag.LagReport(), 51_060
            )
        },
        uses={"tenant-1": 1_200, "": 7},
        waiting={0: 900, 2: 50},
    )
    assert peer_report.decode(peer_report.encode(report)) == report


def test_a_message_of_another_format_is_not_misread() -> None:
    data = peer_report.encode(test_peers.REPORT)
    assert peer_report.MESSAGE_FORMAT == 10
    rows = peer_report._decompress(data)
    old = rows.replace(b"[10,", b"[9,", 1)
    with pytest.raises(ValueError, match="format 9"):
        peer_report.decode(peer_report.zlib.compress(old))


async def test_what_a_peer_holds_counts_until_it_falls_silent(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("engine-1", "engine")
    await fleet.start()
    router = fleet.router
    exchange = router._state_exchange
    member = router._members.members["engine-1"]
    place = router._admission.rooms.find(member)
    report = dataclasses.replace(
        test_peers.REPORT,
        loads={
            "engine-1": peer_report.EndpointLoad(
                1, 0.0, lag.LagReport(), 17_000
            )
        },
        uses={"tenant-1": 900},
    )
    router._gossip.datagram_received(peer_report.encode(report), None)
    assert place.peer_tokens == 17_000
    assert router._admission.engine_shares.rank("tenant-1") == pytest.approx(
        900.0, rel=0.01
    )
    router._gossip._peers.clear()
    exchange.handle_report(None)
    assert place.peer_tokens == 0
    assert router._admission.engine_shares.rank("tenant-1") == 0.0


async def test_a_restarted_endpoint_holds_nothing_of_before(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("engine-1", "engine")
    await fleet.start()
    router = fleet.router
    before = router._members.members["engine-1"]
    router._admission.rooms.find(before).peer_tokens = 90_000
    fleet.platform.put_endpoint(endpoint, "engine", born=2)
    await fleet.wait_for(
        lambda: router._members.members["engine-1"] is not before
    )
    after = router._members.members["engine-1"]
    assert router._admission.rooms.find(after).tokens == 0


def make_loads(tokens: int) -> dict[str, peer_report.EndpointLoad]:
    return {
        "engine-1": peer_report.EndpointLoad(2, 300.0, lag.LagReport(), tokens)
    }


async def test_a_killed_peer_does_not_keep_room_until_it_counts_as_dead(
    fleet: support.Fleet,
) -> None:
    """Load: half of the instances are killed with full engines."""
    await fleet.add_endpoint("engine-1", "engine")
    await fleet.start()
    router = fleet.router
    member = router._members.members["engine-1"]
    rooms = router._admission.rooms
    place = rooms.find(member)
    alive = [(number / 4.0, make_loads(100)) for number in range(4)]
    for age, kept in ((1.0, 400), (3.0, 200), (4.0, 0)):
        dead = [(age, make_loads(100)) for _ in range(4)]
        rooms.set_peer_loads([member], [*alive, *dead], 0.4)
        assert place.peer_tokens == 400 + kept
        assert place.peer_requests == (400 + kept) / 50
        assert place.peer_queue_ms == 3.0 * (400 + kept)
    assert place.interval_seconds == 0.4


def test_turns_of_peers_are_longer_in_a_large_fleet() -> None:
    assert gossip.turn_seconds(1, True) == gossip.INTERVAL_SECONDS
    assert gossip.turn_seconds(32, True) == pytest.approx(0.8)
    assert gossip.turn_seconds(64, False) == pytest.approx(3.2)


async def test_work_that_waits_elsewhere_leaves_this_instance_its_part(
    fleet: support.Fleet,
) -> None:
    """Load: a peer has three times as much urgent work waiting."""
    await fleet.add_endpoint("engine-1", "engine")
    await fleet.start()
    gate = fleet.router._admission
    gate.set_peer_waiting([(0.5, {0: 200, 1: 100, 5: 9_000}), (9.0, {0: 900})])
    assert gate._fit.peer_waiting == {0: 200, 1: 100, 5: 9_000}
    assert fit.sum_urgent(gate._fit.peer_waiting, 1) == 300
    assert gate.sum_waiting() == {}
