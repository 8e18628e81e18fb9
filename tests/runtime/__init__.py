"""Tests of the clients of the platform."""
