"""Reconciles the engine's loaded versions with the configuration.

The configuration's offset is the fencing token of each order. For engines that
ignore it, the loader reads the engine's state after each order and repeats
orders until the state matches. An agent that is cut off from the configuration
sends no orders, so that an agent resuming after a pause can't override a newer
order with an outdated one.

All engines share the bandwidth of the weight store. An engine therefore loads
one version at a time, in the order in which new sessions need them.
"""

import asyncio
import collections
import dataclasses
import logging

from wagtailstream_agent import engine
from wagtailstream_core import bundle, configuration, errors, freshness
from wagtailstream_runtime import follower

# Interval between reads of the engine's state, normally and during a load.
OBSERVE_SECONDS = 0.5
LOADING_OBSERVE_SECONDS = 0.05

_LOGGER = logging.getLogger(__name__)


def list_desired(
    state: configuration.Configuration, endpoint: str
) -> list[configuration.ModelVersion]:
    """Return the versions that an endpoint should have loaded.

    They are sorted by load priority, the first one first.

    :param state: the configuration in force.
    :param endpoint: the endpoint's name.
    """
    current_bundle = state.bundle
    own_endpoint = (
        current_bundle.find_endpoint(endpoint) if current_bundle else None
    )
    if current_bundle is None or own_endpoint is None:
        return []
    ranked = [
        (
            _rank(model, version),
            configuration.ModelVersion(model.name, version),
        )
        for model in current_bundle.models
        if model.name in own_endpoint.models
        for version in model.versions
        if not state.is_stopped(model.name, version)
    ]
    return [version for _, version in sorted(ranked)]


def _rank(model: bundle.ServedModel, version: str) -> int:
    """Return 0 for the stable version, 1 for the candidate, else 2."""
    if version == model.stable:
        return 0
    if model.rollout is not None and version == model.rollout.candidate:
        return 1
    return 2


class Loader:
    """Reconciles the engine's versions with the configuration.

    :param model_engine: the engine that this agent fronts.
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
        self._load_orders: collections.Counter[configuration.ModelVersion] = (
            collections.Counter()
        )

    @property
    def state(self) -> engine.EngineState | None:
        """The last state read from the engine; None if it did not answer."""
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
        """Read the engine's state once and order the missing changes."""
        try:
            self._state = await self._engine.fetch_state()
            await self._order_differences(self._state)
        except errors.PeerError as error:
            if error.step == "state":
                self._state = None
            _LOGGER.debug(
                "engine request failed", extra={"detail": str(error)}
            )

    async def _order_differences(self, observed: engine.EngineState) -> None:
        desired = list_desired(self._follower.state, self._endpoint)
        if not desired:
            return
        engine_versions = observed.loaded | observed.loading
        for version in sorted(engine_versions - frozenset(desired)):
            await self._order("unload", version)
        missing = [v for v in desired if v not in observed.loaded]
        if missing and observed.loading.isdisjoint(missing):
            await self._load(observed, missing)

    async def _load(
        self,
        observed: engine.EngineState,
        missing: list[configuration.ModelVersion],
    ) -> None:
        """Order the missing version that was ordered least often so far.

        A version that keeps failing to load thus does not block the others.
        """
        version_to_load = min(
            missing, key=lambda version: self._load_orders[version]
        )
        self._load_orders[version_to_load] += 1
        await self._order("load", version_to_load)
        self._state = dataclasses.replace(
            observed, loading=frozenset({version_to_load})
        )

    async def _order(
        self, kind: str, version: configuration.ModelVersion
    ) -> None:
        if self._follower.assess_freshness() is freshness.Freshness.CUT_OFF:
            return
        await self._engine.order(kind, version, self._follower.state.offset)
