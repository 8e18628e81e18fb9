"""A router before scripted endpoints, stopped after each test."""

import collections.abc

import pytest_asyncio

from tests.router import support


@pytest_asyncio.fixture
async def fleet() -> collections.abc.AsyncIterator[support.Fleet]:
    """Return a router that is not yet started."""
    made = support.Fleet()
    made.platform.put_configuration(support.make_configuration())
    yield made
    await made.close()
