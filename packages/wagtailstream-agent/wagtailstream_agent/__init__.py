"""The process beside each endpoint: the last gate before the work runs."""
