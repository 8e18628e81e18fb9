"""Converts between the tallies of heartbeats and the data classes."""

import collections.abc

from wagtailstream_core import configuration, tallies, wire_pb2


def encode_tallies(
    counted: collections.abc.Iterable[tallies.Tally],
) -> list[wire_pb2.VersionTally]:
    """Return the counts per version for a heartbeat.

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
    """Return the counts per version of a heartbeat.

    :param messages: the heartbeat's tallies.
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
