"""The canonical bytes of a JSON value, over which signatures are made."""

import hashlib
import typing

import orjson


def encode(value: typing.Any) -> bytes:
    """Return the canonical JSON bytes: sorted keys, no white space.

    :param value: a value of JSON types.
    """
    return orjson.dumps(value, option=orjson.OPT_SORT_KEYS)


def digest(value: typing.Any) -> str:
    """Return the SHA-256 of a value's canonical bytes, in hexadecimal.

    :param value: a value of JSON types.
    """
    return hashlib.sha256(encode(value)).hexdigest()
