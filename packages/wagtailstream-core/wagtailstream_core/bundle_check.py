"""Consistency checks between the parts of a bundle."""

from wagtailstream_core import bundle


def find_contradictions(checked: bundle.Bundle) -> list[str]:
    """Return a message for each contradiction within a bundle.

    :param checked: a bundle that passed schema validation.
    """
    return [
        *_check_unique_names(checked),
        *_check_models(checked),
        *_check_endpoints(checked),
        *_check_ladders(checked),
        *_check_customers(checked),
    ]


def _check_unique_names(checked: bundle.Bundle) -> list[str]:
    groups: dict[str, tuple[str, ...]] = {
        "models": tuple(model.name for model in checked.models),
        "services": tuple(service.name for service in checked.services),
        "endpoints": tuple(endpoint.name for endpoint in checked.endpoints),
        "ladders": tuple(ladder.name for ladder in checked.ladders),
        "customers": tuple(customer.name for customer in checked.customers),
        "key_hashes": tuple(
            key
            for customer in checked.customers
            for key in customer.key_hashes
        ),
    }
    problems = [
        f"{group}: {name} is listed more than once"
        for group, names in groups.items()
        for name in sorted({n for n in names if names.count(n) > 1})
    ]
    shared = set(groups["models"]) & set(groups["ladders"])
    problems += [
        f"ladders.{name}: a model has the same name" for name in sorted(shared)
    ]
    return problems


def _check_models(checked: bundle.Bundle) -> list[str]:
    problems = []
    for model in checked.models:
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


def _check_endpoints(checked: bundle.Bundle) -> list[str]:
    problems = []
    for endpoint in checked.endpoints:
        where = f"endpoints.{endpoint.name}"
        if endpoint.data_centre not in checked.data_centres:
            problems.append(
                f"{where}.data_centre: unknown data centre "
                f"{endpoint.data_centre}"
            )
        if bool(endpoint.models) == bool(endpoint.service):
            problems.append(
                f"{where}: must have either models or a service, not both"
            )
        problems += [
            f"{where}.models: unknown model {name}"
            for name in endpoint.models
            if checked.find_model(name) is None
        ]
        if endpoint.service and not checked.find_service(endpoint.service):
            problems.append(
                f"{where}.service: unknown service {endpoint.service}"
            )
    return problems


def _check_ladders(checked: bundle.Bundle) -> list[str]:
    return [
        f"ladders.{ladder.name}.models: unknown model {name}"
        for ladder in checked.ladders
        for name in ladder.models
        if checked.find_model(name) is None
    ]


def _check_customers(checked: bundle.Bundle) -> list[str]:
    problems = []
    for customer in checked.customers:
        where = f"customers.{customer.name}"
        if not customer.allow and not customer.services:
            problems.append(f"{where}: may use no model and no service")
        for allowance in customer.allow:
            problems += _check_allowance(checked, where, allowance)
        for name in customer.services:
            if checked.find_service(name) is None:
                problems.append(f"{where}.services: unknown service {name}")
        for name in customer.ladders:
            problems += _check_customer_ladder(checked, customer, name)
    return problems


def _check_allowance(
    checked: bundle.Bundle, where: str, allowance: bundle.Allowance
) -> list[str]:
    model = checked.find_model(allowance.model)
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
        if name not in checked.data_centres
    ]
    return problems


def _check_customer_ladder(
    checked: bundle.Bundle, customer: bundle.Customer, name: str
) -> list[str]:
    ladder = checked.find_ladder(name)
    where = f"customers.{customer.name}.ladders"
    if ladder is None:
        return [f"{where}: unknown ladder {name}"]
    return [
        f"{where}.{name}: goes through the forbidden model {model}"
        for model in ladder.models
        if customer.find_allowance(model) is None
    ]
