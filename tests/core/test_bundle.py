"""The consistency checks of bundles find each kind of contradiction."""

import typing

import pytest

from tests.core import support
from wagtailstream_core import bundle, bundle_check, errors

CONTRADICTIONS: list[tuple[str, typing.Any, str]] = [
    ("models.0.stable", "9", "models.drafter.stable: 9 is no version"),
    ("models.0.rollout.candidate", "9", "9 is no version"),
    ("models.0.rollout.stages", [0.5, 0.5], "the shares do not rise"),
    ("models.1.name", "drafter", "drafter is listed more than once"),
    ("ladders.0.name", "large", "a model has the same name"),
    ("ladders.0.models", ["none"], "unknown model none"),
    ("endpoints.0.data_centre", "paris", "endpoints.e1.data_centre"),
    ("endpoints.0.models", ["none"], "unknown model none"),
    (
        "endpoints.0.models",
        [],
        "must have either models or a service, not both",
    ),
    (
        "endpoints.0.service",
        "registry",
        "must have either models or a service, not both",
    ),
    ("endpoints.1.service", "none", "unknown service none"),
    ("customers.0.allow.0.versions", ["9"], "unknown version 9"),
    ("customers.0.allow.0.versions", ["2"], "is not allowed"),
    ("customers.0.allow.0.model", "none", "unknown model none"),
    ("customers.0.allow.0.data_centres", ["paris"], "unknown data centre"),
    ("customers.0.services", ["none"], "unknown service none"),
    ("customers.0.ladders", ["none"], "unknown ladder none"),
    ("customers.0.allow", [{"model": "drafter"}], "forbidden model large"),
]


def test_the_bundle_has_no_contradiction() -> None:
    parsed = bundle.parse(support.make_bundle(), "test")
    assert bundle_check.find_contradictions(parsed) == []


@pytest.mark.parametrize(("path", "value", "expected"), CONTRADICTIONS)
def test_a_contradiction_is_found(
    path: str, value: typing.Any, expected: str
) -> None:
    parsed = bundle.parse(support.make_bundle((path, value)), "test")
    problems = bundle_check.find_contradictions(parsed)
    assert any(expected in problem for problem in problems), problems


def test_customer_without_models_and_services_is_a_contradiction() -> None:
    document = support.make_bundle(
        ("customers.0.allow", []),
        ("customers.0.services", []),
        ("customers.0.ladders", []),
    )
    problems = bundle_check.find_contradictions(bundle.parse(document, "test"))
    assert problems == ["customers.atelier: may use no model and no service"]


@pytest.mark.parametrize(
    ("path", "value"),
    [
        ("models.0.rollout.stages", [0.0]),
        ("models.0.rollout.stages", [1.5]),
        ("models.0.versions", []),
        ("customers.0.key_hashes", ["xyz"]),
        ("data_centres", []),
        ("name", "no blanks"),
        ("unexpected", 1),
    ],
)
def test_a_malformed_bundle_does_not_parse(
    path: str, value: typing.Any
) -> None:
    with pytest.raises(errors.BundleError):
        bundle.parse(support.make_bundle((path, value)), "test")
