"""Tests of settings: errors name the file, line, key and reason."""

import base64
import pathlib
import re

import pytest

from wagtailstream_agent import settings as agent_settings
from wagtailstream_core import errors
from wagtailstream_entry import settings as entry_settings
from wagtailstream_entry.commands import operator_settings
from wagtailstream_runtime import settings

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
KINDS = {
    "entry": entry_settings.EntrySettings,
    "agent": agent_settings.AgentSettings,
    "operator": operator_settings.OperatorSettings,
}
SECRET = base64.b64encode(b"0123456789abcdef" * 2).decode()


@pytest.mark.parametrize("user", ["kerlann", "gulfmark"])
@pytest.mark.parametrize("kind", sorted(KINDS))
def test_examples_load(
    user: str, kind: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setenv("WAGTAILSTREAM_FLEET_KEY", SECRET)
    path = EXAMPLES / user / f"{kind}.yaml"
    loaded = settings.load(path, KINDS[kind])
    assert loaded.load_keyring().fleet_keys  # type: ignore[attr-defined]


MISTAKES = {
    "unknown key": ("log_level", "loglevel", "loglevel", "loglevel"),
    "impossible value": ("port: 8080", "port: 80800", "port", "port"),
    "host name": ("host: 127.0.0.1\n", "host: localhost\n", "host", "host"),
    "signing key": (
        "signing: fleet-1",
        "signing: none",
        "fleet_keys",
        "signing",
    ),
    "inline secret": (
        "{environment: WAGTAILSTREAM_SESSION_KEY}",
        "{value: secret}",
        "session_keys.keys.session-1",
        "session-1",
    ),
    "public key": ('alice: "Ll7W', 'alice: "', "operator_keys", "alice"),
}


@pytest.mark.parametrize("mistake", sorted(MISTAKES))
def test_mistake_is_named(tmp_path: pathlib.Path, mistake: str) -> None:
    old, new, key, first_word = MISTAKES[mistake]
    text = (EXAMPLES / "kerlann" / "entry.yaml").read_text()
    assert old in text
    path = tmp_path / "entry.yaml"
    path.write_text(text.replace(old, new, 1))
    with pytest.raises(errors.SettingsError) as caught:
        settings.load(path, entry_settings.EntrySettings)
    found = re.search(rf"{path}:(\d+): {key}", str(caught.value))
    assert found is not None, caught.value
    lines = path.read_text().splitlines()
    assert lines[int(found[1]) - 1].strip().startswith(first_word)


@pytest.mark.parametrize(
    ("value", "message"),
    [(None, "not set"), ("%%%", "not base64"), ("YQ==", "shorter")],
)
def test_bad_secret_is_refused_without_showing_it(
    monkeypatch: pytest.MonkeyPatch, value: str | None, message: str
) -> None:
    if value is not None:
        monkeypatch.setenv("A_SECRET", value)
    secret = settings.Secret(environment="A_SECRET")
    with pytest.raises(errors.SettingsError, match=message) as caught:
        secret.load()
    assert value is None or value not in str(caught.value)


def test_yaml_mistake_is_named(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "entry.yaml"
    path.write_text("a: [")
    with pytest.raises(errors.SettingsError, match=r"entry\.yaml"):
        settings.load(path, entry_settings.EntrySettings)
