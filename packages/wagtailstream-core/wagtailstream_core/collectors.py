"""Chooses the instances that batch many others' appends into few.

The log takes only several hundred appends a second. At fleet size the bills
and claims of all instances pass through a few collectors, each of which joins
what it got within a short window into one record. Everybody chooses from the
same list by rendezvous hashing, so a change of the list moves few senders.
Lists may differ for a while: any collector takes any sender's records, and
the folds drop what two holders appended.
"""

import collections.abc
import dataclasses

import xxhash

from wagtailstream_core import billing, errors, ledger

STEP = "collect"


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names in the order of preference of a key.

    :param key: what is being placed.
    :param names: the candidates.
    """
    return sorted(names, key=lambda name: (_weigh(key, name), name))


def choose_collectors(
    names: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Return the instances that collect.

    :param names: all live instances that may.
    :param count: how many are wanted.
    """
    return rank("collectors", names)[:count]


def is_collected(stream: str) -> bool:
    """Return whether a stream's records may be joined by a collector.

    :param stream: the stream's name.
    """
    return stream == billing.STREAM or stream.startswith(ledger.STREAM_PREFIX)


def join_payloads(
    stream: str, payloads: collections.abc.Sequence[bytes]
) -> bytes:
    """Return one record that holds what several records hold, in order.

    :param stream: the stream that they are meant for.
    :param payloads: the records.
    :raises errors.WagtailstreamError: one of them is malformed.
    """
    if len(payloads) == 1:
        return payloads[0]
    if stream == billing.STREAM:
        bills = [b for p in payloads for b in billing.decode_batch(p)]
        return billing.encode_batch(bills)
    entries = [e for p in payloads for e in ledger.decode_batch(p)]
    return ledger.encode_batch(entries)


def check_payload(stream: str, payload: bytes) -> None:
    """Check a record before it is joined with others.

    :param stream: the stream that it is meant for.
    :param payload: the record.
    :raises errors.WagtailstreamError: it is malformed, or the stream is not
        collected.
    """
    if not is_collected(stream):
        raise errors.WagtailstreamError(STEP, stream, "is not collected")
    if stream == billing.STREAM:
        billing.decode_batch(payload)
    else:
        ledger.decode_batch(payload)


@dataclasses.dataclass(frozen=True)
class Suspect:
    """A collector that failed; it is passed over until a deadline.

    :param until: monotonic seconds.
    """

    name: str
    until: float


def choose_for_sender(
    sender: str,
    chosen: collections.abc.Iterable[str],
    suspects: collections.abc.Iterable[Suspect],
    now: float,
) -> str | None:
    """Return the collector to which a sender hands its records.

    :param sender: the sender's name.
    :param chosen: the collectors.
    :param suspects: those that failed lately.
    :param now: monotonic seconds.
    """
    passed_over = {s.name for s in suspects if s.until > now}
    usable = [name for name in chosen if name not in passed_over]
    ranked = rank(sender, usable)
    return ranked[0] if ranked else None
