"""Routes whose answers are late with any version are no evidence."""

from wagtailstream_router import late_routes


def test_a_route_is_late_once_most_answers_are() -> None:
    routes = late_routes.LateRoutes()
    for is_late in (True, True):
        routes.record("long", is_late)
    assert not routes.is_usually_late("long")
    routes.record("long", False)
    assert routes.is_usually_late("long")
    routes.record("long", False)
    routes.record("long", False)
    assert not routes.is_usually_late("long")
    assert not routes.is_usually_late("another")
