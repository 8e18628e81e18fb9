"""Snapshots: the configuration in one record, for readers that start late.

The log keeps records for a limited time. Before the oldest record that a
reader needs expires, an instance repeats the whole state in one record; a
reader that starts later folds what follows it. A snapshot changes no state,
so that it is harmless if several instances append one.
"""

import collections.abc
import dataclasses
import typing

import pydantic

from wagtailstream_core import configuration, errors, records, signing

_STATE_ADAPTER: pydantic.TypeAdapter[configuration.Configuration] = (
    pydantic.TypeAdapter(configuration.Configuration)
)


def dump_state(state: configuration.Configuration) -> dict[str, typing.Any]:
    """Return a state as JSON types, for a snapshot record.

    :param state: the state to write down.
    """
    dumped: dict[str, typing.Any] = _STATE_ADAPTER.dump_python(
        state, mode="json"
    )
    return dumped


def load_state(value: dict[str, typing.Any]) -> configuration.Configuration:
    """Return the state that a snapshot holds.

    :param value: what :func:`dump_state` returned.
    :raises errors.BundleError: the value is no valid state.
    """
    try:
        return _STATE_ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        raise errors.BundleError("load state", "snapshot", str(error)) from (
            error
        )


def seal(state: configuration.Configuration, signer: signing.Signer) -> bytes:
    """Return the signed bytes of a snapshot of a state.

    :param state: the state.
    :param signer: the signer that vouches for it.
    """
    return records.seal(
        records.Snapshot(
            base=state.revision, as_of=state.offset, state=dump_state(state)
        ),
        signer,
    )


def read(
    payload: bytes, keyring: signing.Keyring
) -> configuration.Configuration | None:
    """Return the state of a snapshot's bytes; None if it is no valid one.

    :param payload: the record's bytes.
    :param keyring: the keys that are trusted.
    """
    try:
        body = records.decode(keyring.verify(payload).body)
        if not isinstance(body, records.Snapshot):
            return None
        state = load_state(body.state)
    except (errors.SignatureError, errors.BundleError):
        return None
    return state if state.offset == body.as_of else None


@dataclasses.dataclass(frozen=True)
class Offer:
    """What brings a peer that is behind up to date.

    :param records: records without gaps, in log order.
    :param snapshot: a sealed snapshot to start from, where older records
        are missing; else empty.
    """

    records: tuple[configuration.LogRecord, ...] = ()
    snapshot: bytes = b""


@dataclasses.dataclass(frozen=True)
class Restored:
    """The state at the tail of what a reader was given.

    :param anchor_at: when the oldest record was appended that a reader who
        starts with nothing needs, Unix seconds by the log's clock; None
        where there is no record.
    """

    configuration: configuration.Configuration
    anchor_at: float | None


def restore(
    log_records: collections.abc.Sequence[configuration.LogRecord],
    first_retained: int,
    keyring: signing.Keyring,
) -> Restored | None:
    """Return the state of a reader that starts with nothing.

    While the log still holds its first record, all of it is folded. After
    that the newest snapshot whose later records are all retained is the
    start; None where there is no such snapshot.

    :param log_records: all retained records, in log order.
    :param first_retained: the earliest offset that the log still holds.
    :param keyring: the keys that are trusted.
    """
    state: configuration.Configuration | None = configuration.Configuration()
    if first_retained > 0:
        state = _find_snapshot(log_records, first_retained, keyring)
    if state is None:
        return None
    for record in log_records:
        state = configuration.fold(state, record, keyring).configuration
    return Restored(state, find_anchor(log_records, keyring))


def _find_snapshot(
    log_records: collections.abc.Sequence[configuration.LogRecord],
    first_retained: int,
    keyring: signing.Keyring,
) -> configuration.Configuration | None:
    for record in reversed(log_records):
        state = read(record.payload, keyring)
        if state and first_retained - 1 <= state.offset < record.offset:
            return state
    return None


def find_anchor(
    log_records: collections.abc.Sequence[configuration.LogRecord],
    keyring: signing.Keyring,
) -> float | None:
    """Return when the oldest needed record of a run was appended.

    :param log_records: records without gaps, in log order.
    :param keyring: the keys that are trusted.
    """
    if not log_records:
        return None
    first = log_records[0].offset
    start = _find_snapshot(log_records, first, keyring)
    if start is not None:
        return log_records[start.offset + 1 - first].time
    return log_records[0].time if first == 0 else None


def find_due(anchor_at: float, retention_seconds: float, draw: float) -> float:
    """Return when an instance should append the next snapshot.

    That is from the middle of the retention on, each instance at its own
    time, so that mostly one of them does it and the others see it.

    :param anchor_at: when the oldest needed record was appended, Unix
        seconds.
    :param retention_seconds: how long the log keeps records.
    :param draw: the instance's random number in [0, 1).
    """
    return anchor_at + retention_seconds * (0.5 + 0.25 * draw)
