"""The commands that check and show bundles.

Those that change the configuration are in :mod:`cli_change`.
"""

import asyncio
import json
import pathlib
import typing

import click

from wagtailstream_core import (
    bundle,
    bundle_diff,
    configuration,
    errors,
    records,
)
from wagtailstream_entry.callers import operations
from wagtailstream_entry.commands import (
    cli_change,
    cli_output,
    operator_settings,
)
from wagtailstream_runtime import log_client

PathArgument = click.Path(path_type=pathlib.Path)


@click.group(name="bundle")
def bundle_group() -> None:
    """Check, publish, approve and roll out bundles."""


for _command in cli_change.COMMANDS:
    bundle_group.add_command(_command)


def _read_bundle(path: pathlib.Path) -> dict[str, object]:
    try:
        return operations.read_bundle(path)
    except errors.BundleError as error:
        cli_output.fail(str(error), cli_output.EXIT_INVALID)


def _fetch_configuration(
    loaded: operator_settings.OperatorSettings,
) -> configuration.Configuration:
    log = log_client.HttpLogClient(str(loaded.log))
    try:
        return asyncio.run(
            operations.fetch_configuration(log, loaded.load_keyring())
        )
    except errors.LogUnavailableError as error:
        cli_output.fail(str(error), cli_output.EXIT_FAILED)


@bundle_group.command()
@click.argument("path", type=PathArgument)
@cli_output.format_option
def check(path: pathlib.Path, output_format: str) -> None:
    """Check the bundle in PATH for errors and contradictions.

    Example: wagtailstream bundle check bundle.yaml
    """
    try:
        document = operations.read_bundle(path)
    except errors.BundleError as error:
        if output_format == "json":
            click.echo(json.dumps({"ok": False, "detail": str(error)}))
        cli_output.fail(str(error), cli_output.EXIT_INVALID)
    digest = operations.digest_document(document)
    cli_output.show(
        output_format, f"{path}: ok {digest}", {"ok": True, "digest": digest}
    )


@bundle_group.command()
def schema() -> None:
    """Print the JSON Schema of bundles.

    Example: wagtailstream bundle schema > bundle.schema.json
    """
    click.echo(json.dumps(bundle.Bundle.model_json_schema(), indent=2))


@bundle_group.command()
@click.argument("path", type=PathArgument)
@click.argument("out", type=PathArgument)
@cli_change.settings_option
def sign(
    path: pathlib.Path, out: pathlib.Path, settings_path: pathlib.Path
) -> None:
    """Sign the bundle in PATH and write the record to OUT.

    The record is based on the configuration now in force. Publish it with
    `bundle publish --signed`, from any machine.

    Example: wagtailstream bundle sign bundle.yaml bundle.signed
    --settings alice.yaml
    """
    document = _read_bundle(path)
    loaded = cli_change.load_settings(settings_path)
    record = operations.make_publish(document, _fetch_configuration(loaded))
    out.write_bytes(records.seal(record, loaded.load_signer()))
    click.echo(f"{out}: {operations.digest_document(document)}")


@bundle_group.command()
@click.argument("path", type=PathArgument)
@click.argument("other", type=PathArgument, required=False)
@click.option(
    "--settings",
    "settings_path",
    type=PathArgument,
    help="The operator's settings file; needed without OTHER.",
)
@cli_output.format_option
def diff(
    path: pathlib.Path,
    other: pathlib.Path | None,
    settings_path: pathlib.Path | None,
    output_format: str,
) -> None:
    """Show what the bundle in PATH changes.

    The bundle is compared with the one in OTHER or, without OTHER, with the
    bundle in force, which is read from the log.

    Example: wagtailstream bundle diff new.yaml --settings alice.yaml
    """
    document = _read_bundle(path)
    if other is not None:
        before = _normalise(_read_bundle(other))
    elif settings_path is not None:
        before = _dump_in_force(cli_change.load_settings(settings_path))
    else:
        raise click.UsageError("give either OTHER or --settings")
    changes = bundle_diff.compare(before, _normalise(document))
    cli_output.show(
        output_format,
        "\n".join(str(change) for change in changes) or "no changes",
        {"changes": [str(change) for change in changes]},
    )


def _normalise(document: dict[str, object]) -> dict[str, typing.Any]:
    return bundle.parse(document, "bundle").model_dump(mode="json")


def _dump_in_force(
    loaded: operator_settings.OperatorSettings,
) -> dict[str, object]:
    state = _fetch_configuration(loaded)
    if state.bundle is None:
        return {}
    return state.bundle.model_dump(mode="json")


@bundle_group.command()
@cli_change.settings_option
@cli_output.format_option
def status(settings_path: pathlib.Path, output_format: str) -> None:
    """Show the configuration in the log.

    The output lists the bundle in force, the proposal, the roll-outs, and
    the withdrawn and suspended versions.

    Example: wagtailstream bundle status --settings alice.yaml
    """
    state = _fetch_configuration(cli_change.load_settings(settings_path))
    proposal = state.proposal.digest if state.proposal else None
    value = {
        "offset": state.offset,
        "revision": state.revision,
        "bundle": state.bundle.name if state.bundle else None,
        "proposal": proposal,
        "rollouts": [
            {"model": r.model, "candidate": r.candidate, "stage": r.stage}
            for r in state.rollouts
        ],
        "withdrawn": [str(version) for version in sorted(state.withdrawn)],
        "suspended": [str(version) for version in sorted(state.suspended)],
    }
    cli_output.show(
        output_format,
        "\n".join(f"{name}: {item}" for name, item in value.items()),
        value,
    )
