"""Takes turns where not all items fit into one message."""

import collections.abc
import typing

_Item = typing.TypeVar("_Item")


def round_robin(
    items: collections.abc.Iterable[_Item], count: int, turn: int
) -> list[_Item]:
    """Return the items of one turn of a round robin.

    :param items: distinct items; they are ordered by their text.
    :param count: the number of items per turn.
    :param turn: the number of the turn.
    """
    ordered = sorted(items, key=str)
    first = turn * count % max(1, len(ordered))
    return (ordered[first:] + ordered[:first])[:count]
