"""Takes signals from the first line of a program on, before its imports.

It imports nothing of the product: that takes seconds on a slow machine, and a
signal without a handler ends the process.
"""

import json
import os
import signal
import time
import types

_STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


class StartupSignals:
    """Handles signals until the event loop takes over.

    A stop signal ends the process at once: nothing runs yet. A reload signal
    is remembered.

    :param descriptor: the file descriptor of the process's log.
    """

    def __init__(self, descriptor: int) -> None:
        self._descriptor = descriptor
        self._is_reload_requested = False

    @property
    def is_reload_requested(self) -> bool:
        """Whether the settings may have changed since the start."""
        return self._is_reload_requested

    def install(self) -> None:
        """Handle signals from now on."""
        signal.signal(signal.SIGHUP, self._request_reload)
        for number in _STOP_SIGNALS:
            signal.signal(number, self._stop)

    def _request_reload(
        self, number: int, frame: types.FrameType | None
    ) -> None:
        self._is_reload_requested = True

    def _stop(self, number: int, frame: types.FrameType | None) -> None:
        line = {
            "message": "stopped",
            "cause": signal.Signals(number).name,
            "phase": "start",
            "time": round(time.time(), 3),
        }
        os.write(self._descriptor, json.dumps(line).encode() + b"\n")
        # An exception could be swallowed by an import that is under way.
        os._exit(os.EX_OK)
