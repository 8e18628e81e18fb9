"""The record of a script: what was sent, answered and run."""

import pathlib
import time


class Recorder:
    """Keeps lines of events, with the seconds since the script's start.

    :param path: where `save` writes them.
    """

    def __init__(self, path: pathlib.Path) -> None:
        self._path = path
        self._began = time.monotonic()
        self.lines: list[tuple[float, str, dict[str, object]]] = []

    @property
    def now(self) -> float:
        """The seconds since the script's start."""
        return time.monotonic() - self._began

    def convert(self, at: float) -> float:
        """Return the seconds since the start of a monotonic time."""
        return at - self._began

    def write(self, event: str, **fields: object) -> None:
        """Add a line."""
        self.lines.append((self.now, event, fields))

    def find(self, event: str) -> list[tuple[float, dict[str, object]]]:
        """Return the times and fields of all lines of an event."""
        return [
            (at, fields) for at, name, fields in self.lines if name == event
        ]

    def save(self) -> None:
        """Write all lines to the file."""
        with self._path.open("w") as file:
            for at, event, fields in self.lines:
                words = " ".join(
                    f"{name}={value}" for name, value in fields.items()
                )
                file.write(f"{at:8.3f} {event} {words}\n")
