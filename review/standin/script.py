"""Runs a case: prepares, judges, cleans up, and chooses the exit status."""

import asyncio
import collections.abc
import os
import pathlib
import sys
import tempfile
import traceback

from standin import fleet, record, store

HELD, BROKEN, NOT_RUN = 0, 1, 2


class Bench:
    """What every case has: a record, a store and a temporary folder.

    :param has_trouble: False for the same without the disruption.
    """

    def __init__(self, directory: pathlib.Path, folder: pathlib.Path) -> None:
        self.has_trouble = os.environ.get("TROUBLE", "1") != "0"
        self.recorder = record.Recorder(folder / "record.txt")
        self.store = store.Store()
        self.directory = directory
        self.fleets: list[fleet.Fleet] = []

    def make_fleet(self, count: int) -> fleet.Fleet:
        """Return processes that are ended with the script."""
        made = fleet.Fleet(self.directory, self.store, count)
        self.fleets.append(made)
        return made


Play = collections.abc.Callable[[Bench], collections.abc.Awaitable[bool]]


def main(folder: pathlib.Path, play: Play) -> None:
    """Play a case and exit.

    :param play: returns whether the rule was broken.
    """
    with tempfile.TemporaryDirectory() as directory:
        sys.exit(asyncio.run(_run(folder, pathlib.Path(directory), play)))


async def _run(
    folder: pathlib.Path, directory: pathlib.Path, play: Play
) -> int:
    bench = Bench(directory, folder)
    status = NOT_RUN
    try:
        await bench.store.start()
        status = BROKEN if await play(bench) else HELD
    except Exception:
        traceback.print_exc()
    finally:
        for each in bench.fleets:
            each.stop()
        bench.store.close()
        bench.recorder.write("end", status=status)
        bench.recorder.save()
    return status
