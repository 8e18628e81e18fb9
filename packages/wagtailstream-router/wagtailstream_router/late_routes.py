"""Finds routes whose answers are late whatever version gives them."""

import dataclasses

# Fewest answers that tell whether a route's answers are usually late.
MIN_ANSWERS = 3
# Share of late answers from which they are.
LATE_SHARE = 0.5


@dataclasses.dataclass(slots=True)
class _Counts:
    answers: int = 0
    late: int = 0


class LateRoutes:
    """Counts late answers of the settled version by route.

    The work of a route may take longer than that of the service's other
    routes, or than the route's own time limit. Its late answers then say
    nothing about a version, but would hide those of a slow one.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record(self, route: str, is_late: bool) -> None:
        """Count an answer of the settled version."""
        counts = self._counts.setdefault(route, _Counts())
        counts.answers += 1
        counts.late += is_late

    def is_usually_late(self, route: str) -> bool:
        """Return whether most answers on a route are late."""
        counts = self._counts.get(route, _Counts())
        return (
            counts.answers >= MIN_ANSWERS
            and counts.late >= LATE_SHARE * counts.answers
        )
