"""Snapshots: the whole configuration in one record, for new readers.

The log keeps records for a limited time. Before the oldest record that a new
reader needs expires, an instance appends the whole state as a snapshot. A
reader that starts later begins with the snapshot and folds the records after
it. A snapshot doesn't change the folded state, so it is harmless if several
instances append one.
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

    :param state: the state.
    """
    dumped: dict[str, typing.Any] = _STATE_ADAPTER.dump_python(
        state, mode="json"
    )
    return dumped


def load_state(value: dict[str, typing.Any]) -> configuration.Configuration:
    """Return the state that a snapshot holds.

    :param value: what :func:`dump_state` returned.
    :raises errors.BundleError: the value is not a valid state.
    """
    try:
        return _STATE_ADAPTER.validate_python(value)
    except pydantic.ValidationError as error:
        raise errors.BundleError("load state", "snapshot", str(error)) from (
            error
        )


def seal(state: configuration.Configuration, signer: signing.Signer) -> bytes:
    """Return a snapshot of a state as the bytes of a signed envelope.

    :param state: the state.
    :param signer: the signer.
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
    """Return the state in a snapshot record, or None if it is not valid.

    :param payload: the record's bytes.
    :param keyring: the trusted keys.
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
    """The records that bring a peer's configuration up to date.

    :param records: records without gaps, in log order.
    :param snapshot: a sealed snapshot to start from if older records that the
        peer needs are missing, else empty.
    """

    records: tuple[configuration.LogRecord, ...] = ()
    snapshot: bytes = b""


@dataclasses.dataclass(frozen=True)
class Restored:
    """The state after all records that a new reader read.

    :param needed_since: when the oldest record that a new reader needs was
        appended, Unix time in seconds by the log's clock; None if there is no
        record.
    """

    configuration: configuration.Configuration
    needed_since: float | None


def restore(
    log_records: collections.abc.Sequence[configuration.LogRecord],
    first_retained: int,
    keyring: signing.Keyring,
) -> Restored | None:
    """Return the state for a new reader of the log.

    If the log still holds its first record, all records are folded.
    Otherwise the fold starts with the newest snapshot after which no record
    is missing; the result is None if there is no such snapshot.

    :param log_records: all retained records, in log order.
    :param first_retained: the lowest offset that the log still holds.
    :param keyring: the trusted keys.
    """
    state: configuration.Configuration | None = configuration.Configuration()
    if first_retained > 0:
        state = _find_snapshot(log_records, first_retained, keyring)
    if state is None:
        return None
    for record in log_records:
        state = configuration.fold(state, record, keyring).configuration
    return Restored(state, find_needed_since(log_records, keyring))


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


def find_needed_since(
    log_records: collections.abc.Sequence[configuration.LogRecord],
    keyring: signing.Keyring,
) -> float | None:
    """Return when the oldest record that a new reader needs was appended.

    :param log_records: all retained records without gaps, in log order.
    :param keyring: the trusted keys.
    :returns: Unix time in seconds by the log's clock, or None if the records
        are empty or don't suffice for a new reader.
    """
    if not log_records:
        return None
    first = log_records[0].offset
    start = _find_snapshot(log_records, first, keyring)
    if start is not None:
        return log_records[start.offset + 1 - first].time
    return log_records[0].time if first == 0 else None


def find_due(
    needed_since: float, retention_seconds: float, draw: float
) -> float:
    """Return when an instance should append the next snapshot.

    It is between one half and three quarters of the retention time, at
    another time for each instance. So mostly one instance appends a snapshot
    and the others see it before their own time has come.

    :param needed_since: when the oldest record that a new reader needs was
        appended, Unix time in seconds.
    :param retention_seconds: how long the log keeps records.
    :param draw: the instance's random number in [0, 1).
    """
    return needed_since + retention_seconds * (0.5 + 0.25 * draw)
