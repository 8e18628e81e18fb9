"""The command line of the agent."""

import asyncio
import pathlib
import sys

import click

from wagtailstream_agent import app, settings
from wagtailstream_core import errors
from wagtailstream_runtime import logs
from wagtailstream_runtime import settings as platform_settings

EXIT_INVALID_SETTINGS = 2


@click.group()
def main() -> None:
    """Run an endpoint's agent, and check its settings."""


@main.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def serve(path: pathlib.Path) -> None:
    """Run an agent with the settings in PATH until SIGTERM.

    Example: wagtailstream-agent serve agent.yaml
    """
    loaded = _load(path)
    logs.configure(loaded.log_level)
    asyncio.run(_serve(loaded))


async def _serve(loaded: settings.AgentSettings) -> None:
    await app.Agent(loaded).serve()


@main.group(name="settings")
def settings_group() -> None:
    """Check settings files."""


@settings_group.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check(path: pathlib.Path) -> None:
    """Check the settings in PATH, including the secrets they refer to.

    Example: wagtailstream-agent settings check agent.yaml
    """
    _load(path)
    click.echo(f"{path}: ok")


def _load(path: pathlib.Path) -> settings.AgentSettings:
    try:
        loaded = platform_settings.load(path, settings.AgentSettings)
        loaded.load_keyring()
    except errors.SettingsError as error:
        click.echo(str(error), err=True)
        sys.exit(EXIT_INVALID_SETTINGS)
    return loaded
