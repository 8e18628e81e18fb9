"""A request router that forwards straight to endpoints, without agents."""
