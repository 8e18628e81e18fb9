"""The gossip message of an instance, and its encoding in a datagram."""

import dataclasses
import math
import typing
import zlib

import orjson

from wagtailstream_router import (
    lag,
    part_board,
    rollout_state,
    store,
    suspects,
)
from wagtailstream_router.engines import engine_speed
from wagtailstream_router.instance import strain as instance_strain
from wagtailstream_router.zones import cold_start

# The first field of a message. Raise it with each change of the fields:
# messages of instances of another release are ignored, not misread.
MESSAGE_FORMAT = 10
# zlib's fastest level. Messages are compressed at all because bytes between
# zones cost money.
COMPRESSION_LEVEL = 1
# Upper bound of an uncompressed message; longer ones are rejected. A row for
# each of a thousand endpoints is shorter.
MAX_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """One instance's load at one endpoint.

    :param in_flight: the number of requests in flight.
    :param pending_ms: the estimated time to prefill their queued prompts.
    :param lag_report: the instance's lag samples of the endpoint.
    :param tokens: what its requests hold of a model server's memory, without
        the shared parts that a peer sent there first.
    """

    in_flight: int
    pending_ms: float
    lag_report: lag.LagReport = lag.LagReport()
    tokens: int = 0


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutReport:
    """One instance's status of a roll-out and its evidence.

    :param evidence: counts of the instance's own answers, by version.
    :param age_seconds: the time since the order came; None if no instance
        that this one heard from saw it come.
    :param inherited: the evidence of starts that may have ended.
    :param handover_in_seconds: the time until the handover to the new version
        begins, negative since then; None while none is decided.
    :param rejected: the versions of the service that were found bad.
    """

    status: rollout_state.Status
    evidence: rollout_state.EvidenceByVersion
    age_seconds: float | None = None
    inherited: dict[rollout_state.Start, rollout_state.EvidenceByVersion] = (
        dataclasses.field(default_factory=dict)
    )
    handover_in_seconds: float | None = None
    rejected: frozenset[str] = frozenset()


@dataclasses.dataclass(frozen=True, slots=True)
class CopyReport:
    """How current an instance's copy of a topic is.

    :param end: where its copy ends.
    :param changed_end: the offset in the same era after the last record that
        other instances have to read; heartbeats of endpoints don't count.
    :param age_seconds: the time since the copy was known to be complete.
    """

    topic: str
    end: store.Position
    changed_end: int
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class LimitReport:
    """The limit that an instance received from an endpoint.

    :param per_second: the rate for all instances; None if there is none now.
    :param age_seconds: the time since the answer that advertised it.
    """

    per_second: float | None
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerReport:
    """One instance's state, as sent to its peers.

    :param name: the instance's name.
    :param boot: its start time in Unix ms by its own clock; a restart under
        the same name has a larger one.
    :param sequence: increases with each message since the start.
    :param zone: the instance's zone.
    :param address: where it receives messages.
    :param is_draining: whether it is shutting down.
    :param loads: its load by endpoint.
    :param rollouts: its roll-outs.
    :param peers: addresses of instances that it receives messages from.
    :param warm: pairs of an endpoint's id and the hash of a prompt part that
        it sent there since the last message.
    :param copies: its copies of the store's topics.
    :param crashes: the crashes of endpoints, by the digest of the request.
    :param parts: the prompt parts that it suspects or knows to be sound.
    :param limits: the limits that it received, by endpoint.
    :param leaving: the id and the Unix time in ms of the start of each
        endpoint that reported leaving to it.
    :param uses: the engine time in ms that its customers took lately.
    :param waiting: the engine time in ms that waits in it for room, by
        priority, less what is beyond the customers' shares.
    :param offered: the engine time in ms a second that its own requests
        offer, by service.
    :param speeds: its samples of the speed of model servers, by endpoint.
    :param cold: what it found itself of cold endpoints, by their id.
    :param strain: how far behind it is.
    """

    name: str
    boot: int
    sequence: int
    zone: str
    address: str
    is_draining: bool
    loads: dict[str, EndpointLoad]
    rollouts: tuple[RolloutReport, ...]
    peers: tuple[str, ...]
    warm: tuple[tuple[str, int], ...]
    copies: tuple[CopyReport, ...]
    crashes: suspects.Report[int] = suspects.Report()
    parts: part_board.PartsReport = part_board.PartsReport()
    limits: dict[str, LimitReport] = dataclasses.field(default_factory=dict)
    leaving: tuple[tuple[str, int], ...] = ()
    uses: dict[str, int] = dataclasses.field(default_factory=dict)
    waiting: dict[int, int] = dataclasses.field(default_factory=dict)
    offered: dict[str, int] = dataclasses.field(default_factory=dict)
    speeds: dict[str, engine_speed.SpeedReport] = dataclasses.field(
        default_factory=dict
    )
    cold: dict[str, cold_start.ColdReport] = dataclasses.field(
        default_factory=dict
    )
    strain: instance_strain.StrainReport = instance_strain.StrainReport()


