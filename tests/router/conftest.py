"""Fixtures for tests of a router with scripted endpoints."""

import collections.abc

import pytest_asyncio

from tests.router import support


@pytest_asyncio.fixture
async def fleet() -> collections.abc.AsyncIterator[support.Fleet]:
    """Yield a router that has a configuration but is not started yet."""
    new_fleet = support.Fleet()
    new_fleet.platform.put_configuration(support.make_configuration())
    yield new_fleet
    await new_fleet.close()
