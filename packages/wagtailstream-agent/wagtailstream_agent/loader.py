"""Orders the engine to hold the versions that the configuration names.

The configuration's offset is the fencing number. Engines that ignore it are
handled by observing after ordering: orders are repeated until the engine's
state agrees. An agent that is cut off orders nothing, so that one that wakes
from a pause can't put an old order over a newer one.
"""

import asyncio
import logging

from wagtailstream_agent import engine
from wagtailstream_core import configuration, errors, freshness
from wagtailstream_platform import follower

OBSERVE_SECONDS = 0.5

_LOGGER = logging.getLogger(__name__)


def list_desired(
    state: configuration.Configuration, endpoint: str
) -> frozenset[configuration.ModelVersion]:
    """Return the versions that an endpoint should hold.

    :param state: the configuration in force.
    :param endpoint: the endpoint's name.
    """
    known = state.bundle
    place = known.find_endpoint(endpoint) if known else None
    if known is None or place is None:
        return frozenset()
    return frozenset(
        configuration.ModelVersion(model.name, version)
        for model in known.models
        if model.name in place.models
        for version in model.versions
        if not state.is_stopped(model.name, version)
    )


class Loader:
    """Reconciles the engine's versions with the configuration.

    :param model_engine: the engine beside this agent.
    :param config_follower: holds the configuration in force.
    :param endpoint: the endpoint's name.
    """

    def __init__(
        self,
        model_engine: engine.Engine,
        config_follower: follower.Follower,
        endpoint: str,
    ) -> None:
        self._engine = model_engine
        self._follower = config_follower
        self._endpoint = endpoint
        self._state: engine.EngineState | None = None

    @property
    def state(self) -> engine.EngineState | None:
        """The engine's state as last observed; None while unreachable."""
        return self._state

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            await self.reconcile()
            try:
                async with asyncio.timeout(OBSERVE_SECONDS):
                    await self._follower.wait_changed()
            except TimeoutError:
                continue

    async def reconcile(self) -> None:
        """Observe the engine once and order what differs."""
        try:
            self._state = await self._engine.fetch_state()
            await self._order_differences(self._state)
        except errors.PeerError as error:
            if error.step == "state":
                self._state = None
            _LOGGER.debug("engine order", extra={"detail": str(error)})

    async def _order_differences(self, seen: engine.EngineState) -> None:
        desired = list_desired(self._follower.state, self._endpoint)
        if not desired:
            return
        for version in sorted(desired - seen.loaded - seen.loading):
            await self._order("load", version)
        for version in sorted(seen.loaded - desired):
            await self._order("unload", version)

    async def _order(
        self, kind: str, version: configuration.ModelVersion
    ) -> None:
        if self._follower.judge() is freshness.Freshness.CUT_OFF:
            return
        await self._engine.order(kind, version, self._follower.state.offset)
