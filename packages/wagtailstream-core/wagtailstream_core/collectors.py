"""Selection of the collectors, which batch other instances' log appends.

The log accepts only several hundred appends per second. In a large fleet the
bills and claims of all instances therefore go through a few collectors. Each
collector joins the payloads that it receives within a short window into one
record. All instances choose the collectors from the same list of live
instances by rendezvous hashing, so that a change of the list moves few
senders. Instances may temporarily see different lists. That is harmless,
because a collector accepts payloads from any sender, and the folds ignore
entries that were appended twice.
"""

import collections.abc
import dataclasses

import xxhash

from wagtailstream_core import billing, errors, ledger

STEP = "collect"


def _weigh(key: str, name: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}\0{name}".encode())


def rank(key: str, names: collections.abc.Iterable[str]) -> list[str]:
    """Return names ordered by a key's preference (rendezvous hashing).

    :param key: the key to place on one of the names.
    :param names: the candidates.
    """
    return sorted(names, key=lambda name: (_weigh(key, name), name))


def choose_collectors(
    names: collections.abc.Iterable[str], count: int
) -> list[str]:
    """Return the instances that act as collectors.

    :param names: all live instances that can be collectors.
    :param count: the number of collectors.
    """
    return rank("collectors", names)[:count]


def is_collected(stream: str) -> bool:
    """Return whether payloads for a stream go through collectors.

    :param stream: the stream's name.
    """
    return stream == billing.STREAM or stream.startswith(ledger.STREAM_PREFIX)


def join_payloads(
    stream: str, payloads: collections.abc.Sequence[bytes]
) -> bytes:
    """Return one payload with the entries of several payloads, in order.

    :param stream: the stream that the payloads are for.
    :param payloads: the payloads; at least one.
    :raises errors.WagtailstreamError: a payload is malformed.
    """
    if len(payloads) == 1:
        return payloads[0]
    if stream == billing.STREAM:
        bills = [b for p in payloads for b in billing.decode_batch(p)]
        return billing.encode_batch(bills)
    entries = [e for p in payloads for e in ledger.decode_batch(p)]
    return ledger.encode_batch(entries)


def check_payload(stream: str, payload: bytes) -> None:
    """Check a payload before it is joined with others.

    :param stream: the stream that the payload is for.
    :param payload: the payload.
    :raises errors.WagtailstreamError: the payload is malformed, or payloads
        for the stream don't go through collectors.
    """
    if not is_collected(stream):
        raise errors.WagtailstreamError(
            STEP, stream, "collectors take bills and claims only"
        )
    if stream == billing.STREAM:
        billing.decode_batch(payload)
    else:
        ledger.decode_batch(payload)


@dataclasses.dataclass(frozen=True)
class FailedCollector:
    """A collector that failed recently and is not used for a while.

    :param until: monotonic seconds from which it may be used again.
    """

    name: str
    until: float


def choose_for_sender(
    sender: str,
    chosen: collections.abc.Iterable[str],
    failed: collections.abc.Iterable[FailedCollector],
    now: float,
) -> str | None:
    """Return the collector to which a sender sends its payloads, or None.

    :param sender: the sender's name.
    :param chosen: the collectors.
    :param failed: the collectors that failed recently.
    :param now: monotonic seconds.
    """
    excluded = {f.name for f in failed if f.until > now}
    usable = [name for name in chosen if name not in excluded]
    ranked = rank(sender, usable)
    return ranked[0] if ranked else None
