"""How long a plain route's answers usually take, and which are always late."""

import dataclasses

# Fewest answers that tell whether a route's answers are usually late.
MIN_ANSWERS = 3
# Share of late answers from which they are.
LATE_SHARE = 0.5
# An answer is late, as evidence on a version, if it takes longer than this
# multiple of its route's usual time: 96 of 100 answers of a calm play came
# within it (journal 5655c92c).
LATE_FACTOR = 2.0
# Fewer milliseconds above the usual time are no sign of a slow version: the
# network between data centres and the scheduling of processes vary by that.
MIN_LATENESS_MS = 20.0
# Weight of the newest answer in a route's usual time: an average over about
# the last twenty.
NEWEST_WEIGHT = 0.05


@dataclasses.dataclass(slots=True)
class _Counts:
    answers: int = 0
    late: int = 0
    timed: int = 0
    usual_ms: float = 0.0


class RouteTimes:
    """Times and late answers of the settled version by route.

    The work of a route may take longer than that of the service's other
    routes, or than the route's own time limit. Its late answers then say
    nothing about a version, but would hide those of a slow one. Nor do the
    times of short routes say what is late on a long one.
    """

    def __init__(self) -> None:
        self._counts: dict[str, _Counts] = {}

    def record(self, route: str, is_late: bool) -> None:
        """Count an answer of the settled version."""
        counts = self._counts.setdefault(route, _Counts())
        counts.answers += 1
        counts.late += is_late

    def record_duration(self, route: str, duration_ms: float) -> None:
        """Record how long an answer of the settled version took."""
        counts = self._counts.setdefault(route, _Counts())
        counts.timed += 1
        # A plain mean until there are enough answers for the average.
        weight = max(NEWEST_WEIGHT, 1.0 / counts.timed)
        counts.usual_ms += weight * (duration_ms - counts.usual_ms)

    def limit_ms(self, route: str) -> float | None:
        """Return the time after which an answer on a route is late.

        :returns: the time; None if there were too few answers to know it.
        """
        counts = self._counts.get(route, _Counts())
        if counts.timed < MIN_ANSWERS:
            return None
        return max(
            LATE_FACTOR * counts.usual_ms, counts.usual_ms + MIN_LATENESS_MS
        )

    def is_usually_late(self, route: str) -> bool:
        """Return whether most answers on a route are late."""
        counts = self._counts.get(route, _Counts())
        return (
            counts.answers >= MIN_ANSWERS
            and counts.late >= LATE_SHARE * counts.answers
        )
