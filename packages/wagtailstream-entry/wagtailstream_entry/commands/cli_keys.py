"""The commands that generate keys."""

import base64
import pathlib
import secrets

import click

from wagtailstream_core import bundle, signing
from wagtailstream_entry.commands import cli_output

SHARED_SECRET_BYTES = 32
API_KEY_BYTES = 24
_OWNER_ONLY = 0o600


@click.group()
def keys() -> None:
    """Generate keys."""


@keys.command()
@click.argument(
    "kind", type=click.Choice(["operator", "fleet", "session", "api"])
)
@click.argument("path", type=click.Path(path_type=pathlib.Path))
def new(kind: str, path: pathlib.Path) -> None:
    """Write a new secret to PATH and print its public part, if it has one.

    The public part of an operator's key is its public key, for the
    settings. That of an API key is its hash, for the bundle. An existing
    file is never overwritten.

    Example: wagtailstream keys new operator alice.key
    """
    secret, public = _make_key(kind)
    try:
        with path.open("x") as file:
            path.chmod(_OWNER_ONLY)
            file.write(secret + "\n")
    except OSError as error:
        cli_output.fail(f"{path}: {error.strerror}", cli_output.EXIT_FAILED)
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
        key = f"wt-{secrets.token_urlsafe(API_KEY_BYTES)}"
        return key, bundle.hash_key(key)
    raw = secrets.token_bytes(SHARED_SECRET_BYTES)
    return base64.b64encode(raw).decode(), ""
