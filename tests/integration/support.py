"""What the integration tests share: calls as a customer makes them."""

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
    """What a caller got.

    :param is_whole: whether a stream ended with its end mark.
    """

    status: int
    headers: collections.abc.Mapping[str, str]
    text: str
    is_whole: bool = True
    error: Json = dataclasses.field(default_factory=dict)

    @property
    def outcome(self) -> str:
        """The outcome; a stream's error event goes before its header."""
        return str(
            self.error.get("outcome", self.headers.get("Wagtail-Outcome"))
        )

    @property
    def code(self) -> str:
        """The refusal's code."""
        return str(self.error.get("code", ""))

    @property
    def request_id(self) -> str:
        """The request's identifier."""
        return self.headers["Wagtail-Request-Id"]


def write_bundle(
    directory: pathlib.Path, engines: int, data_centre: str = ""
) -> pathlib.Path:
    """Write the small bundle with more engines; return its path.

    :param engines: how many engines in all.
    :param data_centre: where the further ones stand; by default in turn.
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
    """Return a new idempotency key."""
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
    """Ask for a chat completion.

    :param entry: the entry to ask.
    :param prompt: the user's message.
    :param on_piece: is called with the number of pieces received so far.
    """
    answer = requests.post(
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
    if answer.status_code != 200:
        return make_refusal(answer)
    if stream:
        return _read_stream(answer, on_piece)
    text = answer.json()["choices"][0]["message"]["content"]
    return Answer(200, answer.headers, text)


def make_refusal(answer: requests.Response) -> Answer:
    """Return the refusal in a response."""
    error = answer.json()["error"]
    return Answer(answer.status_code, answer.headers, "", False, error)


def _read_stream(
    answer: requests.Response,
    on_piece: collections.abc.Callable[[int], None] | None,
) -> Answer:
    pieces: list[str] = []
    error: Json = {}
    is_whole = False
    with contextlib.suppress(requests.RequestException):
        for line in answer.iter_lines(chunk_size=1):
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
    return Answer(200, answer.headers, "".join(pieces), is_whole, error)


def call(
    entry: processes.Process,
    operation: str,
    body: Json,
    key: str = KEY,
    idempotency_key: str = "",
    **headers: str,
) -> Answer:
    """Call an operation of a plain service.

    :param entry: the entry to ask.
    :param operation: service and path.
    """
    sent = {"Authorization": f"Bearer {key}"}
    if idempotency_key:
        sent["Idempotency-Key"] = idempotency_key
    sent |= {name.replace("_", "-"): text for name, text in headers.items()}
    answer = requests.post(
        f"{entry.url}/v1/services/{operation}",
        json=body,
        headers=sent,
        timeout=TIMEOUT_SECONDS,
    )
    if "error" in answer.json():
        return make_refusal(answer)
    return Answer(answer.status_code, answer.headers, answer.text)


def list_runs(started: fleet.Fleet) -> list[Json]:
    """Return every run that any endpoint recorded."""
    runs: list[Json] = []
    for found in started.endpoints.values():
        if found.backend.is_running:
            runs += started.get_json(f"{found.backend.url}/runs")["runs"]
    return runs


def count_runs(started: fleet.Fleet, request_id: str) -> int:
    """Return how often any endpoint ran a request."""
    return sum(run["request_id"] == request_id for run in list_runs(started))


def find_busy(started: fleet.Fleet, model: str) -> str:
    """Return the name of the endpoint whose engine runs a model now."""
    for name, found in started.endpoints.items():
        if found.endpoint.service or not found.backend.is_running:
            continue
        runs = started.get_json(f"{found.backend.url}/runs")["runs"]
        if any(r["state"] == "running" and r["model"] == model for r in runs):
            return name
    raise LookupError(model)


def wait_billed(started: fleet.Fleet, request_id: str, attempts: int) -> None:
    """Wait until a request's one bill holds so many attempts."""
    started.wait_until(
        lambda: count_bills(started).get(request_id) == attempts,
        f"{request_id} is not billed",
    )


def slow_engines(started: fleet.Fleet, token_seconds: float) -> None:
    """Make all engines generate at a pace that faults can catch up with."""
    for found in started.endpoints.values():
        if not found.endpoint.service:
            started.set_faults(found.backend, token_seconds=token_seconds)


def count_bills(started: fleet.Fleet) -> dict[str, int]:
    """Return the number of attempts billed, by request."""
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
    """Run a published fleet, ready for work.

    :param entries: how many entries.
    :param routed: endpoints whose agents the entries know only by their
        address on the fault proxy; the routes have the same names.
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
