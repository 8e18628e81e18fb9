"""The agent process, which admits and runs the work of one endpoint."""
