"""The experiments of ``python -m experiments``, in the order they run.

The modules capacity, heartbeats, path and snapshots are run on their own.
"""

from experiments import (
    append_batching,
    bad_versions,
    base,
    cascade_cost,
    customer_shares,
    limits_split,
    overload,
    retrying,
    routing,
    spreading,
)


def list_experiments() -> tuple[base.Experiment, ...]:
    """Return one instance of each experiment."""
    return (
        routing.RoutingExperiment(),
        limits_split.LimitsSplitExperiment(),
        overload.OverloadExperiment(),
        retrying.RetryExperiment(),
        bad_versions.BadVersions(),
        cascade_cost.CascadeCost(),
        customer_shares.CustomerSharesExperiment(),
        append_batching.AppendBatching(),
        spreading.Spreading(),
    )
