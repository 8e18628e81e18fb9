"""Exit codes and output functions that the commands share."""

import json
import sys
import typing

import click

# An instance or the log failed.
EXIT_FAILED = 1
# The input, the settings or the bundle are invalid.
EXIT_INVALID = 2
# The change was rejected, for example because another one came first.
EXIT_REJECTED = 3
# The change was not in force everywhere in time.
EXIT_TIMEOUT = 4

FORMATS = click.Choice(["text", "json"])
format_option = click.option(
    "--format",
    "output_format",
    type=FORMATS,
    default="text",
    help="The format of the output.",
)

Json = dict[str, typing.Any]


def show(output_format: str, text: str, value: Json) -> None:
    """Print a result.

    :param output_format: ``text`` or ``json``.
    :param text: the result as text.
    :param value: the result as JSON.
    """
    click.echo(json.dumps(value) if output_format == "json" else text)


def fail(message: str, code: int) -> typing.NoReturn:
    """Print an error message on standard error and exit.

    :param message: the error message.
    :param code: the exit code.
    """
    click.echo(message, err=True)
    sys.exit(code)
