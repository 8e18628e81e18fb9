"""Every experiment, in the order in which they run."""

from experiments import (
    append_batching,
    bad_versions,
    base,
    cascade_cost,
    spreading,
)


def list_experiments() -> tuple[base.Experiment, ...]:
    """Return all experiments."""
    return (
        bad_versions.BadVersions(),
        cascade_cost.CascadeCost(),
        append_batching.AppendBatching(),
        spreading.Spreading(),
    )
