"""The soak's check of what endpoints say of themselves."""

import time

from standins import platform_endpoint, soak_notices

ROUTER = "router-1"


def make_contact(
    request: str, at: float, is_leaving: bool = False, full: float = 0.0
) -> platform_endpoint.Contact:
    """Return a request that reached the first start of an endpoint."""
    return platform_endpoint.Contact(request, 1, at, is_leaving, full)


def check(
    contacts: list[platform_endpoint.Contact],
    disturbed: tuple[str, float, float] | None = None,
    passed_on: float = 1.1,
) -> list[str]:
    """Return the violations of requests that were sent as they arrived.

    An answer that says that the endpoint leaves reaches the caller of the
    request `told` at `passed_on`.
    """
    notices = soak_notices.NoticeCheck()
    for contact in contacts:
        notices.record_call(contact.request, ROUTER, contact.at)
    notices.record_passed_on("told", passed_on)
    if disturbed is not None:
        notices.record_disturbed(*disturbed)
    endpoint = platform_endpoint.PlatformEndpoint("engine-1")
    endpoint.contacts = contacts
    return notices.list_violations([endpoint])


def test_a_request_after_a_passed_on_notice_goes_unseen() -> None:
    told = make_contact("told", 1.0, is_leaving=True)
    assert check([told, make_contact("before", 1.05)]) == []
    (line,) = check([told, make_contact("after", 1.2)])
    assert "after: sent to engine-1 by router-1" in line


def test_a_restart_of_the_instance_or_endpoint_is_held_against_it() -> None:
    told = make_contact("told", 1.0, is_leaving=True)
    after = make_contact("after", 2.0)
    assert check([told, after], (ROUTER, 1.5, 1.6)) == []
    assert check([told, after], ("router-2", 1.5, 1.6))
    restarted = platform_endpoint.Contact("after", 2, 2.0, False, 0.0)
    assert check([told, restarted]) == []


def test_requests_to_a_full_endpoint_go_unseen() -> None:
    told = make_contact("told", 1.0, full=2.0)
    allowed = [make_contact(f"early-{n}", 1.4) for n in range(5)]
    allowed += [make_contact(f"late-{n}", 3.1) for n in range(5)]
    allowed += [make_contact(f"two-{n}", 2.0) for n in range(2)]
    assert check([told, *allowed]) == []
    excess = [told, *allowed, make_contact("third", 2.9)]
    (line,) = check(excess)
    assert "engine-1: 3 requests from router-1" in line
    assert check(excess, ("engine-1", 2.0, 2.5)) == []


async def test_an_endpoint_that_is_full_says_so_to_the_next_start() -> None:
    endpoint = platform_endpoint.PlatformEndpoint("engine-1")
    endpoint.full_until = time.monotonic() + 60.0
    endpoint.is_leaving = True
    endpoint.begin_start()
    assert endpoint.full_until < time.monotonic()
    assert not endpoint.is_leaving
