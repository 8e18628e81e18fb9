"""Entries of other writers among those of the endpoints do no harm."""

import orjson
import pytest

from tests.router import support
from wagtailstream_adapter import records

CODEC = records.PlatformRecords()
ENTRY: dict[str, object] = {
    "service": "plain",
    "address": "127.0.0.1:9",
    "zone": "zone-1",
    "version": "v1",
    "slots": 8,
    "state": "ready",
    "coldRemainingMs": 0,
    "sequence": 1,
    "born": 1,
}
DEEP = b"[" * 900 + b"]" * 900
DEEPER = b"[" * 100_000 + b"]" * 100_000


def replace(field: str, value: bytes) -> bytes:
    """Return an entry with the JSON text of one field replaced."""
    marked = orjson.dumps(ENTRY | {field: "HERE"})
    return marked.replace(b'"HERE"', value, 1)


ODD_VALUES = [
    replace("address", b'"127.0.0.1:65536"'),
    replace("address", b'"127.0.0.1:99999999999999999999"'),
    replace("address", b'"127.0.0.1:0"'),
    replace("address", '"127.0.0.1:\u0663\u0663"'.encode()),
    replace("address", '"\u0661.0.0.1:80"'.encode()),
    replace("born", b"1e30"),
    replace("born", b"-1e30"),
    replace("born", b"18446744073709551615"),
    replace("born", b"123456789012345678901234567890"),
    replace("born", b"1e400"),
    replace("born", b"true"),
    replace("born", DEEP),
    replace("slots", b"1e30"),
    replace("slots", b"-1"),
    replace("models", DEEP),
    replace("models", DEEPER),
    replace("zone", DEEPER),
    DEEPER,
]


@pytest.mark.parametrize("value", ODD_VALUES, ids=range(len(ODD_VALUES)))
def test_an_odd_entry_names_no_endpoint(value: bytes) -> None:
    assert CODEC.decode_endpoint("i-1", value) is None


@pytest.mark.parametrize(
    "value",
    [
        replace("coldRemainingMs", b"1e308"),
        replace("coldRemainingMs", DEEP),
        replace("sequence", b"18446744073709551615"),
        replace("sequence", b"1e30"),
        replace("born", b"1764900000000.0"),
    ],
)
def test_an_entry_that_is_odd_where_it_does_not_matter_is_used(
    value: bytes,
) -> None:
    entry = CODEC.decode_endpoint("i-1", value)
    assert entry is not None
    assert entry.address == "127.0.0.1:9"


async def test_odd_entries_neither_end_a_router_nor_stop_its_reading(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    for number, value in enumerate(ODD_VALUES):
        fleet.platform.endpoints.put(f"odd-{number}", value)
    await fleet.start()
    for number in range(20):
        reply = await fleet.call(
            "POST", support.UNSAFE_PATH, b"x", identity=f"before-{number}"
        )
        assert reply.status == 200
    for number, value in enumerate(ODD_VALUES):
        fleet.platform.endpoints.put(f"later-{number}", value)
    await fleet.add_endpoint("plain-2", "plain")
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 2)
    for endpoint in fleet.endpoints:
        fleet.platform.put_endpoint(endpoint, "plain", state="draining")
    await fleet.add_endpoint("plain-3", "plain")
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 3)
    for number in range(20):
        reply = await fleet.call(
            "POST", support.UNSAFE_PATH, b"x", identity=f"after-{number}"
        )
        assert reply.status == 200
    report = fleet.router._state_exchange.make_report(1, ())
    assert {start.bit_length() < 64 for _, start in report.leaving} <= {True}
