"""Clients of the platform, settings, logs and metrics of both binaries."""
