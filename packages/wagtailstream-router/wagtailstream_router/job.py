"""The state of an admitted request."""

import asyncio
import collections.abc
import contextlib
import dataclasses

from wagtailstream_router import (
    configuration,
    directory,
    endpoint_link,
    reply,
    request,
)


@dataclasses.dataclass
class Job:
    """An admitted request and its attempts so far.

    :param call: the caller's request.
    :param service: the service chosen from the route's shares.
    :param tenant: the caller's tenant; None if no key is required.
    :param deadline: when the final answer is due, by the monotonic clock.
    :param configuration_version: the configuration that admitted it.
    :param model_costs: price per 1,000 generated tokens, by model.
    :param sent: the number of attempts so far.
    :param tried: the ids of the endpoints of these attempts, and of those that
        could not be reached.
    :param tried_versions: the versions that these were sent to.
    :param links: the connections of these attempts.
    :param uncertain_runs: the number of attempts whose endpoint may have run
        the request.
    :param failed_at: the endpoints that answered with an error.
    :param version: the version chosen last; "" before the first choice.
    :param went_on_at: when it found room, by the monotonic clock.
    :param is_overdue: whether it waited so long that it is as urgent as any.
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
    tried_versions: set[str] = dataclasses.field(default_factory=set)
    links: list[endpoint_link.EndpointLink] = dataclasses.field(
        default_factory=list
    )
    uncertain_runs: int = 0
    failed_at: list[directory.Member] = dataclasses.field(default_factory=list)
    version: str = ""
    went_on_at: float = 0.0
    is_overdue: bool = False
    _limit: asyncio.Timeout | None = None

    @contextlib.asynccontextmanager
    async def limit_time(self) -> collections.abc.AsyncIterator[None]:
        """Run the body until the deadline.

        :raises TimeoutError: the deadline has passed.
        """
        async with asyncio.timeout_at(self.deadline) as self._limit:
            try:
                yield
            finally:
                self._limit = None

    def advance_deadline(self, deadline: float) -> None:
        """Make the final answer due earlier.

        :param deadline: by the monotonic clock; a later one changes nothing.
        """
        if deadline >= self.deadline:
            return
        self.deadline = deadline
        if self._limit is not None and not self._limit.expired():
            self._limit.reschedule(deadline)

    @property
    def may_have_run(self) -> bool:
        """Whether an endpoint may have run the request."""
        return self.uncertain_runs > 0

    @property
    def customer(self) -> str:
        """The name of the tenant; "" without one."""
        return self.tenant.name if self.tenant is not None else ""

    @property
    def priority(self) -> int:
        """The priority: the tenant's if it has one, else the route's."""
        if self.tenant is not None and self.tenant.priority is not None:
            return self.tenant.priority
        return self.route.priority
