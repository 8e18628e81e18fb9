"""Connections to agents, and the selection of an endpoint for a request."""
