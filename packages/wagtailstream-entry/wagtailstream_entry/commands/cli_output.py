"""Exit codes, formats and messages that the commands share."""

import json
import sys
import typing

import click

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_LOST = 3
EXIT_TIMEOUT = 4

FORMATS = click.Choice(["text", "json"])
format_option = click.option(
    "--format",
    "output_format",
    type=FORMATS,
    default="text",
    help="How to print the result.",
)

Json = dict[str, typing.Any]


def show(output_format: str, text: str, value: Json) -> None:
    """Print a result.

    :param output_format: ``text`` or ``json``.
    :param text: the result for people.
    :param value: the result for programs.
    """
    click.echo(json.dumps(value) if output_format == "json" else text)


def fail(message: str, code: int) -> typing.NoReturn:
    """Print a message on standard error and exit.

    :param message: what went wrong.
    :param code: the exit code.
    """
    click.echo(message, err=True)
    sys.exit(code)
