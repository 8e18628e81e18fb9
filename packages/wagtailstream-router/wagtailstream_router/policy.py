"""The operators' settings file of the router, in YAML."""

import dataclasses
import pathlib
import typing

import yaml

from wagtailstream_router import errors, event_log
from wagtailstream_router.admission import bounds as admission_bounds
from wagtailstream_router.cascade import worth
from wagtailstream_router.flow import bounds

_STEP = "read settings"
_DEFAULT_ADMISSION = admission_bounds.AdmissionBounds()
# At most half, as the platform ignores readiness beyond that.
TURN_AWAY_SHARE = 0.25


@dataclasses.dataclass(frozen=True, slots=True)
class Policy:
    """Settings that the operators choose.

    :param credits_: the credit of answers, for the choice of models.
    :param metrics_port: the port that serves metrics; 0 for none.
    :param lines_per_second: the rate limit of a process's log lines.
    :param learns_speeds: whether the times of model servers are learnt.
    :param buffers: how much may be held for callers and endpoints.
    :param admission: bounds of the queue; None to send all requests at once.
    :param turn_away_share: the share of a data centre's instances, 0 to 1,
        that may turn callers away at once.
    """

    credits_: worth.Credits = worth.Credits()
    metrics_port: int = 0
    lines_per_second: float = event_log.LINES_PER_SECOND
    learns_speeds: bool = False
    buffers: bounds.BufferPolicy = bounds.BufferPolicy()
    admission: admission_bounds.AdmissionBounds | None = None
    turn_away_share: float = TURN_AWAY_SHARE


def load(path: str) -> Policy:
    """Return the settings of a YAML file.

    :raises errors.SettingsError: the file can't be read or a value is
        invalid; names the file and the key.
    """
    try:
        table = yaml.safe_load(pathlib.Path(path).read_text())
    except (OSError, yaml.YAMLError) as error:
        raise errors.SettingsError(_STEP, path, str(error)) from error
    if not isinstance(table, dict):
        raise errors.SettingsError(_STEP, path, "expected a YAML mapping")
    _check_keys(
        path,
        table,
        {
            "credits",
            "worth",
            "engines",
            "metrics_port",
            "lines_per_second",
            "buffers",
            "admission",
            "turn_away_share",
        },
        "",
    )
    return Policy(
        _decode_worth(path, table),
        int(_number(path, table, "metrics_port", 0.0, 65535.0, 0.0)),
        _number(
            path,
            table,
            "lines_per_second",
            1.0,
            100000.0,
            event_log.LINES_PER_SECOND,
        ),
        _decode_learns_speeds(path, table),
        _decode_buffers(path, table.get("buffers", {})),
        _decode_admission(path, table.get("admission")),
        _number(path, table, "turn_away_share", 0.0, 0.5, TURN_AWAY_SHARE),
    )


def _check_keys(
    path: str,
    table: dict[typing.Any, object],
    known: set[str],
    section: str,
) -> None:
    """Check that a section has no unknown keys.

    :param section: the prefix of its keys in messages.
    :raises errors.SettingsError: there are some; names them.
    """
    unknown = sorted(f"{section}{key}" for key in set(table) - known)
    if unknown:
        raise errors.SettingsError(
            _STEP, path, f"unknown settings: {', '.join(unknown)}"
        )


def _decode_admission(
    path: str, table: object
) -> admission_bounds.AdmissionBounds | None:
    if table is None:
        return None
    if not isinstance(table, dict):
        raise errors.SettingsError(_STEP, path, "admission: not a mapping")
    names = [field.name for field in dataclasses.fields(_DEFAULT_ADMISSION)]
    _check_keys(path, table, set(names), "admission.")
    weights = table.get("weights", {})
    if not isinstance(weights, dict):
        raise errors.SettingsError(
            _STEP, path, "admission.weights: not a mapping"
        )
    values = {f"admission.{key}": value for key, value in table.items()}
    by_name = {f"admission.weights.{key}": weights[key] for key in weights}
    default = _DEFAULT_ADMISSION

    def number(key: str, least: float, most: float) -> float:
        return _number(
            path,
            values,
            f"admission.{key}",
            least,
            most,
            getattr(default, key),
        )

    return admission_bounds.AdmissionBounds(
        int(number("max_waiting", 0.0, 1e6)),
        int(number("max_waiting_bytes", 0.0, 1e12)),
        number("memory_share", 0.01, 1.0),
        number("queue_share", 0.0, 100.0),
        {
            str(key): _number(
                path, by_name, f"admission.weights.{key}", 0.001, 1e6, None
            )
            for key in weights
        },
    )


