"""Selects the agents that an entry links to, from the platform's list."""

import collections.abc

from wagtailstream_core import bundle, membership
from wagtailstream_runtime import instance_list

OptionalBundle = bundle.Bundle | None


def choose(
    entry: str,
    agents: collections.abc.Mapping[str, instance_list.Instance],
    avoided: collections.abc.Container[str],
    current_bundle: OptionalBundle,
    max_links: int,
) -> frozenset[str]:
    """Return the addresses that an entry keeps links to.

    :param entry: the entry's name.
    :param agents: the listed agents by address.
    :param avoided: the addresses of agents that were unusable recently.
    :param current_bundle: the bundle in force, if any.
    :param max_links: the maximum number of links.
    """
    if len(agents) <= max_links:
        return frozenset(agents)
    endpoints_by_name = (
        {e.name: e for e in current_bundle.endpoints}
        if current_bundle is not None
        else {}
    )
    members = [
        membership.Member(
            address,
            _make_pool(instance, endpoints_by_name.get(instance.endpoint)),
            instance.is_leaving or address in avoided,
        )
        for address, instance in agents.items()
    ]
    return membership.choose_links(entry, members, max_links)


def _make_pool(
    instance: instance_list.Instance, endpoint: bundle.Endpoint | None
) -> membership.Pool:
    if endpoint is None:
        return membership.Pool(instance.data_centre, ())
    served = (endpoint.service,) if endpoint.service else endpoint.models
    return membership.Pool(endpoint.data_centre, tuple(served))
