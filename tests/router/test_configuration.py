"""The router serves by the newest valid configuration, never an older one."""

import typing

import pytest

from tests.router import support
from wagtailstream_router import errors


async def test_no_configuration_is_answered_503() -> None:
    fleet = support.Fleet()
    await fleet.start(wait_until_ready=False)
    reply = await fleet.call("GET", support.SAFE_PATH)
    assert reply.status == 503
    assert not fleet.router.is_ready
    await fleet.close()


async def test_unknown_routes_and_keys_reach_no_endpoint(
    fleet: support.Fleet,
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    assert (await fleet.call("GET", "/nowhere/x")).status == 404
    assert (await fleet.call("GET", "/safe")).status == 404
    denied = await fleet.call("GET", support.SAFE_PATH, X_Credential="bad")
    assert denied.status == 401
    assert endpoint.runs == 0


async def test_a_revoked_key_and_a_dropped_route_are_refused(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200
    table = support.make_configuration(5, tenants=[])
    fleet.platform.put_configuration(table)
    await fleet.wait_for(lambda: fleet.router.configuration_version == 5)
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 401


async def test_an_older_version_is_ignored(fleet: support.Fleet) -> None:
    fleet.platform.put_configuration(support.make_configuration(9))
    await fleet.start()
    fleet.platform.put_configuration(support.make_configuration(4, routes=[]))
    fleet.platform.put_configuration(support.make_configuration(10))
    await fleet.wait_for(lambda: fleet.router.configuration_version == 10)
    versions = [
        fields["version"]
        for event, fields in fleet.log.lines
        if event == "configuration"
    ]
    assert versions == sorted(versions)


async def test_an_invalid_configuration_is_ignored(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    fleet.platform.operator.put("config", b"{not json")
    fleet.platform.operator.put("config", b'{"version": 7, "routes": [{}]}')
    await fleet.wait_for_event("configuration_ignored")
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200


async def test_an_unreachable_store_changes_nothing(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    fault = errors.StoreError("read", "operator", "unreachable")
    fleet.platform.operator.fault = fault
    fleet.platform.endpoints.fault = fault
    fleet.platform.operator.put("other", b"1")
    await fleet.wait_for_event("store_lost")
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200
    fleet.platform.put_configuration(support.make_configuration(2, tenants=[]))
    fleet.platform.operator.fault = fleet.platform.endpoints.fault = None
    await fleet.wait_for(lambda: fleet.router.configuration_version == 2)


async def test_a_compacted_topic_is_read_in_full(
    fleet: support.Fleet,
) -> None:
    await fleet.start()
    fleet.platform.operator.fault = errors.StoreError(
        "read", "op", "unreachable"
    )
    fleet.platform.operator.put("other", b"1")
    await fleet.wait_for_event("store_lost")
    fleet.platform.put_configuration(support.make_configuration(3))
    fleet.platform.operator.compact()
    fleet.platform.operator.fault = None
    await fleet.wait_for(lambda: fleet.router.configuration_version == 3)
    await fleet.wait_for_event("history_lost")


@pytest.mark.parametrize("size", [100001, 250000])
async def test_a_body_over_the_limit_is_refused(
    fleet: support.Fleet, size: int
) -> None:
    endpoint = await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    reply = await fleet.call("POST", support.UNSAFE_PATH, b"x" * size)
    assert reply.status == 413
    assert endpoint.runs == 0


async def test_a_failed_background_task_is_restarted(
    fleet: support.Fleet,
) -> None:
    """The client of the store raises an error other than StoreError."""
    await fleet.start()
    unexpected: typing.Any = RuntimeError("strange")
    fleet.platform.operator.fault = unexpected
    fleet.platform.endpoints.fault = unexpected
    line = await fleet.wait_for_event("internal_error")
    assert "strange" in str(line["detail"])
    fleet.platform.operator.fault = None
    fleet.platform.endpoints.fault = None
    await fleet.add_endpoint("plain-1", "plain")
    fleet.platform.put_configuration(support.make_configuration(version=2))
    await fleet.wait_for(lambda: fleet.router.configuration_version == 2)
    await fleet.wait_for(lambda: fleet.router.endpoint_count == 1)


async def test_a_revoked_key_stays_revoked_when_the_store_goes_back(
    fleet: support.Fleet,
) -> None:
    await fleet.add_endpoint("plain-1", "plain")
    await fleet.start()
    fleet.platform.put_configuration(support.make_configuration(2, tenants=[]))
    await fleet.wait_for(lambda: fleet.router.configuration_version == 2)
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 401
    fleet.platform.operator.restore(1)
    await fleet.wait_for_event("store_restored")
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 401
    table = support.make_configuration(3)
    fleet.platform.put_configuration(table)
    await fleet.wait_for(lambda: fleet.router.configuration_version == 3)
    assert (await fleet.call("GET", support.SAFE_PATH)).status == 200
