"""How many snapshots a fleet appends, by how their due times are drawn.

Run as ``python -m experiments.snapshots``. Each instance appends when it is
due and has seen no newer snapshot; others see one only after a delay. The
naive way is due at the same time everywhere.
"""

import heapq
import random

from wagtailstream_core import snapshots

SEED = 1
RETENTION_SECONDS = 86400.0
PERIODS = 200
FLEETS = (20, 200, 1140)
DELAYS_SECONDS = (0.1, 1.0, 6.0)


def count_appends(
    draws: list[float], delay_seconds: float, anchor_at: float
) -> tuple[int, float]:
    """Return the appends of one round and the time of the first one.

    :param draws: each instance's random number.
    :param delay_seconds: until others see a snapshot.
    :param anchor_at: when the last snapshot was appended, in seconds.
    """
    due = [
        snapshots.find_due(anchor_at, RETENTION_SECONDS, draw)
        for draw in draws
    ]
    heapq.heapify(due)
    first = due[0]
    return sum(at < first + delay_seconds for at in due), first


def measure(count: int, delay_seconds: float, is_naive: bool) -> float:
    """Return the mean number of appends of a round.

    :param count: how many instances.
    :param delay_seconds: until others see a snapshot.
    :param is_naive: whether all draw the same number.
    """
    rng = random.Random(SEED)
    total, anchor_at = 0, 0.0
    for _ in range(PERIODS):
        # Instances are replaced all the time, and draw anew.
        draws = [0.0 if is_naive else rng.random() for _ in range(count)]
        appends, anchor_at = count_appends(draws, delay_seconds, anchor_at)
        total += appends
    return total / PERIODS


def main() -> None:
    """Print a table."""
    print("instances  delay s  drawn  naive")
    for count in FLEETS:
        for delay in DELAYS_SECONDS:
            drawn = measure(count, delay, False)
            naive = measure(count, delay, True)
            print(f"{count:9}  {delay:7}  {drawn:5.2f}  {naive:5.0f}")


if __name__ == "__main__":
    main()
