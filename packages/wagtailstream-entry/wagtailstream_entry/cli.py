"""The command line: runs an entry, and the operators' commands.

Exit codes:

- 0: success.
- 1: an instance or the log failed.
- 2: the input, the settings or the bundle are invalid.
- 3: the change was rejected, for example because another one came first.
- 4: the change was not in force everywhere in time.
"""

import asyncio
import pathlib
import sys

import click

from wagtailstream_core import errors
from wagtailstream_entry import app, settings
from wagtailstream_entry.callers import operations
from wagtailstream_entry.commands import cli_bundle, cli_keys, cli_output
from wagtailstream_runtime import logs
from wagtailstream_runtime import settings as platform_settings


@click.group(
    epilog="Shell completion: "
    'eval "$(_WAGTAILSTREAM_COMPLETE=bash_source wagtailstream)"'
)
@click.version_option(package_name="wagtailstream-entry")
def main() -> None:
    """Run an entry, and change the configuration of the fleet."""


main.add_command(cli_bundle.bundle_group)
main.add_command(cli_keys.keys)


def _load_entry_settings(path: pathlib.Path) -> settings.EntrySettings:
    try:
        loaded = platform_settings.load(path, settings.EntrySettings)
        loaded.load_keyring()
        loaded.session_keys.load_session_keys()
    except errors.SettingsError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)
    return loaded


@main.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def serve(path: pathlib.Path) -> None:
    """Run an entry with the settings in PATH until SIGTERM.

    Example: wagtailstream serve entry.yaml
    """
    loaded = _load_entry_settings(path)
    logs.configure(loaded.log_level)
    asyncio.run(_serve(loaded))


async def _serve(loaded: settings.EntrySettings) -> None:
    await app.Entry(loaded).serve()


@main.group(name="settings")
def settings_group() -> None:
    """Check settings files."""


@settings_group.command()
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def check(path: pathlib.Path) -> None:
    """Check an entry's settings in PATH, including its secrets.

    Example: wagtailstream settings check entry.yaml
    """
    _load_entry_settings(path)
    click.echo(f"{path}: ok")


@main.command()
@click.argument("urls", nargs=-1, required=True)
@cli_output.format_option
def status(urls: tuple[str, ...], output_format: str) -> None:
    """Show the status of the entries at URLS and of their agents.

    Example: wagtailstream status http://127.0.0.1:8080
    """
    has_failed = False
    for url in urls:
        try:
            reply = asyncio.run(operations.fetch_status(url))
        except errors.PeerError as error:
            has_failed = True
            click.echo(str(error), err=True)
            continue
        cli_output.show(
            output_format,
            _format_status(reply),
            reply.model_dump(),
        )
    if has_failed:
        sys.exit(cli_output.EXIT_FAILED)


def _format_status(reply: operations.EntryStatus) -> str:
    lines = [
        f"{reply.instance} ({reply.data_centre}): bundle {reply.bundle}, "
        f"offset {reply.offset}, {reply.freshness}, "
        f"in flight {reply.in_flight}, bills waiting {reply.bills_waiting}"
        + (", draining" if reply.draining else "")
    ]
    lines += [f"  withdrawn {name}" for name in reply.withdrawn]
    lines += [f"  suspended {name}" for name in reply.suspended]
    lines += [
        f"  {agent.endpoint or agent.address}: offset {agent.offset}, "
        f"running {agent.running}, queued {agent.queued}, "
        + ("usable" if agent.usable else "not usable")
        for agent in reply.agents
    ]
    lines += [
        f"  {name} {count}"
        for name, count in sorted(reply.counters.items())
        if name.startswith("refused")
    ]
    return "\n".join(lines)
