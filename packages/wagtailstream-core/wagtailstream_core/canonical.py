"""Canonical JSON, the form in which values are signed and hashed."""

import hashlib
import typing

import orjson


def encode(value: typing.Any) -> bytes:
    """Return a value as canonical JSON: sorted keys, no white space.

    :param value: a value of JSON types.
    """
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: typing.Any) -> str:
    """Return the SHA-256 of a value's canonical JSON, in hexadecimal.

    :param value: a value of JSON types.
    """
    return hashlib.sha256(encode(value)).hexdigest()
