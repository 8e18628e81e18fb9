"""Runs a case: prepares, judges, cleans up, and chooses the exit status."""

import argparse
import asyncio
import collections.abc
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

    def __init__(
        self,
        directory: pathlib.Path,
        folder: pathlib.Path,
        has_trouble: bool,
    ) -> None:
        self.has_trouble = has_trouble
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
    parser = argparse.ArgumentParser()
    parser.add_argument("--trouble", choices=("0", "1"), required=True)
    has_trouble = parser.parse_args().trouble == "1"
    with tempfile.TemporaryDirectory() as directory:
        bench = Bench(pathlib.Path(directory), folder, has_trouble)
        sys.exit(asyncio.run(_run(bench, play)))


async def _run(bench: Bench, play: Play) -> int:
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
