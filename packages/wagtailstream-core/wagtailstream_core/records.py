"""The records of the configuration stream and their validation."""

import typing

import orjson
import pydantic

from wagtailstream_core import bundle, errors, signing

STREAM = "config"


class _Record(pydantic.BaseModel):
    """The field that all records have.

    :param base: the revision of the configuration that the change is based
        on; -1 if there was none. It is not checked for quarantines and
        snapshots.
    """

    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)

    base: int = pydantic.Field(ge=-1)


class Publish(_Record):
    """Proposes a bundle, which takes effect once it is approved."""

    kind: typing.Literal["publish"] = "publish"
    bundle: dict[str, typing.Any]


class Approve(_Record):
    """Approves the proposed bundle with the given digest."""

    kind: typing.Literal["approve"] = "approve"
    digest: str


class Advance(_Record):
    """Moves a model's roll-out to its next stage."""

    kind: typing.Literal["advance"] = "advance"
    model: bundle.Name
    candidate: bundle.Name
    stage: int = pydantic.Field(ge=0)


class Withdraw(_Record):
    """Withdraws a version permanently."""

    kind: typing.Literal["withdraw"] = "withdraw"
    model: bundle.Name
    version: bundle.Name


class Suspend(_Record):
    """Stops a version because of bad answers; operators can reinstate it."""

    kind: typing.Literal["suspend"] = "suspend"
    model: bundle.Name
    version: bundle.Name
    evidence: str = pydantic.Field(max_length=500)


class Reinstate(_Record):
    """Lifts a version's suspension."""

    kind: typing.Literal["reinstate"] = "reinstate"
    model: bundle.Name
    version: bundle.Name


class Quarantine(_Record):
    """Refuses requests with a body digest for a time.

    :param until: Unix time in seconds.
    """

    kind: typing.Literal["quarantine"] = "quarantine"
    digest: str = pydantic.Field(pattern=r"^[0-9a-f]{64}$")
    until: float


class Snapshot(_Record):
    """Repeats the whole configuration before the log drops older records.

    :param as_of: the offset of the last record folded into the state.
    """

    kind: typing.Literal["snapshot"] = "snapshot"
    as_of: int = pydantic.Field(ge=-1)
    state: dict[str, typing.Any]


Record = typing.Annotated[
    Publish
    | Approve
    | Advance
    | Withdraw
    | Suspend
    | Reinstate
    | Quarantine
    | Snapshot,
    pydantic.Field(discriminator="kind"),
]
_ADAPTER: pydantic.TypeAdapter[Record] = pydantic.TypeAdapter(Record)

# The kinds of records that may be signed with the fleet's key; all others
# need an operator's key.
FLEET_KINDS = frozenset({"suspend", "quarantine", "snapshot", "advance"})


def decode(body: dict[str, typing.Any]) -> Record:
    """Validate a verified body and return the record in it.

    :param body: the JSON object of an envelope.
    :raises errors.BundleError: the body is not a valid record.
    """
    try:
        return _ADAPTER.validate_python(body)
    except pydantic.ValidationError as error:
        raise errors.BundleError("decode", "record", str(error)) from error


def seal(record: Record, signer: signing.Signer) -> bytes:
    """Return a record as the bytes of a signed envelope, as in the log.

    :param record: the record.
    :param signer: the signer.
    """
    return signing.seal(orjson.loads(record.model_dump_json()), signer)
