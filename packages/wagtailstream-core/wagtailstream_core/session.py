"""Signed session tokens, by which a caller stays on a version of a model."""

import base64
import binascii
import collections.abc
import dataclasses
import hashlib
import hmac

import expression
import orjson

from wagtailstream_core import canonical, errors

MAX_TOKEN_CHARACTERS = 1024
STEP = "session"


@dataclasses.dataclass(frozen=True)
class Session:
    """A customer's session, which stays on one version of a model.

    :param session_id: unique to the session. Its hash decides whether the
        session starts on a roll-out's candidate.
    """

    customer: str
    session_id: str
    model: str
    version: str


@dataclasses.dataclass(frozen=True)
class SessionKeys:
    """The keys that sign and verify session tokens.

    :param signing_key_id: the identifier of the key for new tokens.
    :param keys: all keys that tokens are verified with, by identifier.
    """

    signing_key_id: str
    keys: collections.abc.Mapping[str, bytes]


def issue_token(session: Session, keys: SessionKeys) -> str:
    """Return the signed token of a session.

    :param session: the session.
    :param keys: the session keys.
    """
    body = canonical.encode(
        [
            keys.signing_key_id,
            session.customer,
            session.session_id,
            session.model,
            session.version,
        ]
    )
    mac = hmac.digest(keys.keys[keys.signing_key_id], body, hashlib.sha256)
    return f"{_encode(body)}.{_encode(mac)}"


def read_token(
    token: str, customer: str, keys: SessionKeys, peer: str
) -> expression.Result[Session, errors.Refusal]:
    """Return the session of a token, or why the token is refused.

    :param token: the value of the Wagtail-Session header.
    :param customer: the customer that sent it.
    :param keys: the session keys.
    :param peer: the name of this instance, for the refusal.
    """
    session = _verify(token, keys)
    if session is None or session.customer != customer:
        return expression.Error(
            errors.not_run(
                errors.Reason.SESSION_INVALID,
                "the session token does not verify for this customer",
                STEP,
                peer,
            )
        )
    return expression.Ok(session)


def _verify(token: str, keys: SessionKeys) -> Session | None:
    if len(token) > MAX_TOKEN_CHARACTERS:
        return None
    body_text, separator, mac_text = token.partition(".")
    if not separator:
        return None
    try:
        body = _decode(body_text)
        mac = _decode(mac_text)
        fields = [str(field) for field in orjson.loads(body)]
        key_id, customer, session_id, model, version = fields
    except (ValueError, TypeError, binascii.Error):
        return None
    secret = keys.keys.get(key_id)
    if secret is None:
        return None
    expected = hmac.digest(secret, body, hashlib.sha256)
    if not hmac.compare_digest(expected, mac):
        return None
    return Session(customer, session_id, model, version)


def _encode(raw: bytes) -> str:
    return base64.urlsafe_b64encode(raw).decode().rstrip("=")


def _decode(text: str) -> bytes:
    raw = base64.b64decode(
        text + "=" * (-len(text) % 4), altchars=b"-_", validate=True
    )
    if _encode(raw) != text:
        # The decoder ignores unused bits of the last character. Without this
        # check a token could be changed and still verify.
        raise ValueError("not canonical base64")
    return raw
