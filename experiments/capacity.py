"""Measures how memory and CPU time grow with the size of the control state.

Run as ``python -m experiments.capacity``. Each kind of state is built with N,
2N and 4N units (customers, claims and so on). Memory is what tracemalloc
counts for the state, without the interpreter's own. CPU time is the lowest of
several runs.
"""

import abc
import collections.abc
import dataclasses
import gc
import time
import tracemalloc

import click
import uuid_utils

from wagtailstream_core import (
    billing,
    bundle,
    configuration,
    freshness,
    heartbeat_codec,
    ledger,
    records,
    signing,
    wire_pb2,
)
from wagtailstream_entry.filters import authenticate

REPEATS = 3
FACTORS = (1, 2, 4)
KEYS = signing.Keyring({}, {"fleet": b"0" * 32})
SIGNER = signing.FleetSigner("fleet", b"0" * 32)
# Calls per timing, where the work doesn't depend on the number of units.
CALLS = 200
MICROSECONDS_PER_SECOND = 1e6
WINDOW_SECONDS = 3600.0


class StateKind(abc.ABC):
    """A kind of state that grows with a number of units.

    The attribute ``base_count`` is the smallest number of units measured (N).
    """

    name: str
    unit: str
    base_count: int

    @abc.abstractmethod
    def build(self, count: int) -> object:
        """Return state with the given number of units.

        :param count: the number of units.
        """

    def exercise(self, state: object, count: int) -> int:
        """Exercise the state and return the number of calls made.

        :param state: what :meth:`build` returned.
        :param count: the number of units in it.
        """
        return 0


class CustomerState(StateKind):
    """A bundle with customers; measures finding one by its API key."""

    name = "bundle"
    unit = "customer"
    base_count = 250

    def build(self, count: int) -> bundle.Bundle:
        """Return a bundle with the given number of customers.

        :param count: the number of customers.
        """
        return bundle.parse(_make_bundle(count), "capacity")

    def exercise(self, state: object, count: int) -> int:
        """Authenticate the last customer many times.

        :param state: the bundle.
        :param count: the number of customers.
        """
        assert isinstance(state, bundle.Bundle)
        header = f"Bearer key-{count - 1}"
        for _ in range(CALLS):
            authenticate.find_customer(header, state)
        return CALLS


class ClaimState(StateKind):
    """A ledger with claims of idempotency keys; measures folding another."""

    name = "ledger"
    unit = "claim"
    base_count = 5000

    def build(self, count: int) -> ledger.Ledger:
        """Return a ledger with the given number of claims.

        :param count: the number of claims.
        """
        built = ledger.Ledger(WINDOW_SECONDS)
        for _ in range(count):
            built.fold(_make_claim(), time.time())
        return built

    def exercise(self, state: object, count: int) -> int:
        """Decode and fold more claims, each in a batch of its own.

        :param state: the ledger.
        :param count: the number of claims.
        """
        assert isinstance(state, ledger.Ledger)
        payloads = [ledger.encode_batch([_make_claim()]) for _ in range(CALLS)]
        for payload in payloads:
            for entry in ledger.decode_batch(payload):
                state.fold(entry, time.time())
        return CALLS


class BillState(StateKind):
    """Bills that wait for the log; measures encoding them in one batch."""

    name = "outbox"
    unit = "bill"
    base_count = 1000

    def build(self, count: int) -> list[billing.Bill]:
        """Return the given number of bills.

        :param count: the number of bills.
        """
        return [_make_bill() for _ in range(count)]

    def exercise(self, state: object, count: int) -> int:
        """Encode all bills as one batch.

        :param state: the bills.
        :param count: the number of bills.
        """
        assert isinstance(state, list)
        billing.encode_batch(state)
        return count


class RecordState(StateKind):
    """Quarantine records of the configuration log; measures folding them."""

    name = "configuration"
    unit = "record"
    base_count = 250

    def build(self, count: int) -> list[configuration.LogRecord]:
        """Return the given number of signed records.

        :param count: the number of records.
        """
        return [
            configuration.LogRecord(offset, _make_record(offset), time.time())
            for offset in range(count)
        ]

    def exercise(self, state: object, count: int) -> int:
        """Fold all records into an empty configuration.

        :param state: the records.
        :param count: the number of records.
        """
        assert isinstance(state, list)
        folded = configuration.Configuration()
        for record in state:
            folded = configuration.fold(folded, record, KEYS).configuration
        return count


class HeartbeatState(StateKind):
    """Heartbeats; measures encoding and decoding them."""

    name = "heartbeat"
    unit = "heartbeat"
    base_count = 500

    def build(self, count: int) -> list[bytes]:
        """Return the given number of encoded heartbeats.

        :param count: the number of heartbeats.
        """
        return [make_heartbeat(n).SerializeToString() for n in range(count)]

    def exercise(self, state: object, count: int) -> int:
        """Encode and decode one heartbeat for each unit.

        :param state: the heartbeats.
        :param count: the number of heartbeats.
        """
        assert isinstance(state, list)
        for number, raw in enumerate(state):
            make_heartbeat(number).SerializeToString()
            message = wire_pb2.Heartbeat.FromString(raw)
            heartbeat_codec.decode_contacts(message.contacts)
        return count