def encode(report: PeerReport) -> bytes:
    """Return a message as a zlib-compressed JSON array."""
    rows = orjson.dumps(
        [
            MESSAGE_FORMAT,
            report.name,
            report.boot,
            report.sequence,
            report.zone,
            report.address,
            report.is_draining,
            {
                identity: [
                    load.in_flight,
                    round(load.pending_ms),
                    round(load.lag_report.mean_ms),
                    load.lag_report.weight,
                    load.tokens,
                ]
                for identity, load in report.loads.items()
            },
            [_encode_rollout(rollout) for rollout in report.rollouts],
            report.peers,
            report.warm,
            [
                [
                    copy.topic,
                    copy.end.era,
                    copy.end.offset,
                    copy.changed_end,
                    round(copy.age_seconds, 3),
                ]
                for copy in report.copies
            ],
            [
                [digest, _round_ages(ages)]
                for digest, ages in report.crashes.crash_ages.items()
            ],
            [
                [digest, round(age, 3)]
                for digest, age in report.crashes.answer_ages.items()
            ],
            [
                [
                    suspicion.part,
                    suspicion.sent,
                    _round_ages(suspicion.crash_ages),
                ]
                for suspicion in report.parts.suspicions
            ],
            _round_ages(report.parts.sound),
            {
                identity: [limit.per_second, round(limit.age_seconds, 3)]
                for identity, limit in report.limits.items()
            },
            report.leaving,
            report.uses,
            list(report.waiting.items()),
            report.offered,
            {
                identity: [round(speed.mean_log, 3), round(speed.weight, 2)]
                for identity, speed in report.speeds.items()
            },
            {
                identity: [
                    _floor_to_ms(cold.remaining_seconds),
                    _floor_to_ms(cold.lost_seconds),
                ]
                for identity, cold in report.cold.items()
            },
            [report.strain.value, report.strain.asked_seconds],
        ]
    )
    return zlib.compress(rows, COMPRESSION_LEVEL)


def _round_ages(ages: dict[str, float]) -> dict[str, float]:
    return {name: round(age, 3) for name, age in ages.items()}


def _decode_ages(ages: dict[typing.Any, typing.Any]) -> dict[str, float]:
    return {str(name): float(age) for name, age in ages.items()}


def _decompress(data: bytes) -> bytes:
    """Return the decompressed JSON of a message.

    :raises ValueError: the bytes are not zlib data, incomplete or too long.
    """
    decompressor = zlib.decompressobj()
    try:
        rows = decompressor.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"not a peer message: {error!r}") from error
    if not decompressor.eof:
        raise ValueError(
            "not a peer message: truncated, or longer than"
            f" {MAX_BYTES} bytes after decompression"
        )
    return rows


def _floor_to_ms(seconds: float | None) -> float | None:
    """Return a time without the part below a millisecond.

    Rounding up would let two instances that take the earlier of their times
    move it back with each message.
    """
    return None if seconds is None else math.floor(seconds * 1000.0) / 1000.0


def _encode_rollout(report: RolloutReport) -> list[object]:
    status = report.status
    return [
        status.service,
        status.target,
        status.stage.value,
        status.order.era,
        status.order.offset,
        _floor_to_ms(report.age_seconds),
        _encode_evidence(report.evidence),
        [
            [start.name, start.boot, _encode_evidence(evidence)]
            for start, evidence in report.inherited.items()
        ],
        report.handover_in_seconds,
        sorted(report.rejected),
    ]


def _encode_evidence(
    evidence: rollout_state.EvidenceByVersion,
) -> dict[str, list[int]]:
    return {
        version: [
            counts.good,
            counts.bad,
            counts.slow,
            counts.requests,
            counts.repeats,
        ]
        for version, counts in evidence.items()
    }


