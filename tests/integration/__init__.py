"""Integration tests with real processes on loopback."""