STATE_KINDS: tuple[StateKind, ...] = (
    CustomerState(),
    ClaimState(),
    BillState(),
    RecordState(),
    HeartbeatState(),
)


def make_heartbeat(sequence: int) -> wire_pb2.Heartbeat:
    """Return an agent's heartbeat of realistic size.

    :param sequence: the sequence number of the heartbeat.
    """
    contacts = [
        freshness.LogContact(data_centre, 1.7e9 + sequence, sequence, 0.0)
        for data_centre in ("rennes", "brest", "houston-1", "galveston")
    ]
    return wire_pb2.Heartbeat(
        instance=f"agent-drafting-{sequence}",
        endpoint=f"drafting-{sequence}",
        data_centre="rennes",
        sequence=sequence,
        configuration_offset=sequence,
        running=8,
        slots=16,
        loaded=[
            wire_pb2.ModelVersion(model="drafter", version=version)
            for version in ("1", "2")
        ],
        contacts=heartbeat_codec.encode_contacts(contacts),
    )


def _make_bundle(customers: int) -> dict[str, object]:
    return {
        "name": "capacity",
        "data_centres": ["rennes"],
        "models": [{"name": "drafter", "versions": ["1"], "stable": "1"}],
        "customers": [
            {
                "name": f"customer-{number}",
                "key_hashes": [bundle.hash_key(f"key-{number}")],
                "allow": [{"model": "drafter"}],
            }
            for number in range(customers)
        ],
    }


def _make_claim() -> ledger.Claim:
    return ledger.Claim(
        customer="gulfmark-brokers",
        service="broker",
        idempotency_key=str(uuid_utils.uuid7()),
        claim_id=uuid_utils.uuid4().hex,
        claimant="127.0.0.1:9100",
        request_id=uuid_utils.uuid4().hex,
        key_time=time.time(),
    )


def _make_bill() -> billing.Bill:
    cost = billing.AttemptCost(
        attempt=0,
        endpoint="drafting-1",
        model="drafter",
        version="1",
        prompt_tokens=400,
        answer_tokens=200,
    )
    return billing.Bill(
        customer="atelier-conquet",
        request_id=uuid_utils.uuid7().hex,
        attempts=(cost,),
    )


def _make_record(offset: int) -> bytes:
    record = records.Quarantine(
        base=0, digest=f"{offset:064x}", until=time.time() + WINDOW_SECONDS
    )
    # Copied, because the encoder's buffer is larger than its content.
    return bytes(bytearray(records.seal(record, SIGNER)))


@dataclasses.dataclass(frozen=True)
class Measurement:
    """The measurements at one number of units.

    :param count: the number of units.
    :param size: the memory of the whole state, in bytes.
    :param seconds: CPU time per call.
    """

    count: int
    size: int
    seconds: float


def measure(kind: StateKind, count: int) -> Measurement:
    """Return memory and CPU time at a number of units.

    :param kind: the kind of state.
    :param count: the number of units.
    """
    gc.collect()
    tracemalloc.start()
    state = kind.build(count)
    gc.collect()
    size = tracemalloc.get_traced_memory()[0]
    tracemalloc.stop()
    best = min(_time_call(kind, state, count) for _ in range(REPEATS))
    return Measurement(count, size, best)


def _time_call(kind: StateKind, state: object, count: int) -> float:
    started_at = time.process_time()
    calls = kind.exercise(state, count)
    return (time.process_time() - started_at) / max(1, calls)


def find_bytes_per_unit(
    measurements: collections.abc.Sequence[Measurement],
) -> float:
    """Return the memory per additional unit, in bytes.

    :param measurements: at least two measurements, with rising counts.
    """
    first, last = measurements[0], measurements[-1]
    return (last.size - first.size) / (last.count - first.count)


@click.command()
def main() -> None:
    """Print memory per unit, CPU time per call and sizes of messages."""
    click.echo(
        f"{'what':14} {'unit':10} {'bytes/unit':>10}  us/call at N,2N,4N"
    )
    for kind in STATE_KINDS:
        measurements = [measure(kind, kind.base_count * f) for f in FACTORS]
        times = "  ".join(
            f"{p.seconds * MICROSECONDS_PER_SECOND:8.1f}" for p in measurements
        )
        counts = "/".join(str(p.count) for p in measurements)
        click.echo(
            f"{kind.name:14} {kind.unit:10} "
            f"{find_bytes_per_unit(measurements):10.0f}  {times}  (N={counts})"
        )
    for name, size in (
        ("heartbeat", len(make_heartbeat(1000).SerializeToString())),
        ("claim", len(ledger.encode_batch([_make_claim()]))),
        ("bill", len(billing.encode_batch([_make_bill()]))),
        ("record", len(_make_record(1))),
    ):
        click.echo(f"{name:14} {'message':10} {size:10d}")


if __name__ == "__main__":
    main()
