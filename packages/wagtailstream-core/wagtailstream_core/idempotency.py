"""Idempotency keys: UUIDs of version 7, which hold their time of creation."""

import uuid

import expression

from wagtailstream_core import clock, errors

_UUID7_VERSION = 7
_TIMESTAMP_SHIFT_BITS = 80
_MILLISECONDS_PER_SECOND = 1000
STEP = "idempotency"


def check_key(
    text: str, window_seconds: float, now: float, peer: str
) -> expression.Result[float, errors.Refusal]:
    """Return the Unix time in a key in seconds, or why the key is refused.

    :param text: the value of the Idempotency-Key header.
    :param window_seconds: the maximum age of a key.
    :param now: Unix time in seconds.
    :param peer: the name of this instance, for the refusal.
    """
    if not text:
        return expression.Error(
            errors.not_run(
                errors.Reason.IDEMPOTENCY_KEY_MISSING,
                "this operation needs an Idempotency-Key: a new UUIDv7",
                STEP,
                peer,
            )
        )
    key_time = _read_time(text)
    if key_time is None or key_time > now + clock.MAX_CLOCK_SKEW_SECONDS:
        return expression.Error(
            errors.not_run(
                errors.Reason.IDEMPOTENCY_KEY_INVALID,
                "the Idempotency-Key is not a UUIDv7, or its time is in the "
                "future",
                STEP,
                peer,
            )
        )
    if now - key_time > window_seconds:
        return expression.Error(
            errors.not_run(
                errors.Reason.IDEMPOTENCY_KEY_STALE,
                f"the Idempotency-Key is older than {window_seconds:.0f} s",
                STEP,
                peer,
            )
        )
    return expression.Ok(key_time)


def _read_time(text: str) -> float | None:
    try:
        value = uuid.UUID(text)
    except ValueError:
        return None
    if value.version != _UUID7_VERSION or str(value) != text.lower():
        return None
    return (value.int >> _TIMESTAMP_SHIFT_BITS) / _MILLISECONDS_PER_SECOND
