"""What instances tell each other, and its spelling in a datagram."""

import dataclasses
import zlib

import orjson

from wagtailstream_router import lag, rollout_state

# A message is packed fast rather than small: bytes between zones have a price.
PACK_LEVEL = 1
# Longer messages are none of ours: a row for each of a thousand endpoints is
# shorter.
MAX_BYTES = 256 * 1024


@dataclasses.dataclass(frozen=True, slots=True)
class EndpointLoad:
    """One instance's work at one endpoint.

    :param in_flight: requests under way.
    :param pending_ms: estimated work before first tokens.
    :param lateness: how late answers began of late.
    """

    in_flight: int
    pending_ms: float
    lateness: lag.LagNews = lag.LagNews()


@dataclasses.dataclass(frozen=True, slots=True)
class RolloutNews:
    """What one instance knows of a roll-out.

    :param evidence: its own answers by version.
    """

    status: rollout_state.Status
    evidence: dict[str, rollout_state.Evidence]


@dataclasses.dataclass(frozen=True, slots=True)
class CopyNews:
    """How current an instance's copy of a topic is.

    :param end: the offset up to which it knows the topic.
    :param changed_end: the offset after the last record that matters.
    :param age_seconds: since the copy was known to be whole.
    """

    topic: str
    end: int
    changed_end: int
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class CrashNews:
    """An endpoint crashed while it ran a request.

    :param digest: of the request.
    :param age_seconds: since the crash.
    """

    digest: int
    endpoint: str
    age_seconds: float


@dataclasses.dataclass(frozen=True, slots=True)
class PeerNews:
    """One instance's state.

    :param name: the instance's name.
    :param boot: its start, by its own clock; orders its lives.
    :param sequence: rises with each message of a life.
    :param zone: where it runs.
    :param address: where it takes messages.
    :param is_draining: whether it leaves.
    :param loads: its work by endpoint.
    :param rollouts: the roll-outs that it knows.
    :param peers: addresses of instances that it hears.
    :param warm: endpoints and marks of prompts that it sent there lately.
    :param copies: its copies of the store's topics.
    :param crashes: the crashes that it saw.
    """

    name: str
    boot: int
    sequence: int
    zone: str
    address: str
    is_draining: bool
    loads: dict[str, EndpointLoad]
    rollouts: tuple[RolloutNews, ...]
    peers: tuple[str, ...]
    warm: tuple[tuple[str, int], ...]
    copies: tuple[CopyNews, ...]
    crashes: tuple[CrashNews, ...] = ()


def encode(news: PeerNews) -> bytes:
    """Return a message's bytes."""
    rows = orjson.dumps(
        [
            news.name,
            news.boot,
            news.sequence,
            news.zone,
            news.address,
            news.is_draining,
            {
                identity: [
                    load.in_flight,
                    round(load.pending_ms),
                    round(load.lateness.mean_ms),
                    load.lateness.weight,
                ]
                for identity, load in news.loads.items()
            },
            [_encode_rollout(one) for one in news.rollouts],
            news.peers,
            news.warm,
            [
                [
                    one.topic,
                    one.end,
                    one.changed_end,
                    round(one.age_seconds, 3),
                ]
                for one in news.copies
            ],
            [
                [one.digest, one.endpoint, round(one.age_seconds, 3)]
                for one in news.crashes
            ],
        ]
    )
    return zlib.compress(rows, PACK_LEVEL)


def _unpack(data: bytes) -> bytes:
    """Return a message's rows.

    :raises ValueError: the bytes are none.
    """
    unpacker = zlib.decompressobj()
    try:
        rows = unpacker.decompress(data, MAX_BYTES)
    except zlib.error as error:
        raise ValueError(f"no message of a peer: {error!r}") from error
    if not unpacker.eof:
        raise ValueError("no message of a peer: cut or too long")
    return rows


def _encode_rollout(news: RolloutNews) -> list[object]:
    status = news.status
    return [
        status.service,
        status.target,
        status.stage.value,
        status.order_offset,
        status.started_ms,
        {
            version: [one.good, one.bad, one.slow]
            for version, one in news.evidence.items()
        },
    ]


def decode(data: bytes) -> PeerNews:
    """Return a message.

    :raises ValueError: the bytes are none.
    """
    try:
        (
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
        ) = orjson.loads(_unpack(data))
        return PeerNews(
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
                    lag.LagNews(float(mean_ms), float(weight)),
                )
                for identity, (
                    count,
                    pending,
                    mean_ms,
                    weight,
                ) in loads.items()
            },
            tuple(map(_decode_rollout, rollouts)),
            tuple(map(str, peers)),
            tuple((str(one), int(part_hash)) for one, part_hash in warm),
            tuple(
                CopyNews(str(topic), int(end), int(changed), float(age))
                for topic, end, changed, age in copies
            ),
            tuple(
                CrashNews(int(digest), str(endpoint), float(age))
                for digest, endpoint, age in crashes
            ),
        )
    except (TypeError, AttributeError, KeyError) as error:
        raise ValueError(f"no message of a peer: {error!r}") from error


def _decode_rollout(row: list[object]) -> RolloutNews:
    service, target, stage, offset, started_ms, evidence = row
    if not isinstance(evidence, dict):
        raise TypeError("evidence is no table")
    status = rollout_state.Status(
        str(service),
        str(target),
        rollout_state.Stage(stage),
        int(str(offset)),
        int(str(started_ms)),
    )
    return RolloutNews(
        status,
        {
            str(version): rollout_state.Evidence(
                int(good), int(bad), int(slow)
            )
            for version, (good, bad, slow) in evidence.items()
        },
    )
