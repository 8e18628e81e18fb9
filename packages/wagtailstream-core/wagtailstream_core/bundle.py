"""The bundle: which models, versions and places each customer may use."""

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
    """The stages through which a candidate version takes over traffic.

    :param candidate: the version that is rolled out.
    :param stages: rising shares of new sessions, each above 0, at most 1.
    """

    candidate: Name
    stages: tuple[typing.Annotated[float, pydantic.Field(gt=0, le=1)], ...] = (
        pydantic.Field(min_length=1)
    )


class ServedModel(_Model):
    """A model with its versions.

    :param versions: all versions that may run, the preferred ones first.
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
    :param repeatable: whether a repeated call is harmless.
    """

    path: str = pydantic.Field(min_length=1, max_length=200)
    repeatable: bool = True


class PlainService(_Model):
    """A plain service that stands beside the model engines."""

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
    """One place that serves models or a plain service."""

    name: Name
    data_centre: Name
    models: tuple[Name, ...] = ()
    service: Name | None = None


class Ladder(_Model):
    """Models from cheap to good, with the quality that an answer needs.

    :param quality_target: the mean rating that answers must reach, 0 to 1.
    :param models: model names, cheapest first.
    :param when_unrated: what to do while no rating can be had.
    """

    name: Name
    models: tuple[Name, ...] = pydantic.Field(min_length=1)
    quality_target: float = pydantic.Field(ge=0, le=1)
    when_unrated: typing.Literal["accept", "largest"] = "largest"


class Allowance(_Model):
    """A model that a customer may use.

    :param versions: the allowed versions; empty means all of the bundle.
    :param data_centres: the allowed places; empty means all.
    """

    model: Name
    versions: tuple[Name, ...] = ()
    data_centres: tuple[Name, ...] = ()


class Customer(_Model):
    """A customer with its keys, allowances and limits.

    :param key_hashes: SHA-256 of each API key, in hexadecimal.
    :param priority: 0 can wait, higher goes first.
    :param requests_per_second: the customer's share over all entries.
    :param burst: how many requests may come at once.
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
    """Bounds that hold for every customer.

    :param claim_window_seconds: how old an idempotency key may be; also how
        long claims are remembered.
    :param strikes: crashed endpoints after which a request is quarantined.
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

        The key's SHA-256 is looked up, so what the look-up's time tells is
        about a hash that a caller can't choose.

        :param key: the key as the caller sent it.
        """
        return self._customers_by_key_hash.get(hash_key(key))

    def find_model(self, name: str) -> ServedModel | None:
        """Return the model of a name, or None.

        :param name: the model's name.
        """
        return self._models_by_name.get(name)

    def find_service(self, name: str) -> PlainService | None:
        """Return the plain service of a name, or None.

        :param name: the service's name.
        """
        return self._services_by_name.get(name)

    def find_endpoint(self, name: str) -> Endpoint | None:
        """Return the endpoint of a name, or None.

        :param name: the endpoint's name.
        """
        return self._endpoints_by_name.get(name)

    def find_ladder(self, name: str) -> Ladder | None:
        """Return the ladder of a name, or None.

        :param name: the ladder's name.
        """
        return self._ladders_by_name.get(name)

    def find_customer(self, name: str) -> Customer | None:
        """Return the customer of a name, or None.

        :param name: the customer's name.
        """
        return self._customers_by_name.get(name)


def parse(value: object, source: str) -> Bundle:
    """Return the bundle that a decoded document holds.

    :param value: the decoded YAML or JSON document.
    :param source: the file or record that it came from, for messages.
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


def find_contradictions(bundle: Bundle) -> list[str]:
    """Return a sentence for each contradiction within a bundle.

    :param bundle: a bundle that parsed.
    """
    return [
        *_check_unique_names(bundle),
        *_check_models(bundle),
        *_check_endpoints(bundle),
        *_check_ladders(bundle),
        *_check_customers(bundle),
    ]


