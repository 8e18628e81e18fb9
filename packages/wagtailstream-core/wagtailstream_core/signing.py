"""Signed envelopes for configuration records.

Operators sign with Ed25519 keys. Instances sign the few kinds of records that
they may append, such as suspensions and snapshots, with the fleet's HMAC key.
"""

import abc
import base64
import binascii
import collections.abc
import dataclasses
import hashlib
import hmac
import typing

import orjson
from cryptography import exceptions
from cryptography.hazmat.primitives import serialization
from cryptography.hazmat.primitives.asymmetric import ed25519

from wagtailstream_core import canonical, errors

FLEET_KEY_BYTES = 32


class Signer(abc.ABC):
    """Signs the canonical JSON of a record's body."""

    @property
    @abc.abstractmethod
    def key_id(self) -> str:
        """The identifier by which verifiers find the key."""

    @abc.abstractmethod
    def sign(self, message: bytes) -> bytes:
        """Return the signature of a message.

        :param message: the bytes to sign.
        """


class OperatorSigner(Signer):
    """Signs with an operator's Ed25519 private key.

    :param key_id: the identifier of the key.
    :param private_key: the 32 raw bytes of the private key.
    """

    def __init__(self, key_id: str, private_key: bytes) -> None:
        self._key_id = key_id
        self._key = ed25519.Ed25519PrivateKey.from_private_bytes(private_key)

    @property
    def key_id(self) -> str:
        """The identifier by which verifiers find the key."""
        return self._key_id

    @property
    def public_key(self) -> bytes:
        """The 32 raw bytes of the public key."""
        return self._key.public_key().public_bytes(
            serialization.Encoding.Raw, serialization.PublicFormat.Raw
        )

    def sign(self, message: bytes) -> bytes:
        """Return the Ed25519 signature of a message.

        :param message: the bytes to sign.
        """
        return self._key.sign(message)


class FleetSigner(Signer):
    """Signs with the key that all instances share.

    :param key_id: the identifier of the key.
    :param secret: the shared secret.
    """

    def __init__(self, key_id: str, secret: bytes) -> None:
        self._key_id = key_id
        self._secret = secret

    @property
    def key_id(self) -> str:
        """The identifier by which verifiers find the key."""
        return self._key_id

    def sign(self, message: bytes) -> bytes:
        """Return the HMAC-SHA-256 of a message.

        :param message: the bytes to sign.
        """
        return hmac.digest(self._secret, message, hashlib.sha256)


@dataclasses.dataclass(frozen=True)
class KeyPair:
    """An operator's Ed25519 key pair; each key is 32 raw bytes."""

    private_key: bytes
    public_key: bytes


def generate_operator_key() -> KeyPair:
    """Return a new Ed25519 key pair."""
    key = ed25519.Ed25519PrivateKey.generate()
    return KeyPair(
        key.private_bytes(
            serialization.Encoding.Raw,
            serialization.PrivateFormat.Raw,
            serialization.NoEncryption(),
        ),
        key.public_key().public_bytes(
            serialization.Encoding.Raw, serialization.PublicFormat.Raw
        ),
    )


@dataclasses.dataclass(frozen=True)
class VerifiedBody:
    """A record's body whose signature was verified.

    :param body: the decoded JSON object.
    :param key_id: the identifier of the key that signed it.
    :param is_operator: whether an operator's key signed it.
    """

    body: dict[str, typing.Any]
    key_id: str
    is_operator: bool


@dataclasses.dataclass(frozen=True)
class Keyring:
    """The keys that a reader of the configuration stream trusts.

    :param operator_keys: raw Ed25519 public keys by identifier.
    :param fleet_keys: shared secrets by identifier.
    """

    operator_keys: collections.abc.Mapping[str, bytes]
    fleet_keys: collections.abc.Mapping[str, bytes]

    def verify(self, payload: bytes) -> VerifiedBody:
        """Verify an envelope's signature and return the body.

        :param payload: the envelope's bytes, as in the log.
        :raises errors.SignatureError: the envelope is malformed, the key is
            unknown, or the signature does not verify.
        """
        envelope = _decode_envelope(payload)
        message = canonical.encode(envelope.body)
        if envelope.key_id in self.operator_keys:
            self._verify_operator(envelope, message)
            return VerifiedBody(envelope.body, envelope.key_id, True)
        if envelope.key_id in self.fleet_keys:
            self._verify_fleet(envelope, message)
            return VerifiedBody(envelope.body, envelope.key_id, False)
        raise errors.SignatureError("verify", envelope.key_id, "unknown key")

    def _verify_operator(self, envelope: "_Envelope", message: bytes) -> None:
        raw = self.operator_keys[envelope.key_id]
        key = ed25519.Ed25519PublicKey.from_public_bytes(raw)
        try:
            key.verify(envelope.signature, message)
        except exceptions.InvalidSignature as error:
            raise errors.SignatureError(
                "verify", envelope.key_id, "bad signature"
            ) from error

    def _verify_fleet(self, envelope: "_Envelope", message: bytes) -> None:
        secret = self.fleet_keys[envelope.key_id]
        expected = hmac.digest(secret, message, hashlib.sha256)
        if not hmac.compare_digest(expected, envelope.signature):
            raise errors.SignatureError(
                "verify", envelope.key_id, "bad signature"
            )


@dataclasses.dataclass(frozen=True)
class _Envelope:
    body: dict[str, typing.Any]
    key_id: str
    signature: bytes


def _decode_envelope(payload: bytes) -> _Envelope:
    try:
        raw = orjson.loads(payload)
        return _Envelope(
            dict(raw["body"]),
            str(raw["key_id"]),
            base64.b64decode(raw["signature"], validate=True),
        )
    except (ValueError, KeyError, TypeError, binascii.Error) as error:
        raise errors.SignatureError(
            "verify", "record", f"malformed envelope: {error}"
        ) from error


def seal(body: dict[str, typing.Any], signer: Signer) -> bytes:
    """Return the bytes of a signed envelope with a body.

    :param body: the record's body, a JSON object.
    :param signer: the signer.
    """
    signature = signer.sign(canonical.encode(body))
    return canonical.encode(
        {
            "body": body,
            "key_id": signer.key_id,
            "signature": base64.b64encode(signature).decode(),
        }
    )