def _decode_buffers(path: str, table: object) -> bounds.BufferPolicy:
    if not isinstance(table, dict):
        raise errors.SettingsError(_STEP, path, "buffers: not a mapping")
    # The key of each value, the range and the default.
    known = {
        "memory_share": (0.01, 0.9, bounds.MEMORY_SHARE),
        "request_kb": (1.0, 1e6, bounds.REQUEST_BYTES / bounds.KILOBYTE),
        "unread_seconds": (1.0, 3600.0, bounds.UNREAD_SECONDS),
    }
    unknown = set(table) - set(known)
    if unknown:
        raise errors.SettingsError(
            _STEP,
            path,
            f"buffers: unknown settings: {', '.join(sorted(unknown))}",
        )
    values = {
        key: _number(
            path,
            {f"buffers.{key}": table[key]} if key in table else {},
            f"buffers.{key}",
            *limits,
        )
        for key, limits in known.items()
    }
    return bounds.BufferPolicy(
        values["memory_share"],
        int(values["request_kb"] * bounds.KILOBYTE),
        values["unread_seconds"],
    )


def _decode_learns_speeds(path: str, table: dict[typing.Any, object]) -> bool:
    section = _mapping(path, table, "engines")
    value = section.get("learn_speeds", False)
    if set(section) - {"learn_speeds"} or not isinstance(value, bool):
        raise errors.SettingsError(
            _STEP, path, "engines: expected learn_speeds, true or false"
        )
    return value


def _decode_worth(path: str, table: dict[typing.Any, object]) -> worth.Credits:
    """Return the credits of the sections `worth` and `credits`.

    `credits` is the older form; its values count where `worth` states none.
    """
    section = _mapping(path, table, "worth")
    unknown = set(section) - {"late_share", "routes", "customers"}
    if unknown:
        raise errors.SettingsError(
            _STEP, path, f"worth: unknown: {', '.join(sorted(unknown))}"
        )
    older = _mapping(path, table, "credits")
    late_share = _number(
        path, older, "late_share", 0.0, 1.0, worth.Credits().late_share
    )
    return worth.Credits(
        _decode_by_priority(path, older) if older else (),
        _number(path, section, "late_share", 0.0, 1.0, late_share),
        tuple(_decode_numbers(path, section, "routes").items()),
        _decode_numbers(path, section, "customers"),
    )


def _decode_numbers(
    path: str, section: dict[typing.Any, object], key: str
) -> dict[str, float]:
    """Return the numbers of a mapping in the section `worth` by name."""
    values = _mapping(path, section, key)
    prefix = f"worth.{key}."
    named: dict[typing.Any, object] = {
        f"{prefix}{name}": value for name, value in values.items()
    }
    return {
        name.removeprefix(prefix): _number(path, named, name, 0.0, 1e6, None)
        for name in named
    }


def _mapping(
    path: str, table: dict[typing.Any, object], key: str
) -> dict[typing.Any, object]:
    value = table.get(key, {})
    if not isinstance(value, dict):
        raise errors.SettingsError(_STEP, path, f"{key}: not a mapping")
    return value


def _decode_by_priority(
    path: str, table: dict[typing.Any, object]
) -> tuple[float, ...]:
    by_priority = table.get("by_priority")
    if by_priority is None:
        return ()
    if not isinstance(by_priority, list) or not by_priority:
        raise errors.SettingsError(
            _STEP,
            path,
            "credits.by_priority: expected a non-empty list of numbers",
        )
    values = {
        f"credits.by_priority[{place}]": value
        for place, value in enumerate(by_priority)
    }
    return tuple(_number(path, values, key, 0.0, 1e6, None) for key in values)


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
        raise errors.SettingsError(
            _STEP, path, f"{key}: {value!r} is not a number"
        )
    if not least <= value <= most:
        raise errors.SettingsError(
            _STEP, path, f"{key}: {value} is not between {least} and {most}"
        )
    return float(value)
