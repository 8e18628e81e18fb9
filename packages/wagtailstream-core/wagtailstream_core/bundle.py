"""The bundle: the configuration document that operators write.

It defines models, services, endpoints and ladders, and which of them each
customer may use.
"""

import functools
import hashlib
import re
import typing

import pydantic

from wagtailstream_core import errors

NAME_PATTERN = r"^[A-Za-z0-9][A-Za-z0-9._-]{0,63}$"

Name = typing.Annotated[
    str, pydantic.StringConstraints(pattern=re.compile(NAME_PATTERN))
]
KeyHash = typing.Annotated[
    str, pydantic.StringConstraints(pattern=re.compile(r"^[0-9a-f]{64}$"))
]


class _Model(pydantic.BaseModel):
    model_config = pydantic.ConfigDict(extra="forbid", frozen=True)


class Rollout(_Model):
    """A gradual move of new sessions to a candidate version.

    :param candidate: the version that is rolled out.
    :param stages: the share of new sessions in each stage, above 0 and at
        most 1; each stage's share is larger than the last one's.
    """

    candidate: Name
    stages: tuple[typing.Annotated[float, pydantic.Field(gt=0, le=1)], ...] = (
        pydantic.Field(min_length=1)
    )


class ServedModel(_Model):
    """A model with its versions.

    :param versions: all versions that may run, most preferred first.
    :param stable: the version that serves while no roll-out is under way.
    :param price_per_1000_tokens: in thousandths of a cent.
    """

    name: Name
    versions: tuple[Name, ...] = pydantic.Field(min_length=1)
    stable: Name
    rollout: Rollout | None = None
    price_per_1000_tokens: int = pydantic.Field(default=0, ge=0)


class Operation(_Model):
    """An operation of a plain service.

    :param path: the path below the service, without a leading slash.
    :param repeatable: whether the operation is idempotent. Other operations
        need an idempotency key.
    """

    path: str = pydantic.Field(min_length=1, max_length=200)
    repeatable: bool = True


class PlainService(_Model):
    """A service other than a model engine, with the operations it offers."""

    name: Name
    operations: tuple[Operation, ...] = pydantic.Field(min_length=1)

    def find_operation(self, path: str) -> Operation | None:
        """Return the operation at a path, or None.

        :param path: the path below the service.
        """
        for operation in self.operations:
            if operation.path == path:
                return operation
        return None


class Endpoint(_Model):
    """A back end that serves either models or a plain service."""

    name: Name
    data_centre: Name
    models: tuple[Name, ...] = ()
    service: Name | None = None


class Ladder(_Model):
    """Models that are tried in turn until an answer is good enough.

    :param quality_target: the mean rating that answers must reach, 0 to 1.
    :param models: model names, cheapest first.
    :param when_unrated: what to do while no ratings are available: accept
        the first answer, or use the largest model.
    """

    name: Name
    models: tuple[Name, ...] = pydantic.Field(min_length=1)
    quality_target: float = pydantic.Field(ge=0, le=1)
    when_unrated: typing.Literal["accept", "largest"] = "largest"


class Allowance(_Model):
    """A model that a customer may use.

    :param versions: the allowed versions; empty means all in the bundle.
    :param data_centres: the allowed data centres; empty means all.
    """

    model: Name
    versions: tuple[Name, ...] = ()
    data_centres: tuple[Name, ...] = ()


class Customer(_Model):
    """A customer with its keys, allowances and limits.

    :param key_hashes: SHA-256 of each API key, in hexadecimal.
    :param priority: 0 is the lowest; higher ones are served first.
    :param requests_per_second: the rate limit over all entries together.
    :param burst: the number of requests allowed at once over all entries.
    """

    name: Name
    key_hashes: tuple[KeyHash, ...] = pydantic.Field(min_length=1)
    allow: tuple[Allowance, ...] = ()
    services: tuple[Name, ...] = ()
    ladders: tuple[Name, ...] = ()
    priority: int = pydantic.Field(default=0, ge=0, le=9)
    requests_per_second: float = pydantic.Field(default=100.0, gt=0)
    burst: int = pydantic.Field(default=100, ge=1)

    def find_allowance(self, model: str) -> Allowance | None:
        """Return the customer's allowance for a model, or None.

        :param model: the model's name.
        """
        for allowance in self.allow:
            if allowance.model == model:
                return allowance
        return None


