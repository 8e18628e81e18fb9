"""Collects the log lines about one request and about its endpoints."""

import collections.abc
import dataclasses
import pathlib

import orjson

# Lines about the request's endpoints are included from this long before its
# first line to this long after its last one.
CONTEXT_SECONDS = 5.0


@dataclasses.dataclass(frozen=True, slots=True)
class Line:
    """One line of a log.

    :param time: the Unix time at which it was written.
    :param event: the name of the event.
    :param node: the instance that wrote it.
    :param request: the id of the request that it is about; "" if none.
    :param endpoint: the id of the endpoint that it is about; "" if none.
    :param rest: the other fields, as `key=value` pairs.
    """

    time: float
    event: str
    node: str
    request: str
    endpoint: str
    rest: str


def collect(
    request_id: str, files: collections.abc.Iterable[str]
) -> list[str]:
    """Return the lines about a request and its endpoints, ordered by time.

    Lines about the endpoints are taken only from instances that handled the
    request.

    :param request_id: the caller's id of the request.
    :param files: the paths of the logs; lines of other programs are skipped.
    """
    lines = [line for path in files for line in _read(path)]
    own = [line for line in lines if line.request == request_id]
    if not own:
        return []
    endpoints = {line.endpoint for line in own if line.endpoint}
    nodes = {line.node for line in own}
    first = min(line.time for line in own) - CONTEXT_SECONDS
    last = max(line.time for line in own) + CONTEXT_SECONDS
    near = [
        line
        for line in lines
        if not line.request
        and line.node in nodes
        and line.endpoint in endpoints
        and first <= line.time <= last
    ]
    chosen = sorted(own + near, key=lambda line: line.time)
    return [_render(line) for line in chosen]


def _read(path: str) -> collections.abc.Iterator[Line]:
    return map(_decode, read_tables(path))


def read_tables(path: str) -> collections.abc.Iterator[dict[str, object]]:
    """Yield the fields of each line of a log.

    :param path: the log's path; lines of other programs are skipped.
    """
    for raw in pathlib.Path(path).read_bytes().splitlines():
        # Log collectors may put a prefix before the JSON object.
        _, brace, body = raw.partition(b"{")
        if not brace:
            continue
        try:
            table = orjson.loads(brace + body)
        except ValueError:
            # Not JSON: a line of another program.
            continue
        if isinstance(table, dict):
            yield table


def _decode(table: dict[str, object]) -> Line:
    known = ("time", "message", "node", "request", "endpoint")
    rest = {key: value for key, value in table.items() if key not in known}
    time = table.get("time")
    return Line(
        float(time) if isinstance(time, (int, float)) else 0.0,
        str(table.get("message", "")),
        str(table.get("node", "")),
        str(table.get("request", "")),
        str(table.get("endpoint", "")),
        " ".join(f"{key}={value}" for key, value in rest.items()),
    )


def _render(line: Line) -> str:
    about = f" endpoint={line.endpoint}" if line.endpoint else ""
    return f"{line.time:.3f} {line.node} {line.event}{about} {line.rest}"
