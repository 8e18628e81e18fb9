"""The endpoints that may run a request, and the load ahead of it there."""

import collections.abc
import dataclasses

from wagtailstream_core import admission, bundle, configuration
from wagtailstream_entry.endpoints import agent_state


@dataclasses.dataclass(frozen=True)
class Target:
    """The endpoints that may run a request.

    :param endpoints: the names of the endpoints that the bundle allows.
    :param version: the version that must be loaded; None for a service.
    :param prefix_hash: the hash of the prompt's beginning, for cache
        affinity; 0 for a service.
    :param on_endpoint_failed: called when an agent reports that its
        endpoint failed.
    """

    endpoints: frozenset[str]
    version: configuration.ModelVersion | None
    prefix_hash: int
    on_endpoint_failed: collections.abc.Callable[[], None] = lambda: None

    def admits(self, state: agent_state.AgentState) -> bool:
        """Return whether an agent's endpoint may run the request.

        :param state: the agent's state.
        """
        if state.endpoint not in self.endpoints:
            return False
        return self.version is None or self.version in state.loaded


def make_occupancy(
    state: agent_state.AgentState, priority: int
) -> admission.Occupancy:
    """Return the reported load ahead of a request at an endpoint.

    :param state: the agent's state.
    :param priority: the request's priority.
    """
    ahead = sum(
        queued
        for queue_priority, queued in state.queues.items()
        if queue_priority >= priority
    )
    return admission.Occupancy(
        state.slots,
        state.running,
        ahead,
        state.service_mean_seconds,
        state.service_bound_seconds,
    )


def find_model_endpoints(
    current_bundle: bundle.Bundle, allowance: bundle.Allowance
) -> frozenset[str]:
    """Return the endpoints on which a customer may use a model.

    :param current_bundle: the bundle in force.
    :param allowance: the customer's allowance for the model.
    """
    return frozenset(
        endpoint.name
        for endpoint in current_bundle.endpoints
        if allowance.model in endpoint.models
        and (
            not allowance.data_centres
            or endpoint.data_centre in allowance.data_centres
        )
    )


def find_service_endpoints(
    current_bundle: bundle.Bundle, service: str
) -> frozenset[str]:
    """Return the endpoints of a plain service.

    :param current_bundle: the bundle in force.
    :param service: the service's name.
    """
    return frozenset(
        endpoint.name
        for endpoint in current_bundle.endpoints
        if endpoint.service == service
    )
