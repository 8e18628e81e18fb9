"""Conversion between the fields of heartbeat messages and data classes."""

import collections.abc

from wagtailstream_core import (
    configuration,
    demand,
    freshness,
    strikes,
    tallies,
    wire_codec,
    wire_pb2,
)


def encode_contacts(
    contacts: collections.abc.Iterable[freshness.LogContact],
) -> list[wire_pb2.LogContact]:
    """Return log contacts in the form of a heartbeat.

    :param contacts: one for each data centre.
    """
    return [
        wire_pb2.LogContact(
            data_centre=contact.data_centre,
            reached_unix_ms=wire_codec.to_milliseconds(contact.reached_at),
            tail_offset=contact.tail_offset,
            failed_unix_ms=wire_codec.to_milliseconds(contact.failed_at),
        )
        for contact in contacts
    ]


def decode_contacts(
    contacts: collections.abc.Iterable[wire_pb2.LogContact],
) -> list[freshness.LogContact]:
    """Return the log contacts of a heartbeat.

    :param contacts: one for each data centre.
    """
    return [
        freshness.LogContact(
            contact.data_centre,
            wire_codec.to_seconds(contact.reached_unix_ms),
            contact.tail_offset,
            wire_codec.to_seconds(contact.failed_unix_ms),
        )
        for contact in contacts
    ]


def encode_demands(
    demands: collections.abc.Iterable[demand.CustomerDemand],
) -> list[wire_pb2.CustomerDemand]:
    """Return customers' demands in the form of a heartbeat.

    :param demands: one for each customer.
    """
    return [
        wire_pb2.CustomerDemand(
            customer=item.customer, requests_per_second=item.rate
        )
        for item in demands
    ]


def decode_demands(
    demands: collections.abc.Iterable[wire_pb2.CustomerDemand],
) -> list[demand.CustomerDemand]:
    """Return the customers' demands of a heartbeat.

    :param demands: one for each customer.
    """
    return [
        demand.CustomerDemand(item.customer, item.requests_per_second)
        for item in demands
    ]


def add_strikes(
    message: wire_pb2.Heartbeat,
    updates: collections.abc.Iterable[strikes.StrikeUpdate],
) -> None:
    """Add strikes, clearings and withdrawals to a heartbeat.

    :param message: the heartbeat, which is changed in place.
    :param updates: strikes, clearings and withdrawals.
    """
    for item in updates:
        match item:
            case strikes.Strike():
                message.strikes.append(_encode_strike(item))
            case strikes.Withdrawal():
                message.withdrawn_strikes.append(_encode_strike(item.strike))
            case strikes.Clearing():
                message.clearings.add(
                    digest=item.digest,
                    cleared_unix_ms=wire_codec.to_milliseconds(
                        item.cleared_at
                    ),
                )


def _encode_strike(strike: strikes.Strike) -> wire_pb2.Strike:
    return wire_pb2.Strike(
        digest=strike.digest,
        endpoint=strike.endpoint,
        struck_unix_ms=wire_codec.to_milliseconds(strike.struck_at),
    )


def _decode_strike(message: wire_pb2.Strike) -> strikes.Strike:
    return strikes.Strike(
        message.digest,
        message.endpoint,
        wire_codec.to_seconds(message.struck_unix_ms),
    )


def decode_strikes(message: wire_pb2.Heartbeat) -> list[strikes.StrikeUpdate]:
    """Return the strikes, clearings and withdrawals of a heartbeat.

    :param message: the heartbeat.
    """
    struck: list[strikes.StrikeUpdate] = list(
        map(_decode_strike, message.strikes)
    )
    cleared = [
        strikes.Clearing(c.digest, wire_codec.to_seconds(c.cleared_unix_ms))
        for c in message.clearings
    ]
    withdrawn = [
        strikes.Withdrawal(_decode_strike(s))
        for s in message.withdrawn_strikes
    ]
    return struck + cleared + withdrawn


def encode_tallies(
    counted: collections.abc.Iterable[tallies.Tally],
) -> list[wire_pb2.VersionTally]:
    """Return tallies in the form of a heartbeat.

    :param counted: the tallies.
    """
    return [
        wire_pb2.VersionTally(
            instance=tally.instance,
            model=tally.version.model,
            version=tally.version.version,
            good=tally.counts.good,
            bad=tally.counts.bad,
            squares=tally.counts.squares,
            epoch=tally.epoch,
        )
        for tally in counted
    ]


def decode_tallies(
    messages: collections.abc.Iterable[wire_pb2.VersionTally],
) -> list[tallies.Tally]:
    """Return the tallies of a heartbeat.

    :param messages: the tallies as the heartbeat holds them.
    """
    return [
        tallies.Tally(
            message.instance,
            configuration.ModelVersion(message.model, message.version),
            message.epoch,
            tallies.Counts(message.good, message.bad, message.squares),
        )
        for message in messages
    ]
