"""The operators' own settings of a router, in YAML."""

import dataclasses
import pathlib
import typing

import yaml

from wagtailstream_router import errors, event_log, ladder

_STEP = "read settings"


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """What the operators decide.

    :param credits_: what answers earn, for the choice of models.
    :param metrics_port: where metrics are served; 0 for nowhere.
    :param lines_per_second: log lines that a process may write.
    """

    credits_: ladder.Credits = ladder.Credits((1.0,), 0.2)
    metrics_port: int = 0
    lines_per_second: float = event_log.LINES_PER_SECOND


def load(path: str) -> Policy:
    """Return the settings of a file.

    :raises errors.SettingsError: it can't be used; names file and key.
    """
    try:
        table = yaml.safe_load(pathlib.Path(path).read_text())
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(_STEP, path, str(error)) from error
    if not isinstance(table, dict):
        raise errors.SettingsError(_STEP, path, "no table of settings")
    unknown = set(table) - {"credits", "metrics_port", "lines_per_second"}
    if unknown:
        raise errors.SettingsError(
            _STEP, path, f"unknown settings: {', '.join(sorted(unknown))}"
        )
    return Policy(
        _decode_credits(path, table.get("credits")),
        int(_number(path, table, "metrics_port", 0.0, 65535.0, 0.0)),
        _number(
            path,
            table,
            "lines_per_second",
            1.0,
            100000.0,
            event_log.LINES_PER_SECOND,
        ),
    )


def _decode_credits(path: str, table: object) -> ladder.Credits:
    if not isinstance(table, dict):
        raise errors.SettingsError(_STEP, path, "credits: no table")
    by_priority = table.get("by_priority")
    if not isinstance(by_priority, list) or not by_priority:
        raise errors.SettingsError(
            _STEP, path, "credits.by_priority: no list of numbers"
        )
    values = {str(place): value for place, value in enumerate(by_priority)}
    return ladder.Credits(
        tuple(
            _number(path, values, place, 0.0, 1e6, None) for place in values
        ),
        _number(path, table, "late_share", 0.0, 1.0, None),
    )


def _number(
    path: str,
    table: dict[typing.Any, object],
    key: str,
    least: float,
    most: float,
    default: float | None,
) -> float:
    value = table.get(key, default)
    if isinstance(value, bool) or not isinstance(value, (int, float)):
        raise errors.SettingsError(_STEP, path, f"{key}: {value!r}: no number")
    if not least <= value <= most:
        raise errors.SettingsError(
            _STEP, path, f"{key}: {value} is not in {least} to {most}"
        )
    return float(value)
