"""Small stand-ins for the platform: fakes for tests, demo and experiments."""
