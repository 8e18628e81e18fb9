"""Every experiment, in the order in which they run."""

from experiments import base


def list_experiments() -> tuple[base.Experiment, ...]:
    """Return all experiments."""
    return ()
