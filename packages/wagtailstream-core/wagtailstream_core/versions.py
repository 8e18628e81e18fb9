"""Choice of the model version for a session."""

import expression
import xxhash

from wagtailstream_core import bundle, configuration, errors

STEP = "version"
# A candidate with a larger share of new sessions is the main version.
MAIN_SHARE = 0.5
_HASH_RANGE = 2**64


def find_share_position(session_id: str, model: str) -> float:
    """Return a session's fixed position in [0, 1) for a model's roll-out.

    The session starts on the candidate if the position is below the share of
    the roll-out's stage.

    :param session_id: the session's identifier.
    :param model: the model's name.
    """
    return (
        xxhash.xxh64_intdigest(f"{model}\0{session_id}".encode()) / _HASH_RANGE
    )


def list_allowed(
    state: configuration.Configuration,
    customer: bundle.Customer,
    model: bundle.ServedModel,
) -> list[str]:
    """Return the versions of a model that a customer may use now.

    Withdrawn and suspended versions are left out. The order is the bundle's.

    :param state: the configuration in force.
    :param customer: the customer.
    :param model: the model.
    """
    allowance = customer.find_allowance(model.name)
    if allowance is None:
        return []
    return [
        version
        for version in model.versions
        if (not allowance.versions or version in allowance.versions)
        and not state.is_stopped(model.name, version)
    ]


def find_main_version(
    state: configuration.Configuration, model: bundle.ServedModel
) -> str:
    """Return the version that most new sessions of a model start on.

    :param state: the configuration in force.
    :param model: the model.
    """
    rollout = model.rollout
    if rollout is None or state.is_stopped(model.name, rollout.candidate):
        return model.stable
    stage = state.find_stage(model.name, rollout.candidate)
    share = rollout.stages[min(stage, len(rollout.stages) - 1)]
    return rollout.candidate if share > MAIN_SHARE else model.stable


def choose_version(
    state: configuration.Configuration,
    customer: bundle.Customer,
    model: bundle.ServedModel,
    session_id: str,
    peer: str,
) -> expression.Result[str, errors.Refusal]:
    """Return the version on which a new session starts.

    :param state: the configuration in force.
    :param customer: the customer.
    :param model: the model.
    :param session_id: the session's identifier, whose hash decides whether the
        session starts on a roll-out's candidate.
    :param peer: the name of this instance, for the refusal.
    """
    allowed = list_allowed(state, customer, model)
    rollout = model.rollout
    if rollout is not None and rollout.candidate in allowed:
        stage = state.find_stage(model.name, rollout.candidate)
        share = rollout.stages[min(stage, len(rollout.stages) - 1)]
        if find_share_position(session_id, model.name) < share:
            return expression.Ok(rollout.candidate)
    if model.stable in allowed:
        return expression.Ok(model.stable)
    if allowed:
        return expression.Ok(allowed[0])
    return expression.Error(
        errors.not_run(
            errors.Reason.VERSION_WITHDRAWN,
            f"no allowed version of {model.name} is in service",
            STEP,
            peer,
        )
    )


def check_version(
    state: configuration.Configuration,
    customer: bundle.Customer,
    model: bundle.ServedModel,
    version: str,
    peer: str,
) -> expression.Result[str, errors.Refusal]:
    """Return a version if the customer may use it now, else a refusal.

    :param state: the configuration in force.
    :param customer: the customer.
    :param model: the model.
    :param version: the version that a session or an entry names.
    :param peer: the name of this instance, for the refusal.
    """
    if version in list_allowed(state, customer, model):
        return expression.Ok(version)
    if state.is_stopped(model.name, version):
        return expression.Error(
            errors.not_run(
                errors.Reason.VERSION_WITHDRAWN,
                f"{model.name}@{version} was withdrawn or suspended; start a "
                "new session",
                STEP,
                peer,
            )
        )
    return expression.Error(
        errors.not_run(
            errors.Reason.MODEL_FORBIDDEN,
            f"{customer.name} may not use {model.name}@{version}",
            STEP,
            peer,
        )
    )
