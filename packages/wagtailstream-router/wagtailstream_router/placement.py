"""Chooses the endpoint of one attempt."""

import collections.abc
import dataclasses
import random

import xxhash

from wagtailstream_router import (
    configuration,
    directory,
    engine_time,
    health,
    request,
    warm_prompts,
)

# How much longer the queue of an endpoint in another zone has to be spared to
# make up for the bytes between zones, as a factor on its score.
OTHER_ZONE_FACTOR = 1.5
# How much failures weigh in a plain endpoint's score.
FAILURE_FACTOR = 8.0
# An endpoint this many times slower than its fellows is slow.
SLOW_FACTOR = 2.5
# Spared for each place further down an endpoint's ranking for a prompt, so
# that equal queues send equal prompts to the same endpoint.
RANK_MS = 20.0
# Added for each request under way at a server: all its requests take turns, so
# that one more slows each token of the others (docs/measurements/platform.md,
# "Pauses").
LOAD_MS = 12.0
# Added for each token of a shared part that would be read again: the price of
# reading it, and of the memory that a second copy takes from others.
REREAD_MS_PER_TOKEN = 0.015
# The queue of an endpoint that is slower than its fellows counts this much at
# most.
MAX_SLOWNESS = 6.0


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """What a model server is expected to need for a request.

    :param first_ms: until the first token, with all that is before it.
    :param work_ms: for the request's prompt alone.
    :param known_ms: the part of `first_ms` that rests on known work.
    """

    member: directory.Member
    first_ms: float
    work_ms: float
    known_ms: float


def choose_plain(
    members: collections.abc.Sequence[directory.Member],
    zone: str,
    generator: random.Random,
) -> directory.Member | None:
    """Return the endpoint of a plain service that should answer soonest.

    :param members: those that may be asked.
    :param zone: this process's zone.
    """
    usable = _prefer_healthy(members)
    if not usable:
        return None
    return min(
        usable,
        key=lambda member: (
            _score_plain(member, zone),
            generator.random(),
        ),
    )


def choose_engine(
    members: collections.abc.Sequence[directory.Member],
    route: configuration.Route,
    model: str,
    call: request.Request,
    warm: warm_prompts.WarmPrompts,
) -> Estimate | None:
    """Return the model server that should give the first token soonest.

    Where queues are equal, prompts that share their beginning go to the same
    server, which the hash of the last shared part ranks first.

    :param members: those that may be asked.
    """
    usable = _prefer_healthy(members)
    if not usable:
        return None
    key = f"{model}|{call.shared_part or call.identity}"
    ranked = sorted(usable, key=lambda member: -_rendezvous_hash(member, key))
    speed = engine_time.estimate_speed(route, model)
    shared = call.prompt_tokens - call.own_tokens
    median_ms = _median_duration_ms(usable)
    best: Estimate | None = None
    best_score = float("inf")
    for place, member in enumerate(ranked):
        kept = warm.kept_tokens(member.identity, model, call)
        work_ms = engine_time.prefill_ms(speed, call.prompt_tokens, kept)
        work_ms *= _slowness(member, median_ms)
        first_ms = member.queue_ms + work_ms
        reread_tokens = max(0, shared - kept)
        score = (
            first_ms + RANK_MS * place + REREAD_MS_PER_TOKEN * reread_tokens
        )
        score += LOAD_MS * member.load
        if score < best_score:
            known_ms = member.known_queue_ms + work_ms
            best = Estimate(member, first_ms, work_ms, known_ms)
            best_score = score
    return best


def _median_duration_ms(
    members: collections.abc.Sequence[directory.Member],
) -> float:
    """Return the lower median of the durations; 0 before two are known."""
    durations = sorted(
        one.health.duration_ms for one in members if one.health.duration_ms
    )
    if len(durations) < 2:
        return 0.0
    return durations[(len(durations) - 1) // 2]


def _slowness(member: directory.Member, median_ms: float) -> float:
    if not median_ms or not member.health.duration_ms:
        return 1.0
    ratio = member.health.duration_ms / median_ms
    return min(MAX_SLOWNESS, max(1.0, ratio))


def _rendezvous_hash(member: directory.Member, key: str) -> int:
    return xxhash.xxh64_intdigest(f"{key}|{member.identity}".encode())


def _score_plain(member: directory.Member, zone: str) -> float:
    factor = 1.0 if member.entry.zone == zone else OTHER_ZONE_FACTOR
    factor *= 1.0 + FAILURE_FACTOR * member.health.bad_share**2
    duration = max(member.health.duration_ms, 1.0)
    return (member.load + 1) * duration * factor


def _prefer_healthy(
    members: collections.abc.Sequence[directory.Member],
) -> list[directory.Member]:
    """Leave out paused, failing and slow members where others remain."""
    unpaused = [one for one in members if not one.health.is_paused]
    healthy = [
        one for one in unpaused if one.health.bad_share < health.BAD_SHARE
    ]
    usable = healthy or unpaused or list(members)
    median_ms = _median_duration_ms(usable)
    if not median_ms:
        return usable
    bound = SLOW_FACTOR * median_ms
    return [one for one in usable if one.health.duration_ms <= bound]
