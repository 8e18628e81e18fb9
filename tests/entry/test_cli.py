"""The command line: exit codes, messages and output formats."""

import json
import pathlib

import click.testing
import pytest

from wagtailstream_entry import cli
from wagtailstream_entry.commands import cli_output

EXAMPLES = pathlib.Path(__file__).parents[2] / "examples"
SCHEMA = pathlib.Path(__file__).parents[2] / "docs" / "bundle.schema.json"


def invoke(*arguments: str) -> click.testing.Result:
    return click.testing.CliRunner().invoke(cli.main, arguments)


@pytest.mark.parametrize("path", sorted(EXAMPLES.rglob("bundle*.yaml")))
def test_example_bundles_are_valid(path: pathlib.Path) -> None:
    result = invoke("bundle", "check", str(path), "--format", "json")
    assert result.exit_code == 0, result.output
    assert json.loads(result.stdout)["ok"]


CONTRADICTIONS = {
    "stages: [0.05, 0.25, 1.0]": ("stages: [0.5, 0.25]", "do not rise"),
    'stable: "1"': ('stable: "9"', "9 is no version"),
    "ladders: [sheets]": ("ladders: [none]", "unknown ladder none"),
    "- {model: sheet-large}": ("", "forbidden model sheet-large"),
    "data_centre: brest": ("data_centre: paris", "paris"),
    "services: [broker]": ("services: [bank]", "unknown service bank"),
    "priority: 5": ("priority: 50", "customers.3.priority"),
    "schema_version: 1": ("schema_version: 2", "schema_version"),
    "name: demo": ("name: demo\ncolour: red", "colour"),
}


@pytest.mark.parametrize("old", CONTRADICTIONS)
def test_check_names_the_invalid_place(
    tmp_path: pathlib.Path, old: str
) -> None:
    new, message = CONTRADICTIONS[old]
    text = (EXAMPLES / "bundle-demo.yaml").read_text()
    assert old in text
    path = tmp_path / "bundle.yaml"
    path.write_text(text.replace(old, new))
    result = invoke("bundle", "check", str(path))
    assert result.exit_code == cli_output.EXIT_INVALID
    assert message in result.output


def test_key_files_are_not_overwritten(tmp_path: pathlib.Path) -> None:
    path = tmp_path / "alice.key"
    assert invoke("keys", "new", "operator", str(path)).exit_code == 0
    before = path.read_text()
    result = invoke("keys", "new", "operator", str(path))
    assert result.exit_code == cli_output.EXIT_FAILED
    assert path.read_text() == before
    assert path.stat().st_mode & 0o077 == 0


def test_schema_equals_the_documented_one() -> None:
    assert invoke("bundle", "schema").output == SCHEMA.read_text()


def test_diff_prints_the_changed_field(tmp_path: pathlib.Path) -> None:
    old = EXAMPLES / "kerlann" / "bundle.yaml"
    new = tmp_path / "new.yaml"
    new.write_text(old.read_text().replace("strikes: 2", "strikes: 3"))
    result = invoke("bundle", "diff", str(new), str(old))
    assert result.output == "~ limits.strikes: 2 -> 3\n"


def test_every_command_has_an_example() -> None:
    for group in ([], ["bundle"], ["keys"], ["settings"]):
        command = cli.main
        for name in group:
            command = command.commands[name]  # type: ignore[assignment]
        for name, child in command.commands.items():
            if not hasattr(child, "commands"):
                assert "Example:" in (child.help or ""), name
