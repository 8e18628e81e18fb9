"""Authenticates calls between instances with the fleet's shared keys.

A credential is ``key id:Unix time:nonce:MAC``. The MAC is an HMAC-SHA256 of
the called method and the other three fields.
"""

import collections.abc
import hashlib
import hmac
import secrets
import time

from wagtailstream_core import errors

METADATA_KEY = "wagtail-auth"
# Maximum difference between a credential's time and the local clock.
MAX_AGE_SECONDS = 30.0
_NONCE_BYTES = 8
_FIELDS = 4


class Authenticator:
    """Creates and checks the credentials of calls between instances.

    :param signing_key_id: identifier of the key that signs this instance's
        calls.
    :param keys: all accepted keys by identifier.
    """

    def __init__(
        self, signing_key_id: str, keys: collections.abc.Mapping[str, bytes]
    ) -> None:
        self._signing_key_id = signing_key_id
        self._keys = keys

    def make_metadata(self, method: str) -> dict[str, str]:
        """Return the metadata that authenticates one call.

        :param method: the full name of the called method.
        """
        nonce = secrets.token_hex(_NONCE_BYTES)
        signed_fields = f"{self._signing_key_id}:{time.time():.3f}:{nonce}"
        mac = self._sign(self._signing_key_id, method, signed_fields)
        return {METADATA_KEY: f"{signed_fields}:{mac}"}

    def check(self, method: str, credential: str | None) -> None:
        """Check the credential of a call.

        :param method: the full name of the called method.
        :param credential: the value received under METADATA_KEY.
        :raises errors.SignatureError: the credential is missing, outdated or
            wrong.
        """
        fields = (credential or "").split(":")
        if len(fields) != _FIELDS or fields[0] not in self._keys:
            raise errors.SignatureError(
                "authenticate", "peer", "malformed credential or unknown key"
            )
        signed_fields = ":".join(fields[:3])
        expected = self._sign(fields[0], method, signed_fields)
        if not hmac.compare_digest(expected.encode(), fields[3].encode()):
            raise errors.SignatureError("authenticate", "peer", "wrong MAC")
        if abs(time.time() - _parse_time(fields[1])) > MAX_AGE_SECONDS:
            raise errors.SignatureError(
                "authenticate",
                "peer",
                "the time is too far from the local clock",
            )

    def _sign(self, key_id: str, method: str, signed_fields: str) -> str:
        message = f"{method}\n{signed_fields}".encode()
        return hmac.new(
            self._keys[key_id], message, hashlib.sha256
        ).hexdigest()


def _parse_time(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
