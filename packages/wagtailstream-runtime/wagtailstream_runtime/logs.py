"""Logging as JSON lines.

Each request is logged once, at its end; further details are logged at level
debug.
"""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

_FORMAT = "{asctime}{levelname}{name}{message}"


def configure(level: str) -> None:
    """Send all logs to standard error as JSON lines.

    :param level: name of the lowest level to log.
    """
    handler = logging.StreamHandler(sys.stderr)
    handler.setFormatter(
        jsonlogger.JsonFormatter(
            _FORMAT,
            style="{",
            rename_fields={"asctime": "time", "levelname": "level"},
        )
    )
    root = logging.getLogger()
    root.handlers = [handler]
    root.setLevel(level.upper())
    for name in ("tornado.access", "hpack", "asyncio", "grpclib"):
        logging.getLogger(name).setLevel(logging.WARNING)
