"""Helpers of the integration tests: customers' calls, runs and bills."""

import collections.abc
import concurrent.futures
import contextlib
import dataclasses
import pathlib
import tempfile
import threading
import typing

import orjson
import requests
import uuid_utils
import yaml

from standins import demo, fleet, processes

BUNDLE = pathlib.Path(__file__).parent / "bundle.yaml"
KEY = "test-atelier"
NARROW_KEY = "test-narrow"
TIMEOUT_SECONDS = 60.0
ISSUE = "registry/certificates/issue"
LOOKUP = "registry/certificates/lookup"

Json = dict[str, typing.Any]


@dataclasses.dataclass(frozen=True)
class Answer:
    """The response to a call, as the caller received it.

    :param text: the body, or the concatenated content of a stream.
    :param is_whole: whether a stream ended with `data: [DONE]`; False for a
        refusal.
    :param error: the error object of a refusal or of a stream's error event;
        empty if there was none.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    text: str
    is_whole: bool = True
    error: Json = dataclasses.field(default_factory=dict)

    @property
    def outcome(self) -> str:
        """The outcome; a stream's error event overrides the header."""
        return str(
            self.error.get("outcome", self.headers.get("Wagtail-Outcome"))
        )

    @property
    def code(self) -> str:
        """The code of the error; empty if there was none."""
        return str(self.error.get("code", ""))

    @property
    def request_id(self) -> str:
        """The request's identifier."""
        return self.headers["Wagtail-Request-Id"]


def write_bundle(
    directory: pathlib.Path, engines: int, data_centre: str = ""
) -> pathlib.Path:
    """Write `bundle.yaml` with further engines and return its path.

    :param engines: the total number of engines.
    :param data_centre: the data centre of the further engines; by default
        they are spread over all data centres in turn.
    """
    value = yaml.safe_load(BUNDLE.read_text())
    places = value["data_centres"]
    value["endpoints"] += [
        {
            "name": f"drafting-{number}",
            "data_centre": data_centre or places[number % len(places)],
            "models": ["drafter", "large"],
        }
        for number in range(3, engines + 1)
    ]
    path = directory / "bundle.yaml"
    path.write_text(yaml.safe_dump(value))
    return path


def make_key() -> str:
    """Return a new idempotency key, a UUIDv7."""
    return str(uuid_utils.uuid7())


def chat(
    entry: processes.Process,
    prompt: str,
    model: str = "drafter",
    key: str = KEY,
    stream: bool = True,
    max_tokens: int = 256,
    on_piece: collections.abc.Callable[[int], None] | None = None,
    **headers: str,
) -> Answer:
    """Request a chat completion and return the answer.

    :param entry: the entry that gets the request.
    :param prompt: the user's message.
    :param on_piece: called for each piece of a stream with the number of
        pieces received so far.
    :param headers: further headers, with `_` in place of `-`.
    """
    response = requests.post(
        f"{entry.url}/v1/chat/completions",
        json={
            "model": model,
            "stream": stream,
            "max_tokens": max_tokens,
            "messages": [{"role": "user", "content": prompt}],
        },
        headers={"Authorization": f"Bearer {key}"}
        | {name.replace("_", "-"): text for name, text in headers.items()},
        timeout=TIMEOUT_SECONDS,
        stream=stream,
    )
    if response.status_code != 200:
        return parse_refusal(response)
    if stream:
        return _read_stream(response, on_piece)
    text = response.json()["choices"][0]["message"]["content"]
    return Answer(200, response.headers, text)


def parse_refusal(response: requests.Response) -> Answer:
    """Return the refusal that a response holds."""
    error = response.json()["error"]
    return Answer(response.status_code, response.headers, "", False, error)


def _read_stream(
    response: requests.Response,
    on_piece: collections.abc.Callable[[int], None] | None,
) -> Answer:
    pieces: list[str] = []
    error: Json = {}
    is_whole = False
    with contextlib.suppress(requests.RequestException):
        for line in response.iter_lines(chunk_size=1):
            if line == b"data: [DONE]":
                is_whole = True
            elif line.startswith(b"data: "):
                event = orjson.loads(line[len(b"data: ") :])
                error = event.get("error", error)
                for choice in event.get("choices", ()):
                    if choice["delta"].get("content"):
                        pieces.append(choice["delta"]["content"])
                        if on_piece is not None:
                            on_piece(len(pieces))
    return Answer(200, response.headers, "".join(pieces), is_whole, error)


