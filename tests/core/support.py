"""Keys, a bundle and records for the tests of the configuration."""

import copy
import hashlib
import typing

from wagtailstream_core import (
    configuration,
    records,
    signing,
)

Json = dict[str, typing.Any]

SIGNERS: dict[str, signing.Signer] = {
    name: signing.OperatorSigner(name, hashlib.sha256(name.encode()).digest())
    for name in ("alice", "bob", "mallory")
}
SIGNERS["fleet"] = signing.FleetSigner("fleet", b"f" * 32)


def make_keyring() -> signing.Keyring:
    """Return a keyring with alice, bob and the fleet, but not mallory."""
    operators = {
        name: signer.public_key
        for name, signer in SIGNERS.items()
        if isinstance(signer, signing.OperatorSigner) and name != "mallory"
    }
    return signing.Keyring(operators, {"fleet": b"f" * 32})


KEYRING = make_keyring()

BUNDLE: Json = {
    "name": "small",
    "data_centres": ["rennes", "brest", "vannes"],
    "models": [
        {
            "name": "drafter",
            "versions": ["1", "2"],
            "stable": "1",
            "rollout": {"candidate": "2", "stages": [0.1, 0.5, 1.0]},
        },
        {"name": "large", "versions": ["1"], "stable": "1"},
    ],
    "services": [
        {"name": "registry", "operations": [{"path": "issue"}]},
    ],
    "endpoints": [
        {"name": "e1", "data_centre": "rennes", "models": ["drafter"]},
        {"name": "s1", "data_centre": "brest", "service": "registry"},
    ],
    "ladders": [
        {
            "name": "ladder",
            "models": ["drafter", "large"],
            "quality_target": 0.5,
        }
    ],
    "customers": [
        {
            "name": "atelier",
            "key_hashes": ["0" * 64],
            "allow": [
                {"model": "drafter", "versions": ["1"]},
                {"model": "large"},
            ],
            "services": ["registry"],
            "ladders": ["ladder"],
        },
    ],
}


def make_bundle(*changes: tuple[str, typing.Any]) -> Json:
    """Return a copy of the bundle with some values replaced.

    :param changes: pairs of a dotted path and the new value.
    """
    changed = copy.deepcopy(BUNDLE)
    for path, value in changes:
        *parents, last = path.split(".")
        container: typing.Any = changed
        for part in parents:
            container = container[int(part) if part.isdigit() else part]
        if isinstance(container, list):
            container[int(last)] = value
        else:
            container[last] = value
    return changed


def make_record(
    offset: int, record: records.Record, signer: str, time: float = 0.0
) -> configuration.LogRecord:
    """Return a record of the log, sealed with a signer's key."""
    payload = records.seal(record, SIGNERS[signer])
    return configuration.LogRecord(offset, payload, time)
