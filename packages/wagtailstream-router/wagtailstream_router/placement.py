"""Chooses the endpoint for an attempt."""

import collections.abc
import dataclasses
import random

from wagtailstream_router import (
    configuration,
    directory,
    engine_time,
    health,
    request,
    warm_prompts,
)
from wagtailstream_router.engines import candidates, engine_speed

# Multiplies the score (expected time) of plain endpoints in other zones, which
# are worth using only if they are that much faster: bytes between zones cost
# money.
OTHER_ZONE_FACTOR = 1.5
# Weight of the squared share of failures in a plain endpoint's score.
FAILURE_FACTOR = 8.0
# An endpoint is left out if its duration exceeds this multiple of the median
# of its service.
SLOW_FACTOR = 2.5
# Penalty per rank of a server for a prompt, so that with equal queues the same
# prompts go to the same endpoint.
RANK_MS = 20.0
# Penalty per request in flight at a server: a server batches its requests, so
# one more slows each token of the others (docs/measurements/platform.md,
# "Pauses").
LOAD_MS = 12.0
# Penalty per token of the shared prompt parts that the server has not cached:
# the cost of their prefill, and of the cache memory for a second copy.
UNCACHED_MS_PER_TOKEN = 0.015
# Upper bound of the factor by which a slow endpoint's estimated work grows.
MAX_SLOWNESS = 6.0

ListOpen = collections.abc.Callable[
    [collections.abc.Sequence[directory.Member]],
    collections.abc.Sequence[directory.Member],
]


@dataclasses.dataclass(frozen=True, slots=True)
class Estimate:
    """The estimated times of a request at a model server.

    :param first_ms: until the first token, with the queue and the lag.
    :param work_ms: to prefill the request's prompt.
    :param known_ms: `first_ms` without the server's observed lag: the work
        that instances have in flight there, and the prompt.
    :param prefill_ms: to prefill the prompt at a usual server of the service,
        without the time before any first token.
    :param is_idle: whether nothing is known to run there.
    :param is_cached: whether all shared parts are believed cached there.
    """

    member: directory.Member
    first_ms: float
    work_ms: float
    known_ms: float
    prefill_ms: float
    is_idle: bool
    is_cached: bool


def choose_plain(
    members: collections.abc.Sequence[directory.Member],
    zone: str,
    generator: random.Random,
) -> directory.Member | None:
    """Return the endpoint of a plain service that should answer soonest.

    :param members: the candidates; None is returned if there are none.
    :param zone: this process's zone.
    :param generator: breaks ties.
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
    picker: candidates.Candidates,
    speeds: engine_speed.EngineSpeeds,
    list_open: ListOpen = directory.list_available,
) -> Estimate | None:
    """Return the model server that should give the first token soonest.

    With equal queues, prompts with the same last shared part go to the same
    server: the next one on the ring of `picker`. Only the servers that it
    picks are weighed, unless none of them may be asked now.

    :param members: the ready servers; None is returned if none of them may be
        asked now.
    :param model: the model that is to be asked.
    :param warm: tracks which prompt parts each server has cached.
    :param speeds: the learnt times of the servers.
    :param list_open: returns the servers that may be asked now and have room.
    """
    cached = warm.find(model, call)
    key = f"{model}|{call.shared_part or call.identity}"
    ranked = picker.pick(members, key, cached.holders)
    usable = _list_usable([member for _, member in ranked], list_open)
    if usable is None and len(ranked) < len(members):
        ranks = {member: rank for rank, member in ranked}
        ranked = [
            (ranks.get(member, candidates.RING_CANDIDATES), member)
            for member in members
        ]
    if usable is None:
        usable = set(_prefer_healthy(list_open(members)))
    if not usable:
        return None
    speed = speeds.estimate(members[0].entry.service, route, model)
    shared = call.prompt_tokens - call.own_tokens
    median_ms = median_duration_ms(usable)
    best: Estimate | None = None
    best_score = float("inf")
    for rank, member in ranked:
        if member not in usable:
            continue
        cached_tokens = cached.cached_tokens(member.identity)
        usual_ms = engine_time.prefill_ms(
            speed, call.prompt_tokens, cached_tokens
        )
        work_ms = usual_ms * _time_factor(member, median_ms, speeds)
        known_queue_ms = member.known_queue_ms
        first_ms = known_queue_ms + member.lag_ms + work_ms
        uncached_tokens = max(0, shared - cached_tokens)
        score = (
            first_ms + RANK_MS * rank + UNCACHED_MS_PER_TOKEN * uncached_tokens
        )
        score += LOAD_MS * member.load
        if score < best_score:
            known_ms = known_queue_ms + work_ms
            best = Estimate(
                member,
                first_ms,
                work_ms,
                known_ms,
                usual_ms - speed.start_ms,
                member.load == 0,
                uncached_tokens == 0,
            )
            best_score = score
    return best


def _list_usable(
    picked: collections.abc.Sequence[directory.Member],
    list_open: ListOpen,
) -> set[directory.Member] | None:
    """Return the candidates that may be asked now and are healthy.

    :returns: None if there are none, or only such as are asked where there
        are no better ones: all servers have to be looked at then.
    """
    available = list_open(picked)
    if any(
        member.notices.is_reported_leaving or member.is_cold
        for member in available
    ):
        return None
    usable = _prefer_healthy(available)
    if not any(_is_sound(member) for member in usable):
        return None
    return set(usable)


def _is_sound(member: directory.Member) -> bool:
    return (
        not member.health.is_paused
        and member.health.bad_share < health.BAD_SHARE
    )


def median_duration_ms(
    members: collections.abc.Iterable[directory.Member],
) -> float:
    """Return the lower median duration; 0 if fewer than two are known."""
    durations = sorted(
        member.health.duration_ms
        for member in members
        if member.health.duration_ms
    )
    if len(durations) < 2:
        return 0.0
    return durations[(len(durations) - 1) // 2]


def _time_factor(
    member: directory.Member,
    median_ms: float,
    speeds: engine_speed.EngineSpeeds,
) -> float:
    """Return a server's time relative to that of a usual one."""
    slowness = _slowness(member, median_ms)
    factor = speeds.factor(member.identity)
    return factor if slowness == 1.0 else max(factor, slowness)


def _slowness(member: directory.Member, median_ms: float) -> float:
    if not median_ms or not member.health.duration_ms:
        return 1.0
    ratio = member.health.duration_ms / median_ms
    return min(MAX_SLOWNESS, max(1.0, ratio))


def _score_plain(member: directory.Member, zone: str) -> float:
    factor = 1.0 if member.entry.zone == zone else OTHER_ZONE_FACTOR
    factor *= 1.0 + FAILURE_FACTOR * member.health.bad_share**2
    duration = max(member.health.duration_ms, 1.0)
    return (member.load + 1) * duration * factor


def _prefer_healthy(
    members: collections.abc.Sequence[directory.Member],
) -> list[directory.Member]:
    """Return the members without paused, failing and slow ones.

    A filter that would leave no member is skipped.
    """
    unpaused = [member for member in members if not member.health.is_paused]
    healthy = [
        member
        for member in unpaused
        if member.health.bad_share < health.BAD_SHARE
    ]
    usable = healthy or unpaused or list(members)
    median_ms = median_duration_ms(usable)
    if not median_ms:
        return usable
    bound = SLOW_FACTOR * median_ms
    return [member for member in usable if member.health.duration_ms <= bound]