def call(
    entry: processes.Process,
    operation: str,
    body: Json,
    key: str = KEY,
    idempotency_key: str = "",
    **headers: str,
) -> Answer:
    """Call an operation of a plain service and return the answer.

    :param entry: the entry that gets the request.
    :param operation: the service and the path, as "service/path".
    :param headers: further headers, with `_` in place of `-`.
    """
    request_headers = {"Authorization": f"Bearer {key}"}
    if idempotency_key:
        request_headers["Idempotency-Key"] = idempotency_key
    request_headers |= {
        name.replace("_", "-"): text for name, text in headers.items()
    }
    response = requests.post(
        f"{entry.url}/v1/services/{operation}",
        json=body,
        headers=request_headers,
        timeout=TIMEOUT_SECONDS,
    )
    if "error" in response.json():
        return parse_refusal(response)
    return Answer(response.status_code, response.headers, response.text)


def list_runs(started: fleet.Fleet) -> list[Json]:
    """Return the runs recorded by all back ends that are up."""
    runs: list[Json] = []
    for found in started.endpoints.values():
        if found.backend.is_running:
            runs += started.get_json(f"{found.backend.url}/runs")["runs"]
    return runs


def count_runs(started: fleet.Fleet, request_id: str) -> int:
    """Return how many times a request ran on all endpoints together."""
    return sum(run["request_id"] == request_id for run in list_runs(started))


def list_endpoints_running(started: fleet.Fleet, model: str) -> list[str]:
    """Return the names of the endpoints whose engines are running a model."""
    names = []
    for name, found in started.endpoints.items():
        if found.endpoint.service or not found.backend.is_running:
            continue
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(r["state"] == "running" and r["model"] == model for r in runs):
            names.append(name)
    return names


def find_endpoint_running(started: fleet.Fleet, model: str) -> str:
    """Return the name of an endpoint whose engine is running a model.

    :raises LookupError: if no engine is running the model.
    """
    names = list_endpoints_running(started, model)
    if not names:
        raise LookupError(f"no engine is running model {model!r}")
    return names[0]


def wait_billed(started: fleet.Fleet, request_id: str, attempts: int) -> None:
    """Wait until the bill of a request lists the given attempts.

    :param attempts: the expected number of attempts.
    """
    started.wait_until(
        lambda: count_billed_attempts(started).get(request_id) == attempts,
        f"request {request_id} is not billed for {attempts} attempts",
    )


def slow_engines(started: fleet.Fleet, token_seconds: float) -> None:
    """Slow all engines down, so that a fault can hit a running stream.

    Engines that were killed are left out.

    :param token_seconds: the time that an engine takes for a token.
    """
    for found in started.endpoints.values():
        if not found.endpoint.service and found.backend.is_running:
            started.set_faults(found.backend, token_seconds=token_seconds)


def count_billed_attempts(started: fleet.Fleet) -> dict[str, int]:
    """Return the number of billed attempts by request id."""
    fold = demo.fetch_bills(started.platform["log"].url)
    found = {key.request_id: fold.find_bill(key) for key in fold.keys}
    return {
        request_id: len(bill.attempts) if bill else 0
        for request_id, bill in found.items()
    }


def in_background(
    function: collections.abc.Callable[[], Answer],
) -> "concurrent.futures.Future[Answer]":
    """Run a call in a thread and return its future."""
    future: concurrent.futures.Future[Answer] = concurrent.futures.Future()

    def run() -> None:
        try:
            future.set_result(function())
        except BaseException as error:
            future.set_exception(error)

    threading.Thread(target=run, daemon=True).start()
    return future


@contextlib.contextmanager
def run_fleet(
    entries: int = 1,
    options: fleet.Options | None = None,
    bundle_path: pathlib.Path = BUNDLE,
    routed: collections.abc.Sequence[str] = (),
) -> collections.abc.Iterator[fleet.Fleet]:
    """Run a fleet whose bundle is published and whose entries are ready.

    :param entries: the number of entries.
    :param routed: endpoints whose agents are registered under an address of
        the fault proxy, so that entries reach them only through it. The
        route of an endpoint has the endpoint's name.
    """
    with tempfile.TemporaryDirectory() as directory:
        started = fleet.Fleet(pathlib.Path(directory), bundle_path, options)
        try:
            started.start(0 if routed else entries)
            for name in routed:
                target = started.endpoints[name].agent.address
                address = started.route(name, target)
                started.register_agent(name, address=address)
            while len(started.entries) < entries:
                started.start_entry()
            started.publish()
            started.wait_ready()
            yield started
        finally:
            started.kill()
