"""Session tokens: key rotation, forgery and use by other customers."""

import string

import hypothesis
from hypothesis import strategies

from wagtailstream_core import errors, session

OLD = session.SessionKeys("one", {"one": b"1" * 32})
BOTH = session.SessionKeys("two", {"one": b"1" * 32, "two": b"2" * 32})
NEW = session.SessionKeys("two", {"two": b"2" * 32})
SESSION = session.Session("atelier", "s-1", "drafter", "2")


def read(
    token: str, keys: session.SessionKeys, customer: str = "atelier"
) -> session.Session | errors.Reason:
    result = session.read_token(token, customer, keys, "entry")
    return result.ok if result.is_ok() else result.error.reason


def test_old_tokens_verify_until_their_key_is_retired() -> None:
    token = session.issue_token(SESSION, OLD)
    assert read(token, BOTH) == SESSION
    assert read(session.issue_token(SESSION, BOTH), NEW) == SESSION
    assert read(token, NEW) is errors.Reason.SESSION_INVALID


def test_token_of_another_customer_is_refused() -> None:
    token = session.issue_token(SESSION, OLD)
    assert read(token, OLD, "armor") is errors.Reason.SESSION_INVALID


@hypothesis.settings(derandomize=True, max_examples=300, deadline=None)
@hypothesis.given(
    strategies.integers(0, 200), strategies.characters(codec="utf-8")
)
def test_changed_token_is_refused(place: int, character: str) -> None:
    token = session.issue_token(SESSION, OLD)
    place %= len(token)
    changed = token[:place] + character + token[place + 1 :]
    hypothesis.assume(changed != token)
    assert read(changed, OLD) is errors.Reason.SESSION_INVALID


def test_token_has_only_one_valid_encoding() -> None:
    token = session.issue_token(SESSION, OLD)
    for position in (token.index(".") - 1, len(token) - 1):
        for character in string.ascii_letters + string.digits + "-_":
            changed = token[:position] + character + token[position + 1 :]
            if changed != token:
                assert read(changed, OLD) is errors.Reason.SESSION_INVALID
