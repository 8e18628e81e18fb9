"""The commands that change the configuration."""

import asyncio
import collections.abc
import pathlib
import sys
import time

import click

from wagtailstream_core import configuration, errors, records
from wagtailstream_entry.callers import operations
from wagtailstream_entry.commands import cli_output, operator_settings
from wagtailstream_runtime import log_client
from wagtailstream_runtime import settings as platform_settings

# Attempts to append a record and to find the verdict on it.
MAX_APPEND_ATTEMPTS = 20
# The default of --wait.
DEFAULT_WAIT_SECONDS = 10.0

PathArgument = click.Path(path_type=pathlib.Path)
settings_option = click.option(
    "--settings",
    "settings_path",
    type=PathArgument,
    required=True,
    help="The operator's settings file, in YAML.",
)
_wait_option = click.option(
    "--wait",
    "wait_seconds",
    type=float,
    default=DEFAULT_WAIT_SECONDS,
    help="Maximum seconds to wait until all instances apply the change.",
)

Sealer = collections.abc.Callable[
    [configuration.Configuration, operator_settings.OperatorSettings], bytes
]
RecordMaker = collections.abc.Callable[
    [configuration.Configuration], records.Record
]


def load_settings(
    path: pathlib.Path,
) -> operator_settings.OperatorSettings:
    """Return an operator's settings; exit if they are invalid.

    :param path: the settings file.
    """
    try:
        return platform_settings.load(path, operator_settings.OperatorSettings)
    except errors.SettingsError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)


def _seal_with(make_record: RecordMaker) -> Sealer:
    def seal(
        state: configuration.Configuration,
        loaded: operator_settings.OperatorSettings,
    ) -> bytes:
        return records.seal(make_record(state), loaded.load_signer())

    return seal


def _change(
    settings_path: pathlib.Path,
    seal: Sealer,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Append a record, print the verdict, and wait until it is in force."""
    loaded = load_settings(settings_path)
    try:
        result = asyncio.run(_append(loaded, seal))
    except errors.LogUnavailableError as error:
        cli_output.fail(str(error), cli_output.EXIT_FAILED)
    except errors.StageMovedError as error:
        cli_output.fail(str(error), cli_output.EXIT_REJECTED)
    except errors.WagtailstreamError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)
    value = {
        "offset": result.offset,
        "verdict": result.verdict.value,
        "detail": result.detail,
    }
    if result.verdict is not configuration.Verdict.ACCEPTED:
        text = f"rejected: {result.verdict.value}: {result.detail}"
        cli_output.show(output_format, text, value)
        sys.exit(cli_output.EXIT_REJECTED)
    text = f"accepted at offset {result.offset}"
    cli_output.show(output_format, text, value)
    _wait_in_force(loaded, result.offset, wait_seconds)


async def _append(
    loaded: operator_settings.OperatorSettings, seal: Sealer
) -> operations.ChangeResult:
    log = log_client.HttpLogClient(str(loaded.log))
    keyring = loaded.load_keyring()
    state = await operations.fetch_configuration(log, keyring)
    change = operations.Change(seal(state, loaded), state)
    return await operations.append_record(
        log, keyring, change, MAX_APPEND_ATTEMPTS
    )


def _wait_in_force(
    loaded: operator_settings.OperatorSettings,
    offset: int,
    wait_seconds: float,
) -> None:
    """Print the progress of a change until all instances hold it."""
    urls = [str(url) for url in loaded.entries]
    if not urls or wait_seconds <= 0:
        return
    deadline = time.monotonic() + wait_seconds
    shown = -1
    while True:
        progress = asyncio.run(operations.measure_progress(urls, offset))
        total = progress.in_force + len(progress.behind)
        if progress.in_force != shown:
            shown = progress.in_force
            click.echo(f"in force on {shown} of {total}", err=True)
        if not progress.behind:
            return
        if time.monotonic() > deadline:
            break
        time.sleep(operations.POLL_SECONDS)
    cli_output.fail(
        "the change is not yet in force on: " + ", ".join(progress.behind),
        cli_output.EXIT_TIMEOUT,
    )


def _add_options(
    command: collections.abc.Callable[..., None],
) -> collections.abc.Callable[..., None]:
    return settings_option(_wait_option(cli_output.format_option(command)))


@click.command()
@click.argument("path", type=PathArgument)
@click.option(
    "--signed",
    is_flag=True,
    help="PATH holds the record that `bundle sign` wrote.",
)
@_add_options
def publish(
    path: pathlib.Path,
    signed: bool,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Propose the bundle in PATH; another operator must approve it.

    Prints whether the proposal was accepted, or rejected because another
    change came first. If the log's response is lost, the log is read to
    find the verdict.

    Example: wagtailstream bundle publish bundle.yaml --settings alice.yaml
    """
    try:
        if signed:
            payload = path.read_bytes()
            _change(
                settings_path,
                lambda *_: payload,
                wait_seconds,
                output_format,
            )
            return
        document = operations.read_bundle(path)
    except errors.BundleError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)
    except OSError as error:
        cli_output.fail(f"{path}: {error}", cli_output.EXIT_INVALID)
    _change(
        settings_path,
        _seal_with(lambda state: operations.make_publish(document, state)),
        wait_seconds,
        output_format,
    )


