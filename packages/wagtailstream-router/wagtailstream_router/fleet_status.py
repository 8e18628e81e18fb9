"""Says from logs what instances believe of data centres, endpoints and peers.

Each instance logs a line when it learns that a data centre is emptied, that an
endpoint is cold, or that it is itself behind, and one when that ends. The
status at a time is what the lines up to then leave standing.
"""

import collections
import collections.abc
import dataclasses
import math

from wagtailstream_router import explanation

# By event, the table that it changes and whether it adds to it.
_EVENTS = {
    "zone_emptied": ("emptied", "zone", True),
    "zone_taken_back": ("emptied", "zone", False),
    "endpoint_cold": ("cold", "endpoint", True),
    "endpoint_warm": ("cold", "endpoint", False),
    "endpoint_gone": ("cold", "endpoint", False),
    "store_lost": ("without_store", "topic", True),
    "store_regained": ("without_store", "topic", False),
    "turning_away": ("turning_away", "node", True),
    "taking_callers": ("turning_away", "node", False),
    "draining": ("draining", "node", True),
}


@dataclasses.dataclass
class Instance:
    """What one instance believes, and how it is.

    :param zone: its data centre; "" if no line says.
    :param standing: by kind of state, the names that it holds for.
    """

    name: str
    zone: str = ""
    standing: dict[str, set[str]] = dataclasses.field(
        default_factory=lambda: collections.defaultdict(set)
    )

    def apply(self, table: collections.abc.Mapping[str, object]) -> None:
        """Apply a line that the instance wrote."""
        event = str(table.get("message", ""))
        if event == "started":
            # A start knows nothing of before.
            self.standing.clear()
            self.zone = str(table.get("zone", ""))
        known = _EVENTS.get(event)
        if known is None:
            return
        kind, field, is_begin = known
        name = str(table.get(field, ""))
        if is_begin:
            self.standing[kind].add(name)
        else:
            self.standing[kind].discard(name)


def collect(
    files: collections.abc.Iterable[str], until: float = math.inf
) -> list[Instance]:
    """Return the instances by name, as of a time.

    :param files: the paths of the logs of one or more processes.
    :param until: the Unix time up to which lines count.
    """
    tables = [
        (time, table)
        for path in files
        for table in explanation.read_tables(path)
        if isinstance(time := table.get("time"), (int, float))
        and time <= until
        and table.get("node")
    ]
    instances: dict[str, Instance] = {}
    for _, table in sorted(tables, key=lambda row: row[0]):
        name = str(table["node"])
        if table.get("message") == "stopped":
            instances.pop(name, None)
            continue
        instances.setdefault(name, Instance(name)).apply(table)
    return sorted(instances.values(), key=lambda instance: instance.name)


def render(
    instances: collections.abc.Sequence[Instance],
) -> collections.abc.Iterator[str]:
    """Yield the lines of the status: for each state, who believes it."""
    yield f"instances: {len(instances)}"
    for kind, title in (
        ("emptied", "emptied data centre"),
        ("cold", "cold endpoint"),
        ("without_store", "without the store's topic"),
    ):
        holders: dict[str, list[str]] = collections.defaultdict(list)
        for instance in instances:
            for name in instance.standing.get(kind, ()):
                holders[name].append(instance.name)
        for name in sorted(holders):
            count = len(holders[name])
            line = f"{title} {name}: {count} of {len(instances)} instances"
            if 0 < len(instances) - count <= count:
                missing = sorted(
                    {instance.name for instance in instances}
                    - set(holders[name])
                )
                line += f"; not {', '.join(missing)}"
            yield line
    for kind, title in (
        ("turning_away", "turning callers away"),
        ("draining", "draining"),
    ):
        names = [
            f"{instance.name} ({instance.zone})"
            for instance in instances
            if instance.standing.get(kind)
        ]
        if names:
            yield f"{title}: {', '.join(names)}"
