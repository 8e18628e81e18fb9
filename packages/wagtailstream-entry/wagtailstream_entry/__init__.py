"""The entry: accepts requests over HTTP and dispatches them to agents."""
