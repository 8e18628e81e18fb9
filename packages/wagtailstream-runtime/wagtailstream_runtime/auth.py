"""Authenticates calls between instances with the fleet's shared keys."""

import collections.abc
import hashlib
import hmac
import secrets
import time

from wagtailstream_core import errors

METADATA_KEY = "wagtail-auth"
MAX_AGE_SECONDS = 30.0
_NONCE_BYTES = 8
_FIELDS = 4


class Authenticator:
    """Makes and checks the credentials of calls between instances.

    :param signing_key_id: the key for the calls that this instance makes.
    :param keys: all keys that are still accepted, by identifier.
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
        stamp = f"{self._signing_key_id}:{time.time():.3f}:{nonce}"
        mac = self._sign(self._signing_key_id, method, stamp)
        return {METADATA_KEY: f"{stamp}:{mac}"}

    def check(self, method: str, credential: str | None) -> None:
        """Check the credential of a call.

        :param method: the full name of the called method.
        :param credential: the value of the metadata key.
        :raises errors.SignatureError: it is missing, too old or wrong.
        """
        fields = (credential or "").split(":")
        if len(fields) != _FIELDS or fields[0] not in self._keys:
            raise errors.SignatureError("authenticate", "peer", "unknown key")
        stamp = ":".join(fields[:3])
        expected = self._sign(fields[0], method, stamp)
        if not hmac.compare_digest(expected.encode(), fields[3].encode()):
            raise errors.SignatureError("authenticate", "peer", "bad MAC")
        if abs(time.time() - _read_float(fields[1])) > MAX_AGE_SECONDS:
            raise errors.SignatureError("authenticate", "peer", "too old")

    def _sign(self, key_id: str, method: str, stamp: str) -> str:
        message = f"{method}\n{stamp}".encode()
        return hmac.new(
            self._keys[key_id], message, hashlib.sha256
        ).hexdigest()


def _read_float(text: str) -> float:
    try:
        return float(text)
    except ValueError:
        return 0.0
