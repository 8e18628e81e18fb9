"""Logs as JSON lines: one line a request at its end, the rest at debug."""

import logging
import sys

from pythonjsonlogger import json as jsonlogger

_FORMAT = "{asctime}{levelname}{name}{message}"


def configure(level: str) -> None:
    """Send all logs to standard error as JSON lines.

    :param level: the name of the lowest level to write.
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
    for noisy in ("tornado.access", "hpack", "asyncio", "grpclib"):
        logging.getLogger(noisy).setLevel(logging.WARNING)
