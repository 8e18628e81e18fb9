"""Tests of call authentication: forged, outdated and foreign credentials."""

import time

import pytest

from wagtailstream_core import errors
from wagtailstream_runtime import auth

METHOD = "/wagtailstream.Agent/Run"
OLD = {"one": b"1" * 32}
BOTH = OLD | {"two": b"2" * 32}


def make_credential(key_id: str, keys: dict[str, bytes]) -> str:
    metadata = auth.Authenticator(key_id, keys).make_metadata(METHOD)
    return metadata[auth.METADATA_KEY]


def test_rotation_accepts_both_keys_then_one() -> None:
    while_rotating = auth.Authenticator("two", BOTH)
    while_rotating.check(METHOD, make_credential("one", OLD))
    while_rotating.check(METHOD, make_credential("two", BOTH))
    after = auth.Authenticator("two", {"two": BOTH["two"]})
    with pytest.raises(errors.SignatureError):
        after.check(METHOD, make_credential("one", OLD))


@pytest.mark.parametrize(
    "credential",
    [
        None,
        "",
        "one:1:2",
        "none:1:2:3",
        make_credential("one", {"one": b"x" * 32}),
        make_credential("one", OLD)[:-1] + "g",
        make_credential("one", OLD).replace("one:", "one:9", 1),
    ],
    ids=[
        "missing",
        "empty",
        "short",
        "unknown key",
        "other secret",
        "changed MAC",
        "changed time",
    ],
)
def test_wrong_credential_is_refused(credential: str | None) -> None:
    with pytest.raises(errors.SignatureError):
        auth.Authenticator("one", OLD).check(METHOD, credential)


def test_credential_is_bound_to_its_method() -> None:
    with pytest.raises(errors.SignatureError):
        auth.Authenticator("one", OLD).check(
            "/other", make_credential("one", OLD)
        )


def test_old_credential_is_refused(monkeypatch: pytest.MonkeyPatch) -> None:
    credential = make_credential("one", OLD)
    later = time.time() + auth.MAX_AGE_SECONDS + 1
    monkeypatch.setattr(time, "time", lambda: later)
    with pytest.raises(errors.SignatureError):
        auth.Authenticator("one", OLD).check(METHOD, credential)
