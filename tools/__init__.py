"""Checks of the source code that `make lint` runs."""
