"""The command line: the entry itself and the operators' commands."""

import asyncio
import base64
import collections.abc
import json
import pathlib
import secrets
import sys
import time
import typing

import click

from wagtailstream_core import (
    bundle,
    configuration,
    errors,
    records,
    signing,
)
from wagtailstream_entry import (
    app,
    operations,
    operator_settings,
    settings,
)
from wagtailstream_platform import log_client, logs
from wagtailstream_platform import settings as platform_settings

EXIT_FAILED = 1
EXIT_INVALID = 2
EXIT_LOST = 3
EXIT_TIMEOUT = 4
FLEET_SECRET_BYTES = 32
APPEND_TRIES = 20
FORMATS = click.Choice(["text", "json"])

PathArgument = click.Path(path_type=pathlib.Path)
Json = dict[str, typing.Any]


@click.group()
def main() -> None:
    """Run an entry, and operate the fleet."""


def _print(output_format: str, text: str, value: Json) -> None:
    click.echo(json.dumps(value) if output_format == "json" else text)


def _fail(message: str, code: int) -> typing.NoReturn:
    click.echo(message, err=True)
    sys.exit(code)


def _load_entry(path: pathlib.Path) -> settings.EntrySettings:
    try:
        loaded = platform_settings.load(path, settings.EntrySettings)
        loaded.load_keyring()
        loaded.session_keys.load_session_keys()
    except errors.SettingsError as error:
        _fail(str(error), EXIT_INVALID)
    return loaded


def _load_operator(
    path: pathlib.Path,
) -> operator_settings.OperatorSettings:
    try:
        return platform_settings.load(path, operator_settings.OperatorSettings)
    except errors.SettingsError as error:
        _fail(str(error), EXIT_INVALID)


@main.command()
@click.argument("path", type=PathArgument)
def serve(path: pathlib.Path) -> None:
    """Serve an entry with the settings in PATH until SIGTERM.

    Example: wagtailstream serve entry.yaml
    """
    loaded = _load_entry(path)
    logs.configure(loaded.log_level)
    asyncio.run(_serve(loaded))


async def _serve(loaded: settings.EntrySettings) -> None:
    await app.Entry(loaded).serve()


@main.group(name="settings")
def settings_group() -> None:
    """Work with settings files."""


@settings_group.command(name="check")
@click.argument("path", type=PathArgument)
def check_settings(path: pathlib.Path) -> None:
    """Check an entry's settings in PATH, its secrets included.

    Example: wagtailstream settings check entry.yaml
    """
    _load_entry(path)
    click.echo(f"{path}: ok")


@main.group()
def keys() -> None:
    """Make keys."""


@keys.command()
@click.argument("kind", type=click.Choice(["operator", "fleet", "api"]))
@click.argument("path", type=PathArgument)
def new(kind: str, path: pathlib.Path) -> None:
    """Write a new secret to PATH and print its public part.

    An operator's public key, and an API key's hash for the bundle, are
    printed. An existing file is never overwritten.

    Example: wagtailstream keys new operator alice.key
    """
    secret, public = _make_key(kind)
    try:
        with path.open("x") as file:
            path.chmod(0o600)
            file.write(secret + "\n")
    except OSError as error:
        _fail(f"{path}: {error.strerror}", EXIT_FAILED)
    if public:
        click.echo(public)


def _make_key(kind: str) -> tuple[str, str]:
    if kind == "operator":
        pair = signing.generate_operator_key()
        return (
            base64.b64encode(pair.private_key).decode(),
            base64.b64encode(pair.public_key).decode(),
        )
    if kind == "api":
        key = f"wt-{secrets.token_urlsafe(24)}"
        return key, bundle.hash_key(key)
    raw = secrets.token_bytes(FLEET_SECRET_BYTES)
    return base64.b64encode(raw).decode(), ""


@main.group(name="bundle")
def bundle_group() -> None:
    """Check, publish, sign off and roll out bundles."""


@bundle_group.command()
@click.argument("path", type=PathArgument)
@click.option("--format", "output_format", type=FORMATS, default="text")
def check(path: pathlib.Path, output_format: str) -> None:
    """Check the bundle in PATH for mistakes and contradictions.

    Example: wagtailstream bundle check bundle.yaml
    """
    try:
        document = operations.read_bundle(path)
    except errors.BundleError as error:
        if output_format == "json":
            click.echo(json.dumps({"ok": False, "detail": str(error)}))
        _fail(str(error), EXIT_INVALID)
    digest = operations.digest_document(document)
    _print(
        output_format, f"{path}: ok {digest}", {"ok": True, "digest": digest}
    )


@bundle_group.command()
def schema() -> None:
    """Print the JSON Schema of bundles."""
    click.echo(json.dumps(bundle.Bundle.model_json_schema(), indent=2))


Maker = collections.abc.Callable[[configuration.Configuration], records.Record]


