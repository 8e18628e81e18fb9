"""Counts the redundant snapshots that the instances of a fleet append.

Run as ``python -m experiments.snapshots``. Each instance appends a snapshot
when its due time comes and it has seen no newer one; the other instances see
a snapshot only after a delay. Random due times are compared with the naive
algorithm, in which all instances are due at the same time.
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
    draws: list[float], delay_seconds: float, anchor_at: float
) -> tuple[int, float]:
    """Return how many snapshots are appended in a round, and the first's time.

    :param draws: the random number of each instance, in [0, 1).
    :param delay_seconds: the delay after which others see a snapshot.
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
    """Return the mean number of snapshots that are appended in a round.

    :param count: the number of instances.
    :param delay_seconds: the delay after which others see a snapshot.
    :param is_naive: whether all instances are due at the same time.
    """
    rng = random.Random(SEED)
    total, anchor_at = 0, 0.0
    for _ in range(ROUNDS):
        # Instances are replaced often, so each round draws new numbers.
        draws = [0.0 if is_naive else rng.random() for _ in range(count)]
        appends, anchor_at = count_appends(draws, delay_seconds, anchor_at)
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
