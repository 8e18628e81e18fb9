"""Implementation of `make demo` and `make up`: a deployment on loopback."""

import base64
import dataclasses
import pathlib
import shutil
import signal
import sys
import tempfile
import threading
import typing

import click
import orjson
import requests
import uuid_utils

from standins import fleet
from wagtailstream_core import billing

BUNDLE = pathlib.Path(__file__).parent.parent / "examples" / "bundle-demo.yaml"
ENTRIES = 2
TIMEOUT_SECONDS = 30.0
UP_KEY = "wt-demo-atelier"
RATINGS = ("--quality", "sheet-small=0.4", "--quality", "sheet-large=0.95")

Json = dict[str, typing.Any]


class DemoError(Exception):
    """Raised when a response or a bill is not as the demo expects."""


@dataclasses.dataclass(frozen=True)
class DemoResponse:
    """The response to one request of the demo."""

    title: str
    answer: str
    headers: typing.Mapping[str, str]

    @property
    def request_id(self) -> str:
        """The request's identifier."""
        return self.headers["Wagtail-Request-Id"]

    def require(self, **expected: str) -> None:
        """Check the ``Wagtail-`` headers against expected values.

        :param expected: accepted values, separated by ``|``, by the part of
            the header's name after ``Wagtail-``.
        :raises DemoError: a header is missing or has another value.
        """
        for name, value in expected.items():
            actual = self.headers.get(f"Wagtail-{name.title()}", "")
            if actual not in value.split("|"):
                raise DemoError(
                    f"{self.title}: {name} is {actual!r}, expected {value!r}"
                )


def _call_chat(
    url: str, key: str, model: str, text: str, **extra_headers: str
) -> DemoResponse:
    body = {
        "model": model,
        "stream": True,
        "messages": [{"role": "user", "content": text}],
    }
    answer = requests.post(
        f"{url}/v1/chat/completions",
        json=body,
        headers={"Authorization": f"Bearer {key}", **extra_headers},
        timeout=TIMEOUT_SECONDS,
        stream=True,
    )
    if answer.status_code != 200:
        raise DemoError(
            f"chat with {model}: expected status 200, got "
            f"{answer.status_code}: {answer.text}"
        )
    return DemoResponse(
        f"chat with {model}", _read_stream(answer), answer.headers
    )


def _read_stream(answer: requests.Response) -> str:
    pieces = []
    is_done = False
    for line in answer.iter_lines():
        if line == b"data: [DONE]":
            is_done = True
        elif line.startswith(b"data: "):
            event = orjson.loads(line[len(b"data: ") :])
            for choice in event["choices"]:
                pieces.append(choice["delta"].get("content") or "")
    if not is_done:
        raise DemoError("the stream ended without 'data: [DONE]'")
    return "".join(pieces)


def _call_service(url: str, key: str, path: str, body: Json) -> DemoResponse:
    answer = requests.post(
        f"{url}/v1/services/{path}",
        json=body,
        headers={
            "Authorization": f"Bearer {key}",
            "Idempotency-Key": str(uuid_utils.uuid7()),
        },
        timeout=TIMEOUT_SECONDS,
    )
    if answer.status_code != 200:
        raise DemoError(
            f"operation {path}: expected status 200, got "
            f"{answer.status_code}: {answer.text}"
        )
    return DemoResponse(f"operation {path}", answer.text, answer.headers)


def fetch_bills(log_url: str) -> billing.BillFold:
    """Read the whole bills stream and return the bills folded from it.

    :param log_url: the base URL of the log.
    """
    fold = billing.BillFold()
    offset = 0
    while True:
        part = requests.get(
            f"{log_url}/streams/{billing.STREAM}/records",
            params={"from": offset, "limit": 500},
            timeout=TIMEOUT_SECONDS,
        ).json()
        for record in part["records"]:
            payload = base64.b64decode(record["payload"])
            for bill in billing.decode_batch(payload):
                fold.fold(bill)
        if not part["records"]:
            return fold
        offset = part["records"][-1]["offset"] + 1