def _change(
    settings_path: pathlib.Path,
    make_record: Maker,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Append a record, say whether it counts, wait until it is in force."""
    loaded = _load_operator(settings_path)
    try:
        published = asyncio.run(_append(loaded, make_record))
    except errors.LogUnavailableError as error:
        _fail(str(error), EXIT_FAILED)
    except errors.WagtailstreamError as error:
        _fail(str(error), EXIT_INVALID)
    if published.verdict is not configuration.Verdict.ACCEPTED:
        text = f"rejected: {published.verdict.value}: {published.detail}"
        _print(output_format, text, _describe(published))
        sys.exit(EXIT_LOST)
    _print(
        output_format,
        f"accepted at offset {published.offset}",
        _describe(published),
    )
    _wait_in_force(loaded, published.offset, wait_seconds)


async def _append(
    loaded: operator_settings.OperatorSettings, make_record: Maker
) -> operations.Published:
    log = log_client.HttpLogClient(str(loaded.log))
    keyring = loaded.load_keyring()
    state = await operations.fetch_configuration(log, keyring)
    payload = records.seal(make_record(state), loaded.load_signer())
    return await operations.append_record(log, keyring, payload, APPEND_TRIES)


def _describe(published: operations.Published) -> Json:
    return {
        "offset": published.offset,
        "verdict": published.verdict.value,
        "detail": published.detail,
    }


def _wait_in_force(
    loaded: operator_settings.OperatorSettings,
    offset: int,
    wait_seconds: float,
) -> None:
    urls = [str(url) for url in loaded.entries]
    if not urls or wait_seconds <= 0:
        return
    deadline = time.monotonic() + wait_seconds
    progress = asyncio.run(operations.measure_progress(urls, offset))
    while progress.behind and time.monotonic() < deadline:
        time.sleep(operations.POLL_SECONDS)
        progress = asyncio.run(operations.measure_progress(urls, offset))
    total = progress.in_force + len(progress.behind)
    click.echo(f"in force on {progress.in_force} of {total}", err=True)
    if progress.behind:
        _fail("not yet on: " + ", ".join(progress.behind), EXIT_TIMEOUT)


def _add_change_options(
    command: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., None]:
    for option in (
        click.option(
            "--settings",
            "settings_path",
            type=PathArgument,
            required=True,
            help="The operator's settings.",
        ),
        click.option(
            "--wait",
            "wait_seconds",
            type=float,
            default=10.0,
            help="Seconds to wait until it is in force everywhere.",
        ),
        click.option(
            "--format", "output_format", type=FORMATS, default="text"
        ),
    ):
        command = option(command)
    return command


@bundle_group.command()
@click.argument("path", type=PathArgument)
@_add_change_options
def publish(
    path: pathlib.Path,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Propose the bundle in PATH; another operator must approve it.

    Example: wagtailstream bundle publish bundle.yaml --settings alice.yaml
    """
    try:
        document = operations.read_bundle(path)
    except errors.BundleError as error:
        _fail(str(error), EXIT_INVALID)
    _change(
        settings_path,
        lambda state: operations.make_publish(document, state),
        wait_seconds,
        output_format,
    )


@bundle_group.command()
@click.argument("path", type=PathArgument, required=False)
@_add_change_options
def approve(
    path: pathlib.Path | None,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Sign off the proposed bundle; with PATH, only if it is that one.

    Example: wagtailstream bundle approve bundle.yaml --settings bob.yaml
    """
    expected = None
    if path is not None:
        try:
            expected = operations.digest_document(operations.read_bundle(path))
        except errors.BundleError as error:
            _fail(str(error), EXIT_INVALID)
    _change(
        settings_path,
        lambda state: operations.make_approve(
            expected or operations.find_proposal_digest(state), state
        ),
        wait_seconds,
        output_format,
    )


@bundle_group.command()
@click.argument("model")
@_add_change_options
def advance(
    model: str,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Move the roll-out of MODEL to its next stage.

    Example: wagtailstream bundle advance drafter --settings alice.yaml
    """
    _change(
        settings_path,
        lambda state: operations.make_advance(model, state),
        wait_seconds,
        output_format,
    )


@bundle_group.command()
@click.argument("model")
@click.argument("version")
@_add_change_options
def withdraw(
    model: str,
    version: str,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Withdraw VERSION of MODEL for good.

    Example: wagtailstream bundle withdraw drafter 2 --settings alice.yaml
    """
    _change(
        settings_path,
        lambda state: records.Withdraw(
            base=state.revision, model=model, version=version
        ),
        wait_seconds,
        output_format,
    )


@bundle_group.command()
@click.argument("model")
@click.argument("version")
@_add_change_options
def reinstate(
    model: str,
    version: str,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Lift the suspension of VERSION of MODEL.

    Example: wagtailstream bundle reinstate drafter 2 --settings alice.yaml
    """
    _change(
        settings_path,
        lambda state: records.Reinstate(
            base=state.revision, model=model, version=version
        ),
        wait_seconds,
        output_format,
    )


@main.command()
@click.argument("urls", nargs=-1, required=True)
@click.option("--format", "output_format", type=FORMATS, default="text")
def status(urls: tuple[str, ...], output_format: str) -> None:
    """Show what the entries at URLS and their agents have in force.

    Example: wagtailstream status http://127.0.0.1:8080
    """
    failed = False
    for url in urls:
        try:
            found = asyncio.run(operations.fetch_status(url))
        except errors.PeerError as error:
            failed = True
            click.echo(str(error), err=True)
            continue
        _print(output_format, _format_status(found), found.model_dump())
    if failed:
        sys.exit(EXIT_FAILED)


def _format_status(found: operations.EntryStatus) -> str:
    lines = [
        f"{found.instance} ({found.data_centre}): bundle {found.bundle}, "
        f"offset {found.offset}, {found.freshness}, "
        f"in flight {found.in_flight}, bills waiting {found.bills_waiting}"
        + (", draining" if found.draining else "")
    ]
    lines += [f"  withdrawn {name}" for name in found.withdrawn]
    lines += [f"  suspended {name}" for name in found.suspended]
    lines += [
        f"  {agent.endpoint or agent.address}: offset {agent.offset}, "
        f"running {agent.running}, queued {agent.queued}, "
        + ("usable" if agent.usable else "not usable")
        for agent in found.agents
    ]
    lines += [
        f"  {name} {count}"
        for name, count in sorted(found.counters.items())
        if name.startswith("refused")
    ]
    return "\n".join(lines)


if __name__ == "__main__":
    main()
