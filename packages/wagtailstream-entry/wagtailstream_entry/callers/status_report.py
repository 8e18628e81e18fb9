"""The status page: the state of an entry and of its agents."""

import collections.abc
import dataclasses

from wagtailstream_core import configuration, freshness
from wagtailstream_entry.callers import responses
from wagtailstream_entry.endpoints import agent_link, links
from wagtailstream_entry.versions import version_watch


@dataclasses.dataclass(frozen=True)
class EntryState:
    """The state of an entry at one time.

    :param in_flight: the number of open requests.
    :param bills_waiting: the number of bills that the log does not hold yet.
    :param counters: the values of all counters by name.
    """

    instance: str
    data_centre: str
    configuration: configuration.Configuration
    freshness: freshness.Freshness
    is_draining: bool
    in_flight: int
    bills_waiting: int
    counters: dict[str, int]


def describe(
    entry_state: EntryState,
    table: links.LinkTable,
    watch: version_watch.VersionWatch,
) -> responses.Json:
    """Return the body of the status page.

    :param entry_state: the state of the entry.
    :param table: the links to its agents.
    :param watch: the counts and evidence for model versions.
    """
    state = entry_state.configuration
    return {
        "instance": entry_state.instance,
        "role": "entry",
        "data_centre": entry_state.data_centre,
        "offset": state.offset,
        "revision": state.revision,
        "bundle": state.bundle.name if state.bundle else None,
        "freshness": entry_state.freshness.value,
        "draining": entry_state.is_draining,
        "in_flight": entry_state.in_flight,
        "bills_waiting": entry_state.bills_waiting,
        "withdrawn": [str(v) for v in sorted(state.withdrawn)],
        "suspended": [str(v) for v in sorted(state.suspended)],
        "rollouts": _describe_rollouts(state.rollouts),
        "versions": _describe_versions(watch),
        "counters": entry_state.counters,
        "agents": [_describe_link(link) for link in table.list_links()],
    }


def _describe_rollouts(
    rollouts: collections.abc.Iterable[configuration.RolloutStage],
) -> list[responses.Json]:
    return [
        {
            "model": rollout.model,
            "candidate": rollout.candidate,
            "stage": rollout.stage,
        }
        for rollout in rollouts
    ]


def _describe_versions(
    watch: version_watch.VersionWatch,
) -> list[responses.Json]:
    return [
        {
            "version": str(version),
            "answers": round(track.counts.answers, 1),
            "quality": round(track.counts.quality, 3),
            "evidence": round(track.strongest, 2),
        }
        for version, track in sorted(watch.tracks.items())
    ]


def _describe_link(link: agent_link.AgentLink) -> responses.Json:
    state = link.state
    if state is None:
        return {"address": link.address, "reachable": False}
    return {
        "address": link.address,
        "instance": state.instance,
        "endpoint": state.endpoint,
        "data_centre": state.data_centre,
        "reachable": not link.is_suspect,
        "usable": link.is_usable,
        "draining": state.is_draining,
        "offset": state.configuration_offset,
        "running": state.running,
        "queued": state.queued,
        "in_flight": link.in_flight,
        "loaded": [str(v) for v in sorted(state.loaded)],
    }
