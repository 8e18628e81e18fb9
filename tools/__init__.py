"""Maintenance scripts."""
