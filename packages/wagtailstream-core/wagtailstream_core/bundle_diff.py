"""Comparison of two bundles, value by value."""

import collections.abc
import dataclasses
import json
import typing


@dataclasses.dataclass(frozen=True)
class Change:
    """One difference between two bundles.

    :param path: the dotted path of the value; list items that have a name
        are addressed by it, not by their index.
    :param before: the old value in JSON; None if it was added.
    :param after: the new value in JSON; None if it was removed.
    """

    path: str
    before: str | None
    after: str | None

    def __str__(self) -> str:
        if self.before is None:
            return f"+ {self.path}: {self.after}"
        if self.after is None:
            return f"- {self.path}: {self.before}"
        return f"~ {self.path}: {self.before} -> {self.after}"


def compare(
    before: collections.abc.Mapping[str, typing.Any],
    after: collections.abc.Mapping[str, typing.Any],
) -> list[Change]:
    """Return the differences between two bundle documents, sorted by path.

    :param before: the old bundle.
    :param after: the new bundle.
    """
    old, new = _flatten("", before), _flatten("", after)
    return [
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flatten(path: str, value: typing.Any) -> dict[str, str]:
    if isinstance(value, collections.abc.Mapping):
        return _flatten_items(path, value.items())
    if isinstance(value, list) and all(map(_get_name, value)) and value:
        return _flatten_items(path, ((_get_name(v), v) for v in value))
    return {path: json.dumps(value, sort_keys=True)}


def _flatten_items(
    path: str, items: collections.abc.Iterable[tuple[str, typing.Any]]
) -> dict[str, str]:
    flat: dict[str, str] = {}
    for name, value in items:
        flat |= _flatten(f"{path}.{name}" if path else str(name), value)
    return flat


def _get_name(value: typing.Any) -> str:
    """Return the name that identifies a list item, or an empty string."""
    if not isinstance(value, dict):
        return ""
    return str(value.get("name") or value.get("model") or "")