@click.command()
@click.argument("path", type=PathArgument, required=False)
@_add_options
def approve(
    path: pathlib.Path | None,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Approve the proposed bundle.

    With PATH, it is approved only if it equals the bundle in PATH.

    Example: wagtailstream bundle approve bundle.yaml --settings bob.yaml
    """
    expected = ""
    if path is not None:
        try:
            document = operations.read_bundle(path)
        except errors.BundleError as error:
            cli_output.fail(str(error), cli_output.EXIT_INVALID)
        expected = operations.digest_document(document)
    _change(
        settings_path,
        _seal_with(
            lambda state: operations.make_approve(
                expected or operations.find_proposal_digest(state), state
            )
        ),
        wait_seconds,
        output_format,
    )


@click.command()
@click.argument("model")
@click.option(
    "--to",
    "target",
    type=click.IntRange(min=1),
    help="The stage to advance to, counted from 0; default: the next.",
)
@_add_options
def advance(
    model: str,
    target: int | None,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Advance the roll-out of MODEL to its next or a later stage.

    With --to, the command starts from the stage that the log shows, waits
    until each stage is in force, and stops once the given stage is reached.
    To resume an interrupted roll-out, run the same command again, on any
    machine.

    Example: wagtailstream bundle advance drafter --to 2 --settings alice.yaml
    """
    if target is None:
        _advance_once(settings_path, model, None, wait_seconds, output_format)
        return
    while (stage := _find_stage(settings_path, model)) < target:
        click.echo(f"{model}: advancing from stage {stage}", err=True)
        try:
            _advance_once(
                settings_path, model, stage, wait_seconds, output_format
            )
        except SystemExit as error:
            # Another operator advanced the roll-out meanwhile, which serves
            # the same purpose.
            if error.code != cli_output.EXIT_REJECTED:
                raise
    click.echo(f"{model}: stage {stage} reached", err=True)


def _advance_once(
    settings_path: pathlib.Path,
    model: str,
    expected_stage: int | None,
    wait_seconds: float,
    output_format: str,
) -> None:
    _change(
        settings_path,
        _seal_with(
            lambda state: operations.make_advance(model, state, expected_stage)
        ),
        wait_seconds,
        output_format,
    )


def _find_stage(settings_path: pathlib.Path, model: str) -> int:
    loaded = load_settings(settings_path)
    log = log_client.HttpLogClient(str(loaded.log))
    try:
        state = asyncio.run(
            operations.fetch_configuration(log, loaded.load_keyring())
        )
        return operations.find_stage(model, state).stage
    except errors.LogUnavailableError as error:
        cli_output.fail(str(error), cli_output.EXIT_FAILED)
    except errors.WagtailstreamError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)


@click.command()
@click.argument("model")
@click.argument("version")
@_add_options
def withdraw(
    model: str,
    version: str,
    settings_path: pathlib.Path,
    wait_seconds: float,
    output_format: str,
) -> None:
    """Withdraw VERSION of MODEL permanently.

    Example: wagtailstream bundle withdraw drafter 2 --settings alice.yaml
    """
    _change(
        settings_path,
        _seal_with(
            lambda state: records.Withdraw(
                base=state.revision, model=model, version=version
            )
        ),
        wait_seconds,
        output_format,
    )


@click.command()
@click.argument("model")
@click.argument("version")
@_add_options
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
        _seal_with(
            lambda state: records.Reinstate(
                base=state.revision, model=model, version=version
            )
        ),
        wait_seconds,
        output_format,
    )


COMMANDS = (publish, approve, advance, withdraw, reinstate)
