"""The admission check: whether an attempt may be dispatched now.

The check runs when an attempt arrives and again right before its dispatch,
because a version may be withdrawn while the attempt waits in the queue.
"""

import dataclasses

import expression

from wagtailstream_core import (
    bundle,
    configuration,
    errors,
    freshness,
    versions,
    work,
)

STEP = "gate"
DRAIN_RETRY_SECONDS = 1.0
CUT_OFF_RETRY_SECONDS = 5.0
FULL_RETRY_SECONDS = 2.0
LOAD_RETRY_SECONDS = 2.0


@dataclasses.dataclass(frozen=True)
class GateState:
    """State of the agent that the check depends on.

    :param peer: this agent's name, reported in refusals.
    :param endpoint: name of the endpoint that this agent fronts.
    :param is_draining: whether the agent is shutting down.
    :param is_billing_full: whether the bill outbox is full.
    :param now: Unix time in seconds.
    """

    peer: str
    endpoint: str
    configuration: configuration.Configuration
    freshness: freshness.Freshness
    is_draining: bool
    is_billing_full: bool
    now: float


Verdict = expression.Result[None, errors.Refusal]


def check(state: GateState, attempt: work.Attempt) -> Verdict:
    """Check an attempt; the result holds the refusal if it is not allowed.

    :param state: the agent's present state.
    :param attempt: the attempt.
    """
    refusal = (
        _check_instance(state, attempt)
        or _check_configuration(state, attempt)
        or _check_allowance(state, attempt)
    )
    return expression.Error(refusal) if refusal else expression.Ok(None)


def _check_instance(
    state: GateState, attempt: work.Attempt
) -> errors.Refusal | None:
    if state.is_draining:
        return errors.not_run(
            errors.Reason.DRAINING,
            "the endpoint is draining",
            STEP,
            state.peer,
            state.now + DRAIN_RETRY_SECONDS,
        )
    if attempt.deadline <= state.now:
        return errors.not_run(
            errors.Reason.DEADLINE_PAST,
            "the deadline has passed",
            STEP,
            state.peer,
        )
    if state.is_billing_full:
        return errors.not_run(
            errors.Reason.BILLING_FULL,
            "too many bills wait for the log",
            STEP,
            state.peer,
            state.now + FULL_RETRY_SECONDS,
        )
    return None


def _check_configuration(
    state: GateState, attempt: work.Attempt
) -> errors.Refusal | None:
    if state.configuration.bundle is None:
        return errors.not_run(
            errors.Reason.NO_CONFIGURATION,
            "the endpoint holds no configuration yet",
            STEP,
            state.peer,
            state.now + DRAIN_RETRY_SECONDS,
        )
    if state.configuration.offset < attempt.configuration_offset:
        return errors.not_run(
            errors.Reason.AGENT_BEHIND,
            f"configuration offset {state.configuration.offset} is older "
            f"than the attempt's {attempt.configuration_offset}",
            STEP,
            state.peer,
            state.now,
        )
    if state.freshness is freshness.Freshness.CUT_OFF:
        return errors.not_run(
            errors.Reason.CUT_OFF,
            "the endpoint is cut off from the configuration",
            STEP,
            state.peer,
            state.now + CUT_OFF_RETRY_SECONDS,
        )
    return None


def _check_allowance(
    state: GateState, attempt: work.Attempt
) -> errors.Refusal | None:
    current_bundle = state.configuration.bundle
    customer = (
        current_bundle.find_customer(attempt.customer)
        if current_bundle
        else None
    )
    if current_bundle is None or customer is None:
        return _forbid(state, f"unknown customer {attempt.customer}")
    endpoint = current_bundle.find_endpoint(state.endpoint)
    if endpoint is None:
        return _forbid(state, f"unknown endpoint {state.endpoint}")
    digest = work.digest(attempt.work)
    for entry in state.configuration.quarantined:
        if entry.digest == digest and entry.until > state.now:
            return errors.not_run(
                errors.Reason.QUARANTINED,
                "this request crashed endpoints and is quarantined",
                STEP,
                state.peer,
                entry.until,
            )
    if isinstance(attempt.work, work.ServiceWork):
        return _check_service(state, customer, endpoint, attempt.work)
    return _check_model(state, customer, endpoint, attempt.work)


def _check_service(
    state: GateState,
    customer: bundle.Customer,
    endpoint: bundle.Endpoint,
    service_work: work.ServiceWork,
) -> errors.Refusal | None:
    name = service_work.service
    if endpoint.service != name or name not in customer.services:
        return errors.not_run(
            errors.Reason.SERVICE_FORBIDDEN,
            f"customer {customer.name} may not use service {name} at endpoint"
            f" {endpoint.name}",
            STEP,
            state.peer,
        )
    return None


def _check_model(
    state: GateState,
    customer: bundle.Customer,
    endpoint: bundle.Endpoint,
    model_work: work.ModelWork,
) -> errors.Refusal | None:
    current_bundle = state.configuration.bundle
    model = (
        current_bundle.find_model(model_work.model) if current_bundle else None
    )
    allowance = customer.find_allowance(model_work.model)
    if model is None or allowance is None:
        return _forbid(
            state,
            f"customer {customer.name} may not use model {model_work.model}",
        )
    if model.name not in endpoint.models:
        return _forbid(
            state,
            f"endpoint {endpoint.name} does not serve model {model.name}",
        )
    data_centres = allowance.data_centres
    if data_centres and endpoint.data_centre not in data_centres:
        return _forbid(
            state,
            f"customer {customer.name} may not use model {model.name} in data"
            f" centre {endpoint.data_centre}",
        )
    checked = versions.check_version(
        state.configuration, customer, model, model_work.version, state.peer
    )
    return checked.error if checked.is_error() else None


def _forbid(state: GateState, message: str) -> errors.Refusal:
    return errors.not_run(
        errors.Reason.MODEL_FORBIDDEN,
        message,
        STEP,
        state.peer,
    )
