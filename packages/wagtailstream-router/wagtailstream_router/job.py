"""One request under way."""

import dataclasses

from wagtailstream_router import configuration, reply, request


@dataclasses.dataclass
class Job:
    """A request that was let in.

    :param service: where it goes, of its route's services.
    :param tenant: who sent it; None where no keys are asked for.
    :param deadline: when its final answer is due, by the monotonic clock.
    :param configuration_version: the configuration that let it in.
    :param model_costs: a model's price per 1,000 generated tokens.
    :param sent: how many endpoints it was sent to.
    :param tried: the ids of these endpoints.
    :param uncertain_runs: how many of them may have begun to work on it.
    """

    call: request.Request
    route: configuration.Route
    service: str
    tenant: configuration.Tenant | None
    deadline: float
    configuration_version: int
    reply: reply.Reply
    model_costs: dict[str, float] = dataclasses.field(default_factory=dict)
    sent: int = 0
    tried: set[str] = dataclasses.field(default_factory=set)
    uncertain_runs: int = 0

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have begun to work on it."""
        return self.uncertain_runs > 0

    @property
    def priority(self) -> int:
        """Its rank; a tenant's goes before the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority
