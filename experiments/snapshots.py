"""Counts the snapshots that a fleet appends where one would be enough.

Run as ``python -m experiments.snapshots``. In each round one new snapshot of
the configuration is needed. An instance appends it when its due time comes,
unless it has seen that of another instance, which takes a delay. Random due
times are compared with the naive algorithm, in which all instances are due at
the same time.
"""

import heapq
import random

from wagtailstream_core import snapshots

SEED = 1
RETENTION_SECONDS = 86400.0
ROUNDS = 200
FLEET_SIZES = (20, 200, 1140)
DELAYS_SECONDS = (0.1, 1.0, 6.0)


def count_appends(
    draws: list[float], delay_seconds: float, last_snapshot_at: float
) -> tuple[int, float]:
    """Return the number of snapshots in a round, and the time of the first.

    :param draws: the random number of each instance, in [0, 1).
    :param delay_seconds: the delay after which others see a snapshot.
    :param last_snapshot_at: when the first snapshot of the round before was
        appended, in seconds.
    """
    due = [
        snapshots.find_due(last_snapshot_at, RETENTION_SECONDS, draw)
        for draw in draws
    ]
    heapq.heapify(due)
    first = due[0]
    return sum(at < first + delay_seconds for at in due), first


def measure(count: int, delay_seconds: float, is_naive: bool) -> float:
    """Return the mean number of snapshots that are appended in a round.

    :param count: the number of instances.
    :param delay_seconds: the delay after which others see a snapshot.
    :param is_naive: whether all instances are due at the same time.
    """
    rng = random.Random(SEED)
    total, last_snapshot_at = 0, 0.0
    for _ in range(ROUNDS):
        # Instances are replaced often, so each round draws new numbers.
        draws = [0.0 if is_naive else rng.random() for _ in range(count)]
        appends, last_snapshot_at = count_appends(
            draws, delay_seconds, last_snapshot_at
        )
        total += appends
    return total / ROUNDS


def main() -> None:
    """Print the mean appends per round by fleet size and delay."""
    print("instances  delay s  drawn  naive")
    for count in FLEET_SIZES:
        for delay in DELAYS_SECONDS:
            drawn = measure(count, delay, False)
            naive = measure(count, delay, True)
            print(f"{count:9}  {delay:7}  {drawn:5.2f}  {naive:5.0f}")


if __name__ == "__main__":
    main()
