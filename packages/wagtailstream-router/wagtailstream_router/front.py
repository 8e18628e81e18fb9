"""Admits requests: finds route, tenant and deadline, then forwards them."""

import math
import random
import time

from wagtailstream_router import (
    active_configuration,
    configuration,
    forward_plain,
    forward_stream,
    forwarding,
    job,
    metrics,
    reply,
    request,
)

# The final answer is sent this long before the caller's own deadline, to
# leave time for it to reach the caller.
ANSWER_MARGIN_SECONDS = 0.02
# Applies where neither the caller nor the route states a timeout.
DEFAULT_TIMEOUT_SECONDS = 30.0


class Front:
    """Checks a request and hands it to the forwarder of its route's kind.

    :param active: returns the configuration in force.
    :param plain: forwards requests to plain services.
    :param stream: forwards requests to model servers.
    :param responder: sends refusals.
    :param generator: picks a service by the weights of a route's shares.
    """

    def __init__(
        self,
        active: active_configuration.ActiveConfiguration,
        plain: forward_plain.PlainForwarder,
        stream: forward_stream.StreamForwarder,
        responder: forwarding.ErrorResponder,
        counters: metrics.Metrics,
        generator: random.Random,
    ) -> None:
        self._active_configuration = active
        self._plain = plain
        self._stream = stream
        self._responder = responder
        self._counters = counters
        self._random = generator
        self._open: dict[int, job.Job] = {}
        self._ends_at = math.inf

    def end_by(self, deadline: float) -> None:
        """Answer all open and further requests until a time.

        :param deadline: by the monotonic clock.
        """
        self._ends_at = deadline
        for task in self._open.values():
            task.advance_deadline(deadline)

    async def handle(self, call: request.Request, caller: reply.Reply) -> None:
        """Answer a request: refuse it or forward it."""
        self._counters.count(metrics.Counter.REQUESTS)
        value = self._active_configuration.get()
        if value is None:
            self._responder.refuse(
                caller,
                call.identity,
                503,
                metrics.Counter.REFUSED_NO_CONFIGURATION,
            )
            return
        task = self._admit(value, call, caller)
        if task is None:
            return
        task.advance_deadline(self._ends_at)
        self._open[id(task)] = task
        try:
            if task.route.kind is configuration.RouteKind.STREAM:
                await self._stream.forward(task)
            else:
                await self._plain.forward(task)
        finally:
            del self._open[id(task)]

    def _admit(
        self,
        value: configuration.Configuration,
        call: request.Request,
        caller: reply.Reply,
    ) -> job.Job | None:
        """Return the admitted request; None if it was refused."""
        route = value.find_route(call.host, call.path)
        if route is None:
            self._responder.refuse(
                caller,
                call.identity,
                404,
                metrics.Counter.REFUSED_NO_ROUTE,
                configuration=value.version,
            )
            return None
        tenant = None
        if value.tenants_by_key is not None and not route.is_public:
            tenant = value.tenants_by_key.get(call.credential)
            if tenant is None:
                self._responder.refuse(
                    caller,
                    call.identity,
                    401,
                    metrics.Counter.REFUSED_CREDENTIAL,
                    configuration=value.version,
                )
                return None
        service = self._choose_service(route)
        known = value.services.get(service)
        engine = known.engine if known is not None else None
        return job.Job(
            call,
            route,
            service,
            tenant,
            _request_deadline(route, call),
            value.version,
            caller,
            engine.model_costs if engine is not None else {},
        )

    def _choose_service(self, route: configuration.Route) -> str:
        if len(route.shares) == 1:
            return route.shares[0].service
        return self._random.choices(
            [share.service for share in route.shares],
            [share.weight for share in route.shares],
        )[0]


def _request_deadline(
    route: configuration.Route, call: request.Request
) -> float:
    deadline = call.arrived + (
        route.timeout_ms / 1000.0
        if route.timeout_ms
        else DEFAULT_TIMEOUT_SECONDS
    )
    if call.deadline is not None:
        deadline = min(deadline, call.deadline - ANSWER_MARGIN_SECONDS)
    return max(deadline, time.monotonic())
