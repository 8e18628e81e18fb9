"""Seeded simulations that compare the router's algorithms with naive ones."""
