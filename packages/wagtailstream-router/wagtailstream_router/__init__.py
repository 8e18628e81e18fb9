"""The entry that routes straight to endpoints, without agents."""