def _print_response(response: DemoResponse, bill: billing.Bill | None) -> None:
    print(f"\n{response.title}")
    print(f"  answer:   {response.answer[:70]}")
    for name in ("Model", "Version", "Endpoint", "Outcome"):
        value = response.headers.get(f"Wagtail-{name}", "-")
        print(f"  {name.lower() + ':':9} {value}")
    if bill is None:
        raise DemoError(f"{response.title}: no bill")
    for cost in bill.attempts:
        label = f"{cost.model}@{cost.version}" if cost.model else cost.service
        print(
            f"  bill:     attempt {cost.attempt} on {cost.endpoint}, {label}, "
            f"{cost.prompt_tokens}+{cost.answer_tokens} tokens"
        )


def _run_requests(demo_fleet: fleet.Fleet) -> list[DemoResponse]:
    first, second = (entry.url for entry in demo_fleet.entries)
    draft = _call_chat(
        first, "wt-demo-atelier", "drafter", "Draft the certificate of B-17."
    )
    draft.require(model="drafter", version="1|2", outcome="completed")
    follow_up = _call_chat(
        second,
        "wt-demo-atelier",
        "drafter",
        "Shorten it.",
        **{"Wagtail-Session": draft.headers["Wagtail-Session"]},
    )
    follow_up.require(
        version=draft.headers["Wagtail-Version"], outcome="completed"
    )
    issue = _call_service(
        first,
        "wt-demo-atelier",
        "registry/certificates/issue",
        {"batch": "B-17"},
    )
    issue.require(endpoint="registry-1|registry-2|registry-3")
    sheet = _call_chat(
        second, "wt-demo-buyer", "sheets", "Draft the shrimp price letter."
    )
    sheet.require(model="sheet-large", version="1", outcome="completed")
    hold = _call_service(
        second, "wt-demo-broker", "broker/holds/place", {"container": "C-4"}
    )
    hold.require(endpoint="broker-1|broker-2|broker-3", outcome="completed")
    return [draft, follow_up, issue, sheet, hold]


def _check_bills(
    demo_fleet: fleet.Fleet, responses: list[DemoResponse]
) -> None:
    fold = fetch_bills(demo_fleet.platform["log"].url)
    keys = {key.request_id: key for key in fold.keys}
    if len(keys) != len(responses):
        raise DemoError(f"{len(keys)} bills for {len(responses)} requests")
    for response in responses:
        key = keys.get(response.request_id)
        _print_response(response, fold.find_bill(key) if key else None)
    cascade = fold.find_bill(keys[responses[3].request_id])
    models = [cost.model for cost in cascade.attempts] if cascade else []
    if models != ["sheet-small", "sheet-large"]:
        raise DemoError(
            f"the bill of {responses[3].title} lists models {models}, "
            "expected ['sheet-small', 'sheet-large']"
        )


def _start(directory: str, port: int) -> fleet.Fleet:
    demo_fleet = fleet.Fleet(
        pathlib.Path(directory), BUNDLE, fleet.Options(rating=RATINGS)
    )
    try:
        demo_fleet.start(ENTRIES, (port,))
        demo_fleet.publish()
        demo_fleet.wait_ready()
    except BaseException:
        demo_fleet.kill()
        raise
    return demo_fleet


@click.group()
def main() -> None:
    """Run a deployment on loopback, with stand-ins for the platform."""


@main.command()
def run() -> None:
    """Run one request of each kind, check it, and stop."""
    with tempfile.TemporaryDirectory() as directory:
        demo_fleet = _start(directory, 0)
        try:
            responses = _run_requests(demo_fleet)
            _check_bills(demo_fleet, responses)
        except DemoError as error:
            click.echo(f"FAILED: {error}", err=True)
            sys.exit(1)
        finally:
            demo_fleet.stop()
    click.echo("\nall as the bundle says; every process stopped gracefully")


@main.command()
@click.option("--port", type=int, default=0, help="0 lets the system pick.")
@click.option(
    "--directory",
    type=click.Path(path_type=pathlib.Path),
    required=True,
    help="For settings, keys and logs; deleted first if it exists.",
)
def up(port: int, directory: pathlib.Path) -> None:
    """Stay up until Ctrl-C or SIGTERM."""
    stop = threading.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        signal.signal(number, lambda *_: stop.set())
    shutil.rmtree(directory, ignore_errors=True)
    directory.mkdir(parents=True)
    demo_fleet = _start(str(directory), port)
    try:
        click.echo(f"ready: {demo_fleet.entries[0].url} key={UP_KEY}")
        stop.wait()
    finally:
        demo_fleet.stop()


if __name__ == "__main__":
    main()
