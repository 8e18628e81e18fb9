"""Every experiment, in the order in which they run."""

from experiments import base, limits_split, overload, retrying, routing


def list_experiments() -> tuple[base.Experiment, ...]:
    """Return all experiments."""
    return (
        routing.RoutingExperiment(),
        limits_split.LimitsSplitExperiment(),
        overload.OverloadExperiment(),
        retrying.RetryExperiment(),
    )
