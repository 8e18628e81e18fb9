"""Decoders of external input raise only the expected errors on garbage."""

import collections.abc
import contextlib

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from wagtailstream_core import (
    billing,
    bundle,
    configuration,
    errors,
    idempotency,
    ledger,
    records,
    session,
    signing,
    snapshots,
)
from wagtailstream_entry.filters import deadline, parse_chat

KEYRING = signing.Keyring({"op": b"1" * 32}, {"fleet": b"2" * 32})
SESSION_KEYS = session.SessionKeys("one", {"one": b"1" * 32})
JSON = strategies.recursive(
    strategies.none()
    | strategies.booleans()
    | strategies.integers(-(2**53), 2**53)
    | strategies.text(max_size=8),
    lambda inner: (
        strategies.lists(inner, max_size=4)
        | strategies.dictionaries(
            strategies.sampled_from(
                [
                    "kind",
                    "base",
                    "body",
                    "key_id",
                    "signature",
                    "entries",
                    "bills",
                ]
            )
            | strategies.text(max_size=8),
            inner,
            max_size=5,
        )
    ),
    max_leaves=12,
)
GARBAGE = strategies.binary(max_size=200) | JSON.map(orjson.dumps)

DECODERS: dict[str, collections.abc.Callable[[bytes], object]] = {
    "envelope": KEYRING.verify,
    "record": lambda raw: records.decode(orjson.loads(raw)),
    "state": lambda raw: snapshots.load_state(orjson.loads(raw)),
    "bundle": lambda raw: bundle.parse(orjson.loads(raw), "fuzz"),
    "ledger": ledger.decode_batch,
    "bills": billing.decode_batch,
    "chat": parse_chat.ChatBody.model_validate_json,
}
EXPECTED = (errors.WagtailstreamError, ValueError)


@pytest.mark.parametrize("name", sorted(DECODERS))
@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(raw=GARBAGE)
def test_garbage_gives_a_typed_error(name: str, raw: bytes) -> None:
    with contextlib.suppress(*EXPECTED):
        DECODERS[name](raw)


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(strategies.text(max_size=60))
def test_garbage_in_headers_is_refused(text: str) -> None:
    assert session.read_token(text, "c", SESSION_KEYS, "e").is_error()
    key = idempotency.check_key(text, 60.0, 1e9, "e")
    assert key.is_error()
    assert key.error.outcome is errors.Outcome.NOT_RUN
    deadline.parse(text)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(raw=GARBAGE, offset=strategies.integers(0, 9))
def test_garbage_in_the_log_changes_only_the_offset(
    raw: bytes, offset: int
) -> None:
    before = configuration.Configuration()
    record = configuration.LogRecord(offset, raw, 0.0)
    folded = configuration.fold(before, record, KEYRING)
    assert folded.verdict is configuration.Verdict.BAD_SIGNATURE
    assert folded.configuration.offset == offset
    assert folded.configuration.revision == before.revision
    assert folded.configuration.bundle is None