def decode(data: bytes) -> PeerReport:
    """Return the message that a datagram holds.

    :raises ValueError: the bytes are not a message.
    """
    try:
        (
            message_format,
            name,
            boot,
            sequence,
            zone,
            address,
            is_draining,
            loads,
            rollouts,
            peers,
            warm,
            copies,
            crashes,
            answers,
            suspicions,
            sound,
            limits,
            leaving,
            uses,
            waiting,
            offered,
            speeds,
            cold,
            strain,
        ) = orjson.loads(_decompress(data))
        if message_format != MESSAGE_FORMAT:
            raise ValueError(f"message of format {message_format!r}")
        return PeerReport(
            str(name),
            int(boot),
            int(sequence),
            str(zone),
            str(address),
            bool(is_draining),
            {
                str(identity): EndpointLoad(
                    int(count),
                    float(pending),
                    lag.LagReport(float(mean_ms), float(weight)),
                    max(0, int(tokens)),
                )
                for identity, (
                    count,
                    pending,
                    mean_ms,
                    weight,
                    tokens,
                ) in loads.items()
            },
            tuple(map(_decode_rollout, rollouts)),
            tuple(map(str, peers)),
            tuple(
                (str(endpoint_id), int(part_hash))
                for endpoint_id, part_hash in warm
            ),
            tuple(
                CopyReport(
                    str(topic),
                    store.Position(int(era), int(end)),
                    int(changed),
                    float(age),
                )
                for topic, era, end, changed, age in copies
            ),
            suspects.Report(
                {int(digest): _decode_ages(ages) for digest, ages in crashes},
                {int(digest): float(age) for digest, age in answers},
            ),
            part_board.PartsReport(
                tuple(
                    part_board.Suspicion(
                        str(part),
                        int(sent),
                        _decode_ages(ages),
                    )
                    for part, sent, ages in suspicions
                ),
                _decode_ages(sound),
            ),
            {
                str(identity): _decode_limit(per_second, age)
                for identity, (per_second, age) in limits.items()
            },
            tuple((str(identity), int(born)) for identity, born in leaving),
            {str(name): max(0, int(use)) for name, use in uses.items()},
            {int(priority): max(0, int(work)) for priority, work in waiting},
            {
                str(service): max(0, int(offered_ms))
                for service, offered_ms in offered.items()
            },
            {
                str(identity): _decode_speed(mean_log, weight)
                for identity, (mean_log, weight) in speeds.items()
            },
            {
                str(identity): _decode_cold(remaining, lost)
                for identity, (remaining, lost) in cold.items()
            },
            strain=_decode_strain(*strain),
        )
    except (TypeError, AttributeError, KeyError) as error:
        raise ValueError(f"not a peer message: {error!r}") from error


def _decode_cold(
    remaining: typing.Any, lost: typing.Any
) -> cold_start.ColdReport:
    """Return what a peer found of a cold endpoint.

    :raises ValueError: a time is no number, or negative.
    """
    remaining_seconds = float(remaining)
    lost_seconds = None if lost is None else float(lost)
    if not remaining_seconds >= 0.0 or not (lost_seconds or 0.0) >= 0.0:
        raise ValueError(f"cold for {remaining!r} s, lost for {lost!r} s")
    return cold_start.ColdReport(remaining_seconds, lost_seconds)


def _decode_strain(
    value: typing.Any, asked_seconds: typing.Any
) -> instance_strain.StrainReport:
    """Return how far behind an instance is.

    :raises ValueError: a value is no number, or negative.
    """
    strain = float(value)
    asked = None if asked_seconds is None else float(asked_seconds)
    if strain < 0.0 or (asked is not None and asked < 0.0):
        raise ValueError(f"strain of {strain}, asked {asked} s ago")
    return instance_strain.StrainReport(strain, asked)


def _decode_limit(per_second: typing.Any, age: typing.Any) -> LimitReport:
    """Return a limit.

    :raises ValueError: the rate or the age is no number, or negative.
    """
    rate = None if per_second is None else float(per_second)
    age_seconds = float(age)
    if age_seconds < 0.0 or (rate is not None and rate < 0.0):
        raise ValueError(f"limit of {rate} a second, {age_seconds} s old")
    return LimitReport(rate, age_seconds)


def _decode_speed(
    mean_log: typing.Any, weight: typing.Any
) -> engine_speed.SpeedReport:
    """Return samples of an endpoint's speed.

    :raises ValueError: they are no numbers, or not within their bounds.
    """
    report = engine_speed.SpeedReport(float(mean_log), float(weight))
    most = math.log(engine_speed.MAX_ENGINE_FACTOR) + 0.001
    if not (abs(report.mean_log) <= most and 0.0 <= report.weight < 1e6):
        raise ValueError(f"speed {report}")
    return report


def _decode_rollout(row: list[typing.Any]) -> RolloutReport:
    (
        service,
        target,
        stage,
        era,
        offset,
        age_seconds,
        evidence,
        inherited,
        handover_in_seconds,
        rejected,
    ) = row
    status = rollout_state.Status(
        str(service),
        str(target),
        rollout_state.Stage(stage),
        store.Position(int(era), int(offset)),
    )
    return RolloutReport(
        status,
        _decode_evidence(evidence),
        None if age_seconds is None else float(age_seconds),
        {
            rollout_state.Start(str(name), int(boot)): _decode_evidence(counts)
            for name, boot, counts in inherited
        },
        None if handover_in_seconds is None else float(handover_in_seconds),
        frozenset(map(str, rejected)),
    )


def _decode_evidence(row: object) -> rollout_state.EvidenceByVersion:
    if not isinstance(row, dict):
        raise TypeError("evidence on a roll-out is not an object")
    return {
        str(version): rollout_state.Evidence(
            int(good), int(bad), int(slow), int(requests), int(repeats)
        )
        for version, (good, bad, slow, requests, repeats) in row.items()
    }
