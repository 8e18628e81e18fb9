"""The agent: the process beside an endpoint that admits and runs its work."""
