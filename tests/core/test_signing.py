"""Signed envelopes: only those with a valid signature verify."""

import hypothesis
import orjson
import pytest
from hypothesis import strategies

from tests.core import support
from wagtailstream_core import canonical, errors, signing

SEEDED = hypothesis.settings(derandomize=True, max_examples=100, deadline=None)
JSON = strategies.dictionaries(
    strategies.text(max_size=5),
    strategies.none() | strategies.integers(-9, 9) | strategies.text(),
    max_size=5,
)


@SEEDED
@hypothesis.given(JSON, strategies.sampled_from(["alice", "bob", "fleet"]))
def test_a_sealed_body_verifies(body: support.Json, name: str) -> None:
    sealed = signing.seal(body, support.SIGNERS[name])
    found = support.KEYRING.verify(sealed)
    assert (found.body, found.key_id) == (body, name)
    assert found.is_operator == (name != "fleet")


@SEEDED
@hypothesis.given(
    JSON,
    strategies.sampled_from(["alice", "fleet"]),
    strategies.integers(0, 10000),
    strategies.integers(1, 255),
)
def test_any_changed_byte_is_noticed(
    body: support.Json, name: str, position: int, mask: int
) -> None:
    """Changed bytes fail, or decode to the very body that was signed."""
    sealed = bytearray(signing.seal(body, support.SIGNERS[name]))
    sealed[position % len(sealed)] ^= mask
    try:
        found = support.KEYRING.verify(bytes(sealed))
    except errors.SignatureError:
        return
    assert (found.body, found.key_id) == (body, name)


def test_an_unknown_key_does_not_verify() -> None:
    with pytest.raises(errors.SignatureError, match="unknown key"):
        support.KEYRING.verify(signing.seal({}, support.SIGNERS["mallory"]))


@pytest.mark.parametrize("name", ["alice", "fleet"])
def test_a_key_cannot_sign_as_another(name: str) -> None:
    sealed = orjson.loads(signing.seal({"a": 1}, support.SIGNERS[name]))
    sealed["key_id"] = "bob"
    with pytest.raises(errors.SignatureError, match="bad signature"):
        support.KEYRING.verify(orjson.dumps(sealed))


@pytest.mark.parametrize(
    "payload", [b"", b"{}", b"[]", b"1", b'{"body": 1}', b"\xff"]
)
def test_a_malformed_envelope_is_refused(payload: bytes) -> None:
    with pytest.raises(errors.SignatureError, match="malformed"):
        support.KEYRING.verify(payload)


@SEEDED
@hypothesis.given(JSON, strategies.randoms(use_true_random=False))
def test_canonical_bytes_ignore_the_order_of_keys(
    body: support.Json, rng: "strategies.DataObject"
) -> None:
    items = list(body.items())
    rng.shuffle(items)  # type: ignore[attr-defined]
    assert canonical.encode(dict(items)) == canonical.encode(body)
