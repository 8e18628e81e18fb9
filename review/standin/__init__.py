"""Stand-ins for the review's scripts: store, servers, callers, platform."""
