"""The tree of a region, and the repair of lost records in it."""

import random

import hypothesis
from hypothesis import strategies

from wagtailstream_core import dissemination

NAMES = [f"n{index}" for index in range(30)]


def make_relays(seed: int = 1) -> dict[str, dissemination.Relay]:
    rng = random.Random(seed)
    return {
        position.name: dissemination.Relay(position, rng)
        for position in dissemination.place(NAMES, 3, 4)
    }


def test_tree_reaches_each_node_once() -> None:
    positions = dissemination.place(NAMES, 3, 4)
    children = [c for position in positions for c in position.children]
    assert sorted([*children, *NAMES[:3]]) == sorted(NAMES)
    assert max(len(position.children) for position in positions) <= 4


def test_second_request_waits_for_the_first() -> None:
    relay = make_relays()["n3"]
    first = relay.handle_request("n15", dissemination.RecordRequest((0,)), 0.0)
    assert [type(item.message) for item in first] == [
        dissemination.RecordRequest
    ]
    assert (
        relay.handle_request("n16", dissemination.RecordRequest((0,)), 0.1)
        == []
    )
    repaired = relay.handle_record(0, 0.2)
    assert {"n15", "n16"} <= {item.to for item in repaired}


def test_overdue_request_goes_to_another_replier() -> None:
    relay = make_relays()["n3"]
    first = relay.handle_digest("n0", dissemination.Digest(1), 0.0)
    later = relay.make_digests(dissemination.REQUEST_TIMEOUT_SECONDS + 0.1)
    requests = [
        s for s in later if isinstance(s.message, dissemination.RecordRequest)
    ]
    assert first[0].to == "n0"
    assert [item.to for item in requests] not in ([], ["n0"])


def deliver(
    relays: dict[str, dissemination.Relay],
    source: str,
    item: dissemination.Outgoing,
    now: float,
) -> list[dissemination.Outgoing]:
    relay = relays[item.to]
    match item.message:
        case dissemination.Push(offset=offset):
            return relay.handle_record(offset, now)
        case dissemination.Digest() as digest:
            return relay.handle_digest(source, digest, now)
        case dissemination.RecordRequest() as request:
            return relay.handle_request(source, request, now)


@hypothesis.settings(max_examples=25, deadline=None)
@hypothesis.given(
    strategies.integers(0, 2**32).map(random.Random),
    strategies.floats(0.0, 0.4),
)
def test_all_nodes_get_all_records_despite_lost_messages(
    rng: random.Random, loss: float
) -> None:
    relays = make_relays()
    records, now = 5, 0.0
    queue = [
        (name, item)
        for name in NAMES[:3]
        for offset in range(records)
        for item in relays[name].handle_record(offset, now)
    ]
    for _ in range(200):
        if all(r.next_offset == records for r in relays.values()):
            return
        while queue:
            source, item = queue.pop(rng.randrange(len(queue)))
            if rng.random() >= loss:
                sent = deliver(relays, source, item, now)
                queue += [(item.to, further) for further in sent]
        now += dissemination.REQUEST_TIMEOUT_SECONDS
        for name, relay in relays.items():
            queue += [(name, item) for item in relay.make_digests(now)]
    raise AssertionError("a node still lacks records after 200 rounds")
