"""Orders the engine to hold the versions that the configuration names.

The configuration's offset is the fencing number. Engines that ignore it are
handled by observing after ordering: orders are repeated until the engine's
state agrees. An agent that is cut off orders nothing, so that one that wakes
from a pause can't put an old order over a newer one.

The weight store's rate is shared by all engines, so an engine loads one
version at a time, and first what new sessions need most.
"""

import asyncio
import collections
import dataclasses
import logging

from wagtailstream_agent import engine
from wagtailstream_core import bundle, configuration, errors, freshness
from wagtailstream_runtime import follower

OBSERVE_SECONDS = 0.5
LOADING_OBSERVE_SECONDS = 0.05

_LOGGER = logging.getLogger(__name__)


def list_desired(
    state: configuration.Configuration, endpoint: str
) -> list[configuration.ModelVersion]:
    """Return the versions that an endpoint should hold, to load in order.

    :param state: the configuration in force.
    :param endpoint: the endpoint's name.
    """
    known = state.bundle
    place = known.find_endpoint(endpoint) if known else None
    if known is None or place is None:
        return []
    ranked = [
        (
            _rank(model, version),
            configuration.ModelVersion(model.name, version),
        )
        for model in known.models
        if model.name in place.models
        for version in model.versions
        if not state.is_stopped(model.name, version)
    ]
    return [version for _, version in sorted(ranked)]


def _rank(model: bundle.ServedModel, version: str) -> int:
    """Return 0 for what serves now, 1 for the candidate, 2 for the rest."""
    if version == model.stable:
        return 0
    if model.rollout is not None and version == model.rollout.candidate:
        return 1
    return 2


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
        self._orders: collections.Counter[configuration.ModelVersion] = (
            collections.Counter()
        )

    @property
    def state(self) -> engine.EngineState | None:
        """The engine's state as last observed; None while unreachable."""
        return self._state

    async def run(self) -> None:
        """Reconcile until cancelled."""
        while True:
            await self.reconcile()
            try:
                async with asyncio.timeout(self._find_pause()):
                    await self._follower.wait_changed()
            except TimeoutError:
                continue

    def _find_pause(self) -> float:
        is_loading = self._state is not None and self._state.loading
        return LOADING_OBSERVE_SECONDS if is_loading else OBSERVE_SECONDS

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
        held = seen.loaded | seen.loading
        for version in sorted(held - frozenset(desired)):
            await self._order("unload", version)
        missing = [v for v in desired if v not in seen.loaded]
        if missing and seen.loading.isdisjoint(missing):
            await self._load(seen, missing)

    async def _load(
        self,
        seen: engine.EngineState,
        missing: list[configuration.ModelVersion],
    ) -> None:
        """Order the next load; one that keeps failing lets others pass."""
        chosen = min(missing, key=lambda version: self._orders[version])
        self._orders[chosen] += 1
        await self._order("load", chosen)
        self._state = dataclasses.replace(seen, loading=frozenset({chosen}))

    async def _order(
        self, kind: str, version: configuration.ModelVersion
    ) -> None:
        if self._follower.judge() is freshness.Freshness.CUT_OFF:
            return
        await self._engine.order(kind, version, self._follower.state.offset)
