"""Basic requests: the OpenAI client, each kind of call, and bad input."""

import collections.abc
import datetime
import time
import uuid

import openai
import pytest
import requests

from standins import fleet, processes
from tests.integration import support


@pytest.fixture(scope="module")
def started() -> collections.abc.Iterator[fleet.Fleet]:
    with support.run_fleet(entries=2) as running:
        yield running


def make_client(started: fleet.Fleet) -> openai.OpenAI:
    return openai.OpenAI(
        base_url=f"{started.entries[0].url}/v1", api_key=support.KEY
    )


def test_openai_client_lists_models(started: fleet.Fleet) -> None:
    names = [model.id for model in make_client(started).models.list()]
    assert names == ["drafter", "large", "ladder"]


def test_openai_client_streams(started: fleet.Fleet) -> None:
    stream = make_client(started).chat.completions.create(
        model="drafter",
        messages=[{"role": "user", "content": "Draft it. [tokens=12]"}],
        stream=True,
    )
    pieces = [c.choices[0].delta.content or "" for c in stream if c.choices]
    assert "".join(pieces).startswith("drafter@1:")


def test_openai_client_gets_the_whole_answer(started: fleet.Fleet) -> None:
    answer = make_client(started).chat.completions.create(
        model="drafter",
        messages=[{"role": "user", "content": "Draft it. [tokens=12]"}],
    )
    streamed = support.chat(started.entries[1], "Draft it. [tokens=12]")
    assert answer.choices[0].message.content == streamed.text
    assert answer.usage is not None
    assert answer.usage.completion_tokens == 12


def test_session_keeps_its_version_over_entries(started: fleet.Fleet) -> None:
    first = support.chat(started.entries[0], "Begin.")
    token = first.headers["Wagtail-Session"]
    second = support.chat(started.entries[1], "Go on.", Wagtail_Session=token)
    assert second.headers["Wagtail-Version"] == "1"
    assert second.outcome == "completed"


def test_every_answer_is_billed_once(started: fleet.Fleet) -> None:
    answers = [
        support.chat(started.entries[0], "One."),
        support.chat(started.entries[0], "Two.", stream=False),
        support.call(
            started.entries[0],
            support.ISSUE,
            {"batch": 1},
            idempotency_key=support.make_key(),
        ),
    ]
    bills = support.count_billed_attempts(started)
    assert [bills[answer.request_id] for answer in answers] == [1, 1, 1]


def test_same_key_gives_the_same_answer(started: fleet.Fleet) -> None:
    key = support.make_key()
    answers = [
        support.call(entry, support.ISSUE, {"batch": 2}, idempotency_key=key)
        for entry in started.entries
    ]
    assert answers[0].text == answers[1].text
    issued = [
        run
        for run in support.list_runs(started)
        if run.get("request_id") == answers[0].request_id
    ]
    assert len(issued) == 1


Call = collections.abc.Callable[[processes.Process], support.Answer]


def make_key_at(seconds: float) -> str:
    """Return a UUIDv7 with a timestamp relative to now.

    :param seconds: the offset from now; negative for the past.
    """
    milliseconds = int((time.time() + seconds) * 1000)
    return str(uuid.UUID(int=milliseconds << 80 | 7 << 76 | 2 << 62))


def make_bad_calls() -> dict[str, Call]:
    """Return a call with bad input for each refusal code."""
    past = datetime.datetime.fromtimestamp(
        time.time() - 5, datetime.UTC
    ).isoformat()
    return {
        "unauthenticated": lambda e: support.chat(e, "x", key="nobody"),
        "model-unknown": lambda e: support.chat(e, "x", model="nothing"),
        "model-forbidden": lambda e: support.chat(
            e, "x", model="large", key=support.NARROW_KEY
        ),
        "service-forbidden": lambda e: support.call(
            e, support.LOOKUP, {}, key=support.NARROW_KEY
        ),
        "body-too-large": lambda e: support.chat(e, "x" * 5000),
        "idempotency-key-missing": lambda e: support.call(
            e, support.ISSUE, {}
        ),
        "idempotency-key-invalid": lambda e: support.call(
            e, support.ISSUE, {}, idempotency_key=str(uuid.uuid4())
        ),
        "idempotency-key-stale": lambda e: support.call(
            e, support.ISSUE, {}, idempotency_key=make_key_at(-7200)
        ),
        "session-invalid": lambda e: support.chat(
            e, "x", Wagtail_Session="e30.forged"
        ),
        "deadline-past": lambda e: support.chat(e, "x", Wagtail_Deadline=past),
    }


@pytest.mark.parametrize("code", sorted(make_bad_calls()))
def test_bad_input_is_refused_and_not_run(
    started: fleet.Fleet, code: str
) -> None:
    before = len(support.list_runs(started))
    answer = make_bad_calls()[code](started.entries[0])
    assert answer.code == code
    assert answer.outcome == "not-run"
    assert answer.headers["Wagtail-Request-Id"]
    assert answer.status >= 400
    assert len(support.list_runs(started)) == before


@pytest.mark.parametrize(
    "body", [b"{", b"[]", b"{}", b'{"model": "drafter", "messages": []}']
)
def test_malformed_body_is_refused(started: fleet.Fleet, body: bytes) -> None:
    answer = requests.post(
        f"{started.entries[0].url}/v1/chat/completions",
        data=body,
        headers={"Authorization": f"Bearer {support.KEY}"},
        timeout=support.TIMEOUT_SECONDS,
    )
    assert answer.status_code == 400
    assert answer.json()["error"]["code"] == "malformed"
    assert answer.headers["Wagtail-Outcome"] == "not-run"


def test_unknown_path_is_refused(started: fleet.Fleet) -> None:
    answer = requests.get(
        f"{started.entries[0].url}/v2", timeout=support.TIMEOUT_SECONDS
    )
    assert answer.status_code == 404
    assert answer.headers["Wagtail-Outcome"] == "not-run"


def test_key_from_the_future_is_refused(started: fleet.Fleet) -> None:
    answer = support.call(
        started.entries[0],
        support.ISSUE,
        {},
        idempotency_key=make_key_at(3600),
    )
    assert answer.code == "idempotency-key-invalid"


def test_probes(started: fleet.Fleet) -> None:
    for path in ("healthz", "readyz"):
        answer = requests.get(
            f"{started.entries[0].url}/{path}",
            timeout=support.TIMEOUT_SECONDS,
        )
        assert answer.status_code == 200
