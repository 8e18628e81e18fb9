"""Which model answers a request, and what that costs others."""
