"""Seeded measurements of the decisions, each beside the naive version."""
