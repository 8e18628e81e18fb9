"""The HTTP interface: handlers and responses."""
