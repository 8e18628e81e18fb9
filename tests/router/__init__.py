"""Tests of the router and of its adapter to the platform."""