class Limits(_Model):
    """Limits that apply to every customer.

    :param claim_window_seconds: the maximum age of an idempotency key, and
        the minimum time for which a claim on it is kept.
    :param strikes: the number of endpoint crashes after which a request's
        body is quarantined.
    :param quarantine_seconds: how long the body is refused after the last
        crash.
    """

    deadline_seconds: float = pydantic.Field(default=30.0, gt=0, le=3600)
    max_body_bytes: int = pydantic.Field(default=262144, ge=1024)
    max_tokens: int = pydantic.Field(default=4096, ge=1)
    claim_window_seconds: float = pydantic.Field(default=3600.0, ge=60)
    strikes: int = pydantic.Field(default=2, ge=1)
    quarantine_seconds: float = pydantic.Field(default=600.0, gt=0)


class Bundle(_Model):
    """A whole configuration as operators write and sign it."""

    schema_version: typing.Literal[1] = 1
    name: Name
    data_centres: tuple[Name, ...] = pydantic.Field(min_length=1)
    models: tuple[ServedModel, ...] = ()
    services: tuple[PlainService, ...] = ()
    endpoints: tuple[Endpoint, ...] = ()
    ladders: tuple[Ladder, ...] = ()
    customers: tuple[Customer, ...] = ()
    limits: Limits = Limits()

    @functools.cached_property
    def _models_by_name(self) -> dict[str, ServedModel]:
        return {model.name: model for model in self.models}

    @functools.cached_property
    def _services_by_name(self) -> dict[str, PlainService]:
        return {service.name: service for service in self.services}

    @functools.cached_property
    def _endpoints_by_name(self) -> dict[str, Endpoint]:
        return {endpoint.name: endpoint for endpoint in self.endpoints}

    @functools.cached_property
    def _ladders_by_name(self) -> dict[str, Ladder]:
        return {ladder.name: ladder for ladder in self.ladders}

    @functools.cached_property
    def _customers_by_name(self) -> dict[str, Customer]:
        return {customer.name: customer for customer in self.customers}

    @functools.cached_property
    def _customers_by_key_hash(self) -> dict[str, Customer]:
        return {
            key_hash: customer
            for customer in self.customers
            for key_hash in customer.key_hashes
        }

    def find_customer_by_key(self, key: str) -> Customer | None:
        """Return the customer that an API key belongs to, or None.

        The look-up is by the key's SHA-256. Its timing reveals only
        information on the hash, which a caller can't choose freely.

        :param key: the key as the caller sent it.
        """
        return self._customers_by_key_hash.get(hash_key(key))

    def find_model(self, name: str) -> ServedModel | None:
        """Return the model with a name, or None.

        :param name: the model's name.
        """
        return self._models_by_name.get(name)

    def find_service(self, name: str) -> PlainService | None:
        """Return the plain service with a name, or None.

        :param name: the service's name.
        """
        return self._services_by_name.get(name)

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint with a name, or None.

        :param name: the endpoint's name.
        """
        return self._endpoints_by_name.get(name)

    def find_ladder(self, name: str) -> Ladder | None:
        """Return the ladder with a name, or None.

        :param name: the ladder's name.
        """
        return self._ladders_by_name.get(name)

    def find_customer(self, name: str) -> Customer | None:
        """Return the customer with a name, or None.

        :param name: the customer's name.
        """
        return self._customers_by_name.get(name)


def parse(value: object, source: str) -> Bundle:
    """Validate a decoded document and return the bundle in it.

    :param value: the decoded YAML or JSON document.
    :param source: the file or record that it came from, for error messages.
    :raises errors.BundleError: the document is not a valid bundle.
    """
    try:
        return Bundle.model_validate(value)
    except pydantic.ValidationError as error:
        problems = [
            ".".join(str(part) for part in item["loc"]) + ": " + item["msg"]
            for item in error.errors()
        ]
        raise errors.BundleError(
            "parse bundle", source, "; ".join(problems)
        ) from error


def hash_key(key: str) -> str:
    """Return the SHA-256 by which a bundle refers to an API key.

    :param key: the key as callers send it.
    """
    return hashlib.sha256(key.encode()).hexdigest()
