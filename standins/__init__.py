"""Fakes of the platform's services, for tests, the demo and experiments."""