def _check_unique_names(bundle: Bundle) -> list[str]:
    groups: dict[str, tuple[str, ...]] = {
        "models": tuple(model.name for model in bundle.models),
        "services": tuple(service.name for service in bundle.services),
        "endpoints": tuple(endpoint.name for endpoint in bundle.endpoints),
        "ladders": tuple(ladder.name for ladder in bundle.ladders),
        "customers": tuple(customer.name for customer in bundle.customers),
        "key_hashes": tuple(
            key for customer in bundle.customers for key in customer.key_hashes
        ),
    }
    problems = [
        f"{group}: {name} stands more than once"
        for group, names in groups.items()
        for name in sorted({n for n in names if names.count(n) > 1})
    ]
    shared = set(groups["models"]) & set(groups["ladders"])
    problems += [
        f"ladders.{name}: a model has the same name" for name in sorted(shared)
    ]
    return problems


def _check_models(bundle: Bundle) -> list[str]:
    problems = []
    for model in bundle.models:
        where = f"models.{model.name}"
        if model.stable not in model.versions:
            problems.append(f"{where}.stable: {model.stable} is no version")
        if model.rollout is None:
            continue
        if model.rollout.candidate not in model.versions:
            problems.append(
                f"{where}.rollout.candidate: "
                f"{model.rollout.candidate} is no version"
            )
        stages = model.rollout.stages
        if any(b <= a for a, b in zip(stages, stages[1:], strict=False)):
            problems.append(f"{where}.rollout.stages: the shares do not rise")
    return problems


def _check_endpoints(bundle: Bundle) -> list[str]:
    problems = []
    for endpoint in bundle.endpoints:
        where = f"endpoints.{endpoint.name}"
        if endpoint.data_centre not in bundle.data_centres:
            problems.append(f"{where}.data_centre: {endpoint.data_centre}?")
        if bool(endpoint.models) == bool(endpoint.service):
            problems.append(f"{where}: needs either models or a service")
        problems += [
            f"{where}.models: unknown model {name}"
            for name in endpoint.models
            if bundle.find_model(name) is None
        ]
        if endpoint.service and not bundle.find_service(endpoint.service):
            problems.append(f"{where}.service: unknown {endpoint.service}")
    return problems


def _check_ladders(bundle: Bundle) -> list[str]:
    return [
        f"ladders.{ladder.name}.models: unknown model {name}"
        for ladder in bundle.ladders
        for name in ladder.models
        if bundle.find_model(name) is None
    ]


def _check_customers(bundle: Bundle) -> list[str]:
    problems = []
    for customer in bundle.customers:
        where = f"customers.{customer.name}"
        if not customer.allow and not customer.services:
            problems.append(f"{where}: may use no model and no service")
        for allowance in customer.allow:
            problems += _check_allowance(bundle, where, allowance)
        for name in customer.services:
            if bundle.find_service(name) is None:
                problems.append(f"{where}.services: unknown service {name}")
        for name in customer.ladders:
            problems += _check_customer_ladder(bundle, customer, name)
    return problems


def _check_allowance(
    bundle: Bundle, where: str, allowance: Allowance
) -> list[str]:
    model = bundle.find_model(allowance.model)
    if model is None:
        return [f"{where}.allow: unknown model {allowance.model}"]
    problems = [
        f"{where}.allow.{model.name}: unknown version {version}"
        for version in allowance.versions
        if version not in model.versions
    ]
    if allowance.versions and model.stable not in allowance.versions:
        problems.append(
            f"{where}.allow.{model.name}: the stable version "
            f"{model.stable} is not allowed"
        )
    problems += [
        f"{where}.allow.{model.name}: unknown data centre {name}"
        for name in allowance.data_centres
        if name not in bundle.data_centres
    ]
    return problems


def _check_customer_ladder(
    bundle: Bundle, customer: Customer, name: str
) -> list[str]:
    ladder = bundle.find_ladder(name)
    where = f"customers.{customer.name}.ladders"
    if ladder is None:
        return [f"{where}: unknown ladder {name}"]
    return [
        f"{where}.{name}: goes through the forbidden model {model}"
        for model in ladder.models
        if customer.find_allowance(model) is None
    ]


def hash_key(key: str) -> str:
    """Return the hash under which the bundle holds an API key.

    :param key: the key as callers send it.
    """
    return hashlib.sha256(key.encode()).hexdigest()
