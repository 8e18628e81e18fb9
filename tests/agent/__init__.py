"""Tests of the agent package."""
